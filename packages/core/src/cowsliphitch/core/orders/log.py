"""Decisions on one order log.

Any daemon may append to any log.  A claim is in force once the compare-and-swap of
the head that holds it has taken effect, and only its claimer dispatches it.
"""

import attrs
from result import Err, Ok, Result

from cowsliphitch.core.verdict import Reason, Refusal, may_have_run, not_run

from . import const
from .models import Head, Record, Segment, State, expired_key


@attrs.frozen
class LogView:
    """A head that was read, together with all segments that it names.

    :param revision: revision of the head in the key-value service, 0 if absent
    """

    head: Head
    revision: int
    segments: dict[str, Segment]

    def find(self, key: str) -> Record | None:
        """Return the latest record of a key."""
        for record in reversed(self.head.open):
            if record.key == key:
                return record
        for name in reversed(self.head.sealed):
            found = next((r for r in self.segments[name].records if r.key == key), None)
            if found is not None:
                return found
        return None


@attrs.frozen
class Owned:
    """The claim is in the log and ours: the order may be dispatched."""

    record: Record


@attrs.frozen
class Unclaimed:
    """The key is not claimed: a claim may be appended."""


@attrs.frozen
class Done:
    """The order ran before, and its answer was kept."""

    record: Record


ClaimStatus = Owned | Unclaimed | Done


def check_claim(view: LogView, wanted: Record) -> Result[ClaimStatus, Refusal]:
    """Decide what the log says about an order that wants to be claimed."""
    record = view.find(wanted.key)
    if record is None or record.state is State.RELEASED:
        if record is not None and record.attempt == wanted.attempt:
            detail = "the claim was given up before the order was dispatched"
            return Err(not_run(Reason.DEADLINE_EXCEEDED, detail))
        if wanted.created_ms < view.head.floor_ms:
            return Err(expired_key())
        return Ok(Unclaimed())
    if record.attempt == wanted.attempt:
        return Ok(Owned(record))
    if record.fingerprint != wanted.fingerprint:
        detail = "the idempotency key was used for another request"
        return Err(not_run(Reason.KEY_REUSED, detail))
    if record.state is State.RAN:
        return Ok(Done(record))
    detail = "an earlier request with this key is running or may have run"
    return Err(may_have_run(Reason.OUTCOME_UNKNOWN, detail))


@attrs.frozen
class AppendPlan:
    """The write that puts records into a log.

    :param head: the new head
    :param segment: a segment to be stored before the head, with its name
    :param dropped: segments that the new head no longer names
    """

    head: Head
    segment: tuple[str, Segment] | None
    dropped: tuple[str, ...]


def plan_append(
    view: LogView, records: tuple[Record, ...], segment_name: str, floor_ms: int
) -> AppendPlan:
    """Plan the next head: put records in, seal what is full, drop what expired.

    :param segment_name: a name that nobody else uses, for a segment if one is sealed
    :param floor_ms: keys created before this are expired
    """
    floor_ms = max(floor_ms, view.head.floor_ms)
    dropped = tuple(
        name for name in view.head.sealed if view.segments[name].newest_ms < floor_ms
    )
    sealed = tuple(name for name in view.head.sealed if name not in dropped)
    kept_open = _merge(view.head.open, records)
    if len(kept_open) <= const.MAX_OPEN_RECORDS:
        return AppendPlan(Head(_floor(view, dropped), sealed, kept_open), None, dropped)
    full = Segment(view.head.open)
    head = Head(_floor(view, dropped), (*sealed, segment_name), records)
    return AppendPlan(head, (segment_name, full), dropped)


def _floor(view: LogView, dropped: tuple[str, ...]) -> int:
    """Return the floor that makes every key in a dropped segment unclaimable."""
    ages = (view.segments[name].newest_ms + 1 for name in dropped)
    return max(view.head.floor_ms, *ages, 0)


def _merge(
    open_: tuple[Record, ...], records: tuple[Record, ...]
) -> tuple[Record, ...]:
    newer = {record.key for record in records}
    return (*(record for record in open_ if record.key not in newer), *records)
