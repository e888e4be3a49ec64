"""Handling of callers' requests: admission, stages, forwarding and the final log line.

Load: plain calls, and generations whose stages run at the daemon that owns their pools
before an engine answers.  Fault: engines, stage results and owners are lost meanwhile.
"""

import functools
import logging
from typing import Any

import anyio
import attrs
from result import Err, Ok

from cowsliphitch.callers.edge.models import EdgeRequest, Reply
from cowsliphitch.core.clock import Clock
from cowsliphitch.core.deployment.models import Deployment, Route, RouteKind, Team
from cowsliphitch.core.requests.models import CallerRequest
from cowsliphitch.core.servers.models import Server
from cowsliphitch.core.verdict import (
    Reason,
    Refusal,
    Verdict,
    not_run,
)
from cowsliphitch.peers.fleet.models import (
    EngineProgress,
    EngineProgressReport,
    StagesCompleted,
)
from cowsliphitch.platform.callers import decode_request, encode_refusal
from cowsliphitch.telemetry.logs import event

from . import const
from .engine_quarantine import EngineQuarantine
from .forwarding import Forwarder, RequestContext
from .in_flight import STOPPING_RETRY_AFTER_MS, InFlightRequests
from .metrics import RequestMetrics
from .permits import Permit
from .stage_runner import StageError, StageRunner, StageRunParams, StageRunResult
from .state import GatewayState
from .stream_coordinator import StreamCoordinator

_LOGGER = logging.getLogger(__name__)


@attrs.define
class _RequestLogFields:
    """Fields of the log line of a request, collected while it is handled.

    :param settings_version: version of the settings that admitted the request
    :param stages_ms: duration of the stages, ``None`` if they did not complete
    """

    route: str = ""
    team: str = ""
    settings_version: int = 0
    stages_ms: int | None = None


class EngineProgressReporter:
    """Report the progress of a request at its engine to the owner of its stages.

    The owner keeps the stage results until a report releases them.
    """

    def __init__(
        self,
        stage_runner: StageRunner,
        request_id: str,
        result: StageRunResult,
        clock: Clock,
    ) -> None:
        """Initialize with the results of the stages, none of which is released yet.

        :param request_id: identifier of the request
        :param result: the completed stages, which have just been received
        """
        self._clock = clock
        self._stage_runner = stage_runner
        self._request_id = request_id
        self._owner = result.owner
        self._results = result.completed.results
        self._kept_until_ms = self._end_of_retention_ms(result)
        self._has_reported = False
        self._timer: anyio.CancelScope | None = None

    @property
    def has_results(self) -> bool:
        """Return whether there are results that another engine can still read."""
        return bool(self._results)

    def set_assignment(self, assigned: StageRunResult) -> None:
        """Replace the owner, and the results if the stages ran again.

        The first engine may have refused the request without a fault of its own, and
        the next one needs the results until it has fetched them.  An owner that only
        chose an engine does not say how long they are kept; what was said before holds.
        """
        self._cancel_timer()
        self._owner = assigned.owner
        kept_until_ms = self._end_of_retention_ms(assigned)
        if assigned.completed.results:
            self._results = assigned.completed.results
        else:
            kept_until_ms = max(kept_until_ms, self._kept_until_ms)
        self._kept_until_ms = kept_until_ms

    def _end_of_retention_ms(self, result: StageRunResult) -> int:
        """Return the monotonic time until which the owner wants the results kept."""
        return self._clock.now_ms() + result.completed.retention_ms

    def start_release_timer(self) -> None:
        """Release the results after the time in which an engine fetches them.

        Where the owner expects the engine to queue the request, they are kept until
        the engine begins, but not longer than the owner says.
        """
        self._timer = anyio.CancelScope()
        left_ms = self._kept_until_ms - self._clock.now_ms()
        self._stage_runner.schedule(
            max(const.RESULT_FETCH_TIME_MS, left_ms), self._timer, self._release_results
        )

    def _release_results(self) -> None:
        if self._results:
            self._report(EngineProgress.FETCHED, keep_results=False)

    def report_began(self) -> None:
        """Report that the engine has begun to answer; it needs no results any more."""
        self._cancel_timer()
        self._report(EngineProgress.BEGAN, keep_results=False)

    def report_failed(self) -> None:
        """Report that the engine failed; the next one may need the results."""
        self._cancel_timer()
        self._report(EngineProgress.FAILED, keep_results=True)

    def close(self) -> None:
        """Report the end of the request, and release results that are still held.

        Nothing is sent if a report was sent before and no results are held.
        """
        self._cancel_timer()
        if self._results or not self._has_reported:
            self._report(EngineProgress.ENDED, keep_results=False)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _report(self, progress: EngineProgress, keep_results: bool) -> None:
        results = () if keep_results else self._results
        if not keep_results:
            self._results = ()
        self._has_reported = True
        report = EngineProgressReport(self._request_id, progress, results)
        self._stage_runner.report_progress(self._owner, report)


