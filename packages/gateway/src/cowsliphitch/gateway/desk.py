"""The stage pools that this daemon owns: queues in, calls to servers out."""

import itertools
import logging

import anyio
import attrs
from anyio.abc import TaskGroup

from cowsliphitch.core.batching.models import Call, Failed, Job, JobOutcome, Made
from cowsliphitch.core.batching.queue import StageQueue
from cowsliphitch.core.clock import seconds
from cowsliphitch.core.deployment.models import StagePool
from cowsliphitch.core.servers.models import Server
from cowsliphitch.core.verdict import Reason, not_run
from cowsliphitch.peers.fleet.models import (
    StageMade,
    StageOrder,
    StageRefused,
    StageReply,
)
from cowsliphitch.platform import servers as wire
from cowsliphitch.telemetry.logs import event
from cowsliphitch.upstreams.http1.models import OutgoingRequest, UpstreamError
from cowsliphitch.upstreams.http1.pool import ConnectionPool

from . import const
from .state import GatewayState

_LOGGER = logging.getLogger(__name__)

# An answer of a stage server is a short list of handles.
MAX_STAGE_ANSWER_BYTES = 262_144

# A call may take this many times as long as expected before it is given up.
SLOW_CALL_FACTOR = 6.0
LEAST_CALL_TIMEOUT_MS = 2_000
FREE_TIMEOUT_MS = 1_000


@attrs.define
class _Waiting:
    """Who waits for a job."""

    done: anyio.Event = attrs.Factory(anyio.Event)
    outcome: JobOutcome | None = None


