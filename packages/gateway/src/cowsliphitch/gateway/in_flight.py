"""Requests that are being handled, and what ends them before they are answered.

Fault: this daemon stops, or a request turns out to crash engines, while requests wait
for their stages or their engine.  Each of them still gets an answer.
"""

import logging
from collections.abc import Awaitable, Callable
from typing import Final

import anyio
import attrs

from cowsliphitch.callers.edge.models import Reply
from cowsliphitch.core.clock import seconds
from cowsliphitch.core.verdict import (
    Reason,
    Refusal,
    Verdict,
    may_have_run,
    not_run,
)
from cowsliphitch.telemetry.logs import event

from .engine_quarantine import EngineQuarantine
from .forwarding import RequestContext
from .state import GatewayState

_LOGGER = logging.getLogger(__name__)

# Retry delay sent to a caller after a timeout: about the time that an engine takes to
# restart.
TIMEOUT_RETRY_AFTER_MS: Final = 300

# Retry delay sent to a caller while this daemon stops: short, since another daemon can
# serve the request at once.
STOPPING_RETRY_AFTER_MS: Final = 20


@attrs.frozen(eq=False)
class _InFlight:
    ctx: RequestContext
    reply: Reply
    scope: anyio.CancelScope


class InFlightRequests:
    """Run requests until their deadlines, and end those that can't be answered."""

    def __init__(self, state: GatewayState, quarantine: EngineQuarantine) -> None:
        """Initialize without requests, and end those that become quarantined."""
        self._state = state
        self._quarantine = quarantine
        self._requests: set[_InFlight] = set()
        quarantine.add_listener(self._end_quarantined)

    async def run_until_deadline(
        self,
        ctx: RequestContext,
        reply: Reply,
        run: Callable[[], Awaitable[Refusal | None]],
    ) -> Refusal | None:
        """Run a request until its deadline, unless it is ended before.

        :param run: returns the refusal of the request, ``None`` once it is answered
        :returns: the refusal if it got no answer
        """
        remaining_ms = ctx.deadline_ms - self._state.clock.now_ms()
        refusal: Refusal | None = None
        with anyio.move_on_after(seconds(max(0, remaining_ms))) as scope:
            request = _InFlight(ctx, reply, scope)
            self._requests.add(request)
            try:
                refusal = await run()
            finally:
                self._requests.discard(request)
        return self._refusal_of_ended(ctx) if scope.cancelled_caught else refusal

    def end_unanswered(self) -> None:
        """End the requests whose answers have not begun, since this daemon exits."""
        for request in list(self._requests):
            if not request.reply.started:
                request.scope.cancel()

    def log_cut_off(self) -> None:
        """Log the requests that end without a whole answer, since this daemon exits."""
        for request in self._requests:
            request_id = request.ctx.request.id
            event(_LOGGER, "request.cut_off", logging.WARNING, request=request_id)

    def _end_quarantined(self) -> None:
        """End requests with a quarantined part that wait or are being prefilled."""
        for request in list(self._requests):
            has_begun = request.ctx.stream_progress.first_event_ms is not None
            if not has_begun and self._quarantine.refusal_of(request.ctx.request):
                request.scope.cancel()

    def _refusal_of_ended(self, ctx: RequestContext) -> Refusal:
        quarantined = self._quarantine.refusal_of(ctx.request)
        if quarantined is not None:
            return attrs.evolve(quarantined, verdict=ctx.attempts.verdict)
        answer_by_ms = self._state.answer_by_ms
        if answer_by_ms is not None and self._state.clock.now_ms() >= answer_by_ms:
            reason, retry_after_ms = Reason.SHUTTING_DOWN, STOPPING_RETRY_AFTER_MS
            detail = "this daemon exits before the request could be answered"
        else:
            reason, retry_after_ms = Reason.DEADLINE_EXCEEDED, TIMEOUT_RETRY_AFTER_MS
            detail = "there was no whole answer in time"
        if ctx.attempts.verdict is Verdict.NOT_RUN:
            return not_run(reason, detail, retry_after_ms)
        return may_have_run(reason, detail)
