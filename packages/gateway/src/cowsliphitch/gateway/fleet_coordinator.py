"""Exchange of heartbeats with the other daemons.

Heartbeats show which daemons are live, whatever the state of the store.  They also
carry load, duties, leaving servers and the version of the settings; a daemon with
older settings fetches the newer ones from the sender.
"""

import logging
from collections.abc import Callable, Sequence

import anyio
from anyio.abc import TaskGroup

from cowsliphitch.core.clock import seconds
from cowsliphitch.core.fleet.heartbeat_schedule import HeartbeatSchedule
from cowsliphitch.core.fleet.members import HEARTBEAT_INTERVAL_MS, Member
from cowsliphitch.peers.fleet.const import FETCH_DOCUMENT_TIMEOUT_S
from cowsliphitch.peers.fleet.convert import server_checksum
from cowsliphitch.peers.fleet.heartbeats import HeartbeatSocket
from cowsliphitch.peers.fleet.models import Heartbeat, PeerCallFailed
from cowsliphitch.peers.fleet.rpc import PeerConnections
from cowsliphitch.telemetry.logs import event

from . import const
from .engine_quarantine import EngineQuarantine
from .server_client import log_limit_change
from .state import GatewayState
from .store_coordinator import StoreCoordinator

_LOGGER = logging.getLogger(__name__)


