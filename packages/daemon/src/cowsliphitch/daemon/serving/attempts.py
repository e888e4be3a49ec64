"""Retries of a call at other upstreams, within its deadline and the retry budget."""

from collections.abc import Awaitable, Callable

import attrs
from result import Err, Ok, Result

from cowsliphitch.core import ids
from cowsliphitch.core.clock import Clock
from cowsliphitch.core.verdict import Reason, Refusal, Verdict, combine_verdicts
from cowsliphitch.upstreams.pool.const import PROBE_TIMEOUT_MS
from cowsliphitch.upstreams.pool.coordinator import PoolCoordinator
from cowsliphitch.upstreams.pool.models import PoolRequest, Slot
from cowsliphitch.upstreams.transport.models import Call, StageAnswer
from cowsliphitch.upstreams.transport.probe import refuses_connections

Send = Callable[[str, Call], Awaitable[Result[StageAnswer, Refusal]]]

_POSSIBLE_CRASH_REASONS = frozenset({Reason.CONNECTION_LOST, Reason.STREAM_CUT})
_NON_RETRYABLE_REASONS = frozenset({Reason.QUARANTINED, Reason.DEADLINE_EXCEEDED})


@attrs.define
class Attempts:
    """Attempts of one call at different upstreams of one pool.

    :param request_id: identifier of the caller's request
    :param is_repeatable: whether to retry the call after an attempt that may have run
    :param on_suspicion: called after a crash to report the suspect request to peers
    :param failed_upstreams: names of upstreams that further attempts avoid
    :param failures: refusals of the failed attempts, oldest first
    """

    pool: PoolCoordinator
    clock: Clock
    request_id: str
    pool_request: PoolRequest
    is_repeatable: bool
    on_suspicion: Callable[[], Awaitable[None]]
    failed_upstreams: frozenset[str] = frozenset()
    failures: tuple[Refusal, ...] = ()

    async def run(self, send: Send, key: str = "") -> Result[StageAnswer, Refusal]:
        """Send the call until it is answered or no further attempt is allowed.

        :param key: idempotency key to send to the upstream
        """
        self.pool.budget.record_first_attempt()
        while True:
            match await self.acquire():
                case Err(refusal):
                    return Err(self.combine_refusals(refusal))
                case Ok(slot):
                    pass
            result = await self._send(slot, send, key)
            if isinstance(result, Ok):
                return result
            if not self.acquire_retry(result.err_value):
                return Err(self.combine_refusals(result.err_value))

    async def acquire(self) -> Result[Slot, Refusal]:
        """Acquire a slot at an upstream that has not failed this call."""
        return await self.pool.acquire(self.pool_request, self.failed_upstreams)

    def new_call(self, key: str = "") -> Call:
        """Return the metadata of a new attempt, with its own identifier."""
        attempt = ids.new_id(self.clock.wall_ms())
        return Call(self.request_id, attempt, self.pool_request.end_ms, key)

    async def _send(
        self, slot: Slot, send: Send, key: str
    ) -> Result[StageAnswer, Refusal]:
        failure: Refusal | None = CANCELLED
        try:
            result = await send(slot.upstream.address, self.new_call(key))
            failure = result.err_value if isinstance(result, Err) else None
        finally:
            self.release(slot, failure, self.pool_request.work)
        if failure is not None:
            await self.record_failure(slot, failure)
        return result

    def release(self, slot: Slot, failure: Refusal | None, work: int) -> None:
        """Release a slot; work of an attempt that did not run is not counted."""
        started = failure is None or failure.verdict is not Verdict.NOT_RUN
        self.pool.release(slot, self.pool_request, failure, work if started else 0)

    async def record_failure(self, slot: Slot, failure: Refusal) -> None:
        """Record a failed attempt, and a crash if the upstream refuses connections."""
        self.failures = (*self.failures, failure)
        self.failed_upstreams = self.failed_upstreams | {slot.upstream.name}
        if failure.reason not in _POSSIBLE_CRASH_REASONS:
            return
        if await refuses_connections(slot.upstream.address, PROBE_TIMEOUT_MS):
            self.pool.record_crash(slot)
            await self.on_suspicion()

    def acquire_retry(self, failure: Refusal) -> bool:
        """Return whether to retry; a retry is charged to the pool's retry budget."""
        if (
            failure.reason in _NON_RETRYABLE_REASONS
            or self.clock.now_ms() >= self.pool_request.end_ms
        ):
            return False
        if failure.verdict is not Verdict.NOT_RUN and not self.is_repeatable:
            return False
        if not self.pool.budget.try_acquire():
            return False
        self.pool.counts.retries += 1
        return True

    def combine_refusals(self, refusal: Refusal) -> Refusal:
        """Return a refusal with the combined verdict of all attempts.

        When no upstream is left, the last attempt's refusal replaces ``NO_UPSTREAM``,
        because it explains the failure better.
        """
        verdicts = [failure.verdict for failure in self.failures]
        if refusal.reason is Reason.NO_UPSTREAM and self.failures:
            refusal = self.failures[-1]
        return attrs.evolve(
            refusal, verdict=combine_verdicts((*verdicts, refusal.verdict))
        )


CANCELLED = Refusal(
    Verdict.MAY_HAVE_RUN, Reason.DEADLINE_EXCEEDED, "the caller went away"
)
