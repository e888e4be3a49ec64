"""Steps that run the soak for a short while."""

from typing import Any

import anyio
from behave import then, when

from cowsliphitch.core.clock import MS_PER_SECOND
from cowsliphitch.standins.fleet import Fleet
from cowsliphitch.standins.prove import Prover
from cowsliphitch.standins.scenario import start_deployment

DAEMONS = 3


@when("load runs under random faults for {length:d} s with the seed {seed:d}")
def soak(context: Any, length: int, seed: int) -> None:
    with Fleet() as fleet:
        start_deployment(fleet, DAEMONS)
        prover = Prover(fleet, seed)
        anyio.run(prover.run, length * MS_PER_SECOND)
        context.violations = prover.judge()
        context.history = prover.history


@then("nothing that must never happen was seen")
def no_violations(context: Any) -> None:
    assert not context.violations, (context.violations, context.history.faults)


@then("every kind of request was answered at least once")
def answered(context: Any) -> None:
    history = context.history
    assert any(call.outcome.whole for call in history.orders)
    assert any(call.outcome.whole for call in history.streams)
    assert history.revisions and history.faults
