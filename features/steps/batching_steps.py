"""Steps of stage batching: replayed loads and single cases against the planner."""

from typing import Any

from behave import given, then, when

from cowsliphitch.core.batching.models import (
    PieceDone,
    PieceFailed,
    PieceFailure,
    PieceOutcome,
)
from cowsliphitch.core.batching.pipeline import StagePlanner
from cowsliphitch.core.batching.requests import (
    Admission,
    FreeResults,
    StageRequest,
    StagesDone,
    StagesFailed,
)
from cowsliphitch.core.deployment.models import StagePool, StageSpec
from cowsliphitch.core.servers.models import Server, ServerState
from cowsliphitch.standins.emulator.loads import (
    four_server_pools,
    three_server_pools,
    with_bursts,
    with_faults,
)
from cowsliphitch.standins.emulator.stages import Burst, ServerFault, StageEmulator

WORST_BURSTS = (
    Burst("", 1.7, 25_000, 29_000),
    Burst("diagnosis", 2.5, 4_000, 10_000),
    Burst("draft", 2.5, 4_000, 10_000),
    Burst("summary", 2.5, 14_000, 20_000),
    Burst("verse", 2.5, 14_000, 20_000),
)
LOADS = {
    "three, calm": three_server_pools(),
    "three, diagnosis burst": with_bursts(
        three_server_pools(), Burst("diagnosis", 2.4, 6_000, 12_000)
    ),
    "three, one server unresponsive": with_faults(
        three_server_pools(), ServerFault("encode-0", 0, 6_000, 12_000)
    ),
    "three, worst": with_faults(
        with_bursts(three_server_pools(), *WORST_BURSTS),
        ServerFault("encode-0", 0, 12_000, 18_000),
    ),
    "four, calm": four_server_pools(),
    "four, draft burst": with_bursts(
        four_server_pools(), Burst("draft", 2.4, 6_000, 12_000)
    ),
    "four, worst": with_faults(
        with_bursts(four_server_pools(), *WORST_BURSTS),
        ServerFault("retrieve-0", 0, 12_000, 18_000),
    ),
}
POOL = StagePool(
    slots=1,
    queue=2,
    batch=4,
    call_ms=150.0,
    piece_ms=10.0,
    result_memory_bytes=1_000,
    result_ttl_ms=4_000,
)
ROUNDS = 60


class CheckedEmulator(StageEmulator):
    """Emulator that checks the batch size and memory of each call at its start."""

    def _start_calls(self, now_ms: int) -> None:
        before = {
            service: set(queue.calls) for service, queue in self.planner.queues.items()
        }
        super()._start_calls(now_ms)
        for service, queue in self.planner.queues.items():
            pool = self._scenario.pools[service]
            for number in set(queue.calls) - before[service]:
                call = queue.calls[number]
                assert len(call.pieces) <= pool.batch, call
                assert queue.memory.free_bytes(call.server.id) >= 0, call


@when('the load "{load}" is replayed with seeds {first:d} to {last:d}')
def replay(context: Any, load: str, first: int, last: int) -> None:
    context.reports = [
        CheckedEmulator(LOADS[load], seed).run() for seed in range(first, last + 1)
    ]


@then("the mean credit is at least {credit:g}")
def check_mean_credit(context: Any, credit: float) -> None:
    shares = [report.credit_share for report in context.reports]
    assert sum(shares) / len(shares) >= credit, shares


@then("at most {max_failed:d} requests in 100 fail after their admission")
def few_failed(context: Any, max_failed: int) -> None:
    outcomes = [o for report in context.reports for o in report.outcomes.values()]
    sent, failed = sum(o.sent for o in outcomes), sum(o.failed for o in outcomes)
    assert failed * 100 <= max_failed * sent, (failed, sent)


@then("every call stayed within its batch size and the memory of its server")
def within_limits(context: Any) -> None:
    assert all(report.calls > 100 for report in context.reports)


