"""This daemon among the others: heartbeats out, beliefs in."""

import logging

import anyio
from anyio.abc import TaskGroup

from cowsliphitch.core.clock import seconds
from cowsliphitch.core.fleet.members import Member
from cowsliphitch.peers.fleet import const as peer_const
from cowsliphitch.peers.fleet.convert import server_checksum
from cowsliphitch.peers.fleet.heartbeats import HeartbeatSocket
from cowsliphitch.peers.fleet.models import Heartbeat, PeerCallFailed
from cowsliphitch.peers.fleet.rpc import PeerConnections
from cowsliphitch.telemetry.logs import event

from .discovery import StoreCoordinator
from .state import GatewayState

_LOGGER = logging.getLogger(__name__)

# News of a leaving server is repeated in heartbeats for so long.
DRAINING_NEWS_MS = 3_000
MAX_DRAINING_NEWS = 50


class FleetCoordinator:
    """Exchange heartbeats, and follow the peers' news."""

    def __init__(
        self, state: GatewayState, links: PeerConnections, group: TaskGroup
    ) -> None:
        """Start alone."""
        self._state = state
        self._links = links
        self._group = group
        self._number = 0
        self._draining: dict[str, int] = {}
        self._fetching = False
        self._live: set[str] = set()
        self.store: StoreCoordinator | None = None
        self.socket = HeartbeatSocket(state.members.own.address, self._receive)

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            now = self._state.clock.now_ms()
            pause_ms = self._state.members.tick(now)
            if pause_ms:
                event(_LOGGER, "process.paused", logging.WARNING, pause_ms=pause_ms)
            await self.beat()
            self._note_live(now)
            await anyio.sleep(seconds(peer_const.HEARTBEAT_INTERVAL_MS))

    async def beat(self) -> None:
        """Send one heartbeat to all peers."""
        self._number += 1
        addresses = [member.address for member in self._state.members.peers()]
        await self.socket.send(self._heartbeat(), addresses)

    def beat_soon(self) -> None:
        """Send a heartbeat at once: something changed that the peers should hear."""
        self._group.start_soon(self.beat)

    def note_draining(self, server_id: str) -> None:
        """Tell the peers that a server is leaving."""
        self._draining[server_id] = self._state.clock.now_ms() + DRAINING_NEWS_MS
        self.beat_soon()

    def _heartbeat(self) -> Heartbeat:
        state = self._state
        now = state.clock.now_ms()
        self._draining = {
            s: until for s, until in self._draining.items() if until > now
        }
        return Heartbeat(
            name=state.members.own.name,
            address=state.members.own.address,
            lifetime=state.lifetime,
            sequence_number=self._number,
            failure_domain=state.members.own.failure_domain,
            config_version=state.versions.version,
            leaving=state.stopping,
            draining=tuple(self._draining)[:MAX_DRAINING_NEWS],
            servers={
                server_checksum(server_id): share
                for server_id, share in state.placement.own_loads().items()
            },
            duties=dict(state.members.claims),
        )

    async def _receive(self, beat: Heartbeat) -> None:
        state = self._state
        now = state.clock.now_ms()
        member = Member(beat.address, beat.name, beat.failure_domain, beat.lifetime)
        state.members.record_heartbeat(
            member, beat.sequence_number, beat.leaving, now, beat.duties
        )
        by_checksum = {server_checksum(s.id): s.id for s in state.servers.all()}
        state.placement.set_peer_loads(
            beat.address,
            {
                by_checksum[number]: share
                for number, share in beat.servers.items()
                if number in by_checksum
            },
        )
        for server_id in beat.draining:
            if state.servers.mark_draining(server_id):
                event(_LOGGER, "server.draining", server=server_id, source=beat.name)
        if beat.config_version > state.versions.version and not self._fetching:
            self._fetching = True
            self._group.start_soon(self._fetch, beat.address)

    async def _fetch(self, address: str) -> None:
        """Read a newer operator document from a peer."""
        try:
            found = await self._links.fetch_document(
                address, self._state.versions.version
            )
        finally:
            self._fetching = False
        match found:
            case PeerCallFailed(detail):
                event(_LOGGER, "settings.fetch_failed", peer=address, cause=detail)
            case None:
                pass
            case content if self.store is not None:
                self.store.offer_document(content, address)

    def _note_live(self, now_ms: int) -> None:
        """Log each change of who lives, and cut the links to the silent.

        One that is leaving still answers what it was asked.
        """
        members = self._state.members
        live = {member.address for member in members.live(now_ms)}
        live.discard(members.own.address)
        for address in live - self._live:
            event(_LOGGER, "member.live", member=address)
        for address in self._live - live:
            leaving = members.is_leaving(address)
            event(_LOGGER, "member.lost", member=address, leaving=leaving)
            self._state.placement.remove_peer(address)
            if not leaving:
                self._links.disconnect(address)
        self._live = live
