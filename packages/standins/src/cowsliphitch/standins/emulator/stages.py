"""Discrete-event emulator of stage servers that replays a load against the planner.

Time is simulated, in ms; nothing sleeps.  A server's calls take the duration that its
pool configures, times its own slowdown.  A server may stop answering for a while.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from typing import Final

import attrs

from cowsliphitch.core.batching.models import Call, Piece, PieceDone
from cowsliphitch.core.batching.pipeline import StagePlanner
from cowsliphitch.core.batching.requests import (
    Command,
    FreeResults,
    StageRequest,
    StagesDone,
    StagesFailed,
)
from cowsliphitch.core.deployment.models import StagePool, StageSpec
from cowsliphitch.core.servers.models import Server, ServerState
from cowsliphitch.core.verdict import Refusal

TICK_MS: Final = 100
CALL_TIMEOUT_MS: Final = 2_000
RESULT_FETCH_MS: Final = 100
LEAST_URGENT: Final = 1_000


@attrs.frozen
class RequestKind:
    """Requests with the same stages and time limits.

    :param rate_per_s: mean arrivals per second outside bursts
    :param draw_pieces: draws the number of pieces of each stage
    :param timeout_ms: time until a caller gives up waiting for the first token
    :param engine_ms: time from the last stage result to the first token
    :param credit: credit of an answer within the objective
    :param late_credit: credit of a later answer
    :param priority: 0 is the most urgent
    """

    name: str
    stages: tuple[StageSpec, ...]
    rate_per_s: float
    draw_pieces: Callable[[random.Random], tuple[int, ...]]
    objective_ms: int
    timeout_ms: int
    engine_ms: int
    credit: float
    late_credit: float
    priority: int = 1


@attrs.frozen
class Burst:
    """A period of a higher arrival rate.

    :param kind: name of the request kind; empty for all kinds
    """

    kind: str
    rate_factor: float
    start_ms: int
    end_ms: int


@attrs.frozen
class ServerFault:
    """A period in which a server is slow or does not answer.

    :param slowdown: factor on the duration of its calls, 0 if it does not answer
    """

    server: str
    slowdown: float
    start_ms: int
    end_ms: int


@attrs.frozen
class Scenario:
    """A load on a set of pools.

    :param server_counts: number of servers by pool
    :param domain_count: failure domains over which servers and engines are spread
    :param slowdown_range: bounds of the ratio of a server's actual to expected call
        duration
    :param engine_count: engines that each prefill one request at a time, the most
        urgent first, and then fetch its results; 0 if engines never queue requests
    """

    pools: dict[str, StagePool]
    server_counts: dict[str, int]
    kinds: tuple[RequestKind, ...]
    duration_ms: int
    bursts: tuple[Burst, ...] = ()
    faults: tuple[ServerFault, ...] = ()
    domain_count: int = 3
    slowdown_range: tuple[float, float] = (0.9, 1.25)
    engine_count: int = 0


@attrs.define
class KindOutcome:
    """Counters of the requests of one kind.

    :param sent: requests that arrived
    :param refused: requests that were refused at admission
    :param failed: requests that were admitted and refused later
    :param failed_after_ms: total time between admission and failure
    :param rerun: requests whose results were deleted before their engine fetched them
    """

    sent: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    failed_after_ms: int = 0
    rerun: int = 0

    @property
    def served(self) -> int:
        """Return the requests that were answered."""
        return self.on_time + self.late


@attrs.frozen
class _AtEngine:
    """A request whose stages are done and that waits for an engine.

    :param results: service and handles of each final stage
    :param done_ms: time at which its stages were done
    """

    kind: RequestKind
    request: StageRequest
    arrival_ms: int
    results: tuple[tuple[str, tuple[str, ...]], ...]
    done_ms: int


@attrs.define
class Report:
    """Measurements of a replay.

    :param outcomes: counters by request kind
    :param credit_share: earned credit as a share of the highest possible credit
    :param cross_domain_mb: result bytes that crossed failure domains; each piece reads
        all its inputs
    """

    outcomes: dict[str, KindOutcome]
    credit_share: float = 0.0
    cross_domain_mb: float = 0.0
    calls: int = 0
    pieces: int = 0


class StageEmulator:
    """Replay a scenario against a :class:`StagePlanner`."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        """Initialize servers of random speeds; a seed determines the whole replay."""
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._servers = {
            service: tuple(
                Server(
                    id=f"{service}-{n}",
                    service=service,
                    address=f"{service}-{n}:1",
                    failure_domain=f"domain-{n % scenario.domain_count}",
                    state=ServerState.READY,
                    slots=1,
                )
                for n in range(count)
            )
            for service, count in scenario.server_counts.items()
        }
        min_slowdown, max_slowdown = scenario.slowdown_range
        self._base_slowdowns = {
            server.id: self._rng.uniform(min_slowdown, max_slowdown)
            for servers in self._servers.values()
            for server in servers
        }
        self.planner = StagePlanner(self._servers.__getitem__)
        self.planner.set_pools(scenario.pools)
        self._events: list[tuple[int, int, Callable[[int], None]]] = []
        self._event_ids = itertools.count()
        self._ids = itertools.count()
        self._arrivals: dict[int, tuple[RequestKind, int]] = {}
        self._requests: dict[int, StageRequest] = {}
        self._engine_queue: list[tuple[int, int, _AtEngine]] = []
        self._busy_engines = 0
        self._engine_domains: dict[int, str] = {}
        self._stored_results: dict[str, tuple[str, int]] = {}
        self._possible_credit = 0.0
        self._earned_credit = 0.0
        self.report = Report({kind.name: KindOutcome() for kind in scenario.kinds})

    def run(self) -> Report:
        """Replay the scenario to its end and return the measurements."""
        for kind in self._scenario.kinds:
            self._schedule_arrivals(kind)
        for at_ms in range(0, self._scenario.duration_ms + 20_000, TICK_MS):
            self._schedule(at_ms, self._tick)
        while self._events:
            now_ms, _, handler = heapq.heappop(self._events)
            handler(now_ms)
        self.report.credit_share = self._earned_credit / max(
            1e-9, self._possible_credit
        )
        return self.report

    def _schedule_arrivals(self, kind: RequestKind) -> None:
        now_ms = 0.0
        while now_ms < self._scenario.duration_ms:
            rate_per_s = kind.rate_per_s * self._rate_factor(kind.name, now_ms)
            now_ms += self._rng.expovariate(rate_per_s) * 1_000
            pieces = kind.draw_pieces(self._rng)
            domain = f"domain-{self._rng.randrange(self._scenario.domain_count)}"
            self._schedule(round(now_ms), self._arrival_handler(kind, pieces, domain))

    def _rate_factor(self, kind: str, now_ms: float) -> float:
        factors = [
            burst.rate_factor
            for burst in self._scenario.bursts
            if burst.kind in (kind, "") and burst.start_ms <= now_ms < burst.end_ms
        ]
        return max(factors, default=1.0)

    def _arrival_handler(
        self, kind: RequestKind, pieces: tuple[int, ...], domain: str
    ) -> Callable[[int], None]:
        def arrive(now_ms: int) -> None:
            outcome = self.report.outcomes[kind.name]
            outcome.sent += 1
            self._possible_credit += kind.credit
            engine_wait_ms = self._engine_wait_ms(kind.priority)
            if not any(pieces) and not self._scenario.engine_count:
                self._record_first_token(kind, kind.engine_ms)
                return
            request = StageRequest(
                request_id=f"request-{next(self._ids)}",
                stages=kind.stages,
                piece_counts=pieces,
                piece_key="key",
                deadline_ms=now_ms + kind.timeout_ms,
                objective_ms=now_ms + kind.objective_ms,
                engine_ms=kind.engine_ms + engine_wait_ms,
                priority=kind.priority,
                team="team",
                engine_domain=domain,
                engine_wait_ms=engine_wait_ms,
            )
            if not any(pieces):
                if self.planner.check_engine_only(request, now_ms) is not None:
                    outcome.refused += 1
                    return
                self._queue_at_engine(_AtEngine(kind, request, now_ms, (), now_ms))
                return
            if not self._admit(kind, request, now_ms, now_ms):
                outcome.refused += 1

        return arrive

    def _admit(
        self, kind: RequestKind, request: StageRequest, arrival_ms: int, now_ms: int
    ) -> bool:
        """Return whether the planner admits a request, and start its calls then."""
        admission = self.planner.admit(request, now_ms)
        if isinstance(admission, Refusal):
            return False
        self._arrivals[admission.execution_id] = (kind, arrival_ms)
        self._requests[admission.execution_id] = request
        self._engine_domains[admission.execution_id] = request.engine_domain
        self._start_calls(now_ms)
        return True

    def _engine_wait_ms(self, priority: int) -> int:
        """Return the expected wait for an engine behind requests as urgent."""
        if not self._scenario.engine_count:
            return 0
        work_ms = sum(
            waiting.kind.engine_ms
            for rank, _, waiting in self._engine_queue
            if rank <= priority
        )
        return round(work_ms / self._scenario.engine_count)

    def _queue_at_engine(self, waiting: _AtEngine) -> None:
        rank = waiting.kind.priority
        heapq.heappush(self._engine_queue, (rank, next(self._ids), waiting))
        self._start_engines(waiting.done_ms)

    def _start_engines(self, now_ms: int) -> None:
        """Begin the most urgent waiting requests at the engines that are idle."""
        while self._engine_queue and self._busy_engines < self._scenario.engine_count:
            _, _, waiting = heapq.heappop(self._engine_queue)
            ttl_ms = min(
                (self._scenario.pools[s].result_ttl_ms for s, _ in waiting.results),
                default=now_ms,
            )
            if waiting.results and now_ms - waiting.done_ms >= ttl_ms:
                self._run_again(waiting, now_ms)
                continue
            self._busy_engines += 1
            for service, handles in waiting.results:
                free = self._free_handler(service, handles)
                self._schedule(now_ms + RESULT_FETCH_MS, free)
            end_ms = now_ms + waiting.kind.engine_ms
            self._schedule(end_ms, self._first_token_handler(waiting))

    def _run_again(self, waiting: _AtEngine, now_ms: int) -> None:
        """Run the stages of a request again, since its results were deleted."""
        outcome = self.report.outcomes[waiting.kind.name]
        outcome.rerun += 1
        request = attrs.evolve(waiting.request, is_rerun=True)
        if not self._admit(waiting.kind, request, waiting.arrival_ms, now_ms):
            outcome.failed += 1
            outcome.failed_after_ms += now_ms - waiting.arrival_ms

    def _first_token_handler(self, waiting: _AtEngine) -> Callable[[int], None]:
        def answer(now_ms: int) -> None:
            self._busy_engines -= 1
            self._record_first_token(waiting.kind, now_ms - waiting.arrival_ms)
            self._start_engines(now_ms)

        return answer

    def _start_calls(self, now_ms: int) -> None:
        for call in self.planner.plan_calls(now_ms):
            self.report.calls += 1
            self.report.pieces += len(call.pieces)
            slowdown = self._fault_slowdown(call.server.id, now_ms)
            if slowdown == 0:
                self._schedule(now_ms + CALL_TIMEOUT_MS, self._timeout_handler(call))
                continue
            pool = self._scenario.pools[call.server.service]
            expected_ms = pool.call_ms + pool.piece_ms * len(call.pieces)
            call_ms = expected_ms * slowdown * self._base_slowdowns[call.server.id]
            self._schedule(now_ms + round(call_ms), self._completion_handler(call))

    def _fault_slowdown(self, server: str, now_ms: int) -> float:
        slowdowns = (
            fault.slowdown
            for fault in self._scenario.faults
            if fault.server == server and fault.start_ms <= now_ms < fault.end_ms
        )
        return next(slowdowns, 1.0)

    def _completion_handler(self, call: Call) -> Callable[[int], None]:
        def complete(now_ms: int) -> None:
            outcomes = tuple(
                self._complete_piece(call.server, piece) for piece in call.pieces
            )
            self._apply_commands(
                self.planner.complete_call(call, outcomes, now_ms), now_ms
            )
            self._start_calls(now_ms)

        return complete

    def _complete_piece(self, server: Server, piece: Piece) -> PieceDone:
        for handle in piece.job.inputs:
            self._count_transfer(handle, server.failure_domain)
        handle = f"{server.address}/{next(self._ids)}"
        self._stored_results[handle] = (server.failure_domain, piece.job.result_bytes)
        return PieceDone(handle)

    def _count_transfer(self, handle: str, domain: str) -> None:
        stored_in, size_bytes = self._stored_results[handle]
        if stored_in != domain:
            self.report.cross_domain_mb += size_bytes / 1_000_000

    def _timeout_handler(self, call: Call) -> Callable[[int], None]:
        def time_out(now_ms: int) -> None:
            self._apply_commands(
                self.planner.fail_call(call, now_ms, may_have_run=True), now_ms
            )
            self._start_calls(now_ms)

        return time_out

    def _tick(self, now_ms: int) -> None:
        if self._scenario.engine_count:
            self.planner.set_engine_wait("", self._engine_wait_ms(LEAST_URGENT))
        self._apply_commands(self.planner.tick(now_ms), now_ms)
        self._start_calls(now_ms)

    def _apply_commands(self, commands: Sequence[Command], now_ms: int) -> None:
        for command in commands:
            match command:
                case StagesDone(execution_id, results):
                    kind, arrival_ms = self._arrivals.pop(execution_id)
                    request = self._requests.pop(execution_id)
                    if self._scenario.engine_count:
                        self._queue_at_engine(
                            _AtEngine(kind, request, arrival_ms, results, now_ms)
                        )
                        continue
                    first_token_ms = now_ms + kind.engine_ms
                    self._record_first_token(kind, first_token_ms - arrival_ms)
                    for service, handles in results:
                        for handle in handles:
                            self._count_transfer(
                                handle, self._engine_domains[execution_id]
                            )
                        self._schedule(
                            now_ms + RESULT_FETCH_MS,
                            self._free_handler(service, handles),
                        )
                case StagesFailed(execution_id):
                    kind, arrival_ms = self._arrivals.pop(execution_id)
                    del self._requests[execution_id]
                    outcome = self.report.outcomes[kind.name]
                    outcome.failed += 1
                    outcome.failed_after_ms += now_ms - arrival_ms
                case FreeResults(service, handles):
                    self.planner.record_freed(service, handles)

    def _free_handler(
        self, service: str, handles: tuple[str, ...]
    ) -> Callable[[int], None]:
        def free(now_ms: int) -> None:
            self.planner.record_freed(service, handles)
            self._start_calls(now_ms)

        return free

    def _record_first_token(self, kind: RequestKind, latency_ms: int) -> None:
        outcome = self.report.outcomes[kind.name]
        if self._scenario.engine_count and latency_ms > kind.timeout_ms:
            outcome.failed += 1
        elif latency_ms <= kind.objective_ms:
            outcome.on_time += 1
            self._earned_credit += kind.credit
        else:
            outcome.late += 1
            self._earned_credit += kind.late_credit

    def _schedule(self, at_ms: int, handler: Callable[[int], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._event_ids), handler))
