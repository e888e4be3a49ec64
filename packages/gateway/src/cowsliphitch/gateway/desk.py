"""The stage pools that this daemon owns: orders in, calls to servers out."""

import itertools
import logging
from collections.abc import Iterable

import anyio
import attrs
from anyio.abc import TaskGroup

from cowsliphitch.core.batching.models import (
    Call,
    PieceFailed,
    PieceFailure,
    PieceOutcome,
)
from cowsliphitch.core.batching.pipeline import StagePlanner
from cowsliphitch.core.batching.requests import (
    Admission,
    Command,
    FreeResults,
    StageRequest,
    StagesDone,
    StagesFailed,
)
from cowsliphitch.core.clock import seconds
from cowsliphitch.core.engines.selector import CostWeights, EngineChoice, EngineSelector
from cowsliphitch.core.servers.models import Server
from cowsliphitch.core.verdict import Reason, Refusal, Verdict, not_run
from cowsliphitch.peers.fleet.models import (
    EngineProgress,
    EngineProgressReport,
    RunStagesReply,
    RunStagesRequest,
    StageResults,
    StagesCompleted,
    StagesRefused,
)
from cowsliphitch.platform import servers as wire
from cowsliphitch.telemetry.logs import event
from cowsliphitch.upstreams.http1.models import OutgoingRequest, UpstreamError

from . import const
from .links import ServerLinks
from .state import GatewayState

_LOGGER = logging.getLogger(__name__)


@attrs.define
class _Waiting:
    """Who waits for a request's stages."""

    done: anyio.Event = attrs.Factory(anyio.Event)
    outcome: StagesDone | StagesFailed | None = None


@attrs.frozen
class CallFailed:
    """A call to a stage server got no answer that can be used.

    :param reached: it may have been worked on
    """

    reached: bool


