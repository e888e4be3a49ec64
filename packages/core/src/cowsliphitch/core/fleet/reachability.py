"""Detection of failure domains that this daemon can't reach.

Load pattern: a failure domain is partitioned off without an error.  Open connections to
its servers hang, and each new one costs a timeout, while this side still has servers of
its own.  Missing heartbeats make a domain suspect, and it is probed at once.  Only
connections that time out, or that several servers refuse, mark it as unreachable, since
its daemons may have failed while its servers still run.
"""

from typing import Final

import attrs

from .members import MemberTable

# Consecutive connection timeouts after which a domain is unreachable although its
# daemons send heartbeats, or it has no known daemon.
UNREACHABLE_AFTER_TIMEOUTS: Final = 3

# Servers of a domain with silent daemons that must refuse connections before it is
# unreachable; a single one may have crashed.
UNREACHABLE_AFTER_REFUSALS: Final = 2

# Failed connections are evidence for this long; without a newer one, their domain then
# counts as reachable again.
FAILURE_EVIDENCE_TTL_MS: Final = 3_000


@attrs.define
class _DomainEvidence:
    """Connection failures of one failure domain since a server of it last answered.

    :param timeouts: consecutive connection timeouts
    :param refusing_servers: servers that refused a connection
    :param last_failure_ms: monotonic time of the last connection that failed
    """

    timeouts: int = 0
    refusing_servers: set[str] = attrs.Factory(set)
    last_failure_ms: int | None = None
    unreachable: bool = False

    def is_conclusive(self, daemons_silent: bool) -> bool:
        """Return whether the failures suffice to mark the domain as unreachable.

        :param daemons_silent: no daemon of the domain sends heartbeats
        """
        if daemons_silent and len(self.refusing_servers) >= UNREACHABLE_AFTER_REFUSALS:
            return True
        return self.timeouts >= (1 if daemons_silent else UNREACHABLE_AFTER_TIMEOUTS)


class Reachability:
    """Combine heartbeats and connection results into each domain's reachability.

    :param own_domain: this daemon's failure domain, which is never unreachable
    """

    def __init__(self, own_domain: str) -> None:
        """Initialize with all failure domains reachable."""
        self._own_domain = own_domain
        self._domains: dict[str, _DomainEvidence] = {}

    @property
    def unreachable(self) -> frozenset[str]:
        """Return the domains that were unreachable at the last update."""
        return frozenset(
            name for name, evidence in self._domains.items() if evidence.unreachable
        )

    def record_connection_timeout(self, domain: str, now_ms: int) -> None:
        """Record that a connection to a server of a domain timed out."""
        evidence = self._evidence(domain)
        evidence.timeouts += 1
        evidence.last_failure_ms = now_ms

    def record_connection_refused(
        self, domain: str, server_id: str, now_ms: int
    ) -> None:
        """Record that a server of a domain refused a connection."""
        evidence = self._evidence(domain)
        evidence.refusing_servers.add(server_id)
        evidence.last_failure_ms = now_ms

    def record_answer(self, domain: str) -> None:
        """Mark a domain as reachable, since a server of it answered or connected."""
        evidence = self._evidence(domain)
        evidence.timeouts = 0
        evidence.refusing_servers.clear()
        evidence.last_failure_ms = None
        evidence.unreachable = False

    def suspect_domains(self, members: MemberTable, now_ms: int) -> frozenset[str]:
        """Return the domains to probe: unreachable, or with only silent daemons."""
        return self.unreachable | self._silent_domains(members, now_ms)

    def update(self, members: MemberTable, now_ms: int) -> frozenset[str]:
        """Re-evaluate all domains; return the unreachable ones."""
        if not self._domains:
            return frozenset()
        silent = self._silent_domains(members, now_ms)
        for name, evidence in self._domains.items():
            if name == self._own_domain:
                continue
            if (
                evidence.last_failure_ms is None
                or now_ms - evidence.last_failure_ms >= FAILURE_EVIDENCE_TTL_MS
            ):
                evidence.unreachable = False
            elif evidence.is_conclusive(name in silent):
                evidence.unreachable = True
        return self.unreachable

    def _silent_domains(self, members: MemberTable, now_ms: int) -> set[str]:
        """Return the domains whose daemons were heard once, and none is now."""
        return {
            domain
            for domain, is_silent in members.silent_by_domain(now_ms).items()
            if is_silent and domain != self._own_domain
        }

    def _evidence(self, domain: str) -> _DomainEvidence:
        return self._domains.setdefault(domain, _DomainEvidence())
