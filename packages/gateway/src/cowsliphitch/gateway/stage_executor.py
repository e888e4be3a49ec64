"""Execution of requests' stages by the daemon that owns the stage pools.

Load pattern: all daemons send the stages of their requests to one owner per group of
pools, which batches them into calls to the stage servers.  Meanwhile servers fail, time
out or run out of memory, and callers cancel.
"""

import itertools
import logging
from collections.abc import Callable, Iterable

import anyio
import attrs

from cowsliphitch.core.batching import retention
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
from cowsliphitch.core.clock import MS_PER_SECOND, seconds
from cowsliphitch.core.engines.selector import CostWeights, EngineChoice, EngineSelector
from cowsliphitch.core.fleet.cells import WHOLE_FLEET, Cell
from cowsliphitch.core.limits.cold import without_waits
from cowsliphitch.core.limits.models import Denied, Granted
from cowsliphitch.core.overload.loop_delay import TICK_INTERVAL_MS
from cowsliphitch.core.quarantine.exposures import Exposure
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
from cowsliphitch.telemetry.tasks import BackgroundTasks
from cowsliphitch.upstreams.http1.models import OutgoingRequest, UpstreamError

from . import const
from .engine_quarantine import EngineQuarantine
from .permits import PermitBroker
from .server_client import Purpose, ServerClient
from .state import GatewayState, duty_name

_LOGGER = logging.getLogger(__name__)


@attrs.define
class _PendingRequest:
    """A request whose stages are running.

    :param engine_service: service whose engines it needs afterwards
    :param done: set when the stages have ended
    :param outcome: set before ``done``
    """

    engine_service: str
    done: anyio.Event = attrs.Factory(anyio.Event)
    outcome: StagesDone | StagesFailed | None = None


@attrs.frozen
class StageCallFailed:
    """A call to a stage server got no usable answer.

    :param may_have_run: the server may have run it
    """

    may_have_run: bool