class PlannerBench:
    """A planner in simulated time, with servers whose answers the steps choose."""

    def __init__(self, servers: int = 1, services: tuple[str, ...] = ("s",)) -> None:
        self.now_ms = 0
        self.servers = {
            service: tuple(
                Server(
                    f"{service}{n}",
                    service,
                    f"{service}{n}:1",
                    "domain",
                    ServerState.READY,
                    1,
                )
                for n in range(servers)
            )
            for service in services
        }
        self.planner = StagePlanner(self.servers.__getitem__)
        self.planner.set_pools(dict.fromkeys(services, POOL))
        self.commands: list[Any] = []
        self.calls: list[Any] = []
        self.result_count = 0

    def admit(self, stages: tuple[StageSpec, ...], pieces: tuple[int, ...]) -> int:
        request = StageRequest(
            "request", stages, pieces, "key", 8_000, 4_000, 50, 1, "team", "domain"
        )
        admission = self.planner.admit(request, self.now_ms)
        assert isinstance(admission, Admission), admission
        return admission.execution_id

    def run_rounds(self, answer: Any, rounds: int = ROUNDS) -> None:
        """Run planning rounds: answer each call after 150 ms, then tick."""
        for _ in range(rounds):
            for call in self.planner.plan_calls(self.now_ms):
                self.calls.append(call)
                outcomes = tuple(answer(piece) for piece in call.pieces)
                self.now_ms += 150
                self.commands += self.planner.complete_call(call, outcomes, self.now_ms)
            self.now_ms += 100
            self.commands += self.planner.tick(self.now_ms)

    def make_result(self, _piece: Any = None) -> PieceOutcome:
        self.result_count += 1
        return PieceDone(f"s0:1/{self.result_count}")

    def terminal_commands(self) -> list[Any]:
        return [c for c in self.commands if isinstance(c, StagesDone | StagesFailed)]

    def freed_handles(self) -> list[str]:
        groups = [c.handles for c in self.commands if isinstance(c, FreeResults)]
        return [handle for handles in groups for handle in handles]


SINGLE_STAGE = (StageSpec("s", (), 100),)


@given("a pool of one server that refuses pieces for lack of memory {count:d} times")
def refuses_for_memory(context: Any, count: int) -> None:
    context.bench = PlannerBench()
    context.remaining_refusals = count

    def answer(piece: Any) -> PieceOutcome:
        if context.remaining_refusals > 0:
            context.remaining_refusals -= 1
            return PieceFailed(PieceFailure.OUT_OF_MEMORY)
        return context.bench.make_result()

    context.answer = answer


@given("a pool of two servers of which one refuses connections for {ms:d} ms")
def refuses_connections(context: Any, ms: int) -> None:
    context.bench = PlannerBench(servers=2)
    context.dead, context.dead_until_ms = (
        context.bench.servers["s"][0],
        ms,
    )
    context.call_count = 0


@given("the other one has just failed a call")
def other_failed(context: Any) -> None:
    bench = context.bench
    bench.admit(SINGLE_STAGE, (8,))
    for call in bench.planner.plan_calls(bench.now_ms):
        may_have_run = call.server != context.dead
        bench.commands += bench.planner.fail_call(call, bench.now_ms, may_have_run)


@then("the job succeeds with at most {count:d} calls to the unreachable server")
def few_calls_to_unreachable(context: Any, count: int) -> None:
    bench = context.bench
    while bench.now_ms < 6_000 and bench.planner.active_requests:
        for call in bench.planner.plan_calls(bench.now_ms):
            if call.server == context.dead and bench.now_ms < context.dead_until_ms:
                context.call_count += 1
                bench.commands += bench.planner.fail_call(
                    call, bench.now_ms, may_have_run=False
                )
            else:
                bench.now_ms += 150
                outcomes = tuple(bench.make_result() for _ in call.pieces)
                bench.commands += bench.planner.complete_call(
                    call, outcomes, bench.now_ms
                )
        bench.now_ms += 10
    assert all(isinstance(c, StagesDone) for c in bench.terminal_commands()), (
        bench.commands
    )
    assert len(bench.terminal_commands()) == 2, bench.commands
    assert context.call_count <= count, context.call_count


@given("a pool of one server that always fails the second piece")
def fails_second(context: Any) -> None:
    context.bench = PlannerBench()
    context.answer = lambda piece: (
        PieceFailed(PieceFailure.ERROR) if piece.number else context.bench.make_result()
    )


@when("a job of {pieces:d} pieces runs there")
def run_job(context: Any, pieces: int) -> None:
    context.bench.admit(SINGLE_STAGE, (pieces,))
    if "dead" not in context:
        context.bench.run_rounds(context.answer)


@then("the job succeeds")
def job_succeeded(context: Any) -> None:
    ended = context.bench.terminal_commands()
    assert len(ended) == 1 and isinstance(ended[0], StagesDone), ended
    assert context.remaining_refusals == 0


@then("the job has failed and the result of its first piece is freed")
def job_failed(context: Any) -> None:
    ended = context.bench.terminal_commands()
    assert len(ended) == 1 and isinstance(ended[0], StagesFailed), ended
    assert context.bench.freed_handles() == ["s0:1/1"]


@given("3 requests for a pool of two servers, of which the first may crash servers")
def may_crash_servers(context: Any) -> None:
    context.bench = bench = PlannerBench(servers=2)
    bench.planner = StagePlanner(
        bench.servers.__getitem__, runs_apart=lambda digest: digest == "d0"
    )
    bench.planner.set_pools({"s": POOL})


