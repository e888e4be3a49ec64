"""Send a request to servers until one answers or nothing more may be tried."""

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
from cowsliphitch.core.requests.models import AnswerMetadata, CallerRequest
from cowsliphitch.core.servers.models import Server
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
from cowsliphitch.upstreams.http1.models import OutgoingRequest, UpstreamError
from cowsliphitch.upstreams.http1.pool import Answer

from . import const
from .links import ServerLinks
from .relay import EventSplitter, StreamProgress, last_event_id, relay_whole
from .state import GatewayState

_LOGGER = logging.getLogger(__name__)

# What a caller is told to wait when servers refused or were not there.
RETRY_AFTER_MS = 250

# Statuses that promise "not run" to a caller; a server's own may not mean that.
PROMISES = frozenset({408, 421, 429, 503})


# After these a server is left alone for a while.
UNREACHABLE = frozenset(
    {Reason.CONNECT_FAILED, Reason.CONNECT_TIMEOUT, Reason.CONNECTION_LOST}
)


@attrs.define
class Passage:
    """One request on its way through this daemon.

    :param end_ms: monotonic time at which it has its final answer
    :param stage_results: handles that an engine reads before the prompt
    :param next_server: chooses a server, in place of the least loaded one
    :param on_sent: called when a server is being sent the request
    :param on_head: called when a server began its answer
    :param on_failure: called when an attempt failed
    """

    request: CallerRequest
    route: Route
    service: str
    team: Team | None
    rank: int
    end_ms: int
    first_server: Server | None = None
    stage_results: tuple[str, ...] = ()
    next_server: Callable[[], Awaitable[Server | None]] | None = None
    on_sent: Callable[[], None] = lambda: None
    on_head: Callable[[], None] = lambda: None
    on_failure: Callable[[], None] = lambda: None
    attempts: AttemptHistory = attrs.Factory(AttemptHistory)
    stream: StreamProgress = attrs.Factory(StreamProgress)
    server: str | None = None
    status: int | None = None


