"""Which servers may be used, from a listing that lags, lapses and comes back.

Load pattern: the store goes away for seconds, entries lapse meanwhile although their
servers live, and all servers register again within two seconds of its return.
"""

from collections.abc import Iterable
from typing import Final

import attrs

from .models import Server, ServerState

# The platform promises that live servers are registered again within 2 s of the
# store's return; the margin covers the watch.
LAPSE_GRACE_MS: Final = 2_300


@attrs.define
class _Known:
    """A server, and when it stops being used if its entry stays missing."""

    server: Server
    missing_until_ms: int | None = None
    misdirected: bool = False


class ServerRegistry:
    """Servers by service; a draining or removed one is never chosen."""

    def __init__(self) -> None:
        """Start without servers."""
        self._known: dict[str, _Known] = {}
        self._lost_ms: int | None = None
        self._back_ms: int | None = None
        self._by_service: dict[str, tuple[Server, ...]] = {}
        self._cut: frozenset[str] = frozenset()
        self.has_listing = False

    def mark_store_unavailable(self, now_ms: int) -> None:
        """Note that the store does not answer: its entries may lapse."""
        if self._lost_ms is None:
            self._lost_ms = now_ms

    def mark_store_available(self, now_ms: int) -> None:
        """Note that the store answers again; entries get time to come back."""
        if self._lost_ms is not None:
            self._lost_ms = None
            self._back_ms = now_ms

    def _in_grace(self, now_ms: int) -> bool:
        if self._lost_ms is not None:
            return True
        return self._back_ms is not None and now_ms < self._back_ms + LAPSE_GRACE_MS

    def put(self, server: Server) -> None:
        """Take over an entry."""
        before = self._known.get(server.id)
        known = self._known[server.id] = _Known(server)
        if before is not None and before.server.address == server.address:
            known.misdirected = (
                before.misdirected and before.server.started_ms == server.started_ms
            )
        self._by_service.clear()

    def remove(self, server_id: str, now_ms: int) -> None:
        """Drop a server, or hold it while entries of live servers may be missing."""
        known = self._known.get(server_id)
        if known is None:
            return
        if self._in_grace(now_ms) and known.server.state is ServerState.READY:
            if known.missing_until_ms is None:
                known.missing_until_ms = (self._back_ms or now_ms) + LAPSE_GRACE_MS
            return
        del self._known[server_id]
        self._by_service.clear()

    def replace(self, servers: Iterable[Server], now_ms: int) -> None:
        """Take over a whole listing."""
        found = {server.id: server for server in servers}
        for missing in self._known.keys() - found.keys():
            self.remove(missing, now_ms)
        for server in found.values():
            self.put(server)
        self.has_listing = True

    def expire(self, now_ms: int) -> list[Server]:
        """Drop the held servers whose entries did not come back in time."""
        if self._lost_ms is not None:
            return []
        late = [
            known.server
            for known in self._known.values()
            if known.missing_until_ms is not None and now_ms >= known.missing_until_ms
        ]
        for server in late:
            del self._known[server.id]
        if late:
            self._by_service.clear()
        return late

    def mark_draining(self, server_id: str) -> bool:
        """Take over news from a peer that a server is leaving."""
        known = self._known.get(server_id)
        if known is None or known.server.state is ServerState.DRAINING:
            return False
        known.server = attrs.evolve(known.server, state=ServerState.DRAINING)
        self._by_service.clear()
        return True

    def mark_misdirected(self, server_id: str) -> None:
        """Leave out a server at whose address another one answered."""
        known = self._known.get(server_id)
        if known is not None:
            known.misdirected = True
            self._by_service.clear()

    def set_unreachable_domains(self, domains: frozenset[str]) -> None:
        """Leave out the servers of failure domains that are cut off."""
        if domains != self._cut:
            self._cut = domains
            self._by_service.clear()

    def get(self, server_id: str) -> Server | None:
        """Return a server that is still listed or held."""
        known = self._known.get(server_id)
        return known.server if known else None

    def is_usable(self, server: Server) -> bool:
        """Tell whether new work may still go to a server."""
        known = self._known.get(server.id)
        return (
            known is not None
            and not known.misdirected
            and known.server.state is ServerState.READY
            and known.server.address == server.address
            and known.server.started_ms == server.started_ms
        )

    def ready(self, service: str) -> tuple[Server, ...]:
        """Return the servers of a service that take new work and can be reached."""
        found = self._by_service.get(service)
        if found is None:
            found = tuple(
                known.server
                for known in self._known.values()
                if known.server.service == service
                and known.server.state is ServerState.READY
                and known.server.failure_domain not in self._cut
                and not known.misdirected
            )
            self._by_service[service] = found
        return found

    def all(self) -> tuple[Server, ...]:
        """Return all servers, the draining ones included."""
        return tuple(known.server for known in self._known.values())
