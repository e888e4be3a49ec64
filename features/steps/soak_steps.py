"""Steps that run the soak test for a short time."""

from typing import Any

import anyio
from behave import then, when

from cowsliphitch.core.clock import MS_PER_SECOND
from cowsliphitch.standins.fleet import Fleet
from cowsliphitch.standins.prove import Prover
from cowsliphitch.standins.scenario import start

DAEMONS = 3


@when("load runs under random faults for {duration_s:d} s with the seed {seed:d}")
def run_soak_test(context: Any, duration_s: int, seed: int) -> None:
    with Fleet() as fleet:
        start(fleet, DAEMONS)
        prover = Prover(fleet, seed)
        anyio.run(prover.run, duration_s * MS_PER_SECOND)
        context.violations = prover.judge()
        context.history = prover.history


@then("the history has no violations")
def assert_no_violations(context: Any) -> None:
    assert not context.violations, (context.violations, context.history.faults)


@then("every kind of request was answered at least once")
def assert_all_kinds_answered(context: Any) -> None:
    history = context.history
    assert any(call.outcome.whole for call in history.orders)
    assert any(call.outcome.whole for call in history.streams)
    assert history.revisions and history.faults
