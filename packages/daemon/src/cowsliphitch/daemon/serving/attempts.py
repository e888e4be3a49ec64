"""Try a call at one upstream after another, within deadline and retry budget."""

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

_CRASH_SIGNS = frozenset({Reason.CONNECTION_LOST, Reason.STREAM_CUT})
_FINAL = frozenset({Reason.QUARANTINED, Reason.DEADLINE_EXCEEDED})


@attrs.define
class Attempts:
    """The tries of one call at one pool.

    :param may_repeat: the call may be sent again although an attempt may have run
    :param on_suspicion: tells the peers about a request that crashed an upstream
    """

    pool: PoolCoordinator
    clock: Clock
    request: str
    req: PoolRequest
    may_repeat: bool
    on_suspicion: Callable[[], Awaitable[None]]
    avoid: frozenset[str] = frozenset()
    failures: tuple[Refusal, ...] = ()

    async def run(self, send: Send, key: str = "") -> Result[StageAnswer, Refusal]:
        """Send until an answer comes or no further try is allowed."""
        self.pool.budget.record_first_attempt()
        while True:
            match await self.acquire():
                case Err(refusal):
                    return Err(self.whole(refusal))
                case Ok(slot):
                    pass
            result = await self._send(slot, send, key)
            if isinstance(result, Ok):
                return result
            if not self.may_retry(result.err_value):
                return Err(self.whole(result.err_value))

    async def acquire(self) -> Result[Slot, Refusal]:
        """Take a slot at an upstream that was not tried yet."""
        return await self.pool.acquire(self.req, self.avoid)

    def new_call(self, key: str = "") -> Call:
        """Return the call of a new attempt."""
        attempt = ids.new_id(self.clock.wall_ms())
        return Call(self.request, attempt, self.req.end_ms, key)

    async def _send(
        self, slot: Slot, send: Send, key: str
    ) -> Result[StageAnswer, Refusal]:
        failure: Refusal | None = CANCELLED
        try:
            result = await send(slot.upstream.address, self.new_call(key))
            failure = result.err_value if isinstance(result, Err) else None
        finally:
            self.release(slot, failure, self.req.work)
        if failure is not None:
            await self.note_failure(slot, failure)
        return result

    def release(self, slot: Slot, failure: Refusal | None, work: int) -> None:
        """Give the slot back; work that never started is not counted."""
        started = failure is None or failure.verdict is not Verdict.NOT_RUN
        self.pool.release(slot, self.req, failure, work if started else 0)

    async def note_failure(self, slot: Slot, failure: Refusal) -> None:
        """Remember a failed attempt, and find out if the upstream crashed."""
        self.failures = (*self.failures, failure)
        self.avoid = self.avoid | {slot.upstream.name}
        if failure.reason not in _CRASH_SIGNS:
            return
        if await refuses_connections(slot.upstream.address, PROBE_TIMEOUT_MS):
            self.pool.note_crash(slot)
            await self.on_suspicion()

    def may_retry(self, failure: Refusal) -> bool:
        """Tell whether another attempt is allowed."""
        if failure.reason in _FINAL or self.clock.now_ms() >= self.req.end_ms:
            return False
        if failure.verdict is not Verdict.NOT_RUN and not self.may_repeat:
            return False
        if not self.pool.budget.try_acquire():
            return False
        self.pool.counts.retries += 1
        return True

    def whole(self, refusal: Refusal) -> Refusal:
        """Return the refusal with the verdict of all attempts together.

        That no upstream is left to try says less than why the last one failed.
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
