"""Which daemons live, from the store's list and from their heartbeats.

Load pattern: the store is away or refuses this daemon, failure domains are cut off from
each other, processes freeze and wake.  Heartbeats alone decide who takes duties; a
wrong suspicion costs a duty, never safety.
"""

import itertools
import zlib
from collections.abc import Collection, Iterable, Mapping
from types import MappingProxyType
from typing import Final

import attrs

from cowsliphitch.core.membership.ranking import rank

# Four heartbeats in a row are missed before a member loses its duties.
LIVE_FOR_MS: Final = 600

# A member that was silent for this long has missed a heartbeat.
MISSED_AFTER_MS: Final = 160

# How long a silent member still counts for the division of fleet-wide allowances: a
# failure domain may be cut off for tens of seconds and goes on spending.
COUNTED_FOR_MS: Final = 60_000

# The allowances are divided by at least this many while no list has been read.
LEAST_COUNTED: Final = 16

# A pause of the own process of more than this must not make all others suspect.
OWN_PAUSE_MS: Final = 350


# Term of a duty taken by a daemon that hears no majority.  It yields to every holder
# that a majority went on with.
PROVISIONAL_TERM: Final = 1

NO_CLAIMS: Final[Mapping[int, int]] = MappingProxyType({})


def duty_number(duty: str) -> int:
    """Return the short form of a duty's name."""
    return zlib.crc32(duty.encode())


@attrs.frozen
class Member:
    """Another daemon.

    :param address: host and port of its internal listener
    :param lifetime: Unix ms of its process's start, 0 until it was heard
    """

    address: str
    name: str
    failure_domain: str
    lifetime: int = 0


@attrs.define
class _Known:
    member: Member
    heard_ms: int | None = None
    listed: bool = False
    leaving: bool = False
    claims: Mapping[int, int] = attrs.Factory(dict)
    number: int = 0
    seen_ms: int = 0