class StageExecutor:
    """Run the stages of all daemons' requests in a cell that this daemon owns.

    The planner and the engine selector decide; this class does the I/O.

    :ivar duty: name of the duty to do so, empty before the first request
    :ivar delay_ms: how far behind the cell's stage servers and engines are
    """

    def __init__(
        self,
        state: GatewayState,
        client: ServerClient,
        permits: PermitBroker,
        costs: CostWeights,
        tasks: BackgroundTasks,
        quarantine: EngineQuarantine,
        cell: Cell = WHOLE_FLEET,
        record_choice: Callable[[EngineChoice], None] = lambda _choice: None,
    ) -> None:
        """Initialize without stage pools.

        :param permits: grants requests to limited servers
        :param quarantine: learns which requests were at servers that crashed
        :param tasks: send the calls to servers
        :param cell: the failure domains whose servers are used
        :param record_choice: counts a choice of an engine
        """
        self._state = state
        self._client = client
        self._permits = permits
        self._tasks = tasks
        self._quarantine = quarantine
        self._cell = cell
        self._record_choice = record_choice
        # Ready servers of the cell by service, with all ready ones at that time.
        self._ready_servers: dict[
            str, tuple[tuple[Server, ...], tuple[Server, ...]]
        ] = {}
        self._pruned: tuple[Server, ...] = ()
        self._last_request_ms = state.clock.now_ms()
        self._engine_service = ""
        self.duty = ""
        self.delay_ms = 0
        self.planner = StagePlanner(self._ready, permits, quarantine.runs_apart)
        self.engine_selector = EngineSelector(costs, permits)
        self._pending: dict[int, _PendingRequest] = {}
        self._applied_version = 0

    @property
    def active_requests(self) -> int:
        """Return the number of requests whose stages are running."""
        return len(self._pending)

    @property
    def is_idle(self) -> bool:
        """Return whether it had no request for so long that its state is of no use."""
        idle_ms = self._state.clock.now_ms() - self._last_request_ms
        return not self._pending and idle_ms > const.IDLE_EXECUTOR_MS

    def _ready(self, service: str) -> tuple[Server, ...]:
        """Return the cell's ready servers of a service, or all if it has none."""
        servers = self._state.servers.ready(service)
        known = self._ready_servers.get(service)
        if known is None or known[0] is not servers:
            own = tuple(s for s in servers if self._cell.contains(s.failure_domain))
            known = self._ready_servers[service] = servers, own or servers
        return known[1]

    async def run_stages(self, request: RunStagesRequest) -> RunStagesReply:
        """Run the stages of a request and choose its engine.

        Cancellation of the caller cancels the stages and frees their results.
        """
        now = self._last_request_ms = self._state.clock.now_ms()
        self._engine_service = request.engine_service
        is_new = not request.excluded_engines and not request.is_rerun
        if self._state.loop_delay.is_overloaded(now) and is_new:
            return self._refuse_overload(request, now)
        self._apply_settings()
        self._acquire_duty(request, now)
        objective_ms = now + request.objective_remaining_ms
        choice = self._choose_engine(request, objective_ms, ())
        if choice is None:
            detail = f"no server of {request.engine_service} is ready"
            refusal = not_run(
                Reason.NO_UPSTREAM, detail, const.NO_ENGINE_RETRY_AFTER_MS
            )
            return StagesRefused(refusal)
        stage_request = self._stage_request(request, choice, now)
        if not any(request.piece_counts):
            if not request.is_rerun and not request.excluded_engines:
                engine_refusal = self.planner.check_engine_only(stage_request, now)
                if engine_refusal is not None:
                    _log_refusal(request, stage_request, engine_refusal)
                    return StagesRefused(engine_refusal)
            return self._assign_engine(request, choice, ())
        evacuation_refusal = self._check_evacuated(request)
        if evacuation_refusal is not None:
            return StagesRefused(evacuation_refusal)
        limit_refusal = self._check_engine_limits(request, now)
        if limit_refusal is not None:
            return StagesRefused(limit_refusal)
        admitted = self.planner.admit(stage_request, now)
        if isinstance(admitted, Refusal):
            _log_refusal(request, stage_request, admitted)
            return StagesRefused(admitted)
        _log_admission(request, admitted)
        pending = self._pending[admitted.execution_id] = _PendingRequest(
            request.engine_service
        )
        self._start_calls()
        try:
            await pending.done.wait()
        finally:
            del self._pending[admitted.execution_id]
            if pending.outcome is None:
                self._execute_commands(self.planner.cancel(admitted.execution_id))
        match pending.outcome:
            case StagesDone(results=results):
                choice = self._choose_engine(request, objective_ms, results) or choice
                if choice.server.id in self._state.servers.evacuated(
                    request.engine_service
                ):
                    self._execute_commands(itertools.starmap(FreeResults, results))
                    return StagesRefused(_evacuation_refusal(request.engine_service))
                return self._assign_engine(request, choice, results)
            case StagesFailed(stage=stage, refusal=refusal):
                return StagesRefused(attrs.evolve(refusal, stage=str(stage)))
        raise AssertionError("the stages ended without an outcome")

    def _check_evacuated(self, request: RunStagesRequest) -> Refusal | None:
        """Return the refusal of a request with a stage that no server may run."""
        for stage, count in zip(request.stages, request.piece_counts, strict=False):
            if count and self._state.servers.is_evacuated(stage.service):
                return _evacuation_refusal(stage.service)
        return None

    def _check_engine_limits(
        self, request: RunStagesRequest, now_ms: int
    ) -> Refusal | None:
        """Return the refusal of a request whose place at an engine comes too late.

        The requests whose stages are running get their places first.
        """
        engines = self._ready(request.engine_service)
        rates = [self._permits.rate_per_s(engine) for engine in engines]
        total_per_s = sum(rate for rate in rates if rate is not None)
        if None in rates or not total_per_s:
            return None
        ahead = sum(
            pending.engine_service == request.engine_service
            for pending in self._pending.values()
        )
        wait_ms = min(self._permits.wait_ms(engine, now_ms) for engine in engines)
        wait_ms += ahead / total_per_s * MS_PER_SECOND
        # The objective of a rerun is nearly over, and it still keeps its place.
        left_ms = (
            request.remaining_ms if request.is_rerun else request.objective_remaining_ms
        )
        late_ms = wait_ms - max(0, left_ms)
        if late_ms <= 0:
            return None
        detail = (
            f"all engines limit their requests; a place is free in {wait_ms:.0f} ms"
        )
        retry_after_ms = max(const.NO_ENGINE_RETRY_AFTER_MS, round(late_ms))
        return not_run(Reason.RATE_LIMITED, detail, retry_after_ms)

    def _refuse_overload(self, request: RunStagesRequest, now_ms: int) -> StagesRefused:
        """Refuse a new request because this daemon can't keep up."""
        delay_ms = self._state.loop_delay.delay_ms(now_ms)
        event(_LOGGER, "stages.overload", request=request.request_id, delay_ms=delay_ms)
        detail = f"the owner of the stages is overloaded by {delay_ms} ms"
        return StagesRefused(
            not_run(Reason.QUEUE_FULL, detail, const.OVERLOAD_RETRY_AFTER_MS)
        )

    def _acquire_duty(self, request: RunStagesRequest, now_ms: int) -> None:
        """Acquire the duty for the request's pools if no better candidate is live."""
        deployment = self._state.deployment
        group = deployment.pool_group(request.engine_service) if deployment else ""
        self.duty = duty_name(group, self._cell)
        if self._state.stopping:
            return
        if self._state.members.acquire_duty(
            self.duty, now_ms, request.unreachable_owners, self._cell.domains
        ):
            event(_LOGGER, "duty.taken", duty=self.duty)

    def holds(self, results: StageResults) -> bool:
        """Return whether results take up memory of servers that are counted here."""
        queues = self.planner.queues
        return any(
            service in queues and queues[service].memory.holds(handle)
            for service, handles in results
            for handle in handles
        )

    def record_progress(
        self, report: EngineProgressReport, frees_results: bool = True
    ) -> None:
        """Record the progress of a request at its engine and free released results.

        :param frees_results: the released results are freed here
        """
        match report.progress:
            case EngineProgress.FETCHED:
                pass
            case EngineProgress.BEGAN:
                self.engine_selector.record_first_token(
                    report.request_id, self._state.clock.now_ms()
                )
            case EngineProgress.ENDED:
                self.engine_selector.record_end(report.request_id)
            case EngineProgress.FAILED:
                self.engine_selector.record_failure(
                    report.request_id, self._state.clock.now_ms()
                )
        if frees_results:
            self._execute_commands(
                itertools.starmap(FreeResults, report.released_results)
            )

    def _choose_engine(
        self, request: RunStagesRequest, objective_ms: int, results: StageResults
    ) -> EngineChoice | None:
        now = self._state.clock.now_ms()
        excluded = frozenset((*request.excluded_engines, *request.paused_engines))
        engines = self._ready(request.engine_service)
        if excluded.issuperset(engine.id for engine in engines):
            engines = self._state.servers.ready(request.engine_service)
        eligible = [
            engine
            for engine in engines
            if request.version in (None, engine.version) and engine.id not in excluded
        ]
        return self.engine_selector.choose(
            request.generation,
            without_waits(eligible, self._permits, self._state.server_limits, now),
            objective_ms - now,
            self._bytes_by_domain(request, results),
            now,
            excluded,
            request.priority,
        )

    def _assign_engine(
        self, request: RunStagesRequest, choice: EngineChoice, results: StageResults
    ) -> RunStagesReply:
        """Dispatch a request to an engine, if the engine's limit allows it."""
        now = self._state.clock.now_ms()
        permit_wait_ms: int | None = None
        if self._permits.rate_per_s(choice.server) is not None:
            decision = self._permits.decide(
                request.engine_service,
                (choice.server.id,),
                self._max_engine_wait_ms(request, results),
                request.request_id,
            )
            match decision:
                case Denied(retry_after_ms=retry_after_ms):
                    self._execute_commands(itertools.starmap(FreeResults, results))
                    detail = f"{choice.server.id} limits its requests"
                    return StagesRefused(
                        not_run(Reason.RATE_LIMITED, detail, retry_after_ms)
                    )
                case Granted(wait_ms=permit_wait_ms):
                    pass
        event(
            _LOGGER,
            "engine.chosen",
            request=request.request_id,
            server=choice.server.id,
            version=choice.server.version,
            expected_ms=round(choice.first_token_ms),
            read_again=choice.recomputed_tokens,
            parts=tuple(part.id for part in request.generation.shared_parts),
            cached=choice.cached_tokens,
            saved_ms=round(choice.saved_ms),
            wait_ms=round(choice.wait_ms),
            engine=self.engine_selector.load(choice.server),
        )
        retention_ms = self._retention_ms(request, choice, results)
        self._record_choice(choice)
        self.engine_selector.record_dispatch(
            request.request_id,
            choice.server,
            request.generation,
            now,
            request.priority,
            permit_wait_ms or 0,
        )
        return StagesCompleted(results, choice.server.id, permit_wait_ms, retention_ms)

    def _retention_ms(
        self, request: RunStagesRequest, choice: EngineChoice, results: StageResults
    ) -> int:
        """Return how long a request's results are kept, 0 for the usual time.

        Call this before the request counts as dispatched to the engine.
        """
        own_prefill_ms = self._own_prefill_ms(request, choice)
        retention_ms = self.planner.retention_ms(
            results, choice.first_token_ms, own_prefill_ms, self._state.clock.now_ms()
        )
        if retention_ms:
            event(
                _LOGGER,
                "stages.results_kept",
                request=request.request_id,
                server=choice.server.id,
                keep_ms=retention_ms,
                expected_ms=round(choice.first_token_ms),
                prefill_ms=round(own_prefill_ms),
            )
        return retention_ms

    def _own_prefill_ms(self, request: RunStagesRequest, choice: EngineChoice) -> float:
        """Return the part of the time to the first token that is not queueing."""
        return retention.prefill_ms(
            request.generation,
            choice.first_token_ms,
            self.engine_selector.backlog_ms((choice.server,)),
        )

    def _stage_request(
        self, request: RunStagesRequest, choice: EngineChoice, now_ms: int
    ) -> StageRequest:
        engine_wait_ms = choice.first_token_ms - self._own_prefill_ms(request, choice)
        return StageRequest(
            request_id=request.request_id,
            stages=request.stages,
            piece_counts=request.piece_counts,
            piece_key=request.piece_key,
            deadline_ms=now_ms + request.remaining_ms,
            objective_ms=now_ms + request.objective_remaining_ms,
            engine_ms=round(choice.first_token_ms),
            priority=request.priority,
            team=request.team,
            engine_domain=choice.server.failure_domain,
            digest=request.digest,
            is_rerun=request.is_rerun,
            engine_wait_ms=round(engine_wait_ms),
            engine_service=request.engine_service,
        )

    def _max_engine_wait_ms(
        self, request: RunStagesRequest, results: StageResults
    ) -> float:
        """Return the longest wait for a limited engine.

        A request whose stages have run waits longer, since their work would be lost.
        """
        left_ms = request.remaining_ms if results else request.objective_remaining_ms
        return max(0.0, left_ms * const.MAX_PERMIT_WAIT_SHARE)

    def _bytes_by_domain(
        self, request: RunStagesRequest, results: StageResults
    ) -> dict[str, int]:
        """Return the approximate size of the engine's inputs by failure domain."""
        sizes = {stage.service: stage.result_bytes for stage in request.stages}
        domains = {s.address: s.failure_domain for s in self._state.servers.all()}
        bytes_by_domain: dict[str, int] = {}
        for service, handles in results:
            for handle in handles:
                domain = domains.get(wire.server_address_of(handle), "")
                bytes_by_domain[domain] = (
                    bytes_by_domain.get(domain, 0) + sizes[service]
                )
        return bytes_by_domain

    def run_maintenance(self) -> None:
        """Fail jobs that can't meet their deadline, and start calls that can now run.

        Calls wait for memory for their results or for a server.
        """
        self._apply_settings()
        now, servers = self._state.clock.now_ms(), self._state.servers.all()
        if servers is not self._pruned:
            self._pruned = servers
            self.planner.prune_servers(servers)
        self.engine_selector.remove_stale(servers, now)
        self._execute_commands(self.planner.tick(now))
        if self._state.servers.evacuated_domains:
            self._refuse_evacuated(now)
        for service in {pending.engine_service for pending in self._pending.values()}:
            wait_ms = self.engine_selector.backlog_ms(self._ready(service))
            self.planner.set_engine_wait(service, wait_ms)
        self.delay_ms = self.planner.backlog_ms(now) + self._engine_backlog_ms()
        self._start_calls()

    def _refuse_evacuated(self, now_ms: int) -> None:
        """Refuse the requests that wait for pools whose servers are all evacuated."""
        for service in self.planner.queues:
            if self._state.servers.is_evacuated(service):
                refusal = _evacuation_refusal(service)
                self._execute_commands(
                    self.planner.refuse_waiting(service, refusal, now_ms)
                )

    def _engine_backlog_ms(self) -> int:
        engines = self._ready(self._engine_service) if self._engine_service else ()
        return self.engine_selector.backlog_ms(engines)

    def _apply_settings(self) -> None:
        deployment = self._state.deployment
        if deployment is None or deployment.version == self._applied_version:
            return
        self._applied_version = deployment.version
        self.planner.set_pools(
            {
                name: service.stage_pool
                for name, service in deployment.services.items()
                if service.stage_pool is not None
            }
        )
        self.engine_selector.set_pools(
            {
                name: service.engine_pool
                for name, service in deployment.services.items()
                if service.engine_pool is not None
            }
        )

    def _start_calls(self) -> None:
        for call in self.planner.plan_calls(self._state.clock.now_ms()):
            self._tasks.start_soon(self._run_call, call)

    async def _run_call(self, call: Call) -> None:
        try:
            outcomes = await self._send_call(call)
        except Exception:
            # Its pieces would wait for the call until their deadlines.
            self._end_call(call, StageCallFailed(may_have_run=True))
            raise
        self._end_call(call, outcomes)

    def _end_call(
        self, call: Call, outcomes: tuple[PieceOutcome, ...] | StageCallFailed
    ) -> None:
        now = self._state.clock.now_ms()
        match outcomes:
            case StageCallFailed(may_have_run):
                self._execute_commands(self.planner.fail_call(call, now, may_have_run))
            case _:
                self._log_completed_call(call, now)
                self._execute_commands(self.planner.complete_call(call, outcomes, now))
        self._start_calls()

    def _execute_commands(self, commands: Iterable[Command]) -> None:
        for command in commands:
            match command:
                case (
                    StagesDone(execution_id=execution_id)
                    | StagesFailed(execution_id=execution_id)
                ):
                    pending = self._pending.get(execution_id)
                    if pending is not None:
                        pending.outcome = command
                        pending.done.set()
                    elif isinstance(command, StagesDone):
                        # The request is no longer pending; nothing reads its results.
                        self._execute_commands(
                            itertools.starmap(FreeResults, command.results)
                        )
                case FreeResults(service, handles) if handles:
                    self._tasks.start_soon(self._free_results, service, handles)

    async def _send_call(
        self, call: Call
    ) -> tuple[PieceOutcome, ...] | StageCallFailed:
        """Send a call and return the outcomes of its pieces, in their order."""
        now = self._state.clock.now_ms()
        piece_requests = [
            wire.PieceRequest(
                request_id=piece.job.request_id,
                stage=piece.job.stage,
                piece=piece.number,
                remaining_ms=max(1, piece.job.deadline_ms - now),
                piece_key=piece.job.piece_key,
                inputs=piece.job.inputs,
            )
            for piece in call.pieces
        ]
        expected_ms = (call.due_ms - call.started_ms) * const.STAGE_CALL_TIMEOUT_FACTOR
        timeout_ms = max(const.MIN_STAGE_CALL_TIMEOUT_MS, expected_ms)
        digests = {piece.job.digest for piece in call.pieces} - {""}
        exposures: list[Exposure] = []

        def before_send(connected_ms: int) -> None:
            exposures.extend(
                self._quarantine.expose(digest, (), call.server, connected_ms)
                for digest in digests
            )

        try:
            with (
                anyio.fail_after(seconds(timeout_ms)),
                self._quarantine.observe(exposures),
            ):
                content = await self._exchange(
                    call.server,
                    wire.encode_pieces(call.server, piece_requests),
                    Purpose.STAGE_CALL,
                    before_send,
                )
        except (UpstreamError, TimeoutError) as exc:
            self._log_failed_call(call, str(exc) or "timeout")
            # What the pieces are tried again with depends on the verdict on the server.
            await self._quarantine.wait_until_judged(call.server)
            return StageCallFailed(_may_have_run(exc))
        outcomes = wire.decode_pieces(content, len(piece_requests))
        if outcomes is None:
            self._log_failed_call(call, "the answer can't be read")
            return StageCallFailed(may_have_run=True)
        failures = [o.failure for o in outcomes if isinstance(o, PieceFailed)]
        if any(failure is not PieceFailure.OUT_OF_MEMORY for failure in failures):
            self._log_failed_call(call, ",".join(f.value for f in failures))
        return outcomes

    def _log_completed_call(self, call: Call, now_ms: int) -> None:
        event(
            _LOGGER,
            "stage.called",
            service=call.server.service,
            server=call.server.id,
            requests=sorted({piece.job.request_id for piece in call.pieces}),
            pieces=len(call.pieces),
            late=sum(piece.job.best_effort for piece in call.pieces),
            waited_ms=call.started_ms - min(p.job.queued_ms for p in call.pieces),
            took_ms=now_ms - call.started_ms,
            expected_ms=call.due_ms - call.started_ms,
            waiting=self.planner.queues[call.server.service].waiting_pieces,
        )

    def _log_failed_call(self, call: Call, cause: str) -> None:
        event(
            _LOGGER,
            "stage.call_failed",
            service=call.server.service,
            server=call.server.id,
            requests=sorted({piece.job.request_id for piece in call.pieces}),
            pieces=len(call.pieces),
            took_ms=self._state.clock.now_ms() - call.started_ms,
            cause=cause,
        )

    async def _exchange(
        self,
        server: Server,
        request: OutgoingRequest,
        purpose: Purpose,
        before_send: Callable[[int], None] = lambda _connected_ms: None,
    ) -> bytes:
        max_connections = self._max_connections(server.service)
        with self._client.cancel_if_unreachable(server):
            async with self._client.exchange(
                server, request, max_connections, purpose, check_sendable=before_send
            ) as answer:
                content = await answer.read(const.MAX_STAGE_ANSWER_BYTES)
        metadata = wire.decode_head(answer.head)
        if metadata.wrong_server:
            self._state.servers.mark_misdirected(server.id)
        if not metadata.is_success:
            detail = f"{server.id} answered {answer.head.status}"
            raise UpstreamError(not_run(Reason.UPSTREAM_REFUSED, detail))
        return content

    def _max_connections(self, service: str) -> int:
        deployment = self._state.deployment
        service_settings = deployment.services.get(service) if deployment else None
        limit = service_settings.max_connections if service_settings else 1
        return max(1, round(limit * const.MAX_CONNECTION_SHARE))

    async def _free_results(self, service: str, handles: tuple[str, ...]) -> None:
        """Free results at the servers that hold them, at each one by itself."""
        for address, handles_at_server in itertools.groupby(
            sorted(handles, key=wire.server_address_of), key=wire.server_address_of
        ):
            self._tasks.start_soon(
                self._free_results_of, service, address, list(handles_at_server)
            )

    async def _free_results_of(
        self, service: str, address: str, handles: list[str]
    ) -> None:
        """Free results at one server, after the time in which it wants no requests.

        Results at a server that can't be reached or is leaving expire there.
        """
        servers = self._state.servers
        holder = next(
            (s for s in servers.all() if (s.service, s.address) == (service, address)),
            None,
        )
        try:
            while holder is not None and (
                until_ms := servers.paused(service).get(holder.id)
            ):
                left_ms = until_ms - self._state.clock.now_ms()
                await anyio.sleep(seconds(max(left_ms, TICK_INTERVAL_MS)))
            if holder is not None and servers.is_usable(holder):
                await self._free_results_at(holder, handles)
        finally:
            self.planner.record_freed(service, handles)
        self._start_calls()

    async def _free_results_at(self, holder: Server, handles: list[str]) -> None:
        request = wire.encode_free_results(holder, handles)
        try:
            with anyio.fail_after(seconds(const.FREE_RESULTS_TIMEOUT_MS)):
                await self._exchange(holder, request, Purpose.FREE_RESULTS)
        except (UpstreamError, TimeoutError) as exc:
            event(
                _LOGGER,
                "stage.free_failed",
                server=holder.id,
                results=len(handles),
                cause=str(exc) or "timeout",
            )


