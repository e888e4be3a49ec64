"""Which failure domains are cut off from this daemon.

Load pattern: a failure domain is cut off without a sign.  Open connections to its
servers hang, and each new one costs a timeout, while this side still has servers of its
own.  Silent daemons make a domain suspect, which is probed at once; only connections
that time out, or that several servers refuse, make it cut off, since daemons may be
gone while their servers live.
"""

from typing import Final

import attrs

from .members import MemberTable

# Daemons that were not heard for so long make their domain suspect; three heartbeats
# are missed by then.
SILENT_AFTER_MS: Final = 400

# Connections that time out in a row before a domain is taken to be cut off although its
# daemons are heard, or none is known there.
TIMEOUTS_TO_CUT: Final = 3

# Servers of a domain with silent daemons that refuse connections before it is taken to
# be cut off; a single one may have crashed.
UNREACHABLE_AFTER_REFUSALS: Final = 2

# After a timeout the other hints count for so long.
HINT_FOR_MS: Final = 3_000


@attrs.define
class _Domain:
    """Evidence on one failure domain since a server of it last answered.

    :param refused: servers that refused a connection
    :param failed_ms: monotonic time of the last connection that failed
    """

    timeouts: int = 0
    refused: set[str] = attrs.Factory(set)
    failed_ms: int | None = None
    cut: bool = False

    def speaks_for_cut(self, silent: bool) -> bool:
        """Tell whether the failed connections suffice.

        :param silent: no daemon of the domain is heard
        """
        if silent and len(self.refused) >= UNREACHABLE_AFTER_REFUSALS:
            return True
        return self.timeouts >= (1 if silent else TIMEOUTS_TO_CUT)


class Reachability:
    """Weigh heartbeats and connections to each failure domain."""

    def __init__(self, own_domain: str) -> None:
        """Take all domains to be reachable."""
        self._own_domain = own_domain
        self._domains: dict[str, _Domain] = {}

    @property
    def unreachable(self) -> frozenset[str]:
        """Return the domains that are taken to be cut off."""
        return frozenset(name for name, d in self._domains.items() if d.cut)

    def record_connection_timeout(self, domain: str, now_ms: int) -> None:
        """Note a connection to a server of a domain that timed out."""
        state = self._state(domain)
        state.timeouts += 1
        state.failed_ms = now_ms

    def record_connection_refused(
        self, domain: str, server_id: str, now_ms: int
    ) -> None:
        """Note a server of a domain that refused a connection."""
        state = self._state(domain)
        state.refused.add(server_id)
        state.failed_ms = now_ms

    def record_answer(self, domain: str) -> None:
        """Note a sign of life from a server of a domain."""
        state = self._state(domain)
        state.timeouts = 0
        state.refused.clear()
        state.failed_ms = None
        state.cut = False

    def suspect_domains(self, members: MemberTable, now_ms: int) -> frozenset[str]:
        """Return the domains that should be probed: cut off, or all daemons silent."""
        return self.unreachable | self._silent_domains(members, now_ms)

    def update(self, members: MemberTable, now_ms: int) -> frozenset[str]:
        """Weigh the evidence anew; return the domains that are cut off."""
        silent = self._silent_domains(members, now_ms)
        for name, state in self._domains.items():
            if name == self._own_domain:
                continue
            if state.failed_ms is None or now_ms - state.failed_ms >= HINT_FOR_MS:
                state.cut = False
            elif state.speaks_for_cut(name in silent):
                state.cut = True
        return self.unreachable

    def _silent_domains(self, members: MemberTable, now_ms: int) -> set[str]:
        """Return the domains whose daemons were heard once, and none is now."""
        by_domain: dict[str, list[int]] = {}
        for member in members.peers():
            silent_ms = members.silent_for_ms(member.address, now_ms)
            if silent_ms is not None:
                by_domain.setdefault(member.failure_domain, []).append(silent_ms)
        return {
            domain
            for domain, found in by_domain.items()
            if domain != self._own_domain and min(found) >= SILENT_AFTER_MS
        }

    def _state(self, domain: str) -> _Domain:
        return self._domains.setdefault(domain, _Domain())
