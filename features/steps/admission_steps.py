"""Steps of admission by priority and of stage results under memory pressure."""

from typing import Any
from unittest import mock

import anyio
import attrs
from behave import given, then, when

from cowsliphitch.core.batching import retention
from cowsliphitch.core.batching.models import Call, PieceDone
from cowsliphitch.core.batching.pipeline import StagePlanner
from cowsliphitch.core.batching.requests import Admission, Execution, StageRequest
from cowsliphitch.core.batching.state import JobProgress
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
from cowsliphitch.standins.emulator.loads import shared_engines, with_bursts
from cowsliphitch.standins.emulator.stages import Burst, Report, StageEmulator

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


def next_calls(context: Any) -> list[Call]:
    outcomes = tuple(PieceDone("s0:1/0") for _ in context.running.pieces)
    context.planner.complete_call(context.running, outcomes, 170)
    return context.planner.plan_calls(170)  # type: ignore[no-any-return]


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
        self.scopes: list[anyio.CancelScope] = []
        self.reports: list[Any] = []

    def schedule(self, delay_ms: int, scope: Any, _callback: Any) -> None:
        self.delays_ms.append(delay_ms)
        self.scopes.append(scope)

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


@when(
    "the first engine refuses the request, and the owner chooses another one {ms:d} ms "
    "later"
)
def next_engine(context: Any, ms: int) -> None:
    async def send_twice() -> None:
        context.reporter.start_release_timer()
        context.clock.advance(ms)
        chosen = StagesCompleted((), "e2", None, 0)
        context.reporter.set_assignment(StageRunResult("owner", chosen))
        context.reporter.start_release_timer()

    anyio.run(send_twice)


@then("the results are kept for {ms:d} ms more, and not released for the first engine")
def kept_for_next(context: Any, ms: int) -> None:
    assert context.runner.delays_ms[1:] == [ms], context.runner.delays_ms
    cancelled = [scope.cancel_called for scope in context.runner.scopes]
    assert cancelled == [True, False], cancelled


def replay(burst: Burst | None, with_rule: bool) -> list[Report]:
    scenario = shared_engines(20_000)
    if burst is not None:
        scenario = with_bursts(scenario, burst)
    emulators = [StageEmulator(scenario, seed) for seed in range(2)]
    for emulator in emulators:
        emulator.planner.refuses_late = with_rule
    return [emulator.run() for emulator in emulators]


def total(reports: list[Report], name: str, kind: str = "") -> int:
    return sum(
        getattr(outcome, name)
        for report in reports
        for outcome_kind, outcome in report.outcomes.items()
        if kind in ("", outcome_kind)
    )


@when(
    'a burst of {factor:g} times the usual rate of "{kind}" is replayed with and '
    "without the rule"
)
def replay_burst(context: Any, factor: float, kind: str) -> None:
    burst = Burst(kind, factor, 4_000, 16_000)
    context.with_rule, context.without = replay(burst, True), replay(burst, False)


@when("no burst is replayed with and without the rule")
def replay_no_burst(context: Any) -> None:
    context.with_rule, context.without = replay(None, True), replay(None, False)


@then(
    "no fewer requests are in time with the rule, and none of the most urgent class is "
    "lost"
)
def more_in_time(context: Any) -> None:
    reports = context.with_rule
    on_time = total(reports, "on_time"), total(context.without, "on_time")
    print("in time with and without the rule:", on_time)
    assert on_time[0] >= on_time[1], on_time
    assert total(reports, "refused", "consult") == 0
    assert total(reports, "failed", "consult") == 0


@then("no class is served less than a quarter as often as all together")
def none_starved(context: Any) -> None:
    reports = context.with_rule
    ratio = total(reports, "served") / total(reports, "sent")
    for kind in reports[0].outcomes:
        served = total(reports, "served", kind) / total(reports, "sent", kind)
        assert served >= ratio / 4, (kind, served, ratio)


@then("both replays have the same outcomes")
def same_outcomes(context: Any) -> None:
    for report, other in zip(context.with_rule, context.without, strict=True):
        assert report.outcomes == other.outcomes


@given("requests of priority {rank:d} that still meet their objective")
def on_time_class(context: Any, rank: int) -> None:
    assert isinstance(admit(context, priority=rank), Admission)


@when("a late request of priority {rank:d} comes")
def late_comes(context: Any, rank: int) -> None:
    admit(context, priority=rank, objective_ms=300)


@then("it is admitted as best effort")
def admitted_best_effort(context: Any) -> None:
    assert isinstance(context.admitted, Admission), context.admitted
    assert context.admitted.best_effort


@when("{count:d} late requests of priority {rank:d} and as many of priority 0 come")
def many_late_come(context: Any, count: int, rank: int) -> None:
    context.shares = []
    for number in range(count):
        admit(context, request_id=f"more-{number}", priority=0)
        admitted = admit(
            context, request_id="reserved", priority=rank, objective_ms=300
        )
        context.shares.append(admitted)


@then("priority 2 is admitted a quarter as often as all together, and ahead of 0")
def minimum_share(context: Any) -> None:
    admitted = [a for a in context.shares if isinstance(a, Admission)]
    count, ratio = len(admitted), len(admitted) / len(context.shares)
    assert ratio >= (count + len(context.shares)) / 2 / len(context.shares) / 4, count
    assert count < len(context.shares) / 2, count
    assert all(a.is_reserved and not a.best_effort for a in admitted), admitted
    names = [p.job.request_id for p in next(iter(next_calls(context))).pieces]
    assert "reserved" in names, names


