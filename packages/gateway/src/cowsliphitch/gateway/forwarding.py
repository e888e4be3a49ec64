"""Forwarding of requests to servers, with retries within the route's limits.

Fault: servers refuse, crash, lose answers and return corrupt ones.  A request is sent
again only if it did not run or may run again, and if the retry budget allows it.
"""

import functools
import logging
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, nullcontext

import attrs

from cowsliphitch.callers.edge.models import Reply
from cowsliphitch.core.attempts.retry_policy import AttemptHistory, may_retry
from cowsliphitch.core.budgets.sliding_window import (
    RetryAllowance,
    SlidingWindowRetryBudget,
)
from cowsliphitch.core.deployment.models import MAX_PRIORITY, Route, RouteKind, Team
from cowsliphitch.core.quarantine.exposures import Exposure
from cowsliphitch.core.requests.models import AnswerMetadata, CallerRequest
from cowsliphitch.core.servers.models import Server
from cowsliphitch.core.streams.models import StreamOrigin
from cowsliphitch.core.verdict import (
    Reason,
    Refusal,
    Verdict,
    may_have_run,
    not_run,
)
from cowsliphitch.platform import servers as wire
from cowsliphitch.platform.callers import end_to_end_headers
from cowsliphitch.telemetry.logs import event
from cowsliphitch.upstreams.http1.models import (
    BODILESS_STATUSES,
    AnswerHead,
    OutgoingRequest,
    UpstreamError,
)
from cowsliphitch.upstreams.http1.pool import Answer

from . import const
from .engine_quarantine import EngineQuarantine
from .permits import Permit
from .relay import (
    EventSplitter,
    StreamProgress,
    last_event_id,
    relay_buffered_answer,
    resumable_events,
)
from .server_client import Purpose, ServerClient
from .state import GatewayState
from .trials import TrialBroker

_LOGGER = logging.getLogger(__name__)

# Retry delay sent to a caller when servers refused its request or none was ready.
RETRY_AFTER_MS = 250

# To callers, these statuses guarantee that the request did not run.  A server that
# returns one may have run it, so its answer is not passed on.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

# Refusals of a request because of what crashed servers.
CRASHING_REASONS = frozenset({Reason.QUARANTINED, Reason.SUSPECT})

# Failures of a server that was sent nothing.
NOT_SENT_REASONS = frozenset({Reason.UPSTREAM_LEAVING, Reason.RATE_LIMITED})

# Failures that are no evidence against the server.
BLAMELESS_REASONS = CRASHING_REASONS | {
    Reason.RESULT_LOST,
    Reason.RATE_LIMITED,
    Reason.UNSENDABLE,
}

# Failures that another server would not change.
FINAL_REASONS = CRASHING_REASONS | {Reason.RESULT_LOST, Reason.UNSENDABLE}

# Failures after which a server is avoided for a while.
UNREACHABLE_REASONS = frozenset(
    {Reason.CONNECT_FAILED, Reason.CONNECT_TIMEOUT, Reason.CONNECTION_LOST}
)


@attrs.define
class RequestContext:
    """State of an admitted request while this daemon handles it.

    :param priority: 0 goes first
    :param deadline_ms: monotonic time by which the final answer must be sent
    :param preferred_server: server of the first attempt, if it is still usable
    :param permit: permit for the preferred or chosen server, if it is limited
    :param stage_results: handles of the stage results that the engine reads as inputs
    :param version: software version that the server must have, since it began the
        stream, ``None`` for any
    :param choose_server: chooses the server of an attempt instead of the forwarder,
        ``None`` if the forwarder chooses
    :param on_sent: called on the open connection, before the request is sent
    :param on_head: called when the head of an answer was received and accepted
    :param on_failure: called when an attempt failed, except for lost stage results
    :param is_trial: the request is suspect, and no other copy of it is at a server
    :param exposure: the request as it was sent in the latest attempt, ``None`` if
        nothing was sent
    :param server_id: server of the latest attempt
    :param status: status of the answer that was passed on
    """

    request: CallerRequest
    route: Route
    service: str
    team: Team | None
    priority: int
    deadline_ms: int
    preferred_server: Server | None = None
    permit: Permit | None = None
    stage_results: tuple[str, ...] = ()
    version: str | None = None
    choose_server: Callable[[], Awaitable[Server | None]] | None = None
    on_sent: Callable[[], None] = lambda: None
    on_head: Callable[[], None] = lambda: None
    on_failure: Callable[[], None] = lambda: None
    attempts: AttemptHistory = attrs.Factory(AttemptHistory)
    stream_progress: StreamProgress = attrs.Factory(StreamProgress)
    is_trial: bool = False
    exposure: Exposure | None = None
    server_id: str | None = None
    status: int | None = None