class Forwarder:
    """Choose servers, send requests, judge answers and repeat what may be repeated."""

    def __init__(
        self, state: GatewayState, links: ServerLinks, allowance: RetryAllowance
    ) -> None:
        """Start with full budgets."""
        self._state = state
        self._links = links
        self._allowance = allowance
        self._budgets: dict[str, SlidingWindowRetryBudget] = {}

    def choose(self, passage: Passage) -> Server | None:
        """Return the server that a request would be sent to now."""
        return self._state.placement.choose(
            self._state.servers.ready(passage.service),
            self._state.clock.now_ms(),
            frozenset(passage.attempts.tried_servers),
        )

    async def run(self, passage: Passage, reply: Reply) -> Refusal | None:
        """Answer a request; return the refusal if no server's answer was passed on."""
        budget = self._budget(passage.service)
        budget.record_request(self._state.clock.now_ms())
        while True:
            server = await self._next_server(passage)
            if server is None:
                detail = f"no server of {passage.service} is ready"
                return self._refusal(
                    passage, not_run(Reason.NO_UPSTREAM, detail, RETRY_AFTER_MS)
                )
            try:
                await self._attempt(passage, server, reply)
                return None
            except UpstreamError as exc:
                refusal = exc.refusal
            self._note_failure(passage, server, refusal)
            if reply.started and not passage.route.resumable:
                return self._refusal(passage, refusal)
            now = self._state.clock.now_ms()
            if refusal.reason is Reason.RESULT_LOST:
                return self._refusal(passage, refusal)
            if not may_retry(passage.route, passage.attempts):
                return self._refusal(passage, refusal)
            if not budget.try_acquire(self._state.members.allowance_divisor(now), now):
                event(_LOGGER, "retry.denied", request=passage.request.id)
                return self._refusal(passage, refusal)

    async def _next_server(self, passage: Passage) -> Server | None:
        server, passage.first_server = passage.first_server, None
        if server is not None and self._state.servers.is_usable(server):
            return server
        if passage.next_server is not None:
            return await passage.next_server()
        return self.choose(passage)

    def _note_failure(self, passage: Passage, server: Server, refusal: Refusal) -> None:
        passage.attempts.record(server.id, refusal.verdict)
        unreachable = refusal.reason in UNREACHABLE
        now = self._state.clock.now_ms()
        if refusal.reason is not Reason.RESULT_LOST:
            # Results that are gone say nothing of the engine.
            self._state.placement.record_failure(server.id, now, unreachable)
            passage.on_failure()
        event(
            _LOGGER,
            "attempt.failed",
            request=passage.request.id,
            server=server.id,
            verdict=refusal.verdict.value,
            reason=refusal.reason.value,
            cause=refusal.detail,
            left_ms=passage.end_ms - self._state.clock.now_ms(),
        )

    def _refusal(self, passage: Passage, last: Refusal) -> Refusal:
        """Return the last refusal with the verdict on the whole request."""
        verdict = passage.attempts.verdict
        if verdict is Verdict.NOT_RUN and last.retry_after_ms is None:
            return attrs.evolve(last, verdict=verdict, retry_after_ms=RETRY_AFTER_MS)
        return attrs.evolve(last, verdict=verdict)

    async def _attempt(self, passage: Passage, server: Server, reply: Reply) -> None:
        """Send a request to one server and pass its answer on.

        :raises UpstreamError: the server gave no answer that can be passed on
        """
        passage.server = server.id
        now = self._state.clock.now_ms()
        forwarding = wire.ForwardingOptions(
            remaining_ms=passage.end_ms - now,
            team=passage.team.name if passage.team else None,
            engine_priority=self._engine_priority(passage),
            stage_results=passage.stage_results,
            last_event_id=passage.stream.last_event or passage.request.resume_after,
        )
        request = wire.encode_request(passage.request, server, forwarding)
        placement = self._state.placement
        # From here on a cancelled request may have run.
        passage.attempts.may_have_run_on.add(server.id)
        placement.record_sent(server.id)
        passage.on_sent()
        try:
            async with self._exchange(passage, server, request) as answer:
                facts = wire.decode_head(answer.head)
                await self._check(answer, facts, passage)
                placement.record_answer(server.id, self._state.clock.now_ms() - now)
                passage.on_head()
                await self._relay(passage, answer, facts, reply)
        except UpstreamError as exc:
            if exc.refusal.verdict is Verdict.NOT_RUN:
                passage.attempts.may_have_run_on.discard(server.id)
            raise
        finally:
            placement.record_end(server.id)

    @asynccontextmanager
    async def _exchange(
        self, passage: Passage, server: Server, request: OutgoingRequest
    ) -> AsyncIterator[Answer]:
        """Exchange a request; give it up on a cut only if it may be repeated."""
        max_open = self._max_open(passage.service)
        repeatable = passage.route.kind is RouteKind.IDEMPOTENT
        repeatable = repeatable or passage.route.resumable
        with self._links.until_cut(server) if repeatable else nullcontext():
            async with self._links.exchange(server, request, max_open) as answer:
                yield answer

    def _engine_priority(self, passage: Passage) -> int | None:
        if passage.request.generation is None:
            return None
        return max(0, min(MAX_PRIORITY, passage.rank))

    async def _check(
        self, answer: Answer, facts: AnswerMetadata, passage: Passage
    ) -> None:
        """Accept an answer that may be passed on.

        :raises UpstreamError: it says "not run", or it is spoilt
        """
        if facts.not_run:
            await answer.read(const.MAX_ANSWER_BYTES)
            reason = _reason_not_run(facts)
            if facts.wrong_server and passage.server is not None:
                self._state.servers.mark_misdirected(passage.server)
            detail = f"the server refused with {facts.status}"
            raise UpstreamError(not_run(reason, detail, RETRY_AFTER_MS))
        if facts.is_success and not facts.has_seal:
            detail = "a success without the server's proof"
            raise UpstreamError(may_have_run(Reason.INVALID_ANSWER, detail))
        if facts.status in PROMISES:
            detail = f"the server answered {facts.status} and may have run it"
            raise UpstreamError(may_have_run(Reason.UPSTREAM_FAILED, detail))
        last_try = len(passage.attempts.may_have_run_on) >= passage.route.max_attempts
        if (
            facts.status >= 500
            and not last_try
            and passage.route.kind is (RouteKind.IDEMPOTENT)
        ):
            detail = f"the server failed with {facts.status}"
            raise UpstreamError(may_have_run(Reason.UPSTREAM_FAILED, detail))

    async def _relay(
        self, passage: Passage, answer: Answer, facts: AnswerMetadata, reply: Reply
    ) -> None:
        passage.status = facts.status
        if passage.route.kind is RouteKind.STREAM and facts.is_success:
            await self._relay_stream(passage, answer, reply)
            return
        content = await answer.read(const.MAX_ANSWER_BYTES)
        await relay_whole(answer, content, reply)

    async def _relay_stream(
        self, passage: Passage, answer: Answer, reply: Reply
    ) -> None:
        """Pass whole events on as they arrive."""
        splitter, progress = EventSplitter(), passage.stream
        async for chunk in answer.chunks():
            events = splitter.feed(chunk)
            if not events:
                continue
            if not reply.started:
                progress.first_event_ms = self._state.clock.now_ms()
                await reply.start(
                    answer.head.status,
                    end_to_end_headers(answer.head.headers),
                    length=None,
                )
            await reply.send(events)
            progress.events += events.count(b"\n\n")
            progress.last_event = last_event_id(events) or progress.last_event
        if splitter.rest:
            detail = "the stream ended in the middle of an event"
            raise UpstreamError(may_have_run(Reason.STREAM_CUT, detail))
        if not reply.started:
            await reply.start(
                answer.head.status, end_to_end_headers(answer.head.headers), length=None
            )
        await reply.end()

    def _budget(self, service: str) -> SlidingWindowRetryBudget:
        if service not in self._budgets:
            self._budgets[service] = SlidingWindowRetryBudget(self._allowance)
        return self._budgets[service]

    def _max_open(self, service: str) -> int:
        """Return this daemon's part of a server's connections."""
        deployment = self._state.deployment
        known = deployment.services.get(service) if deployment else None
        if known is None:
            return 1
        daemons = self._state.members.allowance_divisor(self._state.clock.now_ms())
        part = known.max_connections * const.CONNECTION_SHARE / daemons
        return max(1, round(part))


def _reason_not_run(facts: AnswerMetadata) -> Reason:
    """Return why a server did not run a request."""
    if facts.wrong_server:
        return Reason.CONNECT_FAILED
    return Reason.RESULT_LOST if facts.results_lost else Reason.QUEUE_FULL
