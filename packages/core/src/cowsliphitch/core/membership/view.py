"""One daemon's view of the fleet.

Heartbeats spread by gossip (van Renesse, Minsky, Hayden 1998): a member whose
heartbeat stops growing is suspected, then held for dead.  Nobody has to be asked.
"""

import attrs

from . import const
from .models import MemberRecord, MemberState, Summary, member_id


@attrs.define
class _Member:
    """A record and when its heartbeat last grew, in monotonic ms."""

    record: MemberRecord
    heartbeat: int
    grew_ms: int


class MembershipView:
    """What this daemon knows of all members, itself included.

    :param own: this daemon's record
    """

    def __init__(self, own: MemberRecord, now_ms: int, wall_ms: int) -> None:
        """Start alone."""
        self._own_id = own.id
        own = attrs.evolve(own, version=wall_ms)
        self._members = {own.id: _Member(own, wall_ms, now_ms)}
        self._tombstones: dict[int, tuple[int, int]] = {}
        self._beat_ms = now_ms

    @property
    def own(self) -> MemberRecord:
        """Return this daemon's record."""
        return self._members[self._own_id].record

    def advance_heartbeat(self, now_ms: int, wall_ms: int) -> None:
        """Let the own heartbeat grow, and bury members that are dead.

        A process that was paused must not suspect everybody else for it.
        """
        pause_ms = now_ms - self._beat_ms
        self._beat_ms = now_ms
        if pause_ms > const.PAUSE_MS:
            for member in self._members.values():
                member.grew_ms += pause_ms
        own = self._members[self._own_id]
        own.heartbeat = max(own.heartbeat + 1, wall_ms)
        own.grew_ms = now_ms
        self._bury(now_ms)

    def update_own(self, record: MemberRecord, wall_ms: int) -> bool:
        """Change the own record; ``False`` if nothing but the version differs."""
        own = self._members[self._own_id]
        if attrs.evolve(record, version=own.record.version) == own.record:
            return False
        version = max(own.record.version + 1, wall_ms)
        own.record = attrs.evolve(record, version=version)
        return True

    def summary(self) -> Summary:
        """Return how fresh the knowledge of each member is."""
        return Summary(
            {number: member.heartbeat for number, member in self._members.items()},
            {number: member.record.version for number, member in self._members.items()},
        )

    def merge_summary(self, summary: Summary, now_ms: int) -> None:
        """Take over heartbeats that grew."""
        for number, heartbeat in summary.heartbeats.items():
            member = self._members.get(number)
            if member is None or number == self._own_id:
                continue
            if heartbeat > member.heartbeat:
                member.heartbeat = heartbeat
                member.grew_ms = now_ms

    def merge_record(self, record: MemberRecord, heartbeat: int, now_ms: int) -> None:
        """Take over a record that is newer than the known one."""
        if record.id == self._own_id:
            return
        buried = self._tombstones.get(record.id)
        if buried is not None and heartbeat <= buried[0]:
            return
        self._tombstones.pop(record.id, None)
        member = self._members.get(record.id)
        if member is None:
            self._members[record.id] = _Member(record, heartbeat, now_ms)
        elif record.version > member.record.version:
            member.record = record

    def records_newer_than(self, summary: Summary) -> list[MemberRecord]:
        """Return the records that the sender of a summary lacks."""
        return [
            member.record
            for number, member in self._members.items()
            if member.record.version > summary.versions.get(number, 0)
        ]

    def heartbeat(self, name: str) -> int:
        """Return the known heartbeat of a member, 0 if it is unknown."""
        member = self._members.get(member_id(name))
        return member.heartbeat if member is not None else 0

    def records(self) -> list[MemberRecord]:
        """Return all records, this daemon's included."""
        return [member.record for member in self._members.values()]

    def state(self, name: str, now_ms: int) -> MemberState:
        """Return what this daemon believes about a member."""
        member = self._members.get(member_id(name))
        if member is None:
            return MemberState.DEAD
        if member.record.id == self._own_id:
            return MemberState.ALIVE
        silent_ms = now_ms - member.grew_ms
        if silent_ms >= const.DEAD_AFTER_MS:
            return MemberState.DEAD
        if silent_ms >= const.SUSPECT_AFTER_MS:
            return MemberState.SUSPECT
        return MemberState.ALIVE

    def alive(self, now_ms: int) -> list[MemberRecord]:
        """Return the members that are not suspected, this daemon included."""
        return [
            member.record
            for member in self._members.values()
            if self.state(member.record.name, now_ms) is MemberState.ALIVE
        ]

    def _bury(self, now_ms: int) -> None:
        dead = [
            number
            for number, member in self._members.items()
            if self.state(member.record.name, now_ms) is MemberState.DEAD
        ]
        for number in dead:
            until_ms = now_ms + const.TOMBSTONE_FOR_MS
            self._tombstones[number] = (self._members.pop(number).heartbeat, until_ms)
        self._tombstones = {
            number: kept
            for number, kept in self._tombstones.items()
            if kept[1] > now_ms
        }