class RequestHandler:
    """Answer the requests of callers, and log and count their outcomes."""

    def __init__(
        self,
        state: GatewayState,
        forwarder: Forwarder,
        stage_runner: StageRunner,
        metrics: RequestMetrics,
        quarantine: EngineQuarantine,
        streams: StreamCoordinator,
    ) -> None:
        """Initialize with the shared components of the daemon."""
        self._streams = streams
        self._quarantine = quarantine
        self.in_flight = InFlightRequests(state, quarantine)
        self._state = state
        self._forwarder = forwarder
        self._stage_runner = stage_runner
        self._metrics = metrics

    async def handle(self, req: EdgeRequest, reply: Reply) -> None:
        """Answer a request, if need be with a refusal, and log its outcome."""
        match decode_request(req):
            case Err(detail):
                malformed = not_run(Reason.INVALID_REQUEST, detail)
                await self._send_refusal(None, malformed, reply)
                self._log_outcome(
                    None, _RequestLogFields(), malformed, None, req.received_ms
                )
                return
            case Ok(request):
                pass
        log_fields = _RequestLogFields()
        ctx: RequestContext | None = None
        refusal: Refusal | None = None
        finished = False
        try:
            admitted = self._admit(request, log_fields)
            if isinstance(admitted, Refusal):
                refusal = admitted
            else:
                ctx = admitted
                reply.admit()
                run = functools.partial(self._run, ctx, log_fields, reply)
                refusal = await self.in_flight.run_until_deadline(ctx, reply, run)
            if refusal is not None and not reply.started:
                await self._send_refusal(request, refusal, reply)
            finished = True
        finally:
            abandon_reason = None if finished else "caller left"
            self._log_outcome(
                request, log_fields, refusal, ctx, request.received_ms, abandon_reason
            )

    def _admit(
        self, request: CallerRequest, log_fields: _RequestLogFields
    ) -> RequestContext | Refusal:
        """Return the context of a request, or the refusal if it is not admitted."""
        deployment = self._state.deployment
        if deployment is None:
            detail = "this daemon knows no settings yet"
            return not_run(
                Reason.NOT_CONFIGURED, detail, const.NO_SETTINGS_RETRY_AFTER_MS
            )
        log_fields.settings_version = deployment.version
        route = deployment.route_for(request.host, request.path)
        if route is None:
            detail = f"no route of {request.host} begins {request.path}"
            return not_run(Reason.UNKNOWN_ROUTE, detail)
        log_fields.route = route.name
        timeout_ms = route.timeout_ms - const.ROUTE_TIMEOUT_MARGIN_MS
        if request.timeout_ms is not None:
            timeout_ms = min(timeout_ms, request.timeout_ms)
        if self._is_past_shutdown_cutoff(route, timeout_ms):
            detail = "this daemon is stopping and could not finish in time"
            return not_run(Reason.SHUTTING_DOWN, detail, STOPPING_RETRY_AFTER_MS)
        team = self._find_team(deployment, route, request)
        if isinstance(team, Refusal):
            return team
        log_fields.team = team.name if team else ""
        quarantined = self._quarantine.refusal_of(request)
        if quarantined is not None:
            return quarantined
        priority = team.priority if team and team.priority is not None else None
        return RequestContext(
            request=request,
            route=route,
            service=route.service_for(request.stream_id),
            team=team,
            priority=route.priority if priority is None else priority,
            deadline_ms=request.received_ms + timeout_ms,
        )

    def _is_past_shutdown_cutoff(self, route: Route, timeout_ms: int) -> bool:
        """Return whether a new request might not finish before this daemon exits."""
        plan = self._state.shutdown_plan
        if plan is None:
            return False
        stopping_ms = self._state.clock.now_ms() - self._state.stopping_since_ms
        return not plan.takes(stopping_ms, timeout_ms, route.kind)

    def _find_team(
        self, deployment: Deployment, route: Route, request: CallerRequest
    ) -> Team | Refusal | None:
        """Return the team of a request's key, ``None`` if it may run without one."""
        if not deployment.requires_key:
            return None
        team = deployment.team_of(request.api_key)
        if team is None and not route.public:
            return not_run(Reason.UNAUTHENTICATED, "the key belongs to no team")
        return team

    async def _run(
        self, ctx: RequestContext, log_fields: _RequestLogFields, reply: Reply
    ) -> Refusal | None:
        """Run a request, after its stages if it has any.

        If the stage results are lost before the request ran, the stages run once more
        and the request keeps its place at their owner.
        """
        if ctx.route.kind is RouteKind.STREAM and ctx.request.last_event_id:
            refusal = await self._streams.bind(ctx)
            if refusal is not None:
                return refusal
        deployment = self._state.deployment
        has_engines = deployment is not None and deployment.has_engines(ctx.service)
        if not has_engines and not ctx.route.stages:
            return await self._forwarder.run(ctx, reply)
        first_event_timeout_ms = ctx.route.first_event_timeout_ms
        deadlines_ms = (
            ctx.deadline_ms,
            ctx.request.received_ms + first_event_timeout_ms,
            self._state.answer_by_ms,
        )
        params = StageRunParams(
            request=ctx.request,
            route=ctx.route,
            team=log_fields.team,
            priority=ctx.priority,
            deadline_ms=min(ms for ms in deadlines_ms if ms is not None),
            objective_ms=ctx.request.received_ms + ctx.route.objective_ms,
            engine_service=ctx.service,
            version=ctx.version,
        )
        refusal = await self._run_at_engine(ctx, params, log_fields, reply)
        is_result_lost = refusal is not None and refusal.reason is Reason.RESULT_LOST
        if is_result_lost and ctx.attempts.verdict is Verdict.NOT_RUN:
            event(_LOGGER, "stages.again", request=ctx.request.id)
            rerun = attrs.evolve(params, is_rerun=True)
            refusal = await self._run_at_engine(ctx, rerun, log_fields, reply)
        return refusal

    async def _run_at_engine(
        self,
        ctx: RequestContext,
        params: StageRunParams,
        log_fields: _RequestLogFields,
        reply: Reply,
    ) -> Refusal | None:
        """Run the stages of a request, then forward it to its engine."""
        started_ms = self._state.clock.now_ms()
        try:
            result = await self._stage_runner.run(params)
        except StageError as exc:
            return exc.refusal
        log_fields.stages_ms = self._state.clock.now_ms() - started_ms
        ctx.stage_results = result.completed.handles
        ctx.preferred_server = self._state.servers.get(result.completed.engine_id)
        ctx.permit = self._permit_of(result.completed)
        reporter = EngineProgressReporter(
            self._stage_runner, ctx.request.id, result, self._state.clock
        )

        async def choose_engine() -> Server | None:
            # The stages run again if their results were freed, since a resumed stream
            # needs them.
            engine_only = reporter.has_results or not ctx.stage_results
            engine_params = attrs.evolve(
                params,
                engine_only=engine_only,
                excluded_engines=tuple(ctx.attempts.tried_servers),
                deadline_ms=ctx.deadline_ms,
                version=ctx.version,
                is_rerun=True,
            )
            try:
                chosen = await self._stage_runner.run(engine_params)
            except StageError as exc:
                event(
                    _LOGGER,
                    "engine.none",
                    request=ctx.request.id,
                    cause=exc.refusal.detail,
                )
                return None
            if not engine_only:
                ctx.stage_results = chosen.completed.handles
            reporter.set_assignment(chosen)
            ctx.permit = self._permit_of(chosen.completed)
            return self._state.servers.get(chosen.completed.engine_id)

        ctx.choose_server = choose_engine
        ctx.on_sent = reporter.start_release_timer
        ctx.on_head = reporter.report_began
        ctx.on_failure = reporter.report_failed
        try:
            return await self._forwarder.run(ctx, reply)
        finally:
            reporter.close()

    def _permit_of(self, completed: StagesCompleted) -> Permit | None:
        """Return the permit that the owner gave with the choice of an engine."""
        if completed.permit_wait_ms is None:
            return None
        now = self._state.clock.now_ms()
        return Permit(completed.engine_id, now + completed.permit_wait_ms)

    async def _send_refusal(
        self, request: CallerRequest | None, refusal: Refusal, reply: Reply
    ) -> None:
        status, headers = encode_refusal(request.id if request else None, refusal)
        await reply.start(status, headers, 0)
        await reply.end()

    def _log_outcome(
        self,
        request: CallerRequest | None,
        log_fields: _RequestLogFields,
        refusal: Refusal | None,
        ctx: RequestContext | None,
        received_ms: int,
        abandon_reason: str | None = None,
    ) -> None:
        """Log and count the outcome of a request, once for each request.

        :param ctx: ``None`` if the request was not admitted
        :param abandon_reason: why the request was cancelled before its end, ``None`` if
            it was answered or refused
        """
        took_ms = self._state.clock.now_ms() - received_ms
        outcome = "answered" if refusal is None else "refused"
        outcome = "left" if abandon_reason else outcome
        self._metrics.record_request(
            log_fields.route, log_fields.team, outcome, took_ms
        )
        progress = ctx.stream_progress if ctx else None
        if progress is not None and progress.first_event_ms is not None:
            first_event_ms = progress.first_event_ms - received_ms
            self._metrics.record_first_event(log_fields.route, first_event_ms)
        else:
            first_event_ms = None
        fields: dict[str, Any] = {
            "request": request.id if request else None,
            "route": log_fields.route,
            "team": log_fields.team,
            "settings": log_fields.settings_version,
            "outcome": outcome,
            "status": ctx.status if ctx and refusal is None else None,
            "server": ctx.server_id if ctx else None,
            "attempts": len(ctx.attempts.tried_servers) if ctx else 0,
            "stages_ms": log_fields.stages_ms,
            "first_event_ms": first_event_ms,
            "events": progress.event_count if progress else None,
            "took_ms": took_ms,
        }
        if refusal is not None:
            fields |= {
                "verdict": refusal.verdict.value,
                "reason": refusal.reason.value,
                "cause": refusal.detail,
                "stage": refusal.stage,
                "retry_after_ms": refusal.retry_after_ms,
            }
        event(
            _LOGGER,
            "request.ended",
            **{k: v for k, v in fields.items() if v is not None},
        )
