"""Queue of one stage pool: batching, server selection, hedging and retries.

Load pattern: every server runs one call at a time, a call costs far more than a piece,
and no daemon alone sees enough requests to fill a call.  Therefore one owner queues the
pieces of all daemons.  It fills each call in order of urgency, accounts for the memory
that results occupy, and fails a job as soon as it can't meet its deadline.
"""

import itertools
import math
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence

import attrs

from cowsliphitch.core.clock import MS_PER_SECOND
from cowsliphitch.core.deployment.models import StagePool
from cowsliphitch.core.limits.models import NoRates, ServerRates
from cowsliphitch.core.servers.models import Server
from cowsliphitch.core.verdict import Reason, Refusal, not_run

from . import const
from .memory import ResultMemory
from .models import (
    Call,
    Job,
    JobDone,
    JobFailed,
    JobOutcome,
    Piece,
    PieceDone,
    PieceFailed,
    PieceFailure,
    PieceOutcome,
)
from .state import JobProgress, ServerHealth


@attrs.define
class Diagnostics:
    """Counters of a queue, for metrics.

    :param calls: calls that were started
    :param pieces: pieces in these calls, retries and hedges included
    :param out_of_memory: times that a lack of result memory held a piece back
    """

    calls: int = 0
    pieces: int = 0
    completed_pieces: int = 0
    failed_calls: int = 0
    out_of_memory: int = 0


