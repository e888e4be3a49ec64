"""Membership of the daemons that share a platform, from its store and heartbeats.

Load pattern: the store is unavailable or refuses this daemon, failure domains are
partitioned from each other, processes freeze and resume.  Heartbeats alone decide
which daemons may acquire duties; a wrong suspicion makes a daemon lose a duty, but is
never unsafe.
"""

import itertools
import zlib
from collections.abc import Collection, Iterable, Mapping
from types import MappingProxyType
from typing import Final

import attrs

from cowsliphitch.core.membership.ranking import rank

# Shortest interval between heartbeats to a peer; a sender states its interval.
HEARTBEAT_INTERVAL_MS: Final = 125

# A member loses its duties when this time has passed after its next two heartbeats were
# due: four heartbeats in a row at the shortest interval.
HEARTBEAT_TIMEOUT_MARGIN_MS: Final = 350

# A member has missed a heartbeat when it is late by more than this.
HEARTBEAT_OVERDUE_MARGIN_MS: Final = 35

# A member that is probed loses its duties when it has been suspect for this long: time
# for it to hear of the suspicion and for its answer to spread.
SUSPICION_MS: Final = 2_000

# A member that is probed counts as heard of late within this time.
PROBED_OVERDUE_MS: Final = 1_000

# Silence after which a failure domain is suspect if its daemons send heartbeats at the
# shortest interval; three of them are missed by then.  With a longer interval, the next
# one from each of them is late by the margin.
DOMAIN_SUSPECT_AFTER_MS: Final = 400
DOMAIN_SUSPECT_MARGIN_MS: Final = 275

# Time for which a silent member still counts in the division of fleet-wide allowances:
# a failure domain may be partitioned for tens of seconds, and its daemons continue to
# spend their part meanwhile.
MEMBER_RETENTION_MS: Final = 60_000

# Minimum divisor of the allowances until the store's member list has been read.
MIN_DIVISOR_WITHOUT_LIST: Final = 16

# Ticks further apart than this mean that this process was paused.  Without a
# correction, all other members would look silent.
PROCESS_PAUSE_THRESHOLD_MS: Final = 350

# Term of a duty acquired by a daemon without a majority.  Such a holder releases
# the duty to any holder that acquired it with a majority.
PROVISIONAL_TERM: Final = 1

# Capacity of a member that states none.
DEFAULT_CAPACITY: Final = 1.0

# A member with less than this share of the largest capacity acquires a duty only if no
# larger one is live: the owner of a group of pools works for all daemons.
MIN_OWNER_CAPACITY_SHARE: Final = 0.7

NO_CLAIMS: Final[Mapping[int, int]] = MappingProxyType({})


def hash_duty(duty: str) -> int:
    """Return the 32-bit hash that identifies a duty in heartbeats."""
    return zlib.crc32(duty.encode())


@attrs.frozen
class Member:
    """A daemon, as it registers in the store and describes itself in heartbeats.

    :param address: host and port of its internal listener
    :param started_ms: Unix time of its process's start, which tells restarts
        apart; 0 until its first heartbeat
    :param capacity: processor capacity of its VM
    """

    address: str
    name: str
    failure_domain: str
    started_ms: int = 0
    capacity: float = DEFAULT_CAPACITY


@attrs.define
class _MemberEntry:
    """State of another member, from the store's member list and from its heartbeats.

    :param heartbeat_ms: monotonic time of its last heartbeat, ``None`` before the first
    :param listed: the store's member list contains it
    :param leaving: its last heartbeat announced that it is shutting down
    :param claims: term by hash of the duties that it holds
    :param sequence_number: sequence number of its last heartbeat
    :param updated_ms: monotonic time at which it was last listed or sent a heartbeat
    :param interval_ms: interval of its heartbeats
    :param is_probed: it sends no regular heartbeats and answers probes instead
    :param suspect_since_ms: monotonic time since which it has answered no probe,
        ``None`` if it is not suspect
    """

    member: Member
    heartbeat_ms: int | None = None
    listed: bool = False
    leaving: bool = False
    claims: Mapping[int, int] = attrs.Factory(dict)
    sequence_number: int = 0
    updated_ms: int = 0
    interval_ms: int = HEARTBEAT_INTERVAL_MS
    is_probed: bool = False
    suspect_since_ms: int | None = None


