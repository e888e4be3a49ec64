"""Exchange of heartbeats with the other daemons.

Heartbeats show which daemons are live, whatever the state of the store.  They also
carry load, duties, leaving servers and the version of the settings; a daemon with
older settings fetches the newer ones from the sender.

In a large fleet, heartbeats go with the probes of single members and their answers.
"""

import logging
import math
import random
from collections.abc import Callable, Iterable, Sequence

import anyio
import attrs
from result import Err, Ok

from cowsliphitch.core.clock import seconds
from cowsliphitch.core.fleet.detector import (
    AskRelay,
    Command,
    FailureDetector,
    SendAnswer,
    SendProbe,
    TellSilence,
)
from cowsliphitch.core.fleet.heartbeat_schedule import (
    HOLDER_ROUNDS,
    MAX_RECIPIENTS,
    PROBED_INTERVAL_MS,
    HeartbeatSchedule,
)
from cowsliphitch.core.fleet.members import HEARTBEAT_INTERVAL_MS, Member
from cowsliphitch.core.servers.models import Server
from cowsliphitch.peers.fleet.const import (
    FETCH_DOCUMENT_TIMEOUT_S,
    MAX_DATAGRAM_BYTES,
)
from cowsliphitch.peers.fleet.convert import (
    exchange_to_wire,
    heartbeat_to_wire,
    server_checksum,
)
from cowsliphitch.peers.fleet.heartbeats import HeartbeatSocket
from cowsliphitch.peers.fleet.models import (
    DocumentReply,
    Exchange,
    Heartbeat,
    PeerCallFailed,
    StoreNews,
)
from cowsliphitch.peers.fleet.rpc import PeerConnections
from cowsliphitch.telemetry.logs import event
from cowsliphitch.telemetry.tasks import BackgroundTasks

from . import const
from .document_exchange import DocumentExchange
from .engine_quarantine import EngineQuarantine
from .server_client import log_limit_change
from .state import GatewayState
from .store_coordinator import StoreCoordinator

_LOGGER = logging.getLogger(__name__)


