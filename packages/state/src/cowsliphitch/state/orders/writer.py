"""Writer of one order log, with one write for each group of records.

Records that arrive within the claim interval are written together, so the number of
writes to the key-value store stays low under load.
"""

import logging

import anyio
import attrs
from result import Err, Ok, Result

from cowsliphitch.core import ids
from cowsliphitch.core.clock import Clock, seconds
from cowsliphitch.core.codec import from_json, to_json
from cowsliphitch.core.kv.models import (
    Applied,
    Conflict,
    Unavailable,
    WriteOutcomeUnknown,
)
from cowsliphitch.core.orders import const as keys
from cowsliphitch.core.orders.log import (
    AppendPlan,
    Done,
    LogView,
    Owned,
    Unclaimed,
    check_claim,
    head_in_era,
    plan_append,
)
from cowsliphitch.core.orders.models import Head, Record, Segment, State
from cowsliphitch.core.revisions import NO_REVISION
from cowsliphitch.core.settings.models import Orders
from cowsliphitch.core.verdict import Reason, Refusal, Verdict, not_run
from cowsliphitch.platform.store.client import KeyValueClient

from . import const
from .models import Diagnostics, Outcome, PendingRecord

_LOGGER = logging.getLogger(__name__)


class LogWriter:
    """Appends the records of this daemon to one log.

    Other daemons may write to the same log.  If another one replaced the head first,
    the compare-and-swap is refused; the log is then read and the records are checked
    again.

    :param shard: index of the log
    """

    def __init__(
        self,
        shard: int,
        kv: KeyValueClient,
        clock: Clock,
        settings: Orders,
        diagnostics: Diagnostics,
    ) -> None:
        """Initialize without records; the log is read before the first write."""
        self._shard = shard
        self._kv = kv
        self._clock = clock
        self._diagnostics = diagnostics
        self._view: LogView | None = None
        self._view_time_ms = -1
        self._pending: list[PendingRecord] = []
        self._wake = anyio.Event()
        self._last_write_ms = 0
        self.settings = settings

    @property
    def is_idle(self) -> bool:
        """Return whether no record is waiting to be written."""
        return not self._pending

    async def submit(
        self,
        record: Record,
        deadline_ms: int,
        *,
        owned: bool = True,
        maybe_written: bool = False,
    ) -> Outcome:
        """Write a record and return the status of its order in the log afterwards.

        :param deadline_ms: monotonic time at which the caller stops waiting
        :param owned: whether this daemon dispatches the order, and so may release the
            claim
        :param maybe_written: whether a peer was asked to write it and gave no answer
        """
        if (
            record.state is State.CLAIMED
            and (outcome := self._cached_outcome(record)) is not None
        ):
            return outcome
        pending = PendingRecord(
            record, self._clock.now_ms(), deadline_ms, owned, maybe_written
        )
        self._enqueue(pending)
        with anyio.move_on_after(seconds(deadline_ms - self._clock.now_ms())):
            await pending.done.wait()
        if pending.outcome is not None:
            return pending.outcome
        return self._abandon(pending)

    def _enqueue(self, pending: PendingRecord) -> None:
        self._pending.append(pending)
        self._wake.set()

    def _cached_outcome(self, record: Record) -> Outcome | None:
        """Return the outcome of an order that ran, if the present view has it.

        A repeat of such an order needs no access to the store.
        """
        if self._view is None or self._view.head.era != self._kv.era:
            return None
        match check_claim(self._view, record):
            case Ok(Done()) as done:
                return done
            case _:
                return None

    def _abandon(self, pending: PendingRecord) -> Outcome:
        """Give up a record that was not confirmed in time, and refuse its order.

        The order will not be dispatched, so a claim that may have been written is
        released.  Only the owner of the claim can rule out that the order is
        dispatched; a daemon that appended the claim for a peer must never release it.
        """
        self._diagnostics.abandoned += 1
        if pending in self._pending:
            self._pending.remove(pending)
        is_claim = pending.record.state is State.CLAIMED
        if is_claim and pending.owned and pending.maybe_written:
            released = attrs.evolve(pending.record, state=State.RELEASED)
            now_ms = self._clock.now_ms()
            deadline_ms = now_ms + self.settings.retention
            self._enqueue(PendingRecord(released, now_ms, deadline_ms, True, True))
        detail = "the platform's service did not confirm the claim in time"
        return Err(not_run(Reason.PLATFORM_UNAVAILABLE, detail))

    async def run(self) -> None:
        """Write pending records in groups, until cancelled."""
        while True:
            if not self._pending:
                self._wake = anyio.Event()
                await self._wake.wait()
            await self._wait_for_interval()
            if not await self._write_group():
                await anyio.sleep(seconds(const.RETRY_DELAY_MS))

    async def _wait_for_interval(self) -> None:
        """Wait for the claim interval since the last write, to collect more records."""
        due_ms = self._last_write_ms + self.settings.claim_interval
        wait_ms = due_ms - self._clock.now_ms()
        if wait_ms > 0:
            await anyio.sleep(seconds(wait_ms))

    async def _write_group(self) -> bool:
        """Check the pending records and append those that the log lacks, in one write.

        :returns: whether the next group may follow without a delay
        """
        self._remove_expired()
        match await self._current_view():
            case Err(_):
                return False
            case Ok(view):
                group = self._select_group(view)
        if not group:
            return True
        plan = plan_append(
            view,
            tuple(pending.record for pending in group),
            ids.new_id(self._clock.wall_ms()),
            self._floor_ms(),
        )
        return await self._apply(view, plan, group)

    def _remove_expired(self) -> None:
        now_ms = self._clock.now_ms()
        self._pending = [
            pending for pending in self._pending if pending.end_ms > now_ms
        ]

    def _floor_ms(self) -> int:
        """Return a Unix time in ms; keys that were created before it have expired."""
        retention_ms = self.settings.retention + keys.MAX_CLOCK_SKEW_MS
        return max(0, self._clock.wall_ms() - retention_ms)

    def _select_group(self, view: LogView) -> list[PendingRecord]:
        """Resolve the records whose outcome the log already has.

        :returns: the records to append, at most one for each key; further ones are left
            for the next group
        """
        group: dict[str, PendingRecord] = {}
        for pending in tuple(self._pending):
            key = pending.record.key
            if key in group:
                continue
            outcome = check_record(view, pending.record)
            if isinstance(outcome, Ok) and isinstance(outcome.ok_value, Unclaimed):
                group[key] = pending
                continue
            if self._discard_stale_view(pending, outcome):
                continue
            self._pending.remove(pending)
            pending.resolve(outcome)
        return list(group.values())

    def _discard_stale_view(self, pending: PendingRecord, outcome: Outcome) -> bool:
        """Discard the view if a refusal may be due to its age.

        :returns: whether the view was read before the record was submitted, so the
            record must be checked again
        """
        if isinstance(outcome, Ok) or self._view_time_ms >= pending.since_ms:
            return False
        self._view = None
        return True

    async def _apply(
        self, view: LogView, plan: AppendPlan, group: list[PendingRecord]
    ) -> bool:
        """Write the segment of a plan, if any, and then the head that references it.

        :returns: whether the next group may follow without a delay
        """
        head_key = keys.HEAD_KEY.format(shard=self._shard)
        segments = dict(view.segments)
        if plan.segment is not None:
            name, segment = plan.segment
            segment_key = self._segment_key(name)
            if not isinstance(
                await self._kv.put(
                    segment_key, to_json(segment), expected_revision=NO_REVISION
                ),
                Applied,
            ):
                return False
            segments[name] = segment
        self._last_write_ms = self._clock.now_ms()
        for pending in group:
            pending.maybe_written = True
        result = await self._kv.put(head_key, to_json(plan.head), view.revision)
        match result:
            case Applied(revision) if revision.era == view.head.era:
                self._complete_group(LogView(plan.head, revision, segments), group)
                await self._delete_dropped_segments(plan)
                return True
            case Applied() | Conflict():
                # A log of another era may lack claims that the view has, or the other
                # way round, so the records are checked against it again.
                self._diagnostics.conflicts += 1
                self._view = None
                return True
            case WriteOutcomeUnknown():
                self._diagnostics.unclear += 1
                return False

    def _complete_group(self, view: LogView, group: list[PendingRecord]) -> None:
        self._view = view
        self._view_time_ms = self._last_write_ms
        self._diagnostics.writes += 1
        self._diagnostics.appended += len(group)
        for pending in group:
            if pending in self._pending:
                self._pending.remove(pending)
            pending.resolve(Ok(Owned(pending.record)))

    async def _delete_dropped_segments(self, plan: AppendPlan) -> None:
        """Delete the segments that the new head no longer references."""
        for name in plan.dropped:
            if self._view is not None:
                self._view.segments.pop(name, None)
            await self._kv.delete(self._segment_key(name))

    async def _current_view(self) -> Result[LogView, Unavailable]:
        if self._view is not None and self._view.head.era == self._kv.era:
            return Ok(self._view)
        started_ms = self._clock.now_ms()
        loaded = await self._load()
        if isinstance(loaded, Ok):
            self._view = loaded.ok_value
            self._view_time_ms = started_ms
        return loaded

    async def _load(self) -> Result[LogView, Unavailable]:
        """Read the head and every segment that it references."""
        match await self._kv.get(keys.HEAD_KEY.format(shard=self._shard)):
            case Err(unavailable):
                return Err(unavailable)
            case Ok(None):
                return Ok(LogView(self._in_era(Head()), NO_REVISION, {}))
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
        return Ok(LogView(self._in_era(head), entry.revision, segments))

    def _in_era(self, head: Head) -> Head:
        current = head_in_era(head, self._kv.era, self._kv.era_since_ms)
        if current.era != head.era and head.era:
            _LOGGER.warning(
                "Order log %d is of era %d and the store of era %d; "
                "keys from before %d are refused",
                self._shard,
                head.era,
                current.era,
                current.floor_ms,
            )
        return current

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


def check_record(
    view: LogView, record: Record
) -> Result[Owned | Unclaimed | Done, Refusal]:
    """Check a record against the log: a claim, or the outcome of a claim.

    :returns: ``Unclaimed`` if the record can be appended, ``Owned`` if the log has it,
        ``Done`` if the order ran under an earlier attempt; a refusal if the claim
        belongs to another attempt or :func:`check_claim` refuses it
    """
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
