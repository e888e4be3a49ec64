"""Steps that run the soak test for a short time."""

from typing import Any

import anyio
from behave import then, when

from cowsliphitch.core.clock import MS_PER_SECOND
from cowsliphitch.standins.fleet import Fleet
from cowsliphitch.standins.prove import FaultInjectionTest
from cowsliphitch.standins.scenario import start_deployment

DAEMONS = 3


@when("load runs under random {kind} for {duration_s:d} s with the seed {seed:d}")
def run_soak_test(context: Any, kind: str, duration_s: int, seed: int) -> None:
    assert kind in ("faults", "faults and drills"), kind
    with Fleet() as fleet:
        start_deployment(fleet, DAEMONS)
        test = FaultInjectionTest(fleet, seed, has_drills=kind == "faults and drills")
        anyio.run(test.run, duration_s * MS_PER_SECOND)
        context.violations = test.check_history()
        context.history = test.history


@then("the history has no violations")
def assert_no_violations(context: Any) -> None:
    assert not context.violations, (context.violations, context.history.faults)


@then("every kind of request was answered at least once")
def assert_all_kinds_answered(context: Any) -> None:
    history = context.history
    assert any(call.outcome.is_correct for call in history.orders)
    assert any(call.outcome.is_correct for call in history.streams)
    assert history.revisions and history.faults
