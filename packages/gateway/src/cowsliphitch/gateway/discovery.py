"""Follow the store: the operator's document, the servers and the other daemons."""

import json
import logging
from collections.abc import Callable, Iterable

import anyio
from result import Err, Ok

from cowsliphitch.core.clock import seconds
from cowsliphitch.core.deployment.versions import ActiveDeployment
from cowsliphitch.core.fleet.members import Member
from cowsliphitch.core.servers.models import Server, ServerState
from cowsliphitch.platform import operator_document, server_entries
from cowsliphitch.platform.store.client import KeyValueClient
from cowsliphitch.platform.store.models import (
    Applied,
    Changes,
    Compacted,
    Deleted,
    Entry,
    Event,
    LeaseExpired,
    Listing,
    Unavailable,
)
from cowsliphitch.telemetry.logs import event

from . import const
from .state import GatewayState

_LOGGER = logging.getLogger(__name__)


class StoreCoordinator:
    """Keep this daemon's beliefs in step with the store.

    One watch covers all keys, since each waiting watch is paid for.

    :param on_settings: called when a version came into force
    :param on_draining: called when a server was found to be leaving
    """

    def __init__(
        self,
        kv: KeyValueClient,
        state: GatewayState,
        on_settings: Callable[[], None],
        on_draining: Callable[[str], None],
    ) -> None:
        """Know nothing yet."""
        self._kv = kv
        self._state = state
        self._on_settings = on_settings
        self._on_draining = on_draining
        self._members: dict[str, Member] = {}
        self._lost_ms: int | None = None
        self._lease: int | None = None

    @property
    def lost_for_ms(self) -> int:
        """Return how long the store has given no answer, 0 if it answers."""
        if self._lost_ms is None:
            return 0
        return self._state.clock.now_ms() - self._lost_ms

    async def run(self) -> None:
        """Read everything, then follow the changes, for ever."""
        while True:
            match await self._kv.scan(""):
                case Ok(found):
                    self._note_answer()
                    self._take_listing(found)
                    await self._follow(found.at)
                case Err(unavailable):
                    self._note_failure(unavailable)
                    await anyio.sleep(seconds(const.STORE_RETRY_MS))

    async def _follow(self, at: int) -> None:
        """Follow changes until the history is lost."""
        while True:
            match await self._kv.watch("", at, const.WATCH_WAIT_MS):
                case Ok(Changes(events, at=at)):
                    self._note_answer()
                    self._take_events(events)
                case Err(Compacted()):
                    event(_LOGGER, "store.history_lost", revision=at)
                    return
                case Err(Unavailable() as unavailable):
                    self._note_failure(unavailable)
                    await anyio.sleep(seconds(const.STORE_RETRY_MS))

    async def register(self) -> None:
        """Keep this daemon's own leased key alive, for ever."""
        while True:
            if self._lease is None:
                await self._take_lease()
            elif await self._kv.renew_lease(self._lease) == Err(LeaseExpired()):
                event(_LOGGER, "member.lease_lost", lease=self._lease)
                self._lease = None
                continue
            wait_ms = const.MEMBER_RENEW_MS if self._lease else const.STORE_RETRY_MS
            await anyio.sleep(seconds(wait_ms))

    async def unregister(self) -> None:
        """End the lease, so that the key vanishes at once."""
        if self._lease is not None:
            await self._kv.revoke_lease(self._lease)

    async def _take_lease(self) -> None:
        granted = await self._kv.grant_lease(const.MEMBER_LEASE_MS)
        if isinstance(granted, Err):
            return
        own = self._state.members.own
        value = json.dumps(
            {
                "name": own.name,
                "failure_domain": own.failure_domain,
                "lifetime": own.lifetime,
            }
        )
        key = const.MEMBER_PREFIX + own.address
        lease = granted.ok_value
        if isinstance(await self._kv.put(key, value, None, lease), Applied):
            self._lease = lease
            event(_LOGGER, "member.registered", lease=lease)

    def expire(self, now_ms: int) -> None:
        """Drop servers whose lapsed entries did not come back."""
        for server in self._state.servers.expire(now_ms):
            event(_LOGGER, "server.gone", server=server.id, cause="entry is missing")

    def _take_listing(self, found: Listing) -> None:
        now = self._state.clock.now_ms()
        servers = (
            self._server(e) for e in _under(server_entries.PREFIX, found.entries)
        )
        self._state.servers.replace((s for s in servers if s is not None), now)
        self._members = {
            entry.key: member
            for entry in _under(const.MEMBER_PREFIX, found.entries)
            if (member := _member(entry)) is not None
        }
        self._state.members.set_listed(self._members.values(), now)
        for entry in found.entries:
            if entry.key == operator_document.KEY:
                self._offer(entry)
        event(
            _LOGGER,
            "store.listed",
            revision=found.at,
            servers=len(self._state.servers.all()),
            members=len(self._members),
            settings=self._state.versions.version,
        )

    def _take_events(self, events: Iterable[Event]) -> None:
        now = self._state.clock.now_ms()
        for change in events:
            if change.key.startswith(server_entries.PREFIX):
                self._take_server(change, now)
            elif change.key.startswith(const.MEMBER_PREFIX):
                self._take_member(change, now)
            elif change.key == operator_document.KEY and isinstance(change, Entry):
                self._offer(change)

    def _take_server(self, change: Event, now_ms: int) -> None:
        server_id = change.key.removeprefix(server_entries.PREFIX)
        match change:
            case Deleted(revision=revision):
                self._state.servers.remove(server_id, now_ms)
                event(_LOGGER, "server.removed", server=server_id, revision=revision)
            case Entry():
                server = self._server(change)
                if server is not None:
                    self._state.servers.put(server)
                    self._log_server(server, change.revision)

    def _log_server(self, server: Server, revision: int) -> None:
        event(
            _LOGGER,
            "server.listed",
            server=server.id,
            service=server.service,
            address=server.address,
            state=server.state.value,
            revision=revision,
        )
        if server.state is ServerState.DRAINING:
            self._on_draining(server.id)

    def _server(self, entry: Entry) -> Server | None:
        server = server_entries.decode_entry(entry.key, entry.value)
        if server is None:
            event(_LOGGER, "server.unreadable", key=entry.key, revision=entry.revision)
        return server

    def _take_member(self, change: Event, now_ms: int) -> None:
        member = _member(change) if isinstance(change, Entry) else None
        if member is None:
            self._members.pop(change.key, None)
        else:
            self._members[change.key] = member
        self._state.members.set_listed(self._members.values(), now_ms)

    def _offer(self, entry: Entry) -> None:
        self.offer_document(entry.value.encode(), "store")

    def offer_document(self, content: bytes, source: str) -> bool:
        """Put the operator's document in force if it is newer.

        :param source: where it came from, for the log
        """
        match operator_document.decode_document(content):
            case Err(detail):
                event(_LOGGER, "settings.unreadable", source=source, cause=detail)
                return False
            case Ok(deployment):
                pass
        versions, now = self._state.versions, self._state.clock.now_ms()
        before = versions.version
        if not versions.activate_if_newer(
            ActiveDeployment(deployment, content, source, now)
        ):
            return False
        event(
            _LOGGER,
            "settings.in_force",
            version=deployment.version,
            before=before,
            source=source,
            routes=len(deployment.all_routes()),
        )
        self._on_settings()
        return True

    def _note_answer(self) -> None:
        now = self._state.clock.now_ms()
        self._state.servers.mark_store_available(now)
        if self._lost_ms is None:
            return
        event(_LOGGER, "store.back", away_ms=now - self._lost_ms)
        self._lost_ms = None

    def _note_failure(self, unavailable: Unavailable) -> None:
        now = self._state.clock.now_ms()
        self._state.servers.mark_store_unavailable(now)
        if self._lost_ms is not None:
            return
        self._lost_ms = now
        event(_LOGGER, "store.lost", logging.WARNING, cause=unavailable.detail)


def _under(prefix: str, entries: Iterable[Entry]) -> list[Entry]:
    return [entry for entry in entries if entry.key.startswith(prefix)]


def _member(entry: Entry) -> Member | None:
    try:
        row = json.loads(entry.value)
        return Member(
            address=entry.key.removeprefix(const.MEMBER_PREFIX),
            name=str(row["name"]),
            failure_domain=str(row["failure_domain"]),
            lifetime=int(row["lifetime"]),
        )
    except (ValueError, KeyError, TypeError):
        event(_LOGGER, "member.unreadable", key=entry.key, revision=entry.revision)
        return None
