"""The daemon as callers see it: admission, deadlines and counting."""

from collections.abc import AsyncGenerator
from contextlib import aclosing
from functools import lru_cache

from result import Err, Ok, Result

from cowsliphitch.callers.models import Headers, PipelineBody
from cowsliphitch.core import ids, tokens
from cowsliphitch.core.clock import Clock
from cowsliphitch.core.serving.models import (
    Finished,
    PipelineEvent,
    PipelineRequest,
    Refused,
    ServiceAnswer,
    ServiceRequest,
    TokenLines,
)
from cowsliphitch.core.settings.models import EMPTY_SETTINGS, Settings
from cowsliphitch.core.verdict import Reason, Refusal, not_run

from .metrics import Metrics
from .serving.pipelines import PipelineRunner
from .serving.services import ServiceRunner

TOKEN_CACHE_ENTRIES = 4_096

_cached_match = lru_cache(TOKEN_CACHE_ENTRIES)(tokens.matches)


class DaemonGateway:
    """Admit requests and hand them to the runners."""

    def __init__(
        self,
        pipelines: PipelineRunner,
        services: ServiceRunner,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        """Start without a configuration: nothing is admitted yet."""
        self._pipelines = pipelines
        self._services = services
        self._metrics = metrics
        self._clock = clock
        self._settings = EMPTY_SETTINGS
        self._configured = False
        self.draining = False
        self.closed = False
        self.in_flight = 0

    def apply(self, settings: Settings) -> None:
        """Use new settings from now on."""
        self._settings = settings
        self._configured = True
        self._pipelines.policy = settings.fleet.policy
        self._services.orders = settings.fleet.orders

    def new_request(self) -> str:
        """Return a new request identifier."""
        return ids.new_id(self._clock.wall_ms())

    def max_body(self) -> int:
        """Return the longest body that is accepted, in bytes."""
        return self._settings.fleet.limits.max_body

    def ready(self) -> Result[None, Refusal]:
        """Tell the balancer whether this daemon takes requests."""
        if self.draining:
            return Err(not_run(Reason.SHUTTING_DOWN, "this daemon is shutting down"))
        return self._open()

    def _open(self) -> Result[None, Refusal]:
        if self.closed:
            return Err(not_run(Reason.SHUTTING_DOWN, "this daemon is shutting down"))
        if not self._configured:
            detail = "this daemon has no configuration yet"
            return Err(not_run(Reason.NOT_CONFIGURED, detail))
        return Ok(None)

    def _team_of(self, token: str) -> Result[str, Refusal]:
        """Return the team that a token belongs to."""
        name = tokens.owner_of(token)
        team = next((t for n, t in self._settings.teams.items() if n == name), None)
        kept = team.tokens if team is not None else ()
        if any(_cached_match(token, digest) for digest in kept):
            return Ok(name)
        return Err(not_run(Reason.UNAUTHENTICATED, "the token is not known"))

    def _end_ms(self, headers: Headers, default_ms: int) -> Result[int, Refusal]:
        """Return the deadline; a caller may ask for a shorter one."""
        timeout_ms = default_ms
        if headers.timeout_ms is not None:
            timeout_ms = min(headers.timeout_ms, default_ms)
        if timeout_ms <= 0:
            detail = "the deadline is past already"
            return Err(not_run(Reason.DEADLINE_EXCEEDED, detail))
        return Ok(self._clock.now_ms() + timeout_ms)

    def _pipeline_request(
        self, request: str, name: str, headers: Headers, body: PipelineBody
    ) -> Result[PipelineRequest, Refusal]:
        pipelines = {str(key): value for key, value in self._settings.pipelines.items()}
        pipeline = pipelines.get(name)
        team = self._open().and_then(lambda _: self._team_of(headers.token))
        if isinstance(team, Err):
            return team
        if pipeline is None:
            return Err(not_run(Reason.UNKNOWN_ROUTE, "there is no such pipeline"))
        return self._end_ms(headers, pipeline.deadline).map(
            lambda end_ms: PipelineRequest(
                request, team.ok_value, name, pipeline, body.input, end_ms
            )
        )

    async def run_pipeline(
        self, request: str, name: str, headers: Headers, body: PipelineBody
    ) -> AsyncGenerator[PipelineEvent, None]:
        """Run a pipeline; the last event is Finished or Refused."""
        match self._pipeline_request(request, name, headers, body):
            case Err(refusal):
                self._metrics.refused("", name, refusal)
                yield Refused(refusal)
            case Ok(req):
                self.in_flight += 1
                try:
                    async with aclosing(self._counted(req)) as events:
                        async for event in events:
                            yield event
                finally:
                    self.in_flight -= 1

    async def _counted(
        self, req: PipelineRequest
    ) -> AsyncGenerator[PipelineEvent, None]:
        """Pass events on and count what becomes of the request."""
        started_ms = self._clock.now_ms()
        waiting = True
        async with aclosing(self._pipelines.run(req)) as events:
            async for event in events:
                ms = self._clock.now_ms() - started_ms
                match event:
                    case TokenLines():
                        if waiting:
                            self._metrics.first_token(req.name, ms)
                        waiting = False
                    case Finished():
                        self._metrics.answered(req.team, req.name, ms)
                    case Refused(refusal):
                        self._metrics.refused(req.team, req.name, refusal)
                yield event

    def _service_request(
        self, request: str, name: str, headers: Headers, body: bytes
    ) -> Result[ServiceRequest, Refusal]:
        services = {str(key): value for key, value in self._settings.services.items()}
        service = services.get(name)
        team = self._open().and_then(lambda _: self._team_of(headers.token))
        if isinstance(team, Err):
            return team
        if service is None:
            return Err(not_run(Reason.UNKNOWN_ROUTE, "there is no such service"))
        return self._end_ms(headers, service.deadline).map(
            lambda end_ms: ServiceRequest(
                request, team.ok_value, name, service, body, headers.key, end_ms
            )
        )

    async def call_service(
        self, request: str, name: str, headers: Headers, body: bytes
    ) -> Result[ServiceAnswer, Refusal]:
        """Call a plain service."""
        match self._service_request(request, name, headers, body):
            case Err(refusal):
                self._metrics.refused("", name, refusal)
                return Err(refusal)
            case Ok(req):
                return await self._call(req)

    async def _call(self, req: ServiceRequest) -> Result[ServiceAnswer, Refusal]:
        self.in_flight += 1
        started_ms = self._clock.now_ms()
        try:
            result = await self._services.run(req)
        finally:
            self.in_flight -= 1
        match result:
            case Ok(_):
                ms = self._clock.now_ms() - started_ms
                self._metrics.answered(req.team, req.name, ms)
            case Err(refusal):
                self._metrics.refused(req.team, req.name, refusal)
        return result