@when("calls are planned for them and for a copy of the first")
def plan_for_suspects(context: Any) -> None:
    planner = context.bench.planner
    for name, digest in (("r0", "d0"), ("r1", "d1"), ("copy", "d0"), ("r2", "d2")):
        request = StageRequest(
            name,
            SINGLE_STAGE,
            (1,),
            name,
            8_000,
            4_000,
            50,
            1,
            "team",
            "domain",
            digest,
        )
        assert isinstance(planner.admit(request, 0), Admission)
    context.planned = planner.plan_calls(0)


@then("the first has a call of its own, its copy waits, and the others share one")
def suspects_are_apart(context: Any) -> None:
    groups = [{p.job.request_id for p in call.pieces} for call in context.planned]
    assert groups == [{"r0"}, {"r1", "r2"}], groups


@given("a request that skips its second stage, whose pool is not in force")
def skips_unknown_pool(context: Any) -> None:
    context.bench = bench = PlannerBench()
    stages = (StageSpec("s", (), 100), StageSpec("later", (0,), 100))
    bench.admit(stages, (1, 0))
    context.answer = bench.make_result


@then("all its stages are done once, and the planner plans further calls")
def done_and_goes_on(context: Any) -> None:
    (ended,) = context.bench.terminal_commands()
    assert isinstance(ended, StagesDone), ended
    context.bench.admit(SINGLE_STAGE, (1,))
    assert context.bench.planner.plan_calls(context.bench.now_ms)


@given("a request with two parallel stages that both miss their deadline")
def both_miss_deadline(context: Any) -> None:
    context.bench = PlannerBench(services=("s", "t"))
    stages = (StageSpec("s", (), 100), StageSpec("t", (), 100))
    context.bench.admit(stages, (1, 1))
    for queue in context.bench.planner.queues.values():
        assert queue.waiting_pieces == 1


@when("the planner expires its late jobs")
def expire_jobs(context: Any) -> None:
    context.bench.commands += context.bench.planner.tick(7_950)


@then("the request has failed once and no work remains")
def failed_once(context: Any) -> None:
    assert len(context.bench.terminal_commands()) == 1, context.bench.commands
    planner = context.bench.planner
    assert planner.active_requests == 0
    assert all(queue.waiting_pieces == 0 for queue in planner.queues.values())


@given("a request whose first results are lost before its second stage reads them")
def lost_results(context: Any) -> None:
    context.bench = PlannerBench(services=("s", "t"))
    context.was_lost = False
    context.bench.admit((StageSpec("s", (), 100), StageSpec("t", (0,), 100)), (1, 1))

    def answer(piece: Any) -> PieceOutcome:
        if piece.job.stage == 1 and not context.was_lost:
            context.was_lost = True
            return PieceFailed(PieceFailure.INPUT_MISSING)
        return context.bench.make_result()

    context.answer = answer


@when("its stages continue")
def continue_stages(context: Any) -> None:
    context.bench.run_rounds(context.answer)


@then("all its stages are done")
def all_stages_done(context: Any) -> None:
    ended = context.bench.terminal_commands()
    assert context.was_lost and len(ended) == 1, ended
    assert isinstance(ended[0], StagesDone)
    stages = [call.pieces[0].job.stage for call in context.bench.calls]
    assert stages == [0, 1, 0, 1], stages


@given("a pool of two servers of which one hangs")
def one_hangs(context: Any) -> None:
    context.bench = PlannerBench(servers=2)


@when("a job of {pieces:d} pieces waits for {ms:d} ms")
def wait_for_hedge(context: Any, pieces: int, ms: int) -> None:
    bench = context.bench
    bench.admit(SINGLE_STAGE, (pieces,))
    (context.hanging,) = bench.planner.plan_calls(0)
    bench.now_ms = ms
    bench.run_rounds(bench.make_result, rounds=2)


@then("the other server has completed its pieces")
def hedge_completed(context: Any) -> None:
    bench = context.bench
    assert isinstance(bench.terminal_commands()[0], StagesDone)
    assert {c.server.id for c in bench.calls} != {context.hanging.server.id}
    duplicates = tuple(bench.make_result() for _ in context.hanging.pieces)
    commands = bench.planner.complete_call(context.hanging, duplicates, bench.now_ms)
    freed = [c for c in commands if isinstance(c, FreeResults)]
    assert sum(len(c.handles) for c in freed) == len(duplicates), commands


@given("a request that is cancelled between its stages")
def cancel_request(context: Any) -> None:
    bench = context.bench = PlannerBench(services=("s", "t"))
    execution_id = bench.admit(
        (StageSpec("s", (), 100), StageSpec("t", (0,), 100)), (2, 1)
    )
    bench.run_rounds(bench.make_result, rounds=1)
    bench.commands += bench.planner.cancel(execution_id)