@when(
    "late requests of priority 2 come every 4 s while those of priority 0 are admitted"
)
def few_late_come(context: Any) -> None:
    context.shares = []
    for now_ms in range(0, 48_000, 4_000):
        for number in range(6):
            name, times = f"{now_ms}-{number}", {"deadline_ms": 10**7}
            urgent = {"objective_ms": 10**7, **times}
            admit(context, now_ms, request_id=name, priority=0, **urgent)
            assert isinstance(context.admitted, Admission), context.admitted
        late = admit(context, now_ms, objective_ms=now_ms + 60, **times)
        context.shares.append(isinstance(late, Admission))


@then("every fourth request of priority 2 is admitted")
def every_fourth(context: Any) -> None:
    assert context.shares == [False, False, False, True] * 3, context.shares


@when(
    "a request without stages comes whose engine waits {wait:d} ms of {objective:d} ms"
)
def without_stages(context: Any, wait: int, objective: int) -> None:
    request = attrs.evolve(
        REQUEST,
        stages=(),
        piece_counts=(),
        engine_ms=wait + 100,
        engine_wait_ms=wait,
        objective_ms=objective,
    )
    context.refusal = context.planner.check_engine_only(request, 0)


@then("the request without stages is {outcome:w}")
def stageless_outcome(context: Any, outcome: str) -> None:
    assert (context.refusal is not None) == (outcome == "refused"), context.refusal


@given("a request whose engines begin in {ms:d} ms")
def engines_busy(context: Any, ms: int) -> None:
    context.planner = make_planner()
    context.planner.set_engine_wait("", ms)
    admit(context)


@given(
    "a request whose engines begin in {ms:d} ms and whose results are deleted after "
    "{ttl:d} ms"
)
def short_results(context: Any, ms: int, ttl: int) -> None:
    context.planner = make_planner(attrs.evolve(POOL, result_ttl_ms=ttl))
    context.planner.set_engine_wait("", ms)
    admit(context)


@when("its engines begin in {ms:d} ms")
def engines_free(context: Any, ms: int) -> None:
    context.planner.set_engine_wait("", ms)


@then("its stage is not called")
def not_called(context: Any) -> None:
    assert not context.planner.plan_calls(0)


@then("its stage is called")
def is_called(context: Any) -> None:
    assert context.planner.plan_calls(0)


@given("a server with memory for 6 results, and a started job that needs 4 of them")
def started_job(context: Any) -> None:
    context.planner = make_planner(attrs.evolve(POOL, result_memory_bytes=600))
    admit(context, request_id="started", piece_counts=(4,))
    (call,) = context.planner.plan_calls(0)
    outcomes = tuple(PieceDone(f"s0:1/{piece.number}") for piece in call.pieces)
    context.planner.complete_call(call, outcomes, 170)


@when("a late job and a job on time of 3 pieces are queued")
def queue_both(context: Any) -> None:
    # The remaining pieces of the started job are in a call.
    (context.call,) = context.planner.plan_calls(170)
    admit(context, 170, request_id="late", piece_counts=(3,), objective_ms=200)
    assert isinstance(context.admitted, Admission) and context.admitted.best_effort
    context.planner.complete_call(
        context.call, (PieceDone("s0:1/2"), PieceDone("s0:1/3")), 340
    )
    context.first = context.planner.plan_calls(340)
    admit(context, 340, request_id="on time", piece_counts=(3,))


@then("only the job on time is started")
def only_on_time(context: Any) -> None:
    (call,) = context.first or context.planner.plan_calls(340)
    assert {p.job.request_id for p in call.pieces} == {"on time"}, call


@when("{count:d} late jobs of 3 pieces are queued")
def queue_late(context: Any, count: int) -> None:
    context.count = count
    for number in range(count):
        changes = {"objective_ms": 180, "deadline_ms": 10_000_000}
        admit(context, 170, request_id=f"late-{number}", piece_counts=(3,), **changes)
        assert isinstance(context.admitted, Admission), context.admitted


@then("a plan looks at most {times:d} times at each job")
def plan_cost(context: Any, times: int) -> None:
    is_started = JobProgress.is_started.fget  # type: ignore[attr-defined]
    with mock.patch.object(
        JobProgress, "is_started", property(counted := mock.Mock(wraps=is_started))
    ):
        context.planner.plan_calls(170)
    assert counted.call_count <= times * context.count, counted.call_count


FOUR_STAGES = {
    "stages": tuple(StageSpec("s", (n - 1,) if n else (), 1) for n in range(4)),
    "piece_counts": (1, 1, 1, 1),
}


@given("{count:d} admitted requests of four stages, with the priorities {ranks}")
def four_stages(context: Any, count: int, ranks: str) -> None:
    context.planner = make_planner()
    priorities = [int(rank) for rank in ranks.split(",")]
    for number in range(count):
        rank = priorities[number % len(priorities)]
        times = {"deadline_ms": 10_000_000, "objective_ms": 9_000_000}
        admit(context, request_id=f"r{number}", priority=rank, **times, **FOUR_STAGES)
        assert isinstance(context.admitted, Admission), context.admitted


@when("a late request of four stages and priority {rank:d} comes")
def late_four_stages(context: Any, rank: int) -> None:
    with mock.patch.object(
        Execution, "is_pending", autospec=True, side_effect=Execution.is_pending
    ) as context.counted:
        admit(context, priority=rank, **FOUR_STAGES)


@then("it looked once at each stage of each admitted request")
def looked_once(context: Any) -> None:
    # The request that comes may be admitted, and looks at its own stages then.
    assert context.counted.call_count <= 300 * 4 + 4, context.counted.call_count
