"""Steps of admission by priority and of stage results under memory pressure."""

from typing import Any

import anyio
import attrs
from behave import given, then, when

from cowsliphitch.core.batching import retention
from cowsliphitch.core.batching.models import PieceDone
from cowsliphitch.core.batching.pipeline import StagePlanner
from cowsliphitch.core.batching.requests import Admission, StageRequest
from cowsliphitch.core.clock import ManualClock
from cowsliphitch.core.deployment.models import StagePool, StageSpec
from cowsliphitch.core.requests.models import Generation
from cowsliphitch.core.servers.models import Server, ServerState
from cowsliphitch.core.verdict import Refusal, Verdict
from cowsliphitch.gateway.handler import EngineProgressReporter
from cowsliphitch.gateway.stage_runner import StageRunResult
from cowsliphitch.peers.fleet import convert
from cowsliphitch.peers.fleet.models import RunStagesRequest, StagesCompleted
from cowsliphitch.peers.wire import fleet_pb2 as pb

POOL = StagePool(1, 2, 2, 150.0, 10.0, 1_000, 4_000)
REQUEST = StageRequest(
    "new", (StageSpec("s", (), 100),), (1,), "key", 8_000, 4_000, 50, 2, "team", "d"
)


def make_planner(pool: StagePool = POOL) -> StagePlanner:
    server = Server("s0", "s", "s0:1", "d", ServerState.READY, slots=1)
    planner = StagePlanner(lambda _service: (server,))
    planner.set_pools({"s": pool})
    return planner


def admit(context: Any, now_ms: int = 0, **changes: Any) -> Admission | Refusal:
    request = attrs.evolve(REQUEST, **changes)
    context.admitted = context.planner.admit(request, now_ms)
    return context.admitted  # type: ignore[no-any-return]


@given(
    "a stage server that is busy, and {count:d} queued requests of priority {rank:d}"
)
def busy_server(context: Any, count: int, rank: int) -> None:
    context.planner = make_planner()
    admit(context, request_id="running")
    (context.running,) = context.planner.plan_calls(0)
    for number in range(count):
        admit(context, request_id=f"queued-{number}", priority=rank)


@when(
    "a request of priority {rank:d} whose results were lost comes "
    "{ms:d} ms before its objective"
)
def rerun_comes(context: Any, rank: int, ms: int) -> None:
    admit(context, request_id="rerun", priority=rank, objective_ms=ms, is_rerun=True)


@when(
    "a request of priority {rank:d} whose results were lost comes "
    "{ms:d} ms before its deadline"
)
def late_rerun_comes(context: Any, rank: int, ms: int) -> None:
    admit(context, priority=rank, deadline_ms=ms, objective_ms=-1, is_rerun=True)


@then("it is admitted, not as best effort, and is in the {which} call")
def runs_in_call(context: Any, which: str) -> None:
    assert isinstance(context.admitted, Admission), context.admitted
    assert not context.admitted.best_effort
    calls, now_ms, pending = [], 0, [context.running]
    while pending:
        now_ms += 170
        for call in pending:
            outcomes = tuple(PieceDone(f"s0:1/{p.job.id}") for p in call.pieces)
            context.planner.complete_call(call, outcomes, now_ms)
        pending = context.planner.plan_calls(now_ms)
        calls += [[p.job.request_id for p in call.pieces] for call in pending]
    position = 0 if which == "next" else -1
    assert "rerun" in calls[position], calls


@then("it is refused as not run, with a time to retry")
def refused_with_retry(context: Any) -> None:
    refusal = context.admitted
    assert isinstance(refusal, Refusal), refusal
    assert refusal.verdict is Verdict.NOT_RUN and refusal.retry_after_ms, refusal


@when("stages run again and their results are kept for {ms:d} ms")
def messages_of_rerun(context: Any, ms: int) -> None:
    context.request = RunStagesRequest(
        "r1", (), (), "", 1, 1, 1, "red", Generation("m", 1, 1, ()), "e", is_rerun=True
    )
    context.reply = StagesCompleted((("s", ("s0:1/1",)),), "e1", None, ms)


@then("both daemons receive the same messages, and an older one the usual ones")
def same_messages(context: Any) -> None:
    order = convert.request_to_wire(context.request)
    reply = convert.reply_to_wire(context.reply)
    assert convert.request_from_wire(order) == context.request
    assert convert.reply_from_wire(reply) == context.reply
    order.ClearField("again")
    reply.ClearField("keep_ms")
    assert not convert.request_from_wire(order).is_rerun
    received = convert.reply_from_wire(
        pb.StagesReply.FromString(reply.SerializeToString())
    )
    assert received == attrs.evolve(context.reply, retention_ms=0), received


@given(
    "a request of {tokens:d} tokens with its first token expected in {first:d} ms, "
    "{queue:d} ms of it queueing"
)
def queued_request(context: Any, tokens: int, first: int, queue: int) -> None:
    generation = Generation("m", tokens, 1, ())
    context.first_ms = first
    context.prefill_ms = retention.prefill_ms(generation, first, queue)


@when("its results expire in {expiry:d} ms, and {free:g} of the memory is free")
def results_expire(context: Any, expiry: int, free: float) -> None:
    context.kept_ms = retention.retention_ms(
        context.first_ms, context.prefill_ms, expiry, free
    )


@then("they are kept for {ms:d} ms")
def kept_for(context: Any, ms: int) -> None:
    assert context.kept_ms == ms, context.kept_ms


@given("a request whose result was made {ms:d} ms ago")
def made_result(context: Any, ms: int) -> None:
    context.planner, context.now_ms = make_planner(), ms
    admit(context)
    (call,) = context.planner.plan_calls(0)
    context.planner.complete_call(call, (PieceDone("s0:1/1"),), 0)


@when("further results take up {used:d} of the 1000 bytes")
def use_memory(context: Any, used: int) -> None:
    context.planner.queues["s"].memory.reserve(99, "s0", used)


@then("the owner keeps it for {ms:d} ms at an engine with a queue")
def owner_keeps(context: Any, ms: int) -> None:
    results = (("s", ("s0:1/1",)),)
    kept_ms = context.planner.retention_ms(results, 2_000, 300, context.now_ms)
    assert kept_ms == ms, kept_ms


class RecordingRunner:
    """Stand-in of the stage runner that records reports and timers."""

    def __init__(self) -> None:
        self.delays_ms: list[int] = []
        self.reports: list[Any] = []

    def schedule(self, delay_ms: int, _scope: Any, _callback: Any) -> None:
        self.delays_ms.append(delay_ms)

    def report_progress(self, _owner: str, report: Any) -> None:
        self.reports.append(report)


@given("results that the owner wants kept for {ms:d} ms")
def wants_results_kept(context: Any, ms: int) -> None:
    context.clock, context.runner = ManualClock(), RecordingRunner()
    completed = StagesCompleted((("s", ("s0:1/1",)),), "e1", None, ms)
    result = StageRunResult("owner", completed)
    context.reporter = EngineProgressReporter(
        context.runner, "r1", result, context.clock
    )


@when("the request is sent {ms:d} ms later")
def sent_later(context: Any, ms: int) -> None:
    async def send() -> None:
        context.clock.advance(ms)
        context.reporter.start_release_timer()
        assert not context.runner.reports
        context.reporter.report_began()

    anyio.run(send)


@then("they are released {ms:d} ms after that, and at once when the engine begins")
def released_after(context: Any, ms: int) -> None:
    assert context.runner.delays_ms == [ms], context.runner.delays_ms
    (report,) = context.runner.reports
    assert report.released_results, report
