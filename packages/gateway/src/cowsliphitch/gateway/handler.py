"""From a caller's request to its answer: route, key, stages, server."""

import logging
from typing import Any

import anyio
import attrs
from result import Err, Ok

from cowsliphitch.callers.edge.models import EdgeRequest, Reply
from cowsliphitch.core.clock import seconds
from cowsliphitch.core.deployment.models import Deployment, Route, RouteKind, Team
from cowsliphitch.core.requests.models import CallerRequest
from cowsliphitch.core.servers.models import Server
from cowsliphitch.core.verdict import (
    Reason,
    Refusal,
    Verdict,
    may_have_run,
    not_run,
)
from cowsliphitch.peers.fleet.models import EngineProgress, EngineProgressReport
from cowsliphitch.platform.callers import decode_request, encode_refusal
from cowsliphitch.telemetry.logs import event

from . import const
from .forwarding import Forwarder, Passage
from .metrics import RequestMetrics
from .stages import OwnedStages, StageError, StageNeeds, StageRunner
from .state import GatewayState

_LOGGER = logging.getLogger(__name__)

ENGINE_RESTART_MS = 300

# Another daemon can be asked at once.
STOPPING_RETRY_MS = 20


@attrs.define
class _Trace:
    """What the log says of a request when it has ended."""

    route: str = ""
    team: str = ""
    version: int = 0
    stages_ms: int | None = None


class EngineReport:
    """Tell the owner of the stages what becomes of a request at its engine."""

    def __init__(self, stages: StageRunner, request: str, owned: OwnedStages) -> None:
        """Hold the results until the engine has read them."""
        self._stages = stages
        self._request = request
        self._owner = owned.owner
        self._results = owned.made.results
        self._told = False
        self._timer: anyio.CancelScope | None = None

    @property
    def holds_results(self) -> bool:
        """Tell whether another engine can still read the results."""
        return bool(self._results)

    def take(self, owned: OwnedStages) -> None:
        """Go on with stages that were done again, or with another engine."""
        self._owner = owned.owner
        self._results = owned.made.results or self._results

    def sent(self) -> None:
        """Free the results once the engine must have fetched them."""
        self._timer = anyio.CancelScope()
        self._stages.after(const.RESULTS_FETCHED_MS, self._timer, self._release)

    def _release(self) -> None:
        if self._results:
            self._tell(EngineProgress.FETCHED, keep=False)

    def began(self) -> None:
        """Report that the engine answers, so that the results are not needed."""
        self._tell(EngineProgress.BEGAN, keep=False)

    def failed(self) -> None:
        """Report that the engine failed; another may still need the results."""
        if self._timer is not None:
            self._timer.cancel()
        self._tell(EngineProgress.FAILED, keep=True)

    def close(self) -> None:
        """Give up what is left when the request has ended."""
        if self._results or not self._told:
            self._tell(EngineProgress.ENDED, keep=False)

    def _tell(self, progress: EngineProgress, keep: bool) -> None:
        results = () if keep else self._results
        if not keep:
            self._results = ()
        self._told = True
        note = EngineProgressReport(self._request, progress, results)
        self._stages.note(self._owner, note)