class Forwarder:
    """Send requests to servers, validate the answers and retry failed attempts."""

    def __init__(
        self,
        state: GatewayState,
        client: ServerClient,
        allowance: RetryAllowance,
        quarantine: EngineQuarantine,
        trials: TrialBroker,
    ) -> None:
        """Initialize without retry budgets; a service gets one on first use.

        :param allowance: retries that all daemons may send to each service
        :param quarantine: refuses requests that crash engines
        :param trials: decides when a suspect request may be sent
        """
        self._quarantine = quarantine
        self._trials = trials
        self._state = state
        self._client = client
        self._allowance = allowance
        self._budgets: dict[str, SlidingWindowRetryBudget] = {}

    async def choose_server(self, ctx: RequestContext) -> Server | None:
        """Return the server for the next attempt, ``None`` if none is ready.

        :raises UpstreamError: all servers limit their requests
        """
        now = self._state.clock.now_ms()
        ready = self._state.servers.ready(ctx.service)
        servers = self._state.placement.ranked(
            [s for s in ready if ctx.version in (None, s.version)],
            now,
            frozenset(ctx.attempts.tried_servers),
        )
        if not servers:
            return None
        objective_left_ms = ctx.request.received_ms + ctx.route.objective_ms - now
        max_wait_ms = max(0, round(objective_left_ms * const.MAX_PERMIT_WAIT_SHARE))
        server, ctx.permit = await self._client.choose_permitted(
            servers, max_wait_ms, ctx.request.id
        )
        return server

    async def run(self, ctx: RequestContext, reply: Reply) -> Refusal | None:
        """Forward a request; return the refusal if no complete answer was passed on."""
        budget = self._retry_budget(ctx.service)
        budget.record_request(self._state.clock.now_ms())
        while True:
            try:
                server = await self._select_server(ctx)
            except UpstreamError as exc:
                return self._final_refusal(ctx, exc.refusal)
            quarantine_refusal = self._quarantine.refusal_of(ctx.request)
            if quarantine_refusal is not None:
                return self._final_refusal(ctx, quarantine_refusal)
            if server is None:
                version = f" with version {ctx.version}" if ctx.version else ""
                detail = f"no server of {ctx.service}{version} is ready"
                retry_after_ms = self._state.retry_after_ms(ctx.service, RETRY_AFTER_MS)
                return self._final_refusal(
                    ctx, not_run(Reason.NO_UPSTREAM, detail, retry_after_ms)
                )
            refusal = await self._try_server(ctx, server, reply)
            if refusal is None:
                return None
            if reply.started and not ctx.route.resumable:
                return self._final_refusal(ctx, refusal)
            now = self._state.clock.now_ms()
            if refusal.reason in FINAL_REASONS:
                return self._final_refusal(ctx, refusal)
            if not may_retry(ctx.route, ctx.attempts) or (
                ctx.attempts.may_have_run_on
                and not self._quarantine.may_retry(ctx.request)
            ):
                return self._final_refusal(ctx, refusal)
            if refusal.reason in NOT_SENT_REASONS:
                # Nothing was sent, so the next attempt is not a retry.
                continue
            if not budget.try_acquire(self._state.members.allowance_divisor(now), now):
                event(_LOGGER, "retry.denied", request=ctx.request.id)
                return self._final_refusal(ctx, refusal)

    async def _try_server(
        self, ctx: RequestContext, server: Server, reply: Reply
    ) -> Refusal | None:
        """Send a request to one server, as a trial if it is suspect.

        :returns: the refusal if no complete answer was passed on
        """
        ctx.exposure = None
        try:
            async with self._trials.hold(
                ctx.request, ctx.route, server, ctx.deadline_ms, lambda: ctx.exposure
            ) as ctx.is_trial:
                try:
                    await self._attempt(ctx, server, reply)
                except UpstreamError as exc:
                    self._record_failure(ctx, server, exc.refusal)
                    raise
        except UpstreamError as exc:
            refusal = exc.refusal
        else:
            return None
        if ctx.route.kind is not RouteKind.ONCE:
            # Whether it may be sent again, here or at another daemon, depends on
            # whether the server crashed.
            await self._quarantine.wait_until_judged(server)
        return refusal

    async def _select_server(self, ctx: RequestContext) -> Server | None:
        server, ctx.preferred_server = ctx.preferred_server, None
        if server is not None and not self._state.servers.is_usable(server):
            server = None
        if server is None:
            choose_server = ctx.choose_server or functools.partial(
                self.choose_server, ctx
            )
            server = await choose_server()
        if server is not None and ctx.version not in (None, server.version):
            return None
        return server

    def _record_failure(
        self, ctx: RequestContext, server: Server, refusal: Refusal
    ) -> None:
        ctx.attempts.record(server.id, refusal.verdict)
        is_unreachable = refusal.reason in UNREACHABLE_REASONS
        now = self._state.clock.now_ms()
        if refusal.reason not in BLAMELESS_REASONS:
            self._state.placement.record_failure(server.id, now, is_unreachable)
            ctx.on_failure()
        has_begun = ctx.stream_progress.first_event_ms is not None
        event(
            _LOGGER,
            "attempt.failed",
            request=ctx.request.id,
            server=server.id,
            verdict=refusal.verdict.value,
            reason=refusal.reason.value,
            cause=refusal.detail,
            left_ms=ctx.deadline_ms - self._state.clock.now_ms(),
            began=has_begun,
            parts=ctx.request.shared_part_ids,
            digest=ctx.request.digest,
        )

    def _final_refusal(self, ctx: RequestContext, last_refusal: Refusal) -> Refusal:
        """Return the last refusal with the verdict over all attempts."""
        verdict = ctx.attempts.verdict
        if (
            verdict is Verdict.NOT_RUN
            and last_refusal.retry_after_ms is None
            and last_refusal.reason not in (Reason.QUARANTINED, Reason.UNSENDABLE)
        ):
            return attrs.evolve(
                last_refusal, verdict=verdict, retry_after_ms=RETRY_AFTER_MS
            )
        return attrs.evolve(last_refusal, verdict=verdict)

    async def _attempt(self, ctx: RequestContext, server: Server, reply: Reply) -> None:
        """Send a request to one server and pass its answer on to the caller.

        :raises UpstreamError: the server gave no answer that may be passed on
        """
        ctx.server_id = server.id
        permit, ctx.permit = ctx.permit, None
        if permit is not None:
            await self._client.wait_for(permit)
        now = self._state.clock.now_ms()
        options = wire.ForwardingOptions(
            remaining_ms=ctx.deadline_ms - now,
            team=ctx.team.name if ctx.team else None,
            engine_priority=self._engine_priority(ctx),
            stage_results=ctx.stage_results,
            last_event_id=ctx.stream_progress.last_event_id
            or ctx.request.last_event_id,
        )
        request = self._encode(ctx, server, options)
        placement = self._state.placement

        sent: list[Exposure] = []

        def before_send(connected_ms: int) -> None:
            self._quarantine.check_sendable(ctx.request, ctx.is_trial)
            ctx.exposure = self._quarantine.expose(
                ctx.request.digest,
                ctx.request.shared_part_ids,
                server,
                connected_ms,
            )
            sent.append(ctx.exposure)
            ctx.on_sent()

        # From here on the request may have run, even if it is cancelled.
        ctx.attempts.may_have_run_on.add(server.id)
        placement.record_sent(server.id, now)
        try:
            with self._quarantine.observe(sent):
                async with self._exchange(
                    ctx, server, request, permit, before_send
                ) as answer:
                    await self._receive(ctx, server, answer, reply, now)
        except UpstreamError as exc:
            if exc.refusal.verdict is Verdict.NOT_RUN:
                ctx.attempts.may_have_run_on.discard(server.id)
            raise
        finally:
            placement.record_end(server.id, self._state.clock.now_ms())

    async def _receive(
        self,
        ctx: RequestContext,
        server: Server,
        answer: Answer,
        reply: Reply,
        sent_ms: int,
    ) -> None:
        """Check an answer and pass it on.

        :raises UpstreamError: it may not be passed on, or is not complete
        """
        metadata = wire.decode_head(answer.head)
        now = self._state.clock.now_ms()
        # The owner of the stage pools chooses engines by what it knows itself.
        is_placed = ctx.choose_server is None and not metadata.wrong_server
        if metadata.load is not None and is_placed:
            self._state.placement.record_load(server.id, metadata.load, now)
        self._check_answer(metadata, ctx)
        self._state.placement.record_answer(server.id, now - sent_ms)
        ctx.on_head()
        await self._relay_answer(ctx, server, answer, metadata, reply)
        if metadata.is_success:
            self._quarantine.record_answer(ctx.request)

    def _encode(
        self, ctx: RequestContext, server: Server, options: wire.ForwardingOptions
    ) -> OutgoingRequest:
        """Encode a request for a server.

        :raises UpstreamError: a value that it needs can't be part of a header
        """
        try:
            return wire.encode_request(ctx.request, server, options)
        except UnicodeEncodeError as exc:
            detail = f"{exc.object!r} can't be sent in a header: {exc.reason}"
            raise UpstreamError(not_run(Reason.UNSENDABLE, detail)) from exc

    @asynccontextmanager
    async def _exchange(
        self,
        ctx: RequestContext,
        server: Server,
        request: OutgoingRequest,
        permit: Permit | None,
        before_send: Callable[[int], None],
    ) -> AsyncIterator[Answer]:
        """Send a request and yield the answer.

        If the server's failure domain becomes unreachable, the exchange is abandoned
        only for requests that may be repeated.

        :param before_send: called with the monotonic time at which the connection was
            opened, raises ``UpstreamError`` if the request may not be sent any more
        """
        max_connections = self._max_connections(ctx.service)
        may_repeat = ctx.route.kind is RouteKind.IDEMPOTENT
        may_repeat = may_repeat or ctx.route.resumable
        with (
            self._client.cancel_if_unreachable(server) if may_repeat else nullcontext()
        ):
            async with self._client.exchange(
                server,
                request,
                max_connections,
                Purpose.REQUEST,
                permit,
                before_send,
            ) as answer:
                yield answer

    def _engine_priority(self, ctx: RequestContext) -> int | None:
        if ctx.request.generation is None:
            return None
        return max(0, min(MAX_PRIORITY, ctx.priority))

    def _check_answer(self, metadata: AnswerMetadata, ctx: RequestContext) -> None:
        """Check that an answer may be passed on.

        :raises UpstreamError: the server did not run the request, the answer is not
            valid, or it is a failure after which the request may be sent again
        """
        if metadata.not_run:
            reason = _not_run_reason(metadata)
            if metadata.wrong_server and ctx.server_id is not None:
                self._state.servers.mark_misdirected(ctx.server_id)
            detail = f"the server refused with {metadata.status}"
            raise UpstreamError(not_run(reason, detail, RETRY_AFTER_MS))
        if metadata.is_success and not metadata.has_seal:
            detail = "a success without the server's proof"
            raise UpstreamError(may_have_run(Reason.INVALID_ANSWER, detail))
        if metadata.status in NOT_RUN_STATUSES:
            detail = f"the server answered {metadata.status} and may have run it"
            raise UpstreamError(may_have_run(Reason.UPSTREAM_FAILED, detail))
        is_last_attempt = len(ctx.attempts.may_have_run_on) >= ctx.route.max_attempts
        if (
            metadata.status >= 500
            and not is_last_attempt
            and ctx.route.kind is (RouteKind.IDEMPOTENT)
        ):
            detail = f"the server failed with {metadata.status}"
            raise UpstreamError(may_have_run(Reason.UPSTREAM_FAILED, detail))

    async def _relay_answer(
        self,
        ctx: RequestContext,
        server: Server,
        answer: Answer,
        metadata: AnswerMetadata,
        reply: Reply,
    ) -> None:
        if ctx.route.kind is RouteKind.STREAM and metadata.is_success:
            ctx.status = metadata.status
            await self._relay_stream(ctx, server, answer, reply)
            return
        if reply.started:
            detail = f"{server.id} answered {metadata.status} to a begun stream"
            raise UpstreamError(may_have_run(Reason.UPSTREAM_FAILED, detail))
        ctx.status = metadata.status
        content = await answer.read(const.MAX_ANSWER_BYTES)
        if not content and not _may_be_empty(ctx.request, answer.head):
            detail = "the connection closed before the answer's first byte"
            raise UpstreamError(may_have_run(Reason.CONNECTION_LOST, detail))
        await relay_buffered_answer(answer, content, reply)

    async def _relay_stream(
        self, ctx: RequestContext, server: Server, answer: Answer, reply: Reply
    ) -> None:
        """Pass complete events on as they arrive.

        :raises UpstreamError: the stream ended within an event, without an event after
            those of an earlier attempt, or with the connection before its first event;
            or it may be resumed, but not after its next event
        """
        splitter, progress = EventSplitter(), ctx.stream_progress
        is_continuation, has_events = reply.started, False
        async for chunk in answer.chunks():
            self._state.exposures.hear(
                server, answer.connected_ms, self._state.clock.now_ms()
            )
            received = splitter.feed(chunk)
            answer.keep(len(splitter))
            if not received:
                continue
            events = resumable_events(received) if ctx.route.resumable else received
            if events:
                has_events = True
                if ctx.exposure is not None:
                    ctx.exposure.has_begun = True
                self._record_version(ctx, server)
                if not reply.started:
                    progress.first_event_ms = self._state.clock.now_ms()
                    await reply.start(
                        answer.head.status,
                        end_to_end_headers(answer.head.headers),
                        length=None,
                    )
                await reply.send(events)
                progress.event_count += events.count(b"\n\n")
                progress.last_event_id = last_event_id(events) or progress.last_event_id
            if len(events) < len(received):
                detail = (
                    f"{server.id} sent an event after {progress.last_event_id} whose"
                    " identifier no header can carry"
                )
                raise UpstreamError(may_have_run(Reason.INVALID_ANSWER, detail))
        if splitter.incomplete_event:
            detail = "the stream ended in the middle of an event"
            raise UpstreamError(may_have_run(Reason.STREAM_CUT, detail))
        if is_continuation and not has_events:
            detail = f"{server.id} had no event after {progress.last_event_id}"
            raise UpstreamError(may_have_run(Reason.STREAM_CUT, detail))
        if not reply.started:
            if not answer.head.is_delimited:
                detail = "the connection closed before the stream's first event"
                raise UpstreamError(may_have_run(Reason.STREAM_CUT, detail))
            await reply.start(
                answer.head.status, end_to_end_headers(answer.head.headers), length=None
            )
        await reply.end()

    def _record_version(self, ctx: RequestContext, server: Server) -> None:
        """Bind a stream to the version that writes it.

        A server that restarted after it was chosen, with another version, is noticed
        once its new entry is read.
        """
        listed = self._state.servers.get(server.id)
        version = server.version
        if listed is not None and listed.started_ms != server.started_ms:
            version = listed.version
        has_begun = ctx.stream_progress.first_event_ms is not None
        if has_begun and version == ctx.version:
            return
        request, origin = ctx.request, StreamOrigin(ctx.service, version)
        event(
            _LOGGER,
            "stream.began",
            request=request.id,
            resumes=request.resumed_id,
            server=server.id,
            version=version,
            before=ctx.version,
        )
        ctx.version = version
        self._state.streams.record_begun(
            {request.id, request.stream_id}, origin, self._state.clock.now_ms()
        )

    def _retry_budget(self, service: str) -> SlidingWindowRetryBudget:
        if service not in self._budgets:
            self._budgets[service] = SlidingWindowRetryBudget(self._allowance)
        return self._budgets[service]

    def _max_connections(self, service: str) -> int:
        """Return this daemon's share of the connections to a server."""
        deployment = self._state.deployment
        service_settings = deployment.services.get(service) if deployment else None
        if service_settings is None:
            return 1
        daemon_count = self._state.members.allowance_divisor(self._state.clock.now_ms())
        share = (
            service_settings.max_connections * const.MAX_CONNECTION_SHARE / daemon_count
        )
        return max(1, round(share))


def _not_run_reason(metadata: AnswerMetadata) -> Reason:
    """Return the reason for which a server did not run a request."""
    if metadata.wrong_server:
        return Reason.CONNECT_FAILED
    return Reason.RESULT_LOST if metadata.results_lost else Reason.QUEUE_FULL


def _may_be_empty(request: CallerRequest, head: AnswerHead) -> bool:
    """Return whether an answer without a body is whole.

    Without a length, a server that stopped after its head can't be told from one that
    had nothing more to send.
    """
    return (
        head.is_delimited
        or request.method == b"HEAD"
        or head.status in BODILESS_STATUSES
    )