class FleetCoordinator:
    """Send heartbeats and apply those of the peers.

    ``store`` has to be set before ``run``: it activates the settings that are fetched
    from peers.
    """

    def __init__(
        self,
        state: GatewayState,
        connections: PeerConnections,
        quarantine: EngineQuarantine,
        group: TaskGroup,
    ) -> None:
        """Initialize without live peers.

        :param quarantine: gets the prompt parts that the peers report
        """
        self._state = state
        self._quarantine = quarantine
        quarantine.add_crash_listener(self._announce_crash)
        self._connections = connections
        self._group = group
        self._sequence_number = 0
        self._schedule = HeartbeatSchedule()
        self._is_fetching = False
        self._live_addresses: set[str] = set()
        self._lost_listeners: list[Callable[[str], None]] = []
        self.store: StoreCoordinator | None = None
        self.socket = HeartbeatSocket(state.members.own.address, self._apply_heartbeat)

    def add_lost_listener(self, listener: Callable[[str], None]) -> None:
        """Have a function called with the address of each member that fails."""
        self._lost_listeners.append(listener)

    async def run(self) -> None:
        """Send heartbeats at a fixed interval until cancelled."""
        while True:
            now = self._state.clock.now_ms()
            pause_ms = self._state.members.tick(now)
            if pause_ms:
                event(_LOGGER, "process.paused", logging.WARNING, pause_ms=pause_ms)
            self._quarantine.expire()
            await self.send_heartbeat()
            self._update_live_members(now)
            await anyio.sleep(seconds(HEARTBEAT_INTERVAL_MS))

    async def send_heartbeat(self, is_urgent: bool = False) -> None:
        """Send one heartbeat, to all peers if this daemon holds a duty or stops.

        :param is_urgent: send it to all peers
        """
        self._sequence_number += 1
        members = self._state.members
        recipients = self._schedule.next_recipients(
            [member.address for member in members.peers()],
            to_all=is_urgent or bool(members.claims) or self._state.stopping,
        )
        heartbeat = self._make_heartbeat(recipients.interval_ms)
        await self.socket.send(heartbeat, recipients.addresses)

    def schedule_heartbeat(self) -> None:
        """Send a heartbeat at once, outside the interval, after a change of state."""
        self._group.start_soon(self.send_heartbeat)

    def _announce_crash(self) -> None:
        """Tell all peers of new suspects before a caller can return to one of them."""
        self._group.start_soon(self.send_heartbeat, True)

    def _make_heartbeat(self, interval_ms: int) -> Heartbeat:
        state = self._state
        return Heartbeat(
            name=state.members.own.name,
            address=state.members.own.address,
            started_ms=state.started_ms,
            sequence_number=self._sequence_number,
            failure_domain=state.members.own.failure_domain,
            settings_version=state.versions.version,
            leaving=state.stopping,
            leaving_servers=state.servers.next_announcement(state.clock.now_ms()),
            servers={
                server_checksum(server_id): load
                for server_id, load in state.placement.own_loads().items()
            },
            duties=dict(state.members.claims),
            interval_ms=interval_ms,
            capacity=state.members.own.capacity,
            suspect_parts=state.prompt_parts.next_reports(state.clock.now_ms()),
            suspect_requests=state.suspect_requests.next_reports(state.clock.now_ms()),
            store_era=self.store.era if self.store is not None else 0,
            streams=state.streams.next_announcement(interval_ms, state.clock.now_ms()),
            versions=state.streams.recent_origins(),
            view_age_ms=state.servers.view_age_ms(state.clock.now_ms()),
            limits={
                server_checksum(server_id): report
                for server_id, report in state.server_limits.next_reports(
                    state.clock.now_ms()
                ).items()
            },
        )

    async def _apply_heartbeat(self, heartbeat: Heartbeat) -> None:
        state = self._state
        now = state.clock.now_ms()
        member = Member(
            heartbeat.address,
            heartbeat.name,
            heartbeat.failure_domain,
            heartbeat.started_ms,
            heartbeat.capacity,
        )
        state.members.record_heartbeat(
            member,
            heartbeat.sequence_number,
            heartbeat.leaving,
            now,
            heartbeat.duties,
            heartbeat.interval_ms,
        )
        id_by_checksum = {server_checksum(s.id): s.id for s in state.servers.all()}
        state.placement.set_peer_loads(
            heartbeat.address,
            {
                id_by_checksum[checksum]: load
                for checksum, load in heartbeat.servers.items()
                if checksum in id_by_checksum
            },
        )
        for report in heartbeat.leaving_servers:
            if state.servers.mark_leaving(report, now, heartbeat.name):
                event(
                    _LOGGER,
                    "server.leaving",
                    server=report.server_id,
                    revision=report.revision.number,
                    era=report.revision.era,
                    was_removed=report.was_removed,
                    confirmed=report.is_confirmed,
                    said=report.is_from_server,
                    source=heartbeat.name,
                )
        limit_changes = state.server_limits.merge(
            {
                id_by_checksum[checksum]: report
                for checksum, report in heartbeat.limits.items()
                if checksum in id_by_checksum
            },
            heartbeat.name,
            now,
        )
        for change in limit_changes:
            log_limit_change(change)
        if self.store is not None:
            self.store.learn_era(heartbeat.store_era, heartbeat.name)
        state.streams.learn_versions(heartbeat.versions, now)
        state.streams.learn(heartbeat.streams, heartbeat.name, now)
        state.freshness.hear(
            heartbeat.address,
            heartbeat.view_age_ms,
            heartbeat.interval_ms,
            state.clock.boot_ms(),
        )
        if heartbeat.suspect_parts or heartbeat.suspect_requests:
            self._quarantine.merge(
                heartbeat.suspect_parts, heartbeat.suspect_requests, heartbeat.name
            )
        if (
            heartbeat.settings_version > state.versions.version
            and not self._is_fetching
        ):
            self._is_fetching = True
            self._group.start_soon(self._fetch_newer_settings, heartbeat.address)

    async def _fetch_newer_settings(self, address: str) -> None:
        """Fetch the settings of a peer whose heartbeat names a newer version."""
        try:
            await self._fetch_document(address, FETCH_DOCUMENT_TIMEOUT_S)
        finally:
            self._is_fetching = False

    async def fetch_settings(self, addresses: Sequence[str]) -> None:
        """Fetch and activate the newest settings of some peers.

        Those that don't answer within ``PEER_SETTINGS_TIMEOUT_MS`` are left out.
        """
        timeout_s = seconds(const.PEER_SETTINGS_TIMEOUT_MS)
        async with anyio.create_task_group() as group:
            for address in addresses:
                group.start_soon(self._fetch_document, address, timeout_s)

    async def _fetch_document(self, address: str, timeout_s: float) -> None:
        """Fetch the operator's document from a peer if its version is newer."""
        reply = await self._connections.fetch_document(
            address, self._state.versions.version, timeout_s
        )
        match reply:
            case PeerCallFailed(detail):
                event(_LOGGER, "settings.fetch_failed", peer=address, cause=detail)
            case None:
                pass
            case content if self.store is not None:
                self.store.activate_document(content, address)

    def _update_live_members(self, now_ms: int) -> None:
        """Log members that became live or failed, and disconnect from failed ones.

        The connection to a member that is shutting down stays open, since it still
        answers the calls in flight.
        """
        members = self._state.members
        self._state.freshness.retain({member.address for member in members.peers()})
        live = {member.address for member in members.live(now_ms)}
        live.discard(members.own.address)
        for address in live - self._live_addresses:
            event(_LOGGER, "member.live", member=address)
        for address in self._live_addresses - live:
            leaving = members.is_leaving(address)
            event(_LOGGER, "member.lost", member=address, leaving=leaving)
            self._state.placement.remove_peer(address)
            if not leaving:
                self._connections.disconnect(address)
                for listener in self._lost_listeners:
                    listener(address)
        self._live_addresses = live