class MemberTable:
    """What this daemon believes about the others."""

    def __init__(self, own: Member, now_ms: int) -> None:
        """Start alone."""
        self.own = own
        self.claims: dict[int, int] = {}
        self._known: dict[str, _Known] = {}
        self._ticked_ms = now_ms
        self._was_listed = False

    def tick(self, now_ms: int) -> int:
        """Notice pauses of the own process; return the pause in ms, 0 if none."""
        pause_ms = now_ms - self._ticked_ms
        self._ticked_ms = now_ms
        if pause_ms <= OWN_PAUSE_MS:
            return 0
        for known in self._known.values():
            if known.heard_ms is not None:
                known.heard_ms += pause_ms
        return pause_ms

    def set_listed(self, members: Iterable[Member], now_ms: int) -> None:
        """Take over the store's list."""
        listed = {m.address: m for m in members if m.address != self.own.address}
        for known in self._known.values():
            known.listed = known.member.address in listed
        for address, member in listed.items():
            known = self._known.setdefault(address, _Known(member))
            known.listed = True
            known.seen_ms = now_ms
        self._was_listed = True
        self._forget(now_ms)

    def record_heartbeat(
        self,
        member: Member,
        number: int,
        leaving: bool,
        now_ms: int,
        claims: Mapping[int, int] = NO_CLAIMS,
    ) -> bool:
        """Take over a heartbeat; tell whether the member was not live before.

        :param claims: term by duty that the member holds
        """
        if member.address == self.own.address:
            return False
        known = self._known.setdefault(member.address, _Known(member))
        was_live = self._is_live(known, now_ms)
        if member.lifetime == known.member.lifetime:
            if number <= known.number:
                return False
        elif member.lifetime < known.member.lifetime and was_live:
            # An old datagram; once the member is silent, its clock may have stepped.
            return False
        known.member = member
        known.number = number
        known.leaving = leaving
        known.claims = claims
        self._yield_to(claims, member.address)
        known.heard_ms = known.seen_ms = now_ms
        return not was_live and not leaving

    def peers(self) -> list[Member]:
        """Return all other daemons that may live."""
        return [known.member for known in self._known.values()]

    def live(self, now_ms: int) -> list[Member]:
        """Return the daemons that may hold duties, this one included."""
        others = [k.member for k in self._known.values() if self._is_live(k, now_ms)]
        return [self.own, *others]

    def silent_for_ms(self, address: str, now_ms: int) -> int | None:
        """Return how long a member was not heard; ``None`` if that says nothing.

        A member that left, or that was never heard, may be silent for good reason.
        """
        known = self._known.get(address)
        if known is None or known.leaving or known.heard_ms is None:
            return None
        return now_ms - known.heard_ms

    def is_leaving(self, address: str) -> bool:
        """Tell whether a member said that it leaves."""
        known = self._known.get(address)
        return known is not None and known.leaving

    def is_live(self, address: str, now_ms: int) -> bool:
        """Tell whether a daemon may hold duties."""
        known = self._known.get(address)
        return known is not None and self._is_live(known, now_ms)

    def owner_candidates(
        self, duty: str, now_ms: int, lost: Collection[str] = ()
    ) -> list[Member]:
        """Return the live daemons in order of preference for a duty.

        :param lost: addresses of daemons that gave another one no answer; they are
            left out if they missed a heartbeat here, too

        Whoever holds a duty keeps it while it lives, since it alone knows what runs.
        Of two holders, which a cut may leave behind, the one with the higher term wins:
        a side of a cut without a majority takes duties with the lowest term.
        """
        by_address = {
            member.address: member
            for member in self.live(now_ms)
            if member.address not in lost or not self._missed(member.address, now_ms)
        }
        number = duty_number(duty)
        holders = sorted(
            (a for a in by_address if self._term(a, number)),
            key=lambda a: (self._term(a, number), a),
            reverse=True,
        )
        others = (a for a in rank(duty, by_address) if a not in holders)
        return [by_address[address] for address in itertools.chain(holders, others)]

    def acquire_duty(self, duty: str, now_ms: int, lost: Collection[str] = ()) -> bool:
        """Hold a duty if nobody else does and it falls to this daemon.

        The term of a provisional holder rises once a majority is heard.

        :param lost: addresses of daemons that gave another one no answer
        :returns: whether the duty was taken now
        """
        number = duty_number(duty)
        own = self.claims.get(number)
        if own is not None and own > PROVISIONAL_TERM:
            return False
        if self.owner_candidates(duty, now_ms, lost)[0].address != self.own.address:
            return False
        if self._hears_majority(now_ms):
            terms = (known.claims.get(number, 0) for known in self._known.values())
            self.claims[number] = 1 + max(PROVISIONAL_TERM, *terms)
        else:
            self.claims[number] = PROVISIONAL_TERM
        return own is None

    def _missed(self, address: str, now_ms: int) -> bool:
        silent_ms = self.silent_for_ms(address, now_ms)
        return silent_ms is None or silent_ms > MISSED_AFTER_MS

    def _hears_majority(self, now_ms: int) -> bool:
        """Tell whether more than half of the daemons that may live are heard."""
        expected = 1 + sum(not known.leaving for known in self._known.values())
        return 2 * len(self.live(now_ms)) > expected

    def release_duties(self) -> None:
        """Give up all duties, since this daemon leaves."""
        self.claims.clear()

    def _term(self, address: str, number: int) -> int:
        if address == self.own.address:
            return self.claims.get(number, 0)
        return self._known[address].claims.get(number, 0)

    def _yield_to(self, claims: Mapping[int, int], address: str) -> None:
        """Give up the duties that another daemon holds with a higher term."""
        for number, term in claims.items():
            own = self.claims.get(number)
            if own is not None and (term, address) > (own, self.own.address):
                del self.claims[number]

    def allowance_divisor(self, now_ms: int) -> int:
        """Return how many daemons may spend fleet-wide allowances, at the most."""
        self._forget(now_ms)
        count = 1 + len(self._known)
        return count if self._was_listed else max(count, LEAST_COUNTED)

    def _is_live(self, known: _Known, now_ms: int) -> bool:
        if known.leaving or known.heard_ms is None:
            return False
        return now_ms - known.heard_ms < LIVE_FOR_MS

    def _forget(self, now_ms: int) -> None:
        gone = [
            address
            for address, known in self._known.items()
            if not known.listed and now_ms - known.seen_ms > COUNTED_FOR_MS
        ]
        for address in gone:
            del self._known[address]
