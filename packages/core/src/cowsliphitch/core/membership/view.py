"""One daemon's view of the members, from heartbeats that spread by gossip.

Implements gossip-style failure detection (van Renesse, Minsky, Hayden 1998): a member
whose heartbeat stops increasing becomes suspect, then dead.  It needs no probes.
"""

import attrs

from . import const
from .models import MemberRecord, MemberState, Summary, member_id


@attrs.define
class _Member:
    """A known member.

    :param heartbeat: its highest known heartbeat
    :param last_increase_ms: monotonic time at which its heartbeat last increased
    """

    record: MemberRecord
    heartbeat: int
    last_increase_ms: int


class MembershipView:
    """Records, heartbeats and states of all members, this daemon included.

    :param own: this daemon's record
    """

    def __init__(self, own: MemberRecord, now_ms: int, wall_ms: int) -> None:
        """Initialize with this daemon as the only member.

        :param wall_ms: Unix time, from which heartbeats and versions start, so that
            they increase across restarts
        """
        self._own_id = own.id
        own = attrs.evolve(own, version=wall_ms)
        self._members = {own.id: _Member(own, wall_ms, now_ms)}
        # Last heartbeat and expiry (monotonic ms) of removed members.
        self._tombstones: dict[int, tuple[int, int]] = {}
        self._last_advance_ms = now_ms

    @property
    def own(self) -> MemberRecord:
        """Return this daemon's record."""
        return self._members[self._own_id].record

    def advance_heartbeat(self, now_ms: int, wall_ms: int) -> None:
        """Increase this daemon's heartbeat and remove dead members.

        A pause of this process is excluded from the ages of the other heartbeats, so
        that it does not make all other members suspect.
        """
        pause_ms = now_ms - self._last_advance_ms
        self._last_advance_ms = now_ms
        if pause_ms > const.PROCESS_PAUSE_THRESHOLD_MS:
            for member in self._members.values():
                member.last_increase_ms += pause_ms
        own = self._members[self._own_id]
        own.heartbeat = max(own.heartbeat + 1, wall_ms)
        own.last_increase_ms = now_ms
        self._remove_dead(now_ms)

    def update_own(self, record: MemberRecord, wall_ms: int) -> bool:
        """Replace this daemon's record and increase its version.

        :returns: ``False`` if nothing but the version differs; the record then stays
        """
        own = self._members[self._own_id]
        if attrs.evolve(record, version=own.record.version) == own.record:
            return False
        version = max(own.record.version + 1, wall_ms)
        own.record = attrs.evolve(record, version=version)
        return True

    def summary(self) -> Summary:
        """Return the heartbeats and record versions of all known members."""
        return Summary(
            {
                record_id: member.heartbeat
                for record_id, member in self._members.items()
            },
            {
                record_id: member.record.version
                for record_id, member in self._members.items()
            },
        )

    def merge_summary(self, summary: Summary, now_ms: int) -> None:
        """Apply the heartbeats of known members that increased."""
        for record_id, heartbeat in summary.heartbeats.items():
            member = self._members.get(record_id)
            if member is None or record_id == self._own_id:
                continue
            if heartbeat > member.heartbeat:
                member.heartbeat = heartbeat
                member.last_increase_ms = now_ms

    def merge_record(self, record: MemberRecord, heartbeat: int, now_ms: int) -> None:
        """Apply a record that is newer than the known one.

        A removed member is added again only if its heartbeat has increased since, so
        that stale records do not revive it.
        """
        if record.id == self._own_id:
            return
        tombstone = self._tombstones.get(record.id)
        if tombstone is not None and heartbeat <= tombstone[0]:
            return
        self._tombstones.pop(record.id, None)
        member = self._members.get(record.id)
        if member is None:
            self._members[record.id] = _Member(record, heartbeat, now_ms)
        elif record.version > member.record.version:
            member.record = record

    def records_newer_than(self, summary: Summary) -> list[MemberRecord]:
        """Return the records that are newer than a summary, or missing in it."""
        return [
            member.record
            for record_id, member in self._members.items()
            if member.record.version > summary.versions.get(record_id, 0)
        ]

    def heartbeat(self, name: str) -> int:
        """Return the highest known heartbeat of a member, 0 if it is unknown."""
        member = self._members.get(member_id(name))
        return member.heartbeat if member is not None else 0

    def records(self) -> list[MemberRecord]:
        """Return all records, this daemon's included."""
        return [member.record for member in self._members.values()]

    def state(self, name: str, now_ms: int) -> MemberState:
        """Return the state of a member; unknown members are dead."""
        member = self._members.get(member_id(name))
        if member is None:
            return MemberState.DEAD
        if member.record.id == self._own_id:
            return MemberState.ALIVE
        age_ms = now_ms - member.last_increase_ms
        if age_ms >= const.DEAD_AFTER_MS:
            return MemberState.DEAD
        if age_ms >= const.SUSPECT_AFTER_MS:
            return MemberState.SUSPECT
        return MemberState.ALIVE

    def alive(self, now_ms: int) -> list[MemberRecord]:
        """Return the members in state ``ALIVE``, this daemon included."""
        return [
            member.record
            for member in self._members.values()
            if self.state(member.record.name, now_ms) is MemberState.ALIVE
        ]

    def _remove_dead(self, now_ms: int) -> None:
        """Replace dead members by tombstones, and drop expired tombstones."""
        dead = [
            record_id
            for record_id, member in self._members.items()
            if self.state(member.record.name, now_ms) is MemberState.DEAD
        ]
        for record_id in dead:
            expires_ms = now_ms + const.TOMBSTONE_TTL_MS
            self._tombstones[record_id] = (
                self._members.pop(record_id).heartbeat,
                expires_ms,
            )
        self._tombstones = {
            record_id: tombstone
            for record_id, tombstone in self._tombstones.items()
            if tombstone[1] > now_ms
        }
