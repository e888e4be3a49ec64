"""Claim checks and append planning for one order log.

The log makes sure that each order runs at most once, although any daemon may append
to any log.  A claim is in force once the compare-and-swap that writes it to the head
has succeeded, and only the daemon that made the claim dispatches the order.

This module does no I/O; its caller reads and writes the key-value service.
"""

import attrs
from result import Err, Ok, Result

from cowsliphitch.core.revisions import Revision
from cowsliphitch.core.verdict import Reason, Refusal, may_have_run, not_run

from . import const
from .models import Head, Record, Segment, State, expired_key_refusal


@attrs.frozen
class LogView:
    """A snapshot of a log: its head and every segment that the head references.

    :param revision: revision of the head in the key-value service, ``NO_REVISION`` if
        absent
    :param segments: the sealed segments by name
    """

    head: Head
    revision: Revision
    segments: dict[str, Segment]

    def find(self, key: str) -> Record | None:
        """Return the latest record of a key.

        :returns: ``None`` if the log has no record of the key
        """
        for record in reversed(self.head.open):
            if record.key == key:
                return record
        for name in reversed(self.head.sealed):
            sealed_record = next(
                (r for r in self.segments[name].records if r.key == key), None
            )
            if sealed_record is not None:
                return sealed_record
        return None


def head_in_era(head: Head, era: int, era_since_ms: int) -> Head:
    """Return a head as it is to be used in an era of the store.

    The store may have lost the claims of an earlier era that it had acknowledged last,
    so keys that were created before the era can no longer be claimed, and a claim of
    such a key that the log has gives no right to dispatch its order.

    :param era_since_ms: Unix time from which this daemon knows of the era
    """
    if head.era == era:
        return head
    return attrs.evolve(head, era=era, floor_ms=max(head.floor_ms, era_since_ms))


@attrs.frozen
class Owned:
    """The attempt's claim is in the log: the caller may dispatch the order.

    :param record: the claim, or the outcome recorded by the same attempt
    """

    record: Record


@attrs.frozen
class Unclaimed:
    """No claim on the key is in force: one may be appended."""


@attrs.frozen
class Done:
    """The order ran under an earlier attempt.

    :param record: the outcome, with the answer's body if it was short enough to store
    """

    record: Record


ClaimStatus = Owned | Unclaimed | Done


def check_claim(view: LogView, claim: Record) -> Result[ClaimStatus, Refusal]:
    """Check a claim against the records of the log.

    An attempt that released its claim is refused: its caller was told that the order
    did not run, so only another attempt may claim the key again.

    :param claim: the record that would be appended
    :returns: whether the claim can be appended, is in force, or its order already ran;
        a refusal if another request used the key, the order may have run, or the key
        has expired
    """
    record = view.find(claim.key)
    if record is None or record.state is State.RELEASED:
        if record is not None and record.attempt == claim.attempt:
            detail = "the claim was given up before the order was dispatched"
            return Err(not_run(Reason.DEADLINE_EXCEEDED, detail))
        if claim.created_ms < view.head.floor_ms:
            return Err(expired_key_refusal())
        return Ok(Unclaimed())
    if record.attempt == claim.attempt:
        if claim.created_ms < view.head.floor_ms:
            # Appended in an era whose log may lack an earlier claim of this key.
            return Err(expired_key_refusal())
        return Ok(Owned(record))
    if record.fingerprint != claim.fingerprint:
        detail = "the idempotency key was used for another request"
        return Err(not_run(Reason.KEY_REUSED, detail))
    if record.state is State.RAN:
        return Ok(Done(record))
    detail = "an earlier request with this key is running or may have run"
    return Err(may_have_run(Reason.OUTCOME_UNKNOWN, detail))


@attrs.frozen
class AppendPlan:
    """The writes that append records to a log.

    :param head: the new head
    :param segment: name and content of a newly sealed segment, ``None`` if none was
        sealed; it must be stored before the head that references it
    :param dropped: names of segments that the new head no longer references
    """

    head: Head
    segment: tuple[str, Segment] | None
    dropped: tuple[str, ...]


def plan_append(
    view: LogView, records: tuple[Record, ...], segment_name: str, floor_ms: int
) -> AppendPlan:
    """Plan the next head: append records, seal a full head, drop expired segments.

    :param segment_name: a unique name, used if a segment is sealed
    :param floor_ms: Unix time in ms; keys created before it are expired
    """
    floor_ms = max(floor_ms, view.head.floor_ms)
    dropped = tuple(
        name for name in view.head.sealed if view.segments[name].newest_ms < floor_ms
    )
    sealed = tuple(name for name in view.head.sealed if name not in dropped)
    open_records = _replace_records(view.head.open, records)
    if len(open_records) <= const.MAX_OPEN_RECORDS:
        head = Head(
            _floor_after_drop(view, dropped), sealed, open_records, view.head.era
        )
        return AppendPlan(head, None, dropped)
    segment = Segment(view.head.open)
    head = Head(
        _floor_after_drop(view, dropped),
        (*sealed, segment_name),
        records,
        view.head.era,
    )
    return AppendPlan(head, (segment_name, segment), dropped)


def _floor_after_drop(view: LogView, dropped: tuple[str, ...]) -> int:
    """Return the floor in ms below which no key can be claimed.

    It is above every key in a dropped segment: their claims are no longer in the log,
    so a late repeat would otherwise be taken for a new order.
    """
    floors_ms = (view.segments[name].newest_ms + 1 for name in dropped)
    return max(view.head.floor_ms, *floors_ms, 0)


def _replace_records(
    open_records: tuple[Record, ...], records: tuple[Record, ...]
) -> tuple[Record, ...]:
    """Append records, dropping older ones of the same keys."""
    replaced = {record.key for record in records}
    return (
        *(record for record in open_records if record.key not in replaced),
        *records,
    )