@then("its results are freed and no job is queued")
def nothing_queued(context: Any) -> None:
    assert sorted(context.bench.freed_handles()) == ["s0:1/1", "s0:1/2"]
    assert context.bench.planner.active_requests == 0
    assert not context.bench.planner.plan_calls(context.bench.now_ms)


@given("a request with a short branch of large results and a long branch")
def branches(context: Any) -> None:
    bench = context.bench = PlannerBench(services=("s", "t", "u", "v"))
    stages = (
        StageSpec("s", (), 900),
        StageSpec("t", (), 10),
        StageSpec("u", (1,), 10),
        StageSpec("v", (2,), 10),
    )
    bench.admit(stages, (1, 1, 4, 4))
    bench.run_rounds(bench.make_result)


@then("the short branch starts after the long one")
def short_branch_later(context: Any) -> None:
    stages = [call.pieces[0].job.stage for call in context.bench.calls]
    assert sorted(stages) == [0, 1, 2, 3]
    assert stages[0] == 1 and stages.index(0) > stages.index(1), stages
    assert isinstance(context.bench.terminal_commands()[0], StagesDone)


@given("a pool of two servers whose calls take {factor:f} times the expected duration")
def pool_speed(context: Any, factor: float) -> None:
    bench = context.bench = PlannerBench(servers=2, services=("s", "t"))
    for _ in range(3):
        bench.admit((StageSpec("t", (), 1),), (5,))
        calls = bench.planner.plan_calls(bench.now_ms)
        assert len({call.server.id for call in calls}) == 2
        started_ms = bench.now_ms
        for call in sorted(calls, key=lambda call: call.due_ms):
            bench.now_ms = started_ms + round(factor * (call.due_ms - call.started_ms))
            outcomes = tuple(bench.make_result() for _ in call.pieces)
            bench.planner.complete_call(call, outcomes, bench.now_ms)


@given("a request whose second stage was called {ms:d} ms ago")
def call_second_stage(context: Any, ms: int) -> None:
    if "bench" not in context:
        context.bench = PlannerBench(servers=2, services=("s", "t"))
    bench = context.bench
    bench.admit((StageSpec("s", (), 100), StageSpec("t", (0,), 100)), (1, 2))
    bench.run_rounds(bench.make_result, rounds=1)
    context.calls = bench.planner.plan_calls(bench.now_ms)
    assert [piece.job.stage for call in context.calls for piece in call.pieces] == [
        1,
        1,
    ]
    context.first_stage_handles = [
        h for call in context.calls for h in call.pieces[0].job.inputs
    ]
    bench.now_ms += ms


@when("the planner ticks")
def ticks(context: Any) -> None:
    bench = context.bench
    bench.commands += bench.planner.tick(bench.now_ms)


@when("{ms:d} ms later the planner ticks")
def ticks_later(context: Any, ms: int) -> None:
    context.bench.now_ms += ms
    ticks(context)


@then("no result is freed")
def nothing_freed(context: Any) -> None:
    assert not context.bench.freed_handles()


@then("the results of the first stage are freed once")
def first_stage_freed(context: Any) -> None:
    ticks(context)
    assert context.bench.freed_handles() == [context.first_stage_handles[0]], (
        context.bench.freed_handles()
    )


@when("the second stage completes")
def complete_second_stage(context: Any) -> None:
    bench = context.bench
    for call in context.calls:
        outcomes = tuple(bench.make_result() for _ in call.pieces)
        bench.commands += bench.planner.complete_call(call, outcomes, bench.now_ms)


@then("all stages are done and the results of the first stage were freed once")
def done_and_freed(context: Any) -> None:
    assert isinstance(context.bench.terminal_commands()[0], StagesDone)
    assert context.bench.freed_handles() == [context.first_stage_handles[0]], (
        context.bench.freed_handles()
    )


@when("the call of the second stage gets no answer")
def no_answer(context: Any) -> None:
    bench = context.bench
    for call in context.calls:
        bench.commands += bench.planner.fail_call(call, bench.now_ms, may_have_run=True)


@then("the request restarts from its first stage")
def request_restarts(context: Any) -> None:
    bench = context.bench
    bench.now_ms += 2_000
    bench.run_rounds(bench.make_result)
    assert isinstance(bench.terminal_commands()[0], StagesDone), bench.commands
    assert [call.pieces[0].job.stage for call in bench.calls][:2] == [0, 0]


@when("the call of the second stage is overdue by {ms:d} ms")
def make_overdue(context: Any, ms: int) -> None:
    context.bench.now_ms += ms


@then("no piece of the second stage is queued")
def none_queued(context: Any) -> None:
    bench = context.bench
    assert not bench.planner.plan_calls(bench.now_ms)
    assert bench.planner.queues["t"].waiting_pieces == 0
