"""Backend of the callers' API: authentication, admission, deadlines and metrics."""

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

_matches_cached = lru_cache(TOKEN_CACHE_ENTRIES)(tokens.matches)


class DaemonGateway:
    """Admits requests, passes them to the runners and records their outcomes.

    :ivar is_draining: whether the daemon reports that it is not ready; it still admits
        requests
    :ivar is_closed: whether new requests are refused
    :ivar in_flight: number of admitted requests that have not ended
    """

    def __init__(
        self,
        pipeline_runner: PipelineRunner,
        service_runner: ServiceRunner,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        """Initialize without settings; all requests are refused until ``apply``."""
        self._pipeline_runner = pipeline_runner
        self._service_runner = service_runner
        self._metrics = metrics
        self._clock = clock
        self._settings = EMPTY_SETTINGS
        self._has_settings = False
        self.is_draining = False
        self.is_closed = False
        self.in_flight = 0

    def apply(self, settings: Settings) -> None:
        """Apply new fleet settings to subsequent requests."""
        self._settings = settings
        self._has_settings = True
        self._pipeline_runner.policy = settings.fleet.policy
        self._service_runner.order_settings = settings.fleet.orders

    def new_request_id(self) -> str:
        """Return a new unique request identifier."""
        return ids.new_id(self._clock.wall_ms())

    def max_body_bytes(self) -> int:
        """Return the maximum size of a request body, in bytes."""
        return self._settings.fleet.limits.max_body

    def ready(self) -> Result[None, Refusal]:
        """Return Ok if load balancers may send requests here, else the reason."""
        if self.is_draining:
            return Err(not_run(Reason.SHUTTING_DOWN, "this daemon is shutting down"))
        return self._check_admission()

    def _check_admission(self) -> Result[None, Refusal]:
        """Return Ok if requests are admitted, else why all of them are refused."""
        if self.is_closed:
            return Err(not_run(Reason.SHUTTING_DOWN, "this daemon is shutting down"))
        if not self._has_settings:
            detail = "this daemon has no configuration yet"
            return Err(not_run(Reason.NOT_CONFIGURED, detail))
        return Ok(None)

    def _authenticate(self, token: str) -> Result[str, Refusal]:
        """Return the name of the team that owns a token."""
        name = tokens.owner_of(token)
        team = next(
            (
                team_settings
                for team_name, team_settings in self._settings.teams.items()
                if team_name == name
            ),
            None,
        )
        digests = team.tokens if team is not None else ()
        if any(_matches_cached(token, digest) for digest in digests):
            return Ok(name)
        return Err(not_run(Reason.UNAUTHENTICATED, "the token is not known"))

    def _deadline_ms(self, headers: Headers, default_ms: int) -> Result[int, Refusal]:
        """Return the deadline on the monotonic clock.

        A caller can shorten the default timeout but not extend it.
        """
        timeout_ms = default_ms
        if headers.timeout_ms is not None:
            timeout_ms = min(headers.timeout_ms, default_ms)
        if timeout_ms <= 0:
            detail = "the deadline is past already"
            return Err(not_run(Reason.DEADLINE_EXCEEDED, detail))
        return Ok(self._clock.now_ms() + timeout_ms)

    def _admit_pipeline(
        self, request_id: str, name: str, headers: Headers, body: PipelineBody
    ) -> Result[PipelineRequest, Refusal]:
        pipelines = {str(key): value for key, value in self._settings.pipelines.items()}
        pipeline = pipelines.get(name)
        team = self._check_admission().and_then(
            lambda _: self._authenticate(headers.token)
        )
        if isinstance(team, Err):
            return team
        if pipeline is None:
            return Err(not_run(Reason.UNKNOWN_ROUTE, "there is no such pipeline"))
        return self._deadline_ms(headers, pipeline.deadline).map(
            lambda deadline_ms: PipelineRequest(
                request_id, team.ok_value, name, pipeline, body.input, deadline_ms
            )
        )

    async def run_pipeline(
        self, request_id: str, name: str, headers: Headers, body: PipelineBody
    ) -> AsyncGenerator[PipelineEvent, None]:
        """Run a pipeline for a caller.

        :returns: events, of which the last is Finished or Refused
        """
        match self._admit_pipeline(request_id, name, headers, body):
            case Err(refusal):
                is_known = name in self._settings.pipelines
                self._metrics.record_refusal("", name if is_known else "", refusal)
                yield Refused(refusal)
            case Ok(req):
                self.in_flight += 1
                try:
                    async with aclosing(self._run_with_metrics(req)) as events:
                        async for event in events:
                            yield event
                finally:
                    self.in_flight -= 1

    async def _run_with_metrics(
        self, req: PipelineRequest
    ) -> AsyncGenerator[PipelineEvent, None]:
        """Run an admitted pipeline, and record time to first token and outcome."""
        started_ms = self._clock.now_ms()
        is_before_first_token = True
        async with aclosing(self._pipeline_runner.run(req)) as events:
            async for event in events:
                latency_ms = self._clock.now_ms() - started_ms
                match event:
                    case TokenLines():
                        if is_before_first_token:
                            self._metrics.record_first_token(req.name, latency_ms)
                        is_before_first_token = False
                    case Finished():
                        self._metrics.record_answer(req.team, req.name, latency_ms)
                    case Refused(refusal):
                        self._metrics.record_refusal(req.team, req.name, refusal)
                yield event

    def _admit_service(
        self, request_id: str, name: str, headers: Headers, body: bytes
    ) -> Result[ServiceRequest, Refusal]:
        services = {str(key): value for key, value in self._settings.services.items()}
        service = services.get(name)
        team = self._check_admission().and_then(
            lambda _: self._authenticate(headers.token)
        )
        if isinstance(team, Err):
            return team
        if service is None:
            return Err(not_run(Reason.UNKNOWN_ROUTE, "there is no such service"))
        return self._deadline_ms(headers, service.deadline).map(
            lambda deadline_ms: ServiceRequest(
                request_id, team.ok_value, name, service, body, headers.key, deadline_ms
            )
        )

    async def call_service(
        self, request_id: str, name: str, headers: Headers, body: bytes
    ) -> Result[ServiceAnswer, Refusal]:
        """Call a service for a caller."""
        match self._admit_service(request_id, name, headers, body):
            case Err(refusal):
                is_known = name in self._settings.services
                self._metrics.record_refusal("", name if is_known else "", refusal)
                return Err(refusal)
            case Ok(req):
                return await self._run_service(req)

    async def _run_service(self, req: ServiceRequest) -> Result[ServiceAnswer, Refusal]:
        self.in_flight += 1
        started_ms = self._clock.now_ms()
        try:
            result = await self._service_runner.run(req)
        finally:
            self.in_flight -= 1
        match result:
            case Ok(_):
                latency_ms = self._clock.now_ms() - started_ms
                self._metrics.record_answer(req.team, req.name, latency_ms)
            case Err(refusal):
                self._metrics.record_refusal(req.team, req.name, refusal)
        return result