class StageDesk:
    """Run the stages of all daemons' requests at the pools owned here."""

    def __init__(
        self,
        state: GatewayState,
        links: ServerLinks,
        costs: CostWeights,
        group: TaskGroup,
    ) -> None:
        """Own nothing yet."""
        self._state = state
        self._links = links
        self._group = group
        self.planner = StagePlanner(state.servers.ready)
        self.board = EngineSelector(costs)
        self._waiting: dict[int, _Waiting] = {}
        self._version = 0

    @property
    def active(self) -> int:
        """Return the requests whose stages are on their way."""
        return len(self._waiting)

    async def run_stages(self, order: RunStagesRequest) -> RunStagesReply:
        """Do the stages of a request and choose its engine; cancelling gives it up."""
        self._take_settings()
        now = self._state.clock.now_ms()
        self._take_duty(order, now)
        objective_ms = now + order.objective_remaining_ms
        choice = self._choose(order, objective_ms, ())
        if choice is None:
            detail = f"no server of {order.engine_service} is ready"
            refusal = not_run(Reason.NO_UPSTREAM, detail, const.OWNER_RETRY_MS)
            return StagesRefused(refusal)
        if not any(order.piece_counts):
            return self._assign(order, choice, ())
        admitted = self.planner.admit(_request(order, choice, now), now)
        if isinstance(admitted, Refusal):
            return StagesRefused(admitted)
        _log_admission(order, admitted)
        waiting = self._waiting[admitted.execution_id] = _Waiting()
        self._start_calls()
        try:
            await waiting.done.wait()
        finally:
            del self._waiting[admitted.execution_id]
            if waiting.outcome is None:
                self._carry_out(self.planner.cancel(admitted.execution_id))
        match waiting.outcome:
            case StagesDone(results=results):
                choice = self._choose(order, objective_ms, results) or choice
                return self._assign(order, choice, results)
            case StagesFailed(stage=stage, refusal=refusal):
                return StagesRefused(attrs.evolve(refusal, stage=str(stage)))
        raise AssertionError("stages that ended have an outcome")

    def _take_duty(self, order: RunStagesRequest, now_ms: int) -> None:
        deployment = self._state.deployment
        group = deployment.pool_group(order.engine_service) if deployment else ""
        if self._state.stopping:
            return
        if self._state.members.acquire_duty(
            duty(group), now_ms, order.unreachable_owners
        ):
            event(_LOGGER, "duty.taken", duty=duty(group))

    def note(self, note: EngineProgressReport) -> None:
        """Take over what became of a request at its engine."""
        match note.progress:
            case EngineProgress.FETCHED:
                pass
            case EngineProgress.BEGAN:
                self.board.record_first_token(
                    note.request_id, self._state.clock.now_ms()
                )
            case EngineProgress.ENDED:
                self.board.record_end(note.request_id)
            case EngineProgress.FAILED:
                self.board.record_failure(note.request_id, self._state.clock.now_ms())
        self._carry_out(itertools.starmap(FreeResults, note.released_results))

    def _choose(
        self, order: RunStagesRequest, objective_ms: int, results: StageResults
    ) -> EngineChoice | None:
        now = self._state.clock.now_ms()
        return self.board.choose(
            order.generation,
            self._state.servers.ready(order.engine_service),
            objective_ms - now,
            self._bytes_by_domain(order, results),
            now,
            frozenset(order.excluded_engines),
        )

    def _assign(
        self, order: RunStagesRequest, choice: EngineChoice, results: StageResults
    ) -> StagesCompleted:
        now = self._state.clock.now_ms()
        event(
            _LOGGER,
            "engine.chosen",
            request=order.request_id,
            server=choice.server.id,
            expected_ms=round(choice.first_token_ms),
            read_again=choice.recomputed_tokens,
            engine=self.board.load(choice.server),
        )
        self.board.record_dispatch(
            order.request_id, choice.server, order.generation, now
        )
        return StagesCompleted(results, choice.server.id)

    def _bytes_by_domain(
        self, order: RunStagesRequest, results: StageResults
    ) -> dict[str, int]:
        """Return where the results lie that the engine will read."""
        sizes = {stage.service: stage.result_bytes for stage in order.stages}
        domains = {s.address: s.failure_domain for s in self._state.servers.all()}
        found: dict[str, int] = {}
        for service, handles in results:
            for handle in handles:
                domain = domains.get(wire.server_address_of(handle), "")
                found[domain] = found.get(domain, 0) + sizes[service]
        return found

    def tick(self) -> None:
        """Drop what is late, and start what waited for room or a server."""
        self._take_settings()
        servers = self._state.servers.all()
        self.planner.prune_servers(servers)
        self.board.remove_stale(servers, self._state.clock.now_ms())
        self._carry_out(self.planner.tick(self._state.clock.now_ms()))
        self._start_calls()

    def _take_settings(self) -> None:
        deployment = self._state.deployment
        if deployment is None or deployment.version == self._version:
            return
        self._version = deployment.version
        self.planner.set_pools(
            {
                name: service.stage_pool
                for name, service in deployment.services.items()
                if service.stage_pool is not None
            }
        )

    def _start_calls(self) -> None:
        for call in self.planner.plan_calls(self._state.clock.now_ms()):
            self._group.start_soon(self._run_call, call)

    async def _run_call(self, call: Call) -> None:
        outcomes = await self._ask(call)
        now = self._state.clock.now_ms()
        match outcomes:
            case CallFailed(reached):
                self._carry_out(self.planner.fail_call(call, now, reached))
            case _:
                self._log_call(call, now)
                self._carry_out(self.planner.complete_call(call, outcomes, now))
        self._start_calls()

    def _carry_out(self, commands: Iterable[Command]) -> None:
        for command in commands:
            match command:
                case StagesDone(execution_id=run) | StagesFailed(execution_id=run):
                    waiting = self._waiting.get(run)
                    if waiting is not None:
                        waiting.outcome = command
                        waiting.done.set()
                    elif isinstance(command, StagesDone):
                        self._carry_out(itertools.starmap(FreeResults, command.results))
                case FreeResults(service, handles) if handles:
                    self._group.start_soon(self._free, service, handles)

    async def _ask(self, call: Call) -> tuple[PieceOutcome, ...] | CallFailed:
        """Send a call and read what became of its pieces."""
        now = self._state.clock.now_ms()
        items = [
            wire.PieceRequest(
                request_id=piece.job.request,
                stage=piece.job.stage,
                piece=piece.number,
                remaining_ms=max(1, piece.job.deadline_ms - now),
                piece_key=piece.job.key,
                inputs=piece.job.inputs,
            )
            for piece in call.pieces
        ]
        expected_ms = (call.due_ms - call.started_ms) * const.SLOW_CALL_FACTOR
        timeout_ms = max(const.STAGE_CALL_TIMEOUT_MS, expected_ms)
        try:
            with anyio.fail_after(seconds(timeout_ms)):
                content = await self._exchange(
                    call.server, wire.encode_pieces(call.server, items)
                )
        except (UpstreamError, TimeoutError) as exc:
            self._log_failure(call, str(exc) or "timeout")
            return CallFailed(_was_reached(exc))
        outcomes = wire.decode_pieces(content, len(items))
        if outcomes is None:
            self._log_failure(call, "the answer can't be read")
            return CallFailed(reached=True)
        failed = [o.failure for o in outcomes if isinstance(o, PieceFailed)]
        if any(failure is not PieceFailure.OUT_OF_MEMORY for failure in failed):
            self._log_failure(call, ",".join(f.value for f in failed))
        return outcomes

    def _log_call(self, call: Call, now_ms: int) -> None:
        event(
            _LOGGER,
            "stage.called",
            service=call.server.service,
            server=call.server.id,
            requests=sorted({piece.job.request for piece in call.pieces}),
            pieces=len(call.pieces),
            late=sum(piece.job.best_effort for piece in call.pieces),
            waited_ms=call.started_ms - min(p.job.queued_ms for p in call.pieces),
            took_ms=now_ms - call.started_ms,
            expected_ms=call.due_ms - call.started_ms,
            waiting=self.planner.queues[call.server.service].waiting_pieces,
        )

    def _log_failure(self, call: Call, cause: str) -> None:
        event(
            _LOGGER,
            "stage.call_failed",
            service=call.server.service,
            server=call.server.id,
            requests=sorted({piece.job.request for piece in call.pieces}),
            pieces=len(call.pieces),
            took_ms=self._state.clock.now_ms() - call.started_ms,
            cause=cause,
        )

    async def _exchange(self, server: Server, request: OutgoingRequest) -> bytes:
        max_open = self._max_open(server.service)
        with self._links.until_cut(server):
            async with self._links.exchange(server, request, max_open) as answer:
                content = await answer.read(const.MAX_STAGE_ANSWER_BYTES)
        facts = wire.decode_head(answer.head)
        if facts.wrong_server:
            self._state.servers.mark_misdirected(server.id)
        if not facts.is_success:
            detail = f"{server.id} answered {answer.head.status}"
            raise UpstreamError(not_run(Reason.UPSTREAM_REFUSED, detail))
        return content

    def _max_open(self, service: str) -> int:
        deployment = self._state.deployment
        known = deployment.services.get(service) if deployment else None
        limit = known.max_connections if known else 1
        return max(1, round(limit * const.CONNECTION_SHARE))

    async def _free(self, service: str, handles: tuple[str, ...]) -> None:
        """Free results at their makers; what is not reached expires there."""
        makers = {
            server.address: server
            for server in self._state.servers.all()
            if server.service == service
        }
        for address, group in itertools.groupby(
            sorted(handles, key=wire.server_address_of), key=wire.server_address_of
        ):
            freed = list(group)
            maker = makers.get(address)
            if maker is not None:
                await self._free_at(maker, freed)
            self.planner.record_freed(service, freed)
        self._start_calls()

    async def _free_at(self, maker: Server, handles: list[str]) -> None:
        request = wire.encode_free_results(maker, handles)
        try:
            with anyio.fail_after(seconds(const.FREE_TIMEOUT_MS)):
                await self._exchange(maker, request)
        except (UpstreamError, TimeoutError) as exc:
            event(
                _LOGGER,
                "stage.free_failed",
                server=maker.id,
                results=len(handles),
                cause=str(exc) or "timeout",
            )


def _log_admission(order: RunStagesRequest, admitted: Admission) -> None:
    event(
        _LOGGER,
        "stages.admitted",
        request=order.request_id,
        pieces=order.piece_counts,
        late=admitted.best_effort,
        expected_ms=admitted.expected_ms,
        objective_left_ms=order.objective_remaining_ms,
        left_ms=order.remaining_ms,
    )


def _was_reached(exc: UpstreamError | TimeoutError) -> bool:
    if isinstance(exc, TimeoutError):
        return True
    return exc.refusal.verdict is not Verdict.NOT_RUN


def duty(group: str) -> str:
    """Return the name of the duty to run a group of pools."""
    return f"stages/{group}"


def _request(
    order: RunStagesRequest, choice: EngineChoice, now_ms: int
) -> StageRequest:
    return StageRequest(
        request=order.request_id,
        stages=order.stages,
        pieces=order.piece_counts,
        key=order.piece_key,
        deadline_ms=now_ms + order.remaining_ms,
        objective_ms=now_ms + order.objective_remaining_ms,
        engine_ms=round(choice.first_token_ms),
        rank=order.rank,
        team=order.team,
        engine_domain=choice.server.failure_domain,
    )
