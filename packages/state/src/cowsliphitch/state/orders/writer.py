"""Append to one order log, many records in one write."""

import logging

import anyio
import attrs
from result import Err, Ok, Result

from cowsliphitch.core import ids
from cowsliphitch.core.clock import Clock, seconds
from cowsliphitch.core.codec import from_json, to_json
from cowsliphitch.core.orders import const as keys
from cowsliphitch.core.orders.log import (
    AppendPlan,
    Done,
    LogView,
    Owned,
    Unclaimed,
    check_claim,
    plan_append,
)
from cowsliphitch.core.orders.models import Head, Record, Segment, State
from cowsliphitch.core.settings.models import Orders
from cowsliphitch.core.verdict import Reason, Refusal, Verdict, not_run
from cowsliphitch.platform.store.client import KeyValueClient
from cowsliphitch.platform.store.models import (
    Applied,
    Conflict,
    Unavailable,
    WriteOutcomeUnknown,
)

from . import const
from .models import Diagnostics, Outcome, Pending

_LOGGER = logging.getLogger(__name__)


class LogWriter:
    """The only writer of one log in this daemon.

    Other daemons may write to the same log: a compare-and-swap that meets a newer
    head reads it and decides again.
    """

    def __init__(
        self,
        shard: int,
        kv: KeyValueClient,
        clock: Clock,
        settings: Orders,
        diagnostics: Diagnostics,
    ) -> None:
        """Start without having read the log."""
        self._shard = shard
        self._kv = kv
        self._clock = clock
        self._diagnostics = diagnostics
        self._view: LogView | None = None
        self._view_ms = -1
        self._pending: list[Pending] = []
        self._wake = anyio.Event()
        self._written_ms = 0
        self.settings = settings

    @property
    def idle(self) -> bool:
        """Tell whether nothing waits to be written."""
        return not self._pending

    async def submit(
        self,
        record: Record,
        end_ms: int,
        *,
        owned: bool = True,
        maybe_written: bool = False,
    ) -> Outcome:
        """Write a record and return what the log says about it then.

        :param end_ms: monotonic time when the caller stops waiting
        :param owned: this daemon dispatches the order, so it may release the claim
        :param maybe_written: a peer was asked to write it and gave no answer
        """
        if record.state is State.CLAIMED and (known := self._known(record)) is not None:
            return known
        pending = Pending(record, self._clock.now_ms(), end_ms, owned, maybe_written)
        self._enqueue(pending)
        with anyio.move_on_after(seconds(end_ms - self._clock.now_ms())):
            await pending.done.wait()
        if pending.outcome is not None:
            return pending.outcome
        return self._abandon(pending)

    def _enqueue(self, pending: Pending) -> None:
        self._pending.append(pending)
        self._wake.set()

    def _known(self, record: Record) -> Outcome | None:
        """Answer a repeat of a finished order from what was read before."""
        if self._view is None:
            return None
        match check_claim(self._view, record):
            case Ok(Done()) as done:
                return done
            case _:
                return None

    def _abandon(self, pending: Pending) -> Outcome:
        """Give a record up: nobody will dispatch it, so its owner releases the claim.

        Only the owner knows that it will not dispatch: a peer that appended for it
        must never release.
        """
        self._diagnostics.abandoned += 1
        if pending in self._pending:
            self._pending.remove(pending)
        claimed = pending.record.state is State.CLAIMED
        if claimed and pending.owned and pending.maybe_written:
            released = attrs.evolve(pending.record, state=State.RELEASED)
            now = self._clock.now_ms()
            end_ms = now + self.settings.retention
            self._enqueue(Pending(released, now, end_ms, True, True))
        detail = "the platform's service did not confirm the claim in time"
        return Err(not_run(Reason.PLATFORM_UNAVAILABLE, detail))

    async def run(self) -> None:
        """Write what is pending, in groups, for ever."""
        while True:
            if not self._pending:
                self._wake = anyio.Event()
                await self._wake.wait()
            await self._wait_for_interval()
            if not await self._write_group():
                await anyio.sleep(seconds(const.RETRY_DELAY_MS))

    async def _wait_for_interval(self) -> None:
        """Keep the writes to this log apart, so that records gather."""
        due_ms = self._written_ms + self.settings.claim_interval
        wait_ms = due_ms - self._clock.now_ms()
        if wait_ms > 0:
            await anyio.sleep(seconds(wait_ms))

    async def _write_group(self) -> bool:
        """Decide on everything pending and write the head once.

        :returns: whether the next group may follow without a pause
        """
        self._expire()
        match await self._current_view():
            case Err(_):
                return False
            case Ok(view):
                group = self._decide(view)
        if not group:
            return True
        plan = plan_append(
            view,
            tuple(pending.record for pending in group),
            ids.new_id(self._clock.wall_ms()),
            self._floor_ms(),
        )
        return await self._apply(view, plan, group)

    def _expire(self) -> None:
        now = self._clock.now_ms()
        self._pending = [item for item in self._pending if item.end_ms > now]

    def _floor_ms(self) -> int:
        """Return the creation time below which keys have expired."""
        retention_ms = self.settings.retention + keys.MAX_CLOCK_SKEW_MS
        return max(0, self._clock.wall_ms() - retention_ms)

    def _decide(self, view: LogView) -> list[Pending]:
        """Resolve what the log answers already; return what is to be appended.

        A second record of one key waits for the next group.
        """
        group: dict[str, Pending] = {}
        for pending in tuple(self._pending):
            key = pending.record.key
            if key in group:
                continue
            outcome = decide(view, pending.record)
            if isinstance(outcome, Ok) and isinstance(outcome.ok_value, Unclaimed):
                group[key] = pending
                continue
            if self._may_be_stale(pending, outcome):
                continue
            self._pending.remove(pending)
            pending.resolve(outcome)
        return list(group.values())

    def _may_be_stale(self, pending: Pending, outcome: Outcome) -> bool:
        """Read the log again rather than refuse because of an old view."""
        if isinstance(outcome, Ok) or self._view_ms >= pending.since_ms:
            return False
        self._view = None
        return True

    async def _apply(
        self, view: LogView, plan: AppendPlan, group: list[Pending]
    ) -> bool:
        """Write the planned head, after the segment that it names."""
        head_key = keys.HEAD_KEY.format(shard=self._shard)
        segments = dict(view.segments)
        if plan.segment is not None:
            name, segment = plan.segment
            segment_key = self._segment_key(name)
            if not isinstance(
                await self._kv.put(segment_key, to_json(segment), expected=0), Applied
            ):
                return False
            segments[name] = segment
        self._written_ms = self._clock.now_ms()
        for pending in group:
            pending.maybe_written = True
        result = await self._kv.put(head_key, to_json(plan.head), view.revision)
        match result:
            case Applied(revision):
                self._note_applied(LogView(plan.head, revision, segments), group)
                await self._drop(plan)
                return True
            case Conflict():
                self._diagnostics.conflicts += 1
                self._view = None
                return True
            case WriteOutcomeUnknown():
                self._diagnostics.unclear += 1
                return False

    def _note_applied(self, view: LogView, group: list[Pending]) -> None:
        self._view = view
        self._view_ms = self._written_ms
        self._diagnostics.writes += 1
        self._diagnostics.appended += len(group)
        for pending in group:
            if pending in self._pending:
                self._pending.remove(pending)
            pending.resolve(Ok(Owned(pending.record)))

    async def _drop(self, plan: AppendPlan) -> None:
        """Delete the segments that no head names any more."""
        for name in plan.dropped:
            if self._view is not None:
                self._view.segments.pop(name, None)
            await self._kv.delete(self._segment_key(name))

    async def _current_view(self) -> Result[LogView, Unavailable]:
        if self._view is not None:
            return Ok(self._view)
        started_ms = self._clock.now_ms()
        loaded = await self._load()
        if isinstance(loaded, Ok):
            self._view = loaded.ok_value
            self._view_ms = started_ms
        return loaded

    async def _load(self) -> Result[LogView, Unavailable]:
        """Read the head and every segment that it names."""
        match await self._kv.get(keys.HEAD_KEY.format(shard=self._shard)):
            case Err(unavailable):
                return Err(unavailable)
            case Ok(None):
                return Ok(LogView(Head(), 0, {}))
            case Ok(entry):
                assert entry is not None
        match from_json(entry.value, Head):
            case Err(detail):
                return Err(Unavailable(detail))
            case Ok(head):
                pass
        segments: dict[str, Segment] = {}
        for name in head.sealed:
            match await self._load_segment(name):
                case Err(unavailable):
                    return Err(unavailable)
                case Ok(segment):
                    segments[name] = segment
        return Ok(LogView(head, entry.revision, segments))

    async def _load_segment(self, name: str) -> Result[Segment, Unavailable]:
        match await self._kv.get(self._segment_key(name)):
            case Ok(entry) if entry is not None:
                return from_json(entry.value, Segment).map_err(Unavailable)
            case Ok(_):
                return Err(Unavailable("a segment of the order log is missing"))
            case Err(unavailable):
                return Err(unavailable)

    def _segment_key(self, name: str) -> str:
        return keys.SEGMENT_KEY.format(shard=self._shard, segment=name)


def decide(view: LogView, record: Record) -> Result[Owned | Unclaimed | Done, Refusal]:
    """Decide on a claim, or on the outcome of a claim that is ours."""
    if record.state is State.CLAIMED:
        return check_claim(view, record)
    latest = view.find(record.key)
    if latest is None and record.state is State.RELEASED:
        return Ok(Unclaimed())
    if latest is None or latest.attempt != record.attempt:
        detail = "the claim belongs to another attempt"
        return Err(Refusal(Verdict.MAY_HAVE_RUN, Reason.OUTCOME_UNKNOWN, detail))
    if latest.state is record.state:
        return Ok(Owned(latest))
    return Ok(Unclaimed())