class StageQueue:
    """Assign the pieces of queued jobs to calls on the servers of one stage pool.

    :param pool: capacity and timing of one server
    :param rates: limits of the servers, ``None`` without any
    :param runs_apart: returns whether requests with a digest are kept apart from
        others: the digest may have crashed servers
    """

    def __init__(
        self,
        pool: StagePool,
        rates: ServerRates | None = None,
        runs_apart: Callable[[str], bool] = lambda _digest: False,
    ) -> None:
        """Initialize an empty queue."""
        self._rates = rates or NoRates()
        self._runs_apart = runs_apart
        self._pool = pool
        self._jobs: dict[int, JobProgress] = {}
        self._calls: dict[int, Call] = {}
        self._hedged_call_ids: set[int] = set()
        self._health_by_server: dict[str, ServerHealth] = {}
        self._call_ids = itertools.count(1)
        self.memory = ResultMemory(pool.result_memory_bytes, pool.result_ttl_ms)
        self.diagnostics = Diagnostics()

    @property
    def waiting_pieces(self) -> int:
        """Return the number of pieces that are in no call."""
        return self.count_waiting_pieces(include_best_effort=True)

    @property
    def calls(self) -> Mapping[int, Call]:
        """Return the calls in flight by identifier."""
        return self._calls

    def set_pool(self, pool: StagePool) -> None:
        """Apply new capacity and timing of a server."""
        self._pool = pool
        self.memory.set_limits(pool.result_memory_bytes, pool.result_ttl_ms)

    def add(self, job: Job) -> None:
        """Queue all pieces of an admitted job."""
        self._jobs[job.id] = JobProgress(job, list(range(job.piece_count)))

    def count_waiting_pieces(self, include_best_effort: bool) -> int:
        """Return the number of pieces that are in no call.

        :param include_best_effort: whether to count best-effort jobs too
        """
        return sum(
            len(progress.waiting_pieces)
            for progress in self._jobs.values()
            if include_best_effort or not progress.job.best_effort
        )

    def waiting_by_priority(self) -> Counter[tuple[bool, int]]:
        """Return the pieces that are in no call, by best effort and priority."""
        counts: Counter[tuple[bool, int]] = Counter()
        for progress in self._jobs.values():
            if progress.waiting_pieces:
                key = progress.job.best_effort, progress.job.priority
                counts[key] += len(progress.waiting_pieces)
        return counts

    def waiting_bytes(self) -> int:
        """Return the size of the results of all pieces that are in no call."""
        return sum(
            len(progress.waiting_pieces) * progress.job.result_bytes
            for progress in self._jobs.values()
        )

    def memory_delay_ms(
        self, size_bytes: int, hold_ms: float, servers: tuple[Server, ...], now_ms: int
    ) -> float:
        """Return the expected delay until results fit into the servers' memory.

        :param size_bytes: size of these results and of all that come before them
        :param hold_ms: time for which a result is stored
        """
        capacity_bytes = self._pool.result_memory_bytes * len(servers)
        free_bytes = sum(max(0, self.memory.free_bytes(s.id)) for s in servers)
        if size_bytes <= free_bytes or capacity_bytes <= 0:
            return 0.0
        hold_ms = min(hold_ms, self._pool.result_ttl_ms)
        return (size_bytes - free_bytes) / capacity_bytes * hold_ms

    def queueing_delay_ms(
        self, pieces_ahead: int, servers: tuple[Server, ...], now_ms: int
    ) -> float:
        """Return the expected delay until a server starts the next piece.

        Without pieces ahead, this is the time until the first server is idle.

        :param pieces_ahead: number of pieces that are queued ahead of it
        :returns: ``NO_SERVER_DURATION_MS`` if no server is usable
        """
        usable = self._usable_servers(servers, now_ms)
        if not usable:
            return const.NO_SERVER_DURATION_MS
        throughput_per_ms = self.throughput_per_ms(servers, now_ms)
        busy_ms = [0.0] * len(usable)
        for index, server in enumerate(usable):
            due_times_ms = [
                c.due_ms for c in self._calls.values() if c.server.id == server.id
            ]
            busy_ms[index] = max(
                self._rates.wait_ms(server, now_ms),
                max(due_times_ms, default=now_ms) - now_ms,
            )
        if pieces_ahead == 0:
            return min(busy_ms)
        return sum(busy_ms) / len(busy_ms) + pieces_ahead / throughput_per_ms

    def throughput_per_ms(self, servers: tuple[Server, ...], now_ms: int) -> float:
        """Return the throughput of the servers with full calls, in pieces per ms."""
        return sum(
            self._server_throughput_per_ms(server, now_ms)
            for server in self._usable_servers(servers, now_ms)
        )

    def _server_throughput_per_ms(self, server: Server, now_ms: int) -> float:
        batch = self._pool.batch
        call_ms = self._expected_call_ms(batch) * self._slowdown(server, now_ms)
        rate_per_s = self._rates.rate_per_s(server)
        if rate_per_s is not None:
            # Each call is followed by one that frees its results.
            call_ms = max(call_ms, 2 * MS_PER_SECOND / rate_per_s)
        return batch / call_ms

    def job_duration_ms(
        self, pieces: int, servers: tuple[Server, ...], now_ms: int
    ) -> float:
        """Return the expected duration of a job's calls, without queueing.

        Assumes servers of median speed.

        :returns: ``NO_SERVER_DURATION_MS`` if no server is usable
        """
        usable = self._usable_servers(servers, now_ms)
        if pieces == 0:
            return 0.0
        if not usable:
            return const.NO_SERVER_DURATION_MS
        slowdowns = sorted(self._slowdown(server, now_ms) for server in usable)
        rounds = math.ceil(pieces / (self._pool.batch * len(usable)))
        call_ms = self._expected_call_ms(min(pieces, self._pool.batch))
        return rounds * call_ms * slowdowns[len(slowdowns) // 2]

    def plan_calls(self, servers: tuple[Server, ...], now_ms: int) -> list[Call]:
        """Assign waiting pieces to idle servers, the fastest first.

        The returned calls count as in flight until they are completed or failed.
        """
        self.memory.evict_expired(now_ms)
        running_calls = {
            server_id: len(tuple(group))
            for server_id, group in itertools.groupby(
                sorted(call.server.id for call in self._calls.values())
            )
        }
        idle = [
            server
            for server in self._usable_servers(servers, now_ms)
            if running_calls.get(server.id, 0) < self._pool.slots
            and self._health(server).out_of_memory_until_ms <= now_ms
            and self._rates.wait_ms(server, now_ms) == 0
        ]
        idle.sort(key=lambda server: self._slowdown(server, now_ms))
        self._hedge_overdue_calls(now_ms)
        calls: list[Call] = []
        for server in idle:
            pieces = self._fill_call(server, servers, now_ms)
            if pieces:
                calls.append(self._start_call(server, pieces, now_ms))
        return calls

    def _is_eligible(
        self,
        progress: JobProgress,
        server: Server,
        servers: tuple[Server, ...],
        now_ms: int,
    ) -> bool:
        """Return whether a server may run a job's pieces.

        A job that would miss its objective only because the server is slow waits for
        another one.  A job with large transfers waits for a server in its preferred
        domain while its objective allows.
        """
        job = progress.job
        if job.best_effort:
            return True
        slack_ms = job.objective_ms - job.downstream_ms - now_ms
        slowdown = self._slowdown(server, now_ms)
        if slowdown >= const.MIN_SLOW_SERVER_SLOWDOWN:
            call_ms = self._expected_call_ms(1)
            if call_ms <= slack_ms < call_ms * slowdown:
                return False
        if server.failure_domain == job.preferred_domain:
            return True
        if job.cross_domain_bytes < const.LARGE_TRANSFER_BYTES or self._is_loaded(
            servers
        ):
            return True
        preferred = tuple(
            s for s in servers if s.failure_domain == job.preferred_domain
        )
        if not preferred:
            return True
        pieces_ahead = sum(
            len(other.waiting_pieces)
            for other in self._jobs.values()
            if other.job.preferred_domain == job.preferred_domain
        )
        preferred_ms = self.queueing_delay_ms(
            pieces_ahead, preferred, now_ms
        ) + self._expected_call_ms(job.piece_count)
        return preferred_ms + const.PREFERRED_DOMAIN_MARGIN_MS > slack_ms

    def _is_loaded(self, servers: tuple[Server, ...]) -> bool:
        """Return whether more pieces wait than ``LOADED_QUEUE_RATIO`` allows."""
        max_pieces = self._pool.batch * len(servers) * const.LOADED_QUEUE_RATIO
        return self.waiting_pieces > max_pieces

    def _hedge_overdue_calls(self, now_ms: int) -> None:
        """Requeue the pieces of overdue calls, once per call, for another server."""
        for call in self._calls.values():
            expected_ms = call.due_ms - call.started_ms
            hedge_delay_ms = max(
                const.MIN_HEDGE_DELAY_MS, expected_ms * (const.HEDGE_FACTOR - 1)
            )
            if (
                call.id in self._hedged_call_ids
                or now_ms < call.due_ms + hedge_delay_ms
            ):
                continue
            self._hedged_call_ids.add(call.id)
            for piece in call.pieces:
                progress = self._jobs.get(piece.job.id)
                if progress is not None:
                    progress.requeue(piece.number)

    def _fill_call(
        self, server: Server, servers: tuple[Server, ...], now_ms: int
    ) -> tuple[Piece, ...]:
        """Take the pieces of one call from the queue, the most urgent first.

        The call stays within the batch size and the server's memory for results.  A
        request that is kept apart shares no call, and has one call at a time.
        """
        free_bytes = self.memory.free_bytes(server.id)
        chosen: list[Piece] = []
        eligible = [
            progress
            for progress in self._jobs.values()
            if progress.waiting_pieces
            and self._is_eligible(progress, server, servers, now_ms)
        ]
        eligible.sort(key=lambda p: self._sort_key(p, now_ms, server.failure_domain))
        is_short = self.is_memory_short(servers)
        if is_short:
            # Of the started jobs, those nearest to completion come first, since they
            # release their memory soonest.
            eligible.sort(key=lambda p: self._completion_key(p, now_ms))
        claimed_bytes = self._claimed_bytes() if is_short else 0
        for progress in eligible:
            if len(chosen) >= self._pool.batch:
                break
            job = progress.job
            if not self._may_join(job, chosen):
                continue
            if (
                is_short
                and self._sort_key(progress, now_ms)[0]
                and not self._may_start(progress, claimed_bytes, servers)
            ):
                self.diagnostics.out_of_memory += 1
                continue
            was_started = progress.is_started
            while progress.waiting_pieces and len(chosen) < self._pool.batch:
                if free_bytes < job.result_bytes:
                    self.diagnostics.out_of_memory += 1
                    break
                free_bytes -= job.result_bytes
                chosen.append(Piece(job, progress.waiting_pieces.pop(0)))
                progress.last_called_ms = now_ms
            if progress.is_started and not was_started:
                claimed_bytes += job.result_bytes * job.piece_count
        return tuple(chosen)

    def is_memory_short(self, servers: tuple[Server, ...]) -> bool:
        """Return whether the results of the waiting pieces exceed the free memory."""
        free_bytes = sum(max(0, self.memory.free_bytes(s.id)) for s in servers)
        return self.waiting_bytes() > free_bytes

    def _may_start(
        self,
        progress: JobProgress,
        claimed_bytes: int,
        servers: tuple[Server, ...],
    ) -> bool:
        """Return whether a late job starts while memory is short.

        It needs memory for the results of all its pieces besides those of started jobs,
        since jobs with only a part of their results would block each other.  A job that
        never fits starts nevertheless.
        Jobs that are on time start at once: to hold them back made more of them late in
        a replay without a burst.

        :param claimed_bytes: memory that started jobs still need
        """
        job = progress.job
        size_bytes = job.result_bytes * job.piece_count
        server_bytes = self._pool.result_memory_bytes
        if progress.is_started or size_bytes <= server_bytes * const.SMALL_RESULT_RATIO:
            return True
        if job.piece_count > len(servers) * (server_bytes // job.result_bytes):
            return True
        # Memory that is too little for one result of the job is of no use to it.
        free_bytes = job.result_bytes * sum(
            max(0, self.memory.free_bytes(server.id)) // job.result_bytes
            for server in servers
        )
        return size_bytes <= free_bytes - claimed_bytes

    def _claimed_bytes(self) -> int:
        """Return the size of the results that started jobs still have to make."""
        return sum(
            len(progress.waiting_pieces) * progress.job.result_bytes
            for progress in self._jobs.values()
            if progress.is_started
        )

    def _may_join(self, job: Job, chosen: Sequence[Piece]) -> bool:
        """Return whether a job's pieces may be in a call with those chosen so far."""
        if chosen and chosen[0].job.request_id == job.request_id:
            return True
        if chosen and self._runs_apart(chosen[0].job.digest):
            return False
        if not self._runs_apart(job.digest):
            return True
        is_running = any(
            piece.job.digest == job.digest
            for call in self._calls.values()
            for piece in call.pieces
        )
        return not chosen and not is_running

    def _start_call(
        self, server: Server, pieces: tuple[Piece, ...], now_ms: int
    ) -> Call:
        expected_ms = (
            self._expected_call_ms(len(pieces)) * self._health(server).slowdown
        )
        call = Call(
            next(self._call_ids), server, pieces, now_ms, now_ms + round(expected_ms)
        )
        self._calls[call.id] = call
        size_bytes = sum(piece.job.result_bytes for piece in pieces)
        self.memory.reserve(call.id, server.id, size_bytes)
        self.diagnostics.calls += 1
        self.diagnostics.pieces += len(pieces)
        return call

    def complete_call(
        self, call: Call, outcomes: Sequence[PieceOutcome], now_ms: int
    ) -> tuple[list[JobOutcome], list[str]]:
        """Record the answer to a call and retry the pieces that failed.

        :param outcomes: in the order of the call's pieces
        :returns: the jobs that ended, and handles of results that are not needed
        """
        del self._calls[call.id]
        self._hedged_call_ids.discard(call.id)
        pairs = tuple(zip(call.pieces, outcomes, strict=True))
        sizes_bytes = {
            outcome.handle: piece.job.result_bytes
            for piece, outcome in pairs
            if isinstance(outcome, PieceDone)
        }
        self.memory.commit(call.id, sizes_bytes, now_ms)
        if sizes_bytes:
            self._record_slowdown(call, now_ms)
        self.diagnostics.completed_pieces += len(sizes_bytes)
        unneeded: list[str] = []
        ended: list[JobOutcome] = []
        for piece, outcome in pairs:
            progress = self._jobs.get(piece.job.id)
            match outcome:
                case PieceDone(handle):
                    if progress is None or not progress.record_result(
                        piece.number, handle, call.server.failure_domain
                    ):
                        unneeded.append(handle)
                    else:
                        ended.extend(self._complete_if_done(progress))
                case PieceFailed(PieceFailure.OUT_OF_MEMORY):
                    # Results can be larger than configured.  The server did not start
                    # the piece, so this is not counted as a failed attempt.
                    self.diagnostics.out_of_memory += 1
                    health = self._health(call.server)
                    health.out_of_memory_until_ms = (
                        now_ms + const.OUT_OF_MEMORY_BACKOFF_MS
                    )
                    if progress is not None and progress.inputs_freed:
                        ended.extend(
                            self._retry_piece(
                                progress, piece, PieceFailure.OUT_OF_MEMORY
                            )
                        )
                    elif progress is not None:
                        progress.requeue(piece.number)
                case PieceFailed(failure) if progress is not None:
                    ended.extend(self._retry_piece(progress, piece, failure))
                case PieceFailed():
                    pass
        return ended, unneeded

    def mark_inputs_freed(self, now_ms: int) -> list[Job]:
        """Mark and return the jobs whose inputs the servers have fetched.

        Each job is returned once.  Its pieces can't be retried or hedged from then on.
        Jobs on a server whose recent calls took longer than expected, or that has had
        too few calls, are left out: it may still be running another owner's call and
        not have fetched their inputs.
        """
        uncertain = {
            piece.job.id
            for call in self._calls.values()
            if self._health(call.server).steady_calls < const.MIN_STEADY_CALLS
            for piece in call.pieces
        }
        fetched = [
            progress
            for progress in self._jobs.values()
            if progress.job.inputs
            and not progress.waiting_pieces
            and not progress.inputs_freed
            and progress.job.id not in uncertain
            and progress.last_called_ms + const.INPUT_FETCH_MS <= now_ms
        ]
        for progress in fetched:
            progress.inputs_freed = True
        return [progress.job for progress in fetched]

    def record_freed(self, handle: str) -> None:
        """Record that a result was freed; its server may then get calls again."""
        server_id = self.memory.release(handle)
        if server_id is not None and server_id in self._health_by_server:
            self._health_by_server[server_id].out_of_memory_until_ms = 0

    def fail_call(
        self, call: Call, now_ms: int, may_have_run: bool
    ) -> list[JobOutcome]:
        """Requeue the pieces of a call without an answer; its server enters backoff.

        :param may_have_run: whether the server may have started the call; it counts
            as an attempt at each piece then
        :returns: the jobs that failed
        """
        del self._calls[call.id]
        self._hedged_call_ids.discard(call.id)
        self.memory.commit(call.id, {}, now_ms)
        self.diagnostics.failed_calls += 1
        health = self._health(call.server)
        health.backoff_until_ms = now_ms + const.FAILURE_BACKOFF_MS
        if not may_have_run:
            health.unreachable_until_ms = now_ms + const.UNREACHABLE_BACKOFF_MS
        ended: list[JobOutcome] = []
        for piece in call.pieces:
            progress = self._jobs.get(piece.job.id)
            if progress is None:
                continue
            if may_have_run or progress.inputs_freed:
                ended.extend(self._retry_piece(progress, piece, PieceFailure.ERROR))
            else:
                progress.requeue(piece.number)
        return ended

    def remove_job(self, job_id: int) -> tuple[str, ...]:
        """Remove a job that is not needed any more.

        :returns: handles of its results, for the caller to free
        """
        progress = self._jobs.pop(job_id, None)
        return tuple(progress.handles.values()) if progress is not None else ()

    def expire_jobs(self, now_ms: int) -> list[JobFailed]:
        """Remove and return the jobs that can't meet their deadline any more."""
        min_call_ms = self._expected_call_ms(1)
        expired = [
            progress.job
            for progress in self._jobs.values()
            if progress.waiting_pieces
            and now_ms + min_call_ms + progress.job.downstream_ms
            > progress.job.deadline_ms
        ]
        detail = "the stage can't be done in time any more"
        refusal = not_run(Reason.DEADLINE_UNREACHABLE, detail, const.MIN_RETRY_AFTER_MS)
        return [JobFailed(job, refusal, self.remove_job(job.id)) for job in expired]

    def refuse_waiting(self, refusal: Refusal) -> list[JobFailed]:
        """Remove and return the jobs with pieces that are in no call.

        A piece that waits because its call is overdue is still in that call.
        """
        in_calls = {
            (piece.job.id, piece.number)
            for call in self._calls.values()
            for piece in call.pieces
        }
        refused = [
            progress.job
            for progress in self._jobs.values()
            if any(
                (progress.job.id, n) not in in_calls for n in progress.waiting_pieces
            )
        ]
        return [JobFailed(job, refusal, self.remove_job(job.id)) for job in refused]

    def prune_servers(self, servers: Iterable[Server]) -> None:
        """Discard the state of all servers but the given ones."""
        ids = {server.id for server in servers}
        for server_id in self._health_by_server.keys() - ids:
            del self._health_by_server[server_id]
            self.memory.remove_server(server_id)

    def _retry_piece(
        self, progress: JobProgress, piece: Piece, failure: PieceFailure
    ) -> list[JobOutcome]:
        """Count a failed attempt and requeue the piece, or fail its job.

        Only errors are retried, up to ``MAX_PIECE_ATTEMPTS`` attempts.  A job whose
        inputs were freed fails with ``RESULT_LOST``, as for a lost input.

        :returns: the job if it failed
        """
        progress.failures[piece.number] += 1
        if piece.number in progress.handles:
            return []
        if progress.inputs_freed:
            failure = PieceFailure.INPUT_MISSING
        attempts = progress.failures[piece.number]
        if failure is PieceFailure.ERROR and attempts < const.MAX_PIECE_ATTEMPTS:
            progress.requeue(piece.number)
            return []
        detail = f"piece {piece.number} could not be made: {failure.value}"
        is_lost = failure is PieceFailure.INPUT_MISSING
        reason = Reason.RESULT_LOST if is_lost else Reason.UPSTREAM_FAILED
        refusal = not_run(reason, detail, const.MIN_RETRY_AFTER_MS)
        return [JobFailed(progress.job, refusal, self.remove_job(progress.job.id))]

    def _complete_if_done(self, progress: JobProgress) -> list[JobOutcome]:
        job = progress.job
        if len(progress.handles) < job.piece_count:
            return []
        del self._jobs[job.id]
        handles = tuple(progress.handles[n] for n in range(job.piece_count))
        domains = tuple(progress.domains[n] for n in range(job.piece_count))
        return [JobDone(job, handles, domains)]

    def _sort_key(
        self, progress: JobProgress, now_ms: int, domain: str | None = None
    ) -> tuple[object, ...]:
        return self._job_sort_key(progress.job, now_ms, progress.is_started, domain)

    def _job_sort_key(
        self,
        job: Job,
        now_ms: int,
        is_started: bool = False,
        domain: str | None = None,
    ) -> tuple[object, ...]:
        """Return the sort key of a job; the smallest is the most urgent.

        Jobs that can still meet their objective come before those that can't, and
        started jobs before others.  A job that keeps its place counts as on time: the
        objective of a rerun is nearly over because its results were lost, and it would
        wait for all other jobs.

        :param domain: failure domain of the server that is being filled
        """
        slack_ms = (
            job.objective_ms - job.downstream_ms - now_ms - self._expected_call_ms(1)
        )
        waited_ms = now_ms - job.queued_ms
        is_remote = (
            domain is not None
            and domain != job.preferred_domain
            and waited_ms < const.PREFERRED_DOMAIN_WAIT_MS
        )
        is_late = (job.best_effort or slack_ms < 0) and not job.keeps_place
        return (
            is_late,
            not is_started,
            job.priority,
            not job.keeps_place,
            is_remote,
            slack_ms,
            job.id,
        )

    def _completion_key(self, progress: JobProgress, now_ms: int) -> tuple[object, ...]:
        """Return the sort key of a job while memory is short, for a stable sort."""
        is_late, not_started, *_ = self._sort_key(progress, now_ms)
        return is_late, not_started, 0 if not_started else len(progress.waiting_pieces)

    def _usable_servers(self, servers: tuple[Server, ...], now_ms: int) -> list[Server]:
        reachable = [
            s for s in servers if self._health(s).unreachable_until_ms <= now_ms
        ]
        usable = [s for s in reachable if self._health(s).backoff_until_ms <= now_ms]
        return usable or reachable

    def _health(self, server: Server) -> ServerHealth:
        return self._health_by_server.setdefault(server.id, ServerHealth())

    def _record_slowdown(self, call: Call, now_ms: int) -> None:
        health = self._health(call.server)
        slowdown = (now_ms - call.started_ms) / self._expected_call_ms(len(call.pieces))
        is_steady = slowdown <= const.STEADY_MAX_SLOWDOWN
        health.steady_calls = health.steady_calls + 1 if is_steady else 0
        health.slowdown += const.SLOWDOWN_EWMA_WEIGHT * (slowdown - health.slowdown)

    def _slowdown(self, server: Server, now_ms: int) -> float:
        """Return a server's ratio of actual to expected call duration, at least 1.

        Calls in flight count with the time that they have taken so far.
        """
        health = self._health_by_server.get(server.id)
        slowdown = max(1.0, health.slowdown) if health is not None else 1.0
        running = [c for c in self._calls.values() if c.server.id == server.id]
        in_flight = (
            (now_ms - call.started_ms) / self._expected_call_ms(len(call.pieces))
            for call in running
        )
        return max([slowdown, *in_flight])

    def _expected_call_ms(self, pieces: int) -> float:
        return self._pool.call_ms + self._pool.piece_ms * pieces