class MemberTable:
    """One daemon's view of all members and of the duties that they hold.

    :param own: this daemon
    :ivar silent_domains: failure domains in which several probed members answer nothing
    """

    def __init__(self, own: Member, now_ms: int) -> None:
        """Initialize a table that contains only this daemon, without duties."""
        self.own = own
        # Term by hash of the duties that this daemon holds.
        self.claims: dict[int, int] = {}
        # Monotonic time at which each duty was last acquired, by its hash.
        self._acquired_ms: dict[int, int] = {}
        self._entries: dict[str, _MemberEntry] = {}
        self._last_tick_ms = now_ms
        self._has_listing = False
        self.silent_domains: frozenset[str] = frozenset()

    def tick(self, now_ms: int) -> int:
        """Detect a pause of this process and exclude it from the heartbeats' ages.

        :returns: length of the pause in ms, 0 if there was none
        """
        pause_ms = now_ms - self._last_tick_ms
        self._last_tick_ms = now_ms
        if pause_ms <= PROCESS_PAUSE_THRESHOLD_MS:
            return 0
        for entry in self._entries.values():
            if entry.heartbeat_ms is not None:
                entry.heartbeat_ms += pause_ms
            if entry.suspect_since_ms is not None:
                entry.suspect_since_ms += pause_ms
        return pause_ms

    def set_listed(self, members: Iterable[Member], now_ms: int) -> None:
        """Apply the store's member list and evict members past their retention."""
        listed = {m.address: m for m in members if m.address != self.own.address}
        for entry in self._entries.values():
            entry.listed = entry.member.address in listed
        for address, member in listed.items():
            entry = self._entries.setdefault(address, _MemberEntry(member))
            entry.listed = True
            entry.updated_ms = now_ms
        self._has_listing = True
        self._evict_expired(now_ms)

    def record_heartbeat(
        self,
        member: Member,
        sequence_number: int,
        leaving: bool,
        now_ms: int,
        claims: Mapping[int, int] = NO_CLAIMS,
        interval_ms: int = HEARTBEAT_INTERVAL_MS,
        is_probed: bool = False,
    ) -> bool:
        """Record a member's heartbeat, unless a later one has already arrived.

        :param sequence_number: increases with each heartbeat of the member's lifetime
        :param leaving: the member is shutting down
        :param claims: term by hash of the duties that the member holds
        :param interval_ms: time until its next heartbeat
        :param is_probed: it sends no regular heartbeats and answers probes instead
        :returns: whether the member became live
        """
        if member.address == self.own.address:
            return False
        entry = self._entries.setdefault(member.address, _MemberEntry(member))
        was_live = self._is_live(entry, now_ms)
        if member.started_ms == entry.member.started_ms:
            if sequence_number <= entry.sequence_number:
                return False
        elif member.started_ms < entry.member.started_ms and was_live:
            # A delayed datagram from before a restart.  If the member is no longer
            # live, its clock may have stepped back instead.
            return False
        entry.member = member
        entry.sequence_number = sequence_number
        entry.leaving = leaving
        entry.claims = claims
        entry.interval_ms = interval_ms
        entry.is_probed = is_probed
        entry.suspect_since_ms = None
        self._release_outranked(claims, member.address)
        entry.heartbeat_ms = entry.updated_ms = now_ms
        return not was_live and not leaving

    def hear(self, address: str, heard_ms: int) -> bool:
        """Record that a member was heard, by this daemon or by another one.

        :param heard_ms: monotonic time at which it was heard
        :returns: whether this ends a suspicion
        """
        entry = self._entries.get(address)
        if entry is None or not entry.is_probed or entry.heartbeat_ms is None:
            return False
        entry.heartbeat_ms = max(entry.heartbeat_ms, heard_ms)
        if entry.suspect_since_ms is None or heard_ms <= entry.suspect_since_ms:
            return False
        entry.suspect_since_ms = None
        return True

    def suspect(self, address: str, since_ms: int) -> bool:
        """Record that a probed member does not answer.

        :param since_ms: monotonic time since which it has not
        :returns: whether this is news
        """
        entry = self._entries.get(address)
        if (
            entry is None
            or not entry.is_probed
            or entry.leaving
            or entry.suspect_since_ms is not None
            or entry.heartbeat_ms is None
            or entry.heartbeat_ms > since_ms
        ):
            return False
        entry.suspect_since_ms = since_ms
        return True

    def clear_suspicions(self, failure_domain: str) -> None:
        """End the suspicions of a domain's members, since the domain is heard again."""
        for entry in self._entries.values():
            if entry.member.failure_domain == failure_domain:
                entry.suspect_since_ms = None

    def incarnation_of(self, address: str) -> tuple[int, int] | None:
        """Return start and number of a member's last heartbeat, ``None`` before one."""
        entry = self._entries.get(address)
        if entry is None or entry.heartbeat_ms is None:
            return None
        return entry.member.started_ms, entry.sequence_number

    def domain_of(self, address: str) -> str:
        """Return the failure domain of a member, empty if it is not known."""
        entry = self._entries.get(address)
        return entry.member.failure_domain if entry is not None else ""

    def is_suspect(self, address: str) -> bool:
        """Return whether a probed member does not answer."""
        entry = self._entries.get(address)
        return entry is not None and entry.suspect_since_ms is not None

    def unconfirmed(self, now_ms: int) -> list[str]:
        """Return the addresses of members whose state only a probe can tell.

        They were never heard, their regular heartbeats are late, or they are suspect
        although their failure domain is heard.
        """
        return [
            address
            for address, entry in self._entries.items()
            if not entry.leaving
            and (
                entry.heartbeat_ms is None
                or (not entry.is_probed and self._is_overdue(address, now_ms))
                or (
                    entry.suspect_since_ms is not None
                    and entry.member.failure_domain not in self.silent_domains
                )
            )
        ]

    def peers(self) -> list[Member]:
        """Return all other known daemons, silent ones included."""
        return [entry.member for entry in self._entries.values()]

    def live(self, now_ms: int) -> list[Member]:
        """Return the daemons that may hold duties, this one included."""
        others = [e.member for e in self._entries.values() if self._is_live(e, now_ms)]
        return [self.own, *others]

    def silent_by_domain(self, now_ms: int) -> dict[str, bool]:
        """Return by failure domain whether all its members are silent.

        Members that are leaving or were never heard are no evidence.  Each member has
        until its own next heartbeat: how the heartbeats of several are spread over an
        interval is left out of account, since daemons that start or resume together
        send in step.
        """
        silent: dict[str, bool] = {}
        for entry in self._entries.values():
            if entry.leaving or entry.heartbeat_ms is None:
                continue
            domain = entry.member.failure_domain
            if silent.get(domain, True):
                silent[domain] = self._is_silent(entry, now_ms)
        return silent

    def _is_silent(self, entry: _MemberEntry, now_ms: int) -> bool:
        if entry.is_probed:
            return entry.member.failure_domain in self.silent_domains
        if entry.heartbeat_ms is None:
            return False
        due_ms = max(
            DOMAIN_SUSPECT_AFTER_MS, entry.interval_ms + DOMAIN_SUSPECT_MARGIN_MS
        )
        return now_ms - entry.heartbeat_ms >= due_ms

    def is_leaving(self, address: str) -> bool:
        """Return whether a member's last heartbeat announced its shutdown."""
        entry = self._entries.get(address)
        return entry is not None and entry.leaving

    def is_live(self, address: str, now_ms: int) -> bool:
        """Return whether another daemon may hold duties."""
        entry = self._entries.get(address)
        return entry is not None and self._is_live(entry, now_ms)

    def owner_candidates(
        self,
        duty: str,
        now_ms: int,
        unresponsive: Collection[str] = (),
        domains: Collection[str] = (),
    ) -> list[Member]:
        """Return the live daemons in order of preference for a duty.

        A holder keeps its duty while it is live, since it alone has the state of the
        requests in flight.  A partition may leave two holders; the one with the higher
        term wins.  A side of a partition without a majority acquires duties with the
        lowest term.

        :param unresponsive: addresses of daemons that did not answer another daemon;
            they are left out if they missed a heartbeat here, too
        :param domains: failure domains whose daemons are preferred
        """
        by_address = {
            member.address: member
            for member in self.live(now_ms)
            if member.address not in unresponsive
            or not self._is_overdue(member.address, now_ms)
        }
        duty_hash = hash_duty(duty)
        holders = sorted(
            (a for a in by_address if self._term(a, duty_hash)),
            key=lambda a: (self._term(a, duty_hash), a),
            reverse=True,
        )
        preferred = {a for a, m in by_address.items() if m.failure_domain in domains}
        min_capacity = MIN_OWNER_CAPACITY_SHARE * max(
            (by_address[address].capacity for address in preferred or by_address),
            default=0.0,
        )
        others = sorted(
            (a for a in rank(duty, by_address) if a not in holders),
            key=lambda a: (
                a not in preferred,
                by_address[a].capacity < min_capacity,
            ),
        )
        return [by_address[address] for address in itertools.chain(holders, others)]

    def acquire_duty(
        self,
        duty: str,
        now_ms: int,
        unresponsive: Collection[str] = (),
        domains: Collection[str] = (),
    ) -> bool:
        """Acquire a duty if this daemon is the first candidate for it.

        The term of a provisional holder rises once it has a majority.

        :param unresponsive: addresses of daemons that did not answer another daemon
        :param domains: failure domains whose daemons are preferred
        :returns: whether the duty was newly acquired
        """
        duty_hash = hash_duty(duty)
        own_term = self.claims.get(duty_hash)
        if own_term is not None and own_term > PROVISIONAL_TERM:
            return False
        if (
            self.owner_candidates(duty, now_ms, unresponsive, domains)[0].address
            != self.own.address
        ):
            return False
        if self._has_majority(now_ms):
            terms = (entry.claims.get(duty_hash, 0) for entry in self._entries.values())
            self.claims[duty_hash] = 1 + max([PROVISIONAL_TERM, *terms])
        else:
            self.claims[duty_hash] = PROVISIONAL_TERM
        if own_term != self.claims[duty_hash]:
            self._acquired_ms[duty_hash] = now_ms
        return own_term is None

    def held_ms(self, duty: str, now_ms: int) -> int:
        """Return for how long this daemon has held a duty, 0 if it does not."""
        duty_hash = hash_duty(duty)
        if duty_hash not in self.claims:
            return 0
        return now_ms - self._acquired_ms[duty_hash]

    def is_held(self, duty_hash: int, now_ms: int) -> bool:
        """Return whether a live daemon, or this one, holds a duty."""
        return duty_hash in self.claims or any(
            duty_hash in entry.claims
            for entry in self._entries.values()
            if entry.claims and self._is_live(entry, now_ms)
        )

    def _is_overdue(self, address: str, now_ms: int) -> bool:
        entry = self._entries.get(address)
        if entry is None or entry.leaving or entry.heartbeat_ms is None:
            return True
        due_ms = (
            PROBED_OVERDUE_MS
            if entry.is_probed
            else entry.interval_ms + HEARTBEAT_OVERDUE_MARGIN_MS
        )
        return now_ms - entry.heartbeat_ms > due_ms

    def _has_majority(self, now_ms: int) -> bool:
        """Return whether most of the members that are not leaving are live."""
        member_count = 1 + sum(not entry.leaving for entry in self._entries.values())
        return 2 * len(self.live(now_ms)) > member_count

    def fleet_share(self, now_ms: int) -> float:
        """Return the part of fleet-wide rates that this side of a partition may use.

        A side with a majority takes the others for dead and uses the whole.
        """
        if self._has_majority(now_ms):
            return 1.0
        return len(self.live(now_ms)) / self.allowance_divisor(now_ms)

    def release_duties(self) -> None:
        """Release all duties before this daemon shuts down."""
        self.claims.clear()

    def _term(self, address: str, duty_hash: int) -> int:
        if address == self.own.address:
            return self.claims.get(duty_hash, 0)
        return self._entries[address].claims.get(duty_hash, 0)

    def _release_outranked(self, claims: Mapping[int, int], address: str) -> None:
        """Release the duties that another daemon holds with a higher term.

        Equal terms are decided by address.
        """
        for duty_hash, term in claims.items():
            own_term = self.claims.get(duty_hash)
            if own_term is not None and (term, address) > (own_term, self.own.address):
                del self.claims[duty_hash]

    def allowance_divisor(self, now_ms: int) -> int:
        """Return the largest number of daemons that may spend fleet-wide allowances."""
        self._evict_expired(now_ms)
        count = 1 + len(self._entries)
        return count if self._has_listing else max(count, MIN_DIVISOR_WITHOUT_LIST)

    def _is_live(self, entry: _MemberEntry, now_ms: int) -> bool:
        if entry.leaving or entry.heartbeat_ms is None:
            return False
        if entry.is_probed:
            since_ms = entry.suspect_since_ms
            return since_ms is None or now_ms - since_ms < SUSPICION_MS
        timeout_ms = 2 * entry.interval_ms + HEARTBEAT_TIMEOUT_MARGIN_MS
        return now_ms - entry.heartbeat_ms < timeout_ms

    def _evict_expired(self, now_ms: int) -> None:
        """Evict unlisted members that have been silent past their retention."""
        expired = [
            address
            for address, entry in self._entries.items()
            if not entry.listed and now_ms - entry.updated_ms > MEMBER_RETENTION_MS
        ]
        for address in expired:
            del self._entries[address]