@attrs.frozen
class _Encoded:
    """An encoded heartbeat, which goes with all probes and answers of a short time.

    :param made_ms: monotonic time at which it was made
    """

    content: bytes
    made_ms: int


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
        tasks: BackgroundTasks,
        documents: DocumentExchange,
    ) -> None:
        """Initialize without live peers.

        :param quarantine: gets the prompt parts that the peers report
        :param documents: decodes the settings that are fetched from peers
        """
        self._state = state
        self._quarantine = quarantine
        quarantine.add_crash_listener(self._announce_crash)
        self._connections = connections
        self._tasks = tasks
        self._documents = documents
        self._sequence_number = 0
        self._schedule = HeartbeatSchedule()
        self._detector = FailureDetector(
            state.members, random.Random(state.members.own.address)
        )
        self._encoded: _Encoded | None = None
        self._round_ms = state.clock.now_ms()
        self._round_number = 0
        self._known_servers: tuple[Server, ...] = ()
        self._id_by_checksum: dict[int, str] = {}
        self._is_fetching = False
        self._live_addresses: set[str] = set()
        self._lost_listeners: list[Callable[[str], None]] = []
        self.store: StoreCoordinator | None = None
        self.socket = HeartbeatSocket(
            state.members.own.address, self._apply_heartbeat, self._apply_exchange
        )

    def add_lost_listener(self, listener: Callable[[str], None]) -> None:
        """Have a function called with the address of each member that fails."""
        self._lost_listeners.append(listener)

    @property
    def is_probing(self) -> bool:
        """Return whether the fleet is so large that its members probe each other."""
        return self._state.is_large_fleet

    async def run(self) -> None:
        """Send heartbeats and probes at a fixed interval until cancelled."""
        while True:
            now = self._state.clock.now_ms()
            pause_ms = self._state.members.tick(now)
            if pause_ms:
                event(_LOGGER, "process.paused", logging.WARNING, pause_ms=pause_ms)
            self._quarantine.expire()
            await self.send_heartbeat()
            late_ms = now - self._round_ms - HEARTBEAT_INTERVAL_MS
            self._round_ms = now
            if self.is_probing:
                self._detector.shift(max(0, late_ms))
                await self._execute(self._detector.run_round(now))
            self._round_number += 1
            if not self.is_probing or self._round_number % const.LIVE_CHECK_ROUNDS == 0:
                self._update_live_members(now)
            await anyio.sleep(seconds(HEARTBEAT_INTERVAL_MS))

    async def send_heartbeat(self, is_urgent: bool = False) -> None:
        """Send one heartbeat to the peers whose turn it is.

        A daemon that holds a duty or stops sends to all.

        :param is_urgent: send it to all peers
        """
        members = self._state.members
        addresses = [member.address for member in members.peers()]
        if is_urgent and self.is_probing:
            await self.socket.send_encoded(self._encode(), addresses)
            return
        is_small = not self.is_probing
        recipients = self._schedule.next_recipients(
            addresses,
            to_all=bool(members.claims)
            or (is_small and (is_urgent or self._state.stopping)),
            has_news=self._state.stopping
            or self._state.streams.has_announcements
            or self._state.server_limits.has_own_observations,
        )
        if recipients.addresses:
            content = self._encode(recipients.interval_ms, recipients.is_probed)
            await self.socket.send_encoded(content, recipients.addresses)

    def schedule_heartbeat(self) -> None:
        """Send a heartbeat at once, outside the interval, after a change of state."""
        if not self.is_probing:
            self._tasks.start_soon(self.send_heartbeat)
            return
        self._encoded = None
        now = self._state.clock.now_ms()
        probes = self._detector.probe_some(const.NEWS_PROBES, now)
        self._tasks.start_soon(self._execute, probes)

    def _announce_crash(self) -> None:
        """Tell all peers of new suspects before a caller can return to one of them."""
        self._tasks.start_soon(self.send_heartbeat, True)

    async def refresh_view(self) -> None:
        """Ask some peers of a large fleet how old their views of the store are."""
        if not self.is_probing:
            return
        clock = self._state.clock
        end_ms = clock.now_ms() + const.VIEW_REFRESH_MS
        await self._execute(
            self._detector.probe_some(const.VIEW_PROBES, clock.now_ms())
        )
        while not self._state.is_current() and clock.now_ms() < end_ms:
            await anyio.sleep(seconds(const.VIEW_REFRESH_POLL_MS))

    async def _execute(self, commands: Iterable[Command]) -> None:
        """Send the messages that the failure detector decided on."""
        for command in commands:
            match command:
                case SendProbe(address, number):
                    await self._send_exchange(address, Exchange(probe=number))
                case AskRelay(address, number, target):
                    exchange = Exchange(probe=number, target=target)
                    await self._send_exchange(address, exchange)
                case SendAnswer(address, number):
                    await self._send_exchange(address, Exchange(answer=number))
                case TellSilence(addresses):
                    silent = self._detector.silent_domains
                    event(_LOGGER, "domain.silent", logging.WARNING, domains=silent)
                    self._encoded = None
                    await self.socket.send_encoded(self._recent(), addresses)

    async def send_store_news(self, news: StoreNews) -> None:
        """Pass changes of the store on to the other daemons of this domain.

        If they don't fit in a datagram, differences are left to be fetched, or the
        others are told only that there are changes.
        """
        members, now = self._state.members, self._state.clock.now_ms()
        addresses = [
            member.address
            for member in members.live(now)
            if member.failure_domain == members.own.failure_domain
            and member.address != members.own.address
        ]
        content = self._recent()
        delay_ms = self._encoded_age_ms()
        cut = attrs.evolve(news, after=news.at, changes=())
        for candidate in (news, news.without_differences(), cut):
            encoded = exchange_to_wire(
                Exchange(store_news=candidate, delay_ms=delay_ms)
            )
            if len(content) + len(encoded) <= MAX_DATAGRAM_BYTES:
                break
        await self.socket.send_encoded(content + encoded, addresses)

    async def _send_exchange(self, address: str, exchange: Exchange) -> None:
        content = self._recent()
        exchange = attrs.evolve(exchange, delay_ms=self._encoded_age_ms())
        content += exchange_to_wire(exchange)
        await self.socket.send_encoded(content, (address,))

    def _encoded_age_ms(self) -> int:
        if self._encoded is None:
            return 0
        return self._state.clock.now_ms() - self._encoded.made_ms

    def _recent(self) -> bytes:
        """Return the encoded heartbeat, made within the shortest interval."""
        now = self._state.clock.now_ms()
        if self._encoded is None or now - self._encoded.made_ms > HEARTBEAT_INTERVAL_MS:
            return self._encode()
        return self._encoded.content

    def _encode(
        self, interval_ms: int | None = None, is_probed: bool | None = None
    ) -> bytes:
        """Encode a new heartbeat.

        :param interval_ms: time until the next one to the same peers, by default as
            they were promised
        :param is_probed: no heartbeat is sent regularly, by default as they were told
        """
        if is_probed is None:
            is_probed = not self._schedule.has_promised_interval
        if interval_ms is None:
            promised_ms = HOLDER_ROUNDS * HEARTBEAT_INTERVAL_MS
            interval_ms = PROBED_INTERVAL_MS if is_probed else promised_ms
        self._sequence_number += 1
        now = self._state.clock.now_ms()
        heartbeat = attrs.evolve(
            self._make_heartbeat(interval_ms),
            is_probed=is_probed,
            reports=self._detector.next_reports(now),
            silent_domains=self._detector.silent_domains,
        )
        content = heartbeat_to_wire(heartbeat)
        self._encoded = _Encoded(content, now)
        return content

    def _cycle_ms(self, interval_ms: int) -> int:
        """Return the time in which heartbeats with news reach all peers."""
        groups = math.ceil(len(self._state.members.peers()) / MAX_RECIPIENTS)
        return groups * HEARTBEAT_INTERVAL_MS if groups > 1 else interval_ms

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
                for server_id, load in state.placement.own_loads(
                    state.clock.now_ms()
                ).items()
            },
            duties=dict(state.members.claims),
            delays_ms=dict(state.own_delays_ms),
            interval_ms=interval_ms,
            capacity=state.members.own.capacity,
            suspect_parts=state.prompt_parts.next_reports(state.clock.now_ms()),
            suspect_requests=state.suspect_requests.next_reports(state.clock.now_ms()),
            store_era=self.store.era if self.store is not None else 0,
            streams=state.streams.next_announcement(
                self._cycle_ms(interval_ms), state.clock.now_ms()
            ),
            versions=state.streams.recent_origins(),
            view_age_ms=state.servers.view_age_ms(state.clock.now_ms()),
            limits={
                server_checksum(server_id): report
                for server_id, report in state.server_limits.next_reports(
                    state.clock.now_ms()
                ).items()
            },
        )

    async def _apply_exchange(self, heartbeat: Heartbeat, exchange: Exchange) -> None:
        """Answer a peer's probe, record its answer, or apply its news of the store.

        :param heartbeat: the peer's latest heartbeat
        """
        now = self._state.clock.now_ms()
        own_domain = self._state.members.own.failure_domain
        if (
            exchange.store_news is not None
            and heartbeat.failure_domain == own_domain
            and self.store is not None
        ):
            self.store.apply_news(exchange.store_news, heartbeat.address)
        if exchange.answer:
            probed_ms = self._detector.record_answer(exchange.answer, now)
            if probed_ms is not None:
                # The heartbeat that the answer came with may be older than the probe.
                age_ms = now - probed_ms + HEARTBEAT_INTERVAL_MS
                boot_ms = self._state.clock.boot_ms()
                self._state.freshness.confirm(heartbeat.view_age_ms, boot_ms - age_ms)
            forwarded = self._detector.forward_answer(exchange.answer)
            if forwarded is not None:
                await self._execute((forwarded,))
        if exchange.probe and not exchange.target:
            await self._execute((SendAnswer(heartbeat.address, exchange.probe),))
        elif exchange.probe and self._state.members.domain_of(exchange.target):
            relayed = self._detector.relay(
                heartbeat.address, exchange.probe, exchange.target, now
            )
            await self._execute((relayed,))

    async def _apply_heartbeat(self, heartbeat: Heartbeat) -> None:
        state = self._state
        now = state.clock.now_ms()
        incarnation = heartbeat.started_ms, heartbeat.sequence_number
        if state.members.incarnation_of(heartbeat.address) == incarnation:
            # The same heartbeat came with an earlier probe or answer.
            self._detector.record_message(
                heartbeat.address, heartbeat.failure_domain, now
            )
            return
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
            heartbeat.is_probed,
        )
        self._detector.record_message(heartbeat.address, heartbeat.failure_domain, now)
        self._detector.learn(heartbeat.reports, now)
        state.delays.learn(dict.fromkeys(heartbeat.duties, 0), now)
        state.delays.learn(heartbeat.delays_ms, now)
        if heartbeat.silent_domains and self.is_probing:
            checks = self._detector.check_domains(heartbeat.silent_domains, now)
            await self._execute(checks)
        id_by_checksum = self._ids_by_checksum()
        state.placement.set_peer_loads(
            heartbeat.address,
            {
                id_by_checksum[checksum]: load
                for checksum, load in heartbeat.servers.items()
                if checksum in id_by_checksum
            },
            now,
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
        if not heartbeat.is_probed:
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
            self._tasks.start_soon(self._fetch_newer_settings, heartbeat.address)

    def _ids_by_checksum(self) -> dict[int, str]:
        """Return the identifiers of the known servers by their checksums."""
        servers = self._state.servers.all()
        if servers is not self._known_servers:
            self._known_servers = servers
            self._id_by_checksum = {server_checksum(s.id): s.id for s in servers}
        return self._id_by_checksum

    async def _fetch_newer_settings(self, address: str) -> None:
        """Fetch the settings of a peer whose heartbeat names a newer version."""
        version = self._state.versions.version
        try:
            if self.is_probing and version:
                await anyio.sleep(seconds(const.SETTINGS_NEWS_WAIT_MS))
            if self._state.versions.version == version:
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
        content = await self.fetch_document(address, timeout_s)
        if content is not None and self.store is not None:
            self.store.activate_document(content, address)

    async def fetch_document(self, address: str, timeout_s: float) -> bytes | None:
        """Return the operator's document of a peer if its version is newer."""
        reply = await self._connections.fetch_document(
            address, self._documents.query(), timeout_s
        )
        match reply:
            case PeerCallFailed(detail):
                cause = detail
            case None:
                return None
            case _:
                match self._documents.decode(reply):
                    case Ok(content):
                        self._record_fetch(reply, address, len(content))
                        return content
                    case Err(cause):
                        pass
        event(_LOGGER, "settings.fetch_failed", peer=address, cause=cause)
        return None

    def _record_fetch(self, reply: DocumentReply, address: str, size: int) -> None:
        forms = ("difference", reply.difference), ("compressed", reply.compressed)
        form, content = next((f for f in forms if f[1]), ("whole", reply.content))
        self._documents.record_received(form)
        event(
            _LOGGER,
            "settings.fetched",
            peer=address,
            version=reply.version,
            form=form,
            bytes=len(content),
            of=size,
        )

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