class StageDesk:
    """Make pieces for all daemons at the servers of the pools owned here."""

    def __init__(
        self, state: GatewayState, pool: ConnectionPool, group: TaskGroup
    ) -> None:
        """Own nothing yet; a pool's queue appears with its first job."""
        self._state = state
        self._pool = pool
        self._group = group
        self._queues: dict[str, StageQueue] = {}
        self._figures: dict[str, StagePool] = {}
        self._waiting: dict[int, _Waiting] = {}
        self._numbers = itertools.count(1)

    def queues(self) -> dict[str, StageQueue]:
        """Return the queues by service, for metrics."""
        return self._queues

    async def run_stage(self, order: StageOrder) -> StageReply:
        """Make the pieces of a stage; cancelling it gives them up."""
        queue = self._queue_for(order.service)
        if queue is None:
            detail = f"{order.service} is no stage pool here"
            return StageRefused(not_run(Reason.NOT_CONFIGURED, detail, 100))
        now = self._state.clock.now_ms()
        job = self._job(order, now)
        refusal = queue.offer(job, self._state.servers.ready(order.service), now)
        if refusal is not None:
            return StageRefused(refusal)
        waiting = self._waiting[job.id] = _Waiting()
        self._start_calls(order.service)
        try:
            await waiting.done.wait()
        finally:
            del self._waiting[job.id]
            if waiting.outcome is None:
                self._free_soon(order.service, queue.drop(job.id))
        match waiting.outcome:
            case Made(_, handles):
                return StageMade(handles)
            case Failed(_, refusal, handles):
                self._free_soon(order.service, handles)
                return StageRefused(refusal)
        raise AssertionError("a job that is done has an outcome")

    def free(self, service: str, handles: tuple[str, ...]) -> None:
        """Give up results of a pool owned here."""
        self._free_soon(service, handles)

    def tick(self) -> None:
        """Drop what is late, and start what waited for room or a server."""
        now = self._state.clock.now_ms()
        for service, queue in self._queues.items():
            queue.keep_servers(self._servers_known(service))
            self._settle(queue.drop_late(now))
            self._start_calls(service)

    def _queue_for(self, service: str) -> StageQueue | None:
        deployment = self._state.deployment
        known = deployment.services.get(service) if deployment else None
        figures = known.stage_pool if known else None
        if figures is None:
            return self._queues.get(service)
        if self._figures.get(service) != figures:
            self._figures[service] = figures
            self._queues[service] = StageQueue(figures)
        return self._queues[service]

    def _job(self, order: StageOrder, now_ms: int) -> Job:
        return Job(
            id=next(self._numbers),
            request=order.request,
            stage=order.stage,
            pieces=order.pieces,
            key=order.key,
            inputs=order.inputs,
            result_bytes=order.result_bytes,
            deadline_ms=now_ms + order.left_ms,
            objective_ms=now_ms + order.objective_left_ms,
            rest_ms=order.rest_ms,
            rank=order.rank,
            team=order.team,
            reader_domain=order.reader_domain,
            queued_ms=now_ms,
        )

    def _start_calls(self, service: str) -> None:
        queue = self._queues[service]
        now = self._state.clock.now_ms()
        for call in queue.plan(self._state.servers.ready(service), now):
            self._group.start_soon(self._run_call, service, queue, call)

    async def _run_call(self, service: str, queue: StageQueue, call: Call) -> None:
        handles = await self._ask(call)
        now = self._state.clock.now_ms()
        if handles is None:
            self._settle(queue.fail(call, now))
        else:
            ended, unwanted = queue.finish(call, handles, now)
            self._settle(ended)
            self._free_soon(service, tuple(unwanted))
        self._start_calls(service)

    async def _ask(self, call: Call) -> tuple[str | None, ...] | None:
        """Send a call; ``None`` if no piece is known to be made."""
        now = self._state.clock.now_ms()
        items = [
            wire.PieceItem(
                request=piece.job.request,
                stage=piece.job.stage,
                piece=piece.number,
                left_ms=piece.job.deadline_ms - now,
                key=piece.job.key,
                inputs=piece.job.inputs,
            )
            for piece in call.pieces
        ]
        expected_ms = (call.due_ms - call.started_ms) * SLOW_CALL_FACTOR
        timeout_ms = max(LEAST_CALL_TIMEOUT_MS, expected_ms)
        request = wire.encode_pieces(call.server, items)
        try:
            with anyio.fail_after(seconds(timeout_ms)):
                content = await self._exchange(call.server, request)
        except (UpstreamError, TimeoutError) as exc:
            event(
                _LOGGER,
                "stage.call_failed",
                service=call.server.service,
                server=call.server.id,
                pieces=len(items),
                requests=sorted({item.request for item in items}),
                cause=str(exc) or "timeout",
            )
            return None
        outcomes = wire.decode_pieces(content, len(items))
        if outcomes is None:
            event(_LOGGER, "stage.answer_unreadable", server=call.server.id)
            return None
        return tuple(self._handle(call, outcome) for outcome in outcomes)

    def _handle(self, call: Call, outcome: wire.PieceOutcome) -> str | None:
        match outcome:
            case wire.PieceMade(handle):
                return handle
            case wire.PieceFailed(reason):
                event(
                    _LOGGER, "stage.piece_failed", server=call.server.id, cause=reason
                )
                return None

    async def _exchange(self, server: Server, request: OutgoingRequest) -> bytes:
        max_open = self._max_open(server.service)
        async with self._pool.exchange(server.address, request, max_open) as answer:
            content = await answer.read(MAX_STAGE_ANSWER_BYTES)
        if not wire.decode_head(answer.head).success:
            detail = f"{server.id} answered {answer.head.status}"
            raise UpstreamError(not_run(Reason.UPSTREAM_REFUSED, detail))
        return content

    def _max_open(self, service: str) -> int:
        deployment = self._state.deployment
        known = deployment.services.get(service) if deployment else None
        limit = known.max_connections if known else 1
        return max(1, round(limit * const.CONNECTION_SHARE))

    def _settle(self, outcomes: list[JobOutcome] | list[Failed]) -> None:
        for outcome in outcomes:
            waiting = self._waiting.get(outcome.job.id)
            if waiting is not None:
                waiting.outcome = outcome
                waiting.done.set()

    def _free_soon(self, service: str, handles: tuple[str, ...]) -> None:
        if handles:
            self._group.start_soon(self._free, service, handles)

    async def _free(self, service: str, handles: tuple[str, ...]) -> None:
        """Free results at their makers; what is not reached expires there."""
        queue = self._queues.get(service)
        makers = {server.address: server for server in self._servers_known(service)}
        for address, group in itertools.groupby(
            sorted(handles, key=wire.maker_of), key=wire.maker_of
        ):
            freed = list(group)
            maker = makers.get(address)
            if maker is not None:
                await self._free_at(maker, freed)
            if queue is not None:
                for handle in freed:
                    queue.room.free(handle)
        if queue is not None:
            self._start_calls(service)

    async def _free_at(self, maker: Server, handles: list[str]) -> None:
        request = wire.encode_free(maker, handles)
        try:
            with anyio.fail_after(seconds(FREE_TIMEOUT_MS)):
                await self._exchange(maker, request)
        except (UpstreamError, TimeoutError) as exc:
            event(
                _LOGGER,
                "stage.free_failed",
                server=maker.id,
                results=len(handles),
                cause=str(exc) or "timeout",
            )

    def _servers_known(self, service: str) -> list[Server]:
        return [s for s in self._state.servers.all() if s.service == service]