class RequestHandler:
    """Answer the requests of callers."""

    def __init__(
        self,
        state: GatewayState,
        forwarder: Forwarder,
        stages: StageRunner,
        metrics: RequestMetrics,
    ) -> None:
        """Use the daemon's parts."""
        self._state = state
        self._forwarder = forwarder
        self._stages = stages
        self._metrics = metrics

    async def handle(self, req: EdgeRequest, reply: Reply) -> None:
        """Answer one request."""
        match decode_request(req):
            case Err(detail):
                malformed = not_run(Reason.INVALID_REQUEST, detail)
                await self._refuse(None, malformed, reply)
                self._log(None, _Trace(), malformed, None, req.received_ms)
                return
            case Ok(request):
                pass
        trace = _Trace()
        passage: Passage | None = None
        refusal: Refusal | None = None
        finished = False
        try:
            admitted = self._admit(request, trace)
            if isinstance(admitted, Refusal):
                refusal = admitted
            else:
                passage = admitted
                refusal = await self._serve(passage, trace, reply)
            if refusal is not None and not reply.started:
                await self._refuse(request, refusal, reply)
            finished = True
        finally:
            left = None if finished else "caller left"
            self._log(request, trace, refusal, passage, request.received_ms, left)

    def _admit(self, request: CallerRequest, trace: _Trace) -> Passage | Refusal:
        """Find the route and the team, and check what can be checked at once."""
        deployment = self._state.deployment
        if deployment is None:
            detail = "this daemon knows no settings yet"
            return not_run(Reason.NOT_CONFIGURED, detail, const.NO_SETTINGS_RETRY_MS)
        trace.version = deployment.version
        route = deployment.route_for(request.host, request.path)
        if route is None:
            detail = f"no route of {request.host} begins {request.path}"
            return not_run(Reason.UNKNOWN_ROUTE, detail)
        trace.route = route.name
        if self._is_too_late(route):
            detail = "this daemon is stopping and could not finish in time"
            return not_run(Reason.SHUTTING_DOWN, detail, STOPPING_RETRY_MS)
        team = self._team(deployment, route, request)
        if isinstance(team, Refusal):
            return team
        trace.team = team.name if team else ""
        priority = team.priority if team and team.priority is not None else None
        timeout_ms = route.timeout_ms - const.TIMEOUT_MARGIN_MS
        if request.timeout_ms is not None:
            timeout_ms = min(timeout_ms, request.timeout_ms)
        return Passage(
            request=request,
            route=route,
            service=route.service_for(request.id),
            team=team,
            rank=route.priority if priority is None else priority,
            end_ms=request.received_ms + timeout_ms,
        )

    def _is_too_late(self, route: Route) -> bool:
        """Tell whether a request might not end before this daemon does."""
        if not self._state.stopping:
            return False
        since_ms = self._state.clock.now_ms() - self._state.stopping_since_ms
        stream = route.kind is RouteKind.STREAM
        last = const.STOPPING_STREAMS_MS if stream else const.STOPPING_REQUESTS_MS
        return since_ms > last

    def _team(
        self, deployment: Deployment, route: Route, request: CallerRequest
    ) -> Team | Refusal | None:
        if not deployment.requires_key:
            return None
        team = deployment.team_by_key.get(request.key or "")
        if team is None and not route.public:
            return not_run(Reason.UNAUTHENTICATED, "the key belongs to no team")
        return team

    async def _serve(
        self, passage: Passage, trace: _Trace, reply: Reply
    ) -> Refusal | None:
        """Run a request within its time; return the refusal if it got no answer."""
        left_ms = passage.end_ms - self._state.clock.now_ms()
        refusal: Refusal | None = None
        with anyio.move_on_after(seconds(max(0, left_ms))) as scope:
            refusal = await self._run(passage, trace, reply)
        if scope.cancelled_caught:
            return _timed_out(passage)
        return refusal

    async def _run(
        self, passage: Passage, trace: _Trace, reply: Reply
    ) -> Refusal | None:
        deployment = self._state.deployment
        engines = deployment is not None and deployment.has_engines(passage.service)
        if not engines and not passage.route.stages:
            return await self._forwarder.run(passage, reply)
        patience_ms = passage.route.first_event_timeout_ms
        first_event_ms = passage.request.received_ms + patience_ms
        needs = StageNeeds(
            request=passage.request,
            route=passage.route,
            team=trace.team,
            rank=passage.rank,
            end_ms=min(passage.end_ms, first_event_ms),
            objective_ms=passage.request.received_ms + passage.route.objective_ms,
            engines=passage.service,
        )
        refusal = await self._run_at_engine(passage, needs, trace, reply)
        lost = refusal is not None and refusal.reason is Reason.RESULT_LOST
        if lost and passage.attempts.verdict is Verdict.NOT_RUN:
            event(_LOGGER, "stages.again", request=passage.request.id)
            refusal = await self._run_at_engine(passage, needs, trace, reply)
        return refusal

    async def _run_at_engine(
        self, passage: Passage, needs: StageNeeds, trace: _Trace, reply: Reply
    ) -> Refusal | None:
        """Have the stages done, then let the engine answer."""
        started_ms = self._state.clock.now_ms()
        try:
            owned = await self._stages.run(needs)
        except StageError as exc:
            return exc.refusal
        trace.stages_ms = self._state.clock.now_ms() - started_ms
        passage.stage_results = owned.made.handles
        passage.first_server = self._state.servers.get(owned.made.engine_id)
        report = EngineReport(self._stages, passage.request.id, owned)

        async def next_engine() -> Server | None:
            # A stream that is resumed needs its results again after they were freed.
            made_before = report.holds_results or not passage.stage_results
            again = attrs.evolve(
                needs,
                stages_done=made_before,
                avoid=tuple(passage.attempts.tried_servers),
                end_ms=passage.end_ms,
            )
            try:
                chosen = await self._stages.run(again)
            except StageError as exc:
                event(
                    _LOGGER,
                    "engine.none",
                    request=passage.request.id,
                    cause=exc.refusal.detail,
                )
                return None
            if not made_before:
                passage.stage_results = chosen.made.handles
            report.take(chosen)
            return self._state.servers.get(chosen.made.engine_id)

        passage.next_server = next_engine
        passage.on_sent = report.sent
        passage.on_head = report.began
        passage.on_failure = report.failed
        try:
            return await self._forwarder.run(passage, reply)
        finally:
            report.close()

    async def _refuse(
        self, request: CallerRequest | None, refusal: Refusal, reply: Reply
    ) -> None:
        status, headers = encode_refusal(request.id if request else None, refusal)
        await reply.start(status, headers, 0)
        await reply.end()

    def _log(
        self,
        request: CallerRequest | None,
        trace: _Trace,
        refusal: Refusal | None,
        passage: Passage | None,
        received_ms: int,
        left: str | None = None,
    ) -> None:
        """Write the one line that tells how a request ended."""
        took_ms = self._state.clock.now_ms() - received_ms
        outcome = "answered" if refusal is None else "refused"
        outcome = "left" if left else outcome
        self._metrics.request(trace.route, trace.team, outcome, took_ms)
        stream = passage.stream if passage else None
        if stream is not None and stream.first_event_ms is not None:
            first_ms = stream.first_event_ms - received_ms
            self._metrics.first_event(trace.route, first_ms)
        else:
            first_ms = None
        fields: dict[str, Any] = {
            "request": request.id if request else None,
            "route": trace.route,
            "team": trace.team,
            "settings": trace.version,
            "outcome": outcome,
            "status": passage.status if passage and refusal is None else None,
            "server": passage.server if passage else None,
            "attempts": len(passage.attempts.tried_servers) if passage else 0,
            "stages_ms": trace.stages_ms,
            "first_event_ms": first_ms,
            "events": stream.events if stream else None,
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


def _timed_out(passage: Passage) -> Refusal:
    detail = "there was no whole answer in time"
    if passage.attempts.verdict is Verdict.NOT_RUN:
        return not_run(
            Reason.DEADLINE_EXCEEDED, detail, retry_after_ms=ENGINE_RESTART_MS
        )
    return may_have_run(Reason.DEADLINE_EXCEEDED, detail)
