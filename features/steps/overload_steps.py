"""Steps on an overloaded owner of stage pools, without servers."""

from typing import Any

import anyio
import attrs
from behave import given, then, when

from cowsliphitch.core.engines.selector import CostWeights
from cowsliphitch.core.fleet.members import Member, MemberTable
from cowsliphitch.core.overload.loop_delay import TICK_INTERVAL_MS
from cowsliphitch.gateway.engine_quarantine import EngineQuarantine
from cowsliphitch.gateway.stage_executor import StageExecutor
from cowsliphitch.gateway.stage_runner import NO_GENERATION
from cowsliphitch.gateway.state import GatewayState
from cowsliphitch.peers.fleet.models import RunStagesRequest

REQUEST = RunStagesRequest(
    request_id="r1",
    stages=(),
    piece_counts=(),
    piece_key="",
    remaining_ms=5_000,
    objective_remaining_ms=1_000,
    priority=1,
    team="red",
    generation=NO_GENERATION,
    engine_service="engine",
)


@attrs.define
class FixedClock:
    """Clock that a test sets."""

    time_ms: int = 10_000

    def now_ms(self) -> int:
        return self.time_ms


@given("an owner whose last tick was {ms:d} ms late")
def owner_with_late_tick(context: Any, ms: int) -> None:
    clock: Any = FixedClock()
    own = Member("127.0.0.1:1", "owner", "domain", 1)
    state = GatewayState(clock, 1, MemberTable(own, clock.now_ms()))
    state.loop_delay.record_tick(clock.now_ms())
    clock.time_ms += TICK_INTERVAL_MS + ms
    assert state.loop_delay.record_tick(clock.now_ms()) == ms
    context.clock = clock
    unused: Any = None
    quarantine = EngineQuarantine(state, unused)
    context.executor = StageExecutor(
        state, unused, unused, CostWeights(), unused, quarantine
    )


@when("it gets a {kind} {ms:d} ms after the tick")
def gets_request(context: Any, kind: str, ms: int) -> None:
    context.clock.time_ms += ms
    excluded = ("e1",) if kind == "retry" else ()
    request = attrs.evolve(REQUEST, excluded_engines=excluded)
    context.reply = anyio.run(context.executor.run_stages, request)


@then("the request is refused as not run at once")
def refused_at_once(context: Any) -> None:
    refusal = context.reply.refusal
    assert refusal.reason.value == "queue-full", refusal
    assert refusal.verdict.value == "not-run", refusal
    assert refusal.retry_after_ms, refusal


@then("the request is not refused for the overload")
def not_refused(context: Any) -> None:
    # No server is known, so it is refused for that reason.
    assert context.reply.refusal.reason.value == "no-upstream", context.reply
