"""One stage pool's queue: which pieces are made together, where and when.

Load pattern: every server runs one call at a time, a call costs far more than a piece,
and no daemon alone sees enough requests to fill a call.  So one owner sees all of them:
it fills each call in order of urgency, counts the memory that results take up, and
refuses at once what can't be made in time.
"""

import itertools
import math
from collections.abc import Iterable, Mapping, Sequence

import attrs

from cowsliphitch.core.deployment.models import StagePool
from cowsliphitch.core.servers.models import Server
from cowsliphitch.core.verdict import Reason, not_run

from . import const
from .memory import RoomLedger
from .models import (
    Call,
    Failed,
    Job,
    JobOutcome,
    Made,
    Piece,
    PieceDone,
    PieceFailed,
    PieceFailure,
    PieceOutcome,
)
from .state import Progress, ServerState


@attrs.define
class Diagnostics:
    """Counters of a queue, for metrics."""

    calls: int = 0
    pieces: int = 0
    made: int = 0
    failed_calls: int = 0
    no_room: int = 0


class StageQueue:
    """Decide on the calls to the servers of one stage pool.

    :param pool: figures of one server
    """

    def __init__(self, pool: StagePool) -> None:
        """Start without jobs."""
        self._pool = pool
        self._jobs: dict[int, Progress] = {}
        self._calls: dict[int, Call] = {}
        self._hedged: set[int] = set()
        self._servers: dict[str, ServerState] = {}
        self._numbers = itertools.count(1)
        self.memory = RoomLedger(pool.room_bytes, pool.keep_ms)
        self.diagnostics = Diagnostics()

    @property
    def waiting_pieces(self) -> int:
        """Return the pieces that no call has taken yet."""
        return self.waiting(with_late=True)

    @property
    def calls(self) -> Mapping[int, Call]:
        """Return the calls that have no answer yet, by number."""
        return self._calls

    def set_pool(self, pool: StagePool) -> None:
        """Take over new figures of a server."""
        self._pool = pool
        self.memory.set_figures(pool.room_bytes, pool.keep_ms)

    def add(self, job: Job) -> None:
        """Take a job that was admitted."""
        self._jobs[job.id] = Progress(job, list(range(job.pieces)))

    def waiting(self, with_late: bool) -> int:
        """Return the pieces that wait.

        :param with_late: those of requests that miss their objective, too
        """
        return sum(
            len(progress.waiting)
            for progress in self._jobs.values()
            if with_late or not progress.job.best_effort
        )

    def clear_ms(self, ahead: int, servers: tuple[Server, ...], now_ms: int) -> float:
        """Return how long the servers are busy with what runs and waits.

        :param ahead: pieces that go first
        """
        able = self._able(servers, now_ms)
        if not able:
            return const.NO_SERVER_MS
        rate = self.rate(servers, now_ms)
        left = [0.0] * len(able)
        for index, server in enumerate(able):
            due = [c.due_ms for c in self._calls.values() if c.server.id == server.id]
            left[index] = max(0.0, max(due, default=now_ms) - now_ms)
        if ahead == 0:
            return min(left)
        return sum(left) / len(left) + ahead / rate

    def rate(self, servers: tuple[Server, ...], now_ms: int) -> float:
        """Return the pieces a ms that the servers make in full calls."""
        batch = self._pool.batch
        return sum(
            batch / (self._call_ms(batch) * self._slowness(server, now_ms))
            for server in self._able(servers, now_ms)
        )

    def job_ms(self, pieces: int, servers: tuple[Server, ...], now_ms: int) -> float:
        """Return how long the calls of a job take once they start."""
        able = self._able(servers, now_ms)
        if pieces == 0:
            return 0.0
        if not able:
            return const.NO_SERVER_MS
        speeds = sorted(self._slowness(server, now_ms) for server in able)
        rounds = math.ceil(pieces / (self._pool.batch * len(able)))
        full_ms = self._call_ms(min(pieces, self._pool.batch))
        return rounds * full_ms * speeds[len(speeds) // 2]

    def plan_calls(self, servers: tuple[Server, ...], now_ms: int) -> list[Call]:
        """Start the calls that can start now."""
        self.memory.expire(now_ms)
        running = {
            server_id: len(tuple(group))
            for server_id, group in itertools.groupby(
                sorted(call.server.id for call in self._calls.values())
            )
        }
        idle = [
            server
            for server in self._able(servers, now_ms)
            if running.get(server.id, 0) < self._pool.slots
            and self._state(server).full_until_ms <= now_ms
        ]
        idle.sort(key=lambda server: self._slowness(server, now_ms))
        self._hedge(now_ms)
        calls: list[Call] = []
        for server in idle:
            pieces = self._fill(server, servers, now_ms)
            if pieces:
                calls.append(self._start(server, pieces, now_ms))
        return calls

    def _suits(
        self,
        progress: Progress,
        server: Server,
        servers: tuple[Server, ...],
        now_ms: int,
    ) -> bool:
        """Tell whether a server may have a job's pieces.

        One that would miss its objective just for a slow server waits for another, and
        one with large results waits for a server near its reader while time allows.
        """
        job = progress.job
        if job.best_effort:
            return True
        spare_ms = job.objective_ms - job.rest_ms - now_ms
        slowness = self._slowness(server, now_ms)
        if slowness >= const.SLOW_SERVER:
            needed_ms = self._call_ms(1)
            if needed_ms <= spare_ms < needed_ms * slowness:
                return False
        if server.failure_domain == job.near_domain:
            return True
        if job.far_bytes < const.LARGE_BYTES or self._is_loaded(servers):
            return True
        near = tuple(s for s in servers if s.failure_domain == job.near_domain)
        if not near:
            return True
        ahead = sum(
            len(other.waiting)
            for other in self._jobs.values()
            if other.job.near_domain == job.near_domain
        )
        near_ms = self.clear_ms(ahead, near, now_ms) + self._call_ms(job.pieces)
        return near_ms + const.NEAR_MARGIN_MS > spare_ms

    def _is_loaded(self, servers: tuple[Server, ...]) -> bool:
        """Tell whether more waits than the servers' next calls can take."""
        room = self._pool.batch * len(servers) * const.LOADED_SHARE
        return self.waiting_pieces > room

    def _hedge(self, now_ms: int) -> None:
        """Let the pieces of overdue calls be made elsewhere, too."""
        for call in self._calls.values():
            needed_ms = call.due_ms - call.started_ms
            late_ms = max(const.HEDGE_LEAST_MS, needed_ms * (const.HEDGE_FACTOR - 1))
            if call.id in self._hedged or now_ms < call.due_ms + late_ms:
                continue
            self._hedged.add(call.id)
            for piece in call.pieces:
                progress = self._jobs.get(piece.job.id)
                if progress is not None:
                    progress.wait_again(piece.number)

    def _fill(
        self, server: Server, servers: tuple[Server, ...], now_ms: int
    ) -> tuple[Piece, ...]:
        """Choose the pieces of one call, the most urgent first."""
        free = self.memory.free_bytes(server.id)
        chosen: list[Piece] = []
        waiting = [
            progress
            for progress in self._jobs.values()
            if progress.waiting and self._suits(progress, server, servers, now_ms)
        ]
        waiting.sort(key=lambda p: self._order(p, now_ms, server.failure_domain))
        for progress in waiting:
            job = progress.job
            while progress.waiting and len(chosen) < self._pool.batch:
                if free < job.result_bytes:
                    self.diagnostics.no_room += 1
                    break
                free -= job.result_bytes
                chosen.append(Piece(job, progress.waiting.pop(0)))
                progress.called_ms = now_ms
        return tuple(chosen)

    def _start(self, server: Server, pieces: tuple[Piece, ...], now_ms: int) -> Call:
        needed_ms = self._call_ms(len(pieces)) * self._state(server).slowness
        call = Call(
            next(self._numbers), server, pieces, now_ms, now_ms + round(needed_ms)
        )
        self._calls[call.id] = call
        size = sum(piece.job.result_bytes for piece in pieces)
        self.memory.reserve(call.id, server.id, size)
        self.diagnostics.calls += 1
        self.diagnostics.pieces += len(pieces)
        return call

    def complete_call(
        self, call: Call, outcomes: Sequence[PieceOutcome], now_ms: int
    ) -> tuple[list[JobOutcome], list[str]]:
        """Take over a call's results.

        :param outcomes: by piece
        :returns: the jobs that ended, and handles that nobody wants any more
        """
        del self._calls[call.id]
        self._hedged.discard(call.id)
        pairs = tuple(zip(call.pieces, outcomes, strict=True))
        made = {
            outcome.handle: piece.job.result_bytes
            for piece, outcome in pairs
            if isinstance(outcome, PieceDone)
        }
        self.memory.settle(call.id, made, now_ms)
        if made:
            self._note_speed(call, now_ms)
        self.diagnostics.made += len(made)
        unwanted: list[str] = []
        ended: list[JobOutcome] = []
        for piece, outcome in pairs:
            progress = self._jobs.get(piece.job.id)
            match outcome:
                case PieceDone(handle):
                    if progress is None or not progress.take(
                        piece.number, handle, call.server.failure_domain
                    ):
                        unwanted.append(handle)
                    else:
                        ended.extend(self._done(progress))
                case PieceFailed(PieceFailure.OUT_OF_MEMORY):
                    # Results are larger than stated at times; nothing was tried.
                    self.diagnostics.no_room += 1
                    state = self._state(call.server)
                    state.full_until_ms = now_ms + const.FULL_FOR_MS
                    if progress is not None and progress.inputs_freed:
                        ended.extend(
                            self._again(progress, piece, PieceFailure.OUT_OF_MEMORY)
                        )
                    elif progress is not None:
                        progress.wait_again(piece.number)
                case PieceFailed(failure) if progress is not None:
                    ended.extend(self._again(progress, piece, failure))
                case PieceFailed():
                    pass
        return ended, unwanted

    def free_inputs(self, now_ms: int) -> list[Job]:
        """Return the jobs whose inputs nobody has to fetch any more, each once.

        From then on none of their pieces can be made again.  A server whose calls took
        longer than usual may be busy with another owner's, so nothing is known of what
        it has fetched.
        """
        unsure = {
            piece.job.id
            for call in self._calls.values()
            if self._state(call.server).steady_calls < const.STEADY_CALLS
            for piece in call.pieces
        }
        fetched = [
            progress
            for progress in self._jobs.values()
            if progress.job.inputs
            and not progress.waiting
            and not progress.inputs_freed
            and progress.job.id not in unsure
            and progress.called_ms + const.INPUTS_FETCHED_MS <= now_ms
        ]
        for progress in fetched:
            progress.inputs_freed = True
        return [progress.job for progress in fetched]

    def record_freed(self, handle: str) -> None:
        """Note that a result was freed at its maker."""
        server_id = self.memory.free(handle)
        if server_id is not None and server_id in self._servers:
            self._servers[server_id].full_until_ms = 0

    def fail_call(self, call: Call, now_ms: int, reached: bool) -> list[JobOutcome]:
        """Put the pieces of a call that got no answer back into the queue.

        :param reached: the call may have been worked on
        """
        del self._calls[call.id]
        self._hedged.discard(call.id)
        self.memory.settle(call.id, {}, now_ms)
        self.diagnostics.failed_calls += 1
        state = self._state(call.server)
        state.penalty_until_ms = now_ms + const.PENALTY_MS
        if not reached:
            state.unreachable_until_ms = now_ms + const.UNREACHABLE_MS
        ended: list[JobOutcome] = []
        for piece in call.pieces:
            progress = self._jobs.get(piece.job.id)
            if progress is None:
                continue
            if reached or progress.inputs_freed:
                ended.extend(self._again(progress, piece, PieceFailure.ERROR))
            else:
                progress.wait_again(piece.number)
        return ended

    def drop(self, job_id: int) -> tuple[str, ...]:
        """Forget a job that nobody wants; return the handles of its results."""
        progress = self._jobs.pop(job_id, None)
        return tuple(progress.handles.values()) if progress is not None else ()

    def drop_late(self, now_ms: int) -> list[Failed]:
        """Give up the jobs that can't be done any more."""
        least_ms = self._call_ms(1)
        late = [
            progress.job
            for progress in self._jobs.values()
            if progress.waiting
            and now_ms + least_ms + progress.job.rest_ms > progress.job.deadline_ms
        ]
        detail = "the stage can't be done in time any more"
        refusal = not_run(Reason.DEADLINE_UNREACHABLE, detail, const.MIN_RETRY_AFTER_MS)
        return [Failed(job, refusal, self.drop(job.id)) for job in late]

    def prune_servers(self, servers: Iterable[Server]) -> None:
        """Forget what is known of servers that are gone."""
        ids = {server.id for server in servers}
        for gone in self._servers.keys() - ids:
            del self._servers[gone]
            self.memory.forget_server(gone)

    def _again(
        self, progress: Progress, piece: Piece, failure: PieceFailure
    ) -> list[JobOutcome]:
        """Let a piece be made once more, unless that can't help."""
        progress.failures[piece.number] += 1
        if piece.number in progress.handles:
            return []
        if progress.inputs_freed:
            failure = PieceFailure.INPUT_GONE
        tries = progress.failures[piece.number]
        if failure is PieceFailure.ERROR and tries < const.MAX_MAKES:
            progress.wait_again(piece.number)
            return []
        detail = f"piece {piece.number} could not be made: {failure.value}"
        lost = failure is PieceFailure.INPUT_GONE
        reason = Reason.RESULT_LOST if lost else Reason.UPSTREAM_FAILED
        refusal = not_run(reason, detail, const.MIN_RETRY_AFTER_MS)
        return [Failed(progress.job, refusal, self.drop(progress.job.id))]

    def _done(self, progress: Progress) -> list[JobOutcome]:
        job = progress.job
        if len(progress.handles) < job.pieces:
            return []
        del self._jobs[job.id]
        handles = tuple(progress.handles[n] for n in range(job.pieces))
        domains = tuple(progress.domains[n] for n in range(job.pieces))
        return [Made(job, handles, domains)]

    def _order(
        self, progress: Progress, now_ms: int, domain: str | None = None
    ) -> tuple[object, ...]:
        return self._order_of(progress.job, now_ms, progress.half_made, domain)

    def _order_of(
        self,
        job: Job,
        now_ms: int,
        half_made: bool = False,
        domain: str | None = None,
    ) -> tuple[object, ...]:
        """Return a job's place in the queue, the smallest first.

        A job that can't meet its objective any more yields to one that can.
        """
        spare_ms = job.objective_ms - job.rest_ms - now_ms - self._call_ms(1)
        waited_ms = now_ms - job.queued_ms
        far = (
            domain is not None
            and domain != job.near_domain
            and waited_ms < const.NEAR_WAIT_MS
        )
        late = job.best_effort or spare_ms < 0
        return (late, not half_made, job.rank, far, spare_ms, job.id)

    def _able(self, servers: tuple[Server, ...], now_ms: int) -> list[Server]:
        reached = [s for s in servers if self._state(s).unreachable_until_ms <= now_ms]
        able = [s for s in reached if self._state(s).penalty_until_ms <= now_ms]
        return able or reached

    def _state(self, server: Server) -> ServerState:
        return self._servers.setdefault(server.id, ServerState())

    def _note_speed(self, call: Call, now_ms: int) -> None:
        state = self._state(call.server)
        seen = (now_ms - call.started_ms) / self._call_ms(len(call.pieces))
        steady = seen <= const.STEADY_SLOWNESS
        state.steady_calls = state.steady_calls + 1 if steady else 0
        state.slowness += const.SPEED_WEIGHT * (seen - state.slowness)

    def _slowness(self, server: Server, now_ms: int) -> float:
        """Return the time of a server's calls against the pool's figures."""
        state = self._servers.get(server.id)
        slowness = max(1.0, state.slowness) if state is not None else 1.0
        running = [c for c in self._calls.values() if c.server.id == server.id]
        overdue = (
            (now_ms - call.started_ms) / self._call_ms(len(call.pieces))
            for call in running
        )
        return max([slowness, *overdue])

    def _call_ms(self, pieces: int) -> float:
        return self._pool.call_ms + self._pool.piece_ms * pieces