def _evacuation_refusal(service: str) -> Refusal:
    detail = f"all servers of {service} are in evacuated failure domains"
    return not_run(Reason.NO_UPSTREAM, detail, const.EVACUATED_RETRY_AFTER_MS)


def _log_admission(request: RunStagesRequest, admitted: Admission) -> None:
    event(
        _LOGGER,
        "stages.admitted",
        request=request.request_id,
        pieces=request.piece_counts,
        late=admitted.best_effort,
        rerun=request.is_rerun,
        reserved=admitted.is_reserved,
        expected_ms=admitted.expected_ms,
        objective_left_ms=request.objective_remaining_ms,
        left_ms=request.remaining_ms,
    )


def _log_refusal(
    request: RunStagesRequest, stage_request: StageRequest, refusal: Refusal
) -> None:
    event(
        _LOGGER,
        "stages.refused",
        request=request.request_id,
        reason=refusal.reason.value,
        cause=refusal.detail,
        pieces=request.piece_counts,
        rank=request.priority,
        rerun=request.is_rerun,
        engine_ms=stage_request.engine_ms,
        engine_wait_ms=stage_request.engine_wait_ms,
        objective_left_ms=request.objective_remaining_ms,
        left_ms=request.remaining_ms,
        retry_after_ms=refusal.retry_after_ms,
    )


def _may_have_run(exc: UpstreamError | TimeoutError) -> bool:
    if isinstance(exc, TimeoutError):
        return True
    return exc.refusal.verdict is not Verdict.NOT_RUN
