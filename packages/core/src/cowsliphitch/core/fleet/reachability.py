"""Which failure domains are cut off from this daemon.

Load pattern: a failure domain is cut off without a sign.  Open connections to its
servers hang, and each new one costs a timeout, while this side still has servers of its
own.  Silent daemons are the first hint, a connection that timed out the second.
"""

from collections.abc import Iterable, Mapping
from typing import Final

import attrs

from .members import Member, MemberTable

# Connections that time out in a row before a domain is taken to be cut off although its
# daemons are heard, or none is known there.
TIMEOUTS_TO_CUT: Final = 3

# After a timeout the other hints count for so long.
HINT_FOR_MS: Final = 3_000


@attrs.define
class _Domain:
    """Evidence on one failure domain."""

    timeouts: int = 0
    timeout_ms: int | None = None
    cut: bool = False


class Reachability:
    """Weigh heartbeats and connections to each failure domain."""

    def __init__(self, own_domain: str) -> None:
        """Take all domains to be reachable."""
        self._own_domain = own_domain
        self._domains: dict[str, _Domain] = {}

    @property
    def cut(self) -> frozenset[str]:
        """Return the domains that are taken to be cut off."""
        return frozenset(name for name, d in self._domains.items() if d.cut)

    def timed_out(self, domain: str, now_ms: int) -> None:
        """Note a connection to a server of a domain that timed out."""
        state = self._state(domain)
        state.timeouts += 1
        state.timeout_ms = now_ms

    def answered(self, domain: str) -> None:
        """Note a sign of life from a server of a domain."""
        state = self._state(domain)
        state.timeouts = 0
        state.timeout_ms = None
        state.cut = False

    def update(self, members: MemberTable, now_ms: int) -> frozenset[str]:
        """Weigh the evidence anew; return the domains that are cut off."""
        silent = self._silent_domains(members, now_ms)
        near = self._hears_own_domain(members, now_ms)
        for name in set(self._domains) | silent:
            if name == self._own_domain:
                continue
            state = self._state(name)
            age_ms = HINT_FOR_MS
            if state.timeout_ms is not None:
                age_ms = now_ms - state.timeout_ms
            hinted = age_ms < HINT_FOR_MS
            unheard = name in silent and (near or hinted)
            if unheard or (state.timeouts >= TIMEOUTS_TO_CUT and hinted):
                state.cut = True
            elif name not in silent:
                state.cut = False
        return self.cut

    def _silent_domains(self, members: MemberTable, now_ms: int) -> set[str]:
        by_domain = _by_domain(members.peers())
        return {
            domain
            for domain, found in by_domain.items()
            if not any(members.is_live(member.address, now_ms) for member in found)
        }

    def _hears_own_domain(self, members: MemberTable, now_ms: int) -> bool:
        """Tell whether a daemon of the own domain is heard: the cut is not here."""
        found = _by_domain(members.peers()).get(self._own_domain, [])
        return any(members.is_live(member.address, now_ms) for member in found)

    def _state(self, domain: str) -> _Domain:
        return self._domains.setdefault(domain, _Domain())


def _by_domain(members: Iterable[Member]) -> Mapping[str, list[Member]]:
    found: dict[str, list[Member]] = {}
    for member in members:
        found.setdefault(member.failure_domain, []).append(member)
    return found
