"""Synchronization with the store: operator's document, servers and other daemons.

Fault: the store is unavailable for seconds, has compacted changes that this daemon has
not read, or has come back from an older copy.  The daemon keeps its last view
meanwhile, and reads a new listing after a compaction or in a new era.
"""

import json
import logging
import random
from collections.abc import Awaitable, Callable, Iterable, Sequence

import anyio
import attrs
from result import Err, Ok

from cowsliphitch.core.clock import seconds
from cowsliphitch.core.deployment.versions import ActiveDeployment
from cowsliphitch.core.documents.difference import (
    apply_difference,
    digest_of,
    result_digest,
)
from cowsliphitch.core.fleet.following import (
    BEACON_INTERVAL_MS,
    StoreFollowing,
    reader_of,
)
from cowsliphitch.core.fleet.members import DEFAULT_CAPACITY, Member
from cowsliphitch.core.json_values import (
    address,
    decode_object,
    number,
    text,
    whole_number,
)
from cowsliphitch.core.kv.models import (
    Applied,
    Changes,
    Compacted,
    Deleted,
    Entry,
    Event,
    LeaseExpired,
    Listing,
    Restored,
    Unavailable,
)
from cowsliphitch.core.revisions import (
    FIRST_ERA,
    NO_REVISION,
    LeaseRef,
    Revision,
)
from cowsliphitch.core.servers.models import Server
from cowsliphitch.core.servers.registry import STORE_SOURCE
from cowsliphitch.peers.fleet.models import StoreChange, StoreNews, ValueChange
from cowsliphitch.platform import evacuations, operator_document, server_entries
from cowsliphitch.platform.store.client import KeyValueClient
from cowsliphitch.telemetry.logs import event

from . import const, stream_records, suspect_records
from .cold_servers import update_cold_servers
from .document_exchange import DocumentExchange
from .state import GatewayState

_LOGGER = logging.getLogger(__name__)

LearnSuspects = Callable[[suspect_records.Suspects], None]
FetchSettings = Callable[[Sequence[str]], Awaitable[None]]
SendNews = Callable[[StoreNews], Awaitable[None]]
FetchDocument = Callable[[str, float], Awaitable[bytes | None]]


async def _send_nothing(_news: StoreNews) -> None:
    """Drop the news of a daemon without peers."""


async def _fetch_nothing(_addresses: Sequence[str]) -> None:
    """Return without settings, in a daemon without connections to peers."""


async def _no_document(_address: str, _timeout_s: float) -> None:
    """Return no document, in a daemon without connections to peers."""


@attrs.frozen
class _PendingDocument:
    """Document of which the reader passed on a digest.

    :param source: address of the reader
    """

    revision: Revision
    change: ValueChange
    source: str


class StoreCoordinator:
    """Update this daemon's view from the store and register the daemon in it.

    A single watch covers all keys, since every open watch has a cost.  In a large
    fleet, one daemon of each failure domain watches the store for the others.

    :param on_settings_activated: called when a version of the settings was activated
    :param fetch_settings: fetches and activates the settings of the peers at addresses
    :param learn_suspects: adds what other daemons wrote of suspect requests
    :param is_large_fleet: returns whether one daemon reads the store for several
    :param send_news: passes changes on to the other daemons of this domain
    :param documents: encodes the document for other daemons
    :param fetch_document: returns the document of the peer at an address if it is newer
    """

    def __init__(
        self,
        kv: KeyValueClient,
        state: GatewayState,
        on_settings_activated: Callable[[], None],
        fetch_settings: FetchSettings = _fetch_nothing,
        learn_suspects: LearnSuspects = lambda _suspects: None,
        is_large_fleet: Callable[[], bool] = lambda: False,
        send_news: SendNews = _send_nothing,
        documents: DocumentExchange | None = None,
        fetch_document: FetchDocument = _no_document,
    ) -> None:
        """Initialize without a lease or any listed member."""
        self._kv = kv
        self._state = state
        self._on_settings_activated = on_settings_activated
        self._fetch_settings = fetch_settings
        self._learn_suspects = learn_suspects
        self._is_large_fleet = is_large_fleet
        self._send_news = send_news
        self._documents = documents or DocumentExchange(state)
        self._fetch_document = fetch_document
        self._following = StoreFollowing()
        # Revision up to which all changes are known.
        self._known_at: Revision | None = None
        # Revision up to which all changes but the pending documents are applied.
        self._applied_at: Revision | None = None
        self._pending: list[_PendingDocument] = []
        self._has_pending = anyio.Event()
        self._is_passing_on = False
        self._rng = random.Random(state.members.own.address)
        self._members: dict[str, Member] = {}
        self._outage_since_ms: int | None = None
        self._lease: LeaseRef | None = None
        self._listed_at: Revision | None = None
        self._reported_era = 0
        self._watch_scope: anyio.CancelScope | None = None
        self._restored = anyio.Event()

    @property
    def era(self) -> int:
        """Return the era of the store that this daemon has listed, 0 before that."""
        return 0 if self._listed_at is None else self._listed_at.era

    @property
    def outage_ms(self) -> int:
        """Return the duration of the store's current outage, 0 if it answers."""
        if self._outage_since_ms is None:
            return 0
        return self._state.clock.now_ms() - self._outage_since_ms

    async def run(self) -> None:
        """Read all entries and apply their changes until cancelled.

        All entries are read again when the store has compacted missed changes or has
        come back from an older copy.
        """
        while True:
            if self._is_following():
                await self._watch_until_incomplete()
            match await self._kv.scan(""):
                case Ok(listing):
                    self._record_store_answer(self._state.clock.now_ms())
                    if self._listed_at is None and listing.at.era > FIRST_ERA:
                        await self._ask_peers_for_settings(listing)
                    self._apply_listing(listing)
                    self._known_at = self._applied_at = listing.at
                    self._pending.clear()
                    await self._watch_until_incomplete()
                case Err(unavailable):
                    await self._wait_until_back(unavailable)

    async def _watch_until_incomplete(self) -> None:
        """Apply changes until some are missed, or a later era becomes known."""
        with anyio.CancelScope() as self._watch_scope:
            await self._watch()

    async def _wait_until_back(self, unavailable: Unavailable) -> None:
        """Wait until the store answers again, to this daemon or to its reader.

        A read that was sent before the store's return may stay without an answer until
        it times out, so further reads are sent meanwhile.
        """
        self._record_store_failure(unavailable)

        async def read() -> None:
            key = const.MEMBER_PREFIX + self._state.members.own.address
            if isinstance(await self._kv.get(key), Ok):
                group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            while not self._is_following():
                await anyio.sleep(seconds(const.STORE_RETRY_INTERVAL_MS))
                group.start_soon(read)
            group.cancel_scope.cancel()

    async def _watch(self) -> None:
        """Apply the changes after the listing until they are no longer complete.

        After an outage, all entries are read again: the store may be in another era.
        """
        while True:
            await self._leave_to_reader()
            after = self._known_at
            if after is None:
                return
            is_reader = self._is_reader()
            base = self._document
            match await self._kv.watch("", after, const.WATCH_WAIT_MS):
                case Ok(Changes(events, at)):
                    self._record_store_answer(self._state.clock.now_ms())
                    self._apply_changes(events, at)
                    if is_reader:
                        # A beacon in between would tell who lost these news to read
                        # the store, before they are repeated.
                        self._is_passing_on = True
                        try:
                            await self._pass_on(after, at, events, base)
                        finally:
                            self._is_passing_on = False
                    if events:
                        pause_ms = self._watch_pause_ms(events, is_reader)
                        await anyio.sleep(seconds(pause_ms))
                case Err(Compacted()):
                    event(
                        _LOGGER,
                        "store.history_lost",
                        revision=after.number,
                        era=after.era,
                    )
                    return
                case Err(Restored()):
                    return
                case Err(Unavailable() as unavailable):
                    await self._wait_until_back(unavailable)
                    return

    def _is_reader(self) -> bool:
        """Return whether this daemon reads the store for others."""
        members, now = self._state.members, self._state.clock.now_ms()
        return (
            self._is_large_fleet()
            and not self._state.stopping
            and reader_of(members, now) == members.own.address
        )

    async def _leave_to_reader(self) -> None:
        """Wait while another daemon tells this one of all changes."""
        has_left = False
        while self._is_following():
            if not has_left:
                event(_LOGGER, "store.left_to_reader", era=self.era)
            has_left = True
            await anyio.sleep(seconds(const.FOLLOWING_CHECK_MS))
        if not has_left:
            return
        now = self._state.clock.now_ms()
        if not self._following.has_reader(now):
            # The store may have been away, with entries that expired meanwhile.
            self._state.servers.mark_store_unsettled(now)
        event(_LOGGER, "store.read_again", era=self.era)

    def _is_following(self) -> bool:
        """Return whether another daemon tells this one of all changes."""
        return (
            self._known_at is not None
            and self._is_large_fleet()
            and self._following.is_following(self._known_at, self._state.clock.now_ms())
            and not self._is_reader()
        )

    def _apply_changes(self, events: Sequence[Event], at: Revision) -> None:
        """Apply those changes that are not known yet.

        :param at: revision that they lead to
        """
        known = self._known_at or NO_REVISION
        applied = self._applied_at or NO_REVISION
        news = [
            e
            for e in events
            if e.revision > (known if e.key == operator_document.KEY else applied)
        ]
        self._known_at, self._applied_at = max(at, known), max(at, applied)
        self._pending = [p for p in self._pending if p.revision > self._known_at]
        self._apply_events(news)

    @property
    def _document(self) -> bytes:
        """Return the active document, empty if there is none."""
        current = self._state.versions.current
        return current.document if current is not None else b""

    async def _pass_on(
        self,
        after: Revision,
        at: Revision,
        events: Sequence[Event],
        base: bytes = b"",
    ) -> None:
        """Pass changes on to the other daemons of this failure domain.

        :param base: the document that was active before the changes
        """
        servers, now = self._state.servers, self._state.clock.now_ms()
        changes = []
        for change in events:
            value: str | ValueChange | None = None
            if isinstance(change, Entry):
                value = change.value
                if change.key == operator_document.KEY:
                    content = value.encode()
                    if len(content) > const.MAX_WHOLE_DOCUMENT_BYTES:
                        value = self._documents.make_change(base, content)
                    base = content
            changes.append(StoreChange(change.key, change.revision, value))
        view_age_ms = servers.view_age_ms(now) or 0
        unsettled = servers.is_unsettled(now)
        news = StoreNews(after, at, tuple(changes), view_age_ms, unsettled)
        await self._send_news(news)
        if news.has_digests:
            await anyio.sleep(seconds(const.DOCUMENT_REPEAT_MS))
            await self._send_news(news.without_differences())

    async def run_beacon(self) -> None:
        """Tell the followers of this daemon that it reads the store for them."""
        while True:
            await anyio.sleep(seconds(BEACON_INTERVAL_MS))
            if self._outage_since_ms is not None or self._known_at is None:
                continue
            if self._is_reader() and not self._is_passing_on:
                await self._pass_on(self._known_at, self._known_at, ())

    def apply_news(self, news: StoreNews, source: str) -> None:
        """Apply changes that a daemon of the same domain passed on.

        The known revision stays before a document that has to be fetched; the other
        changes, also later ones, are applied meanwhile.

        :param source: address of the daemon
        """
        applied, now = self._applied_at, self._state.clock.now_ms()
        if applied is None:
            return
        is_next = self._following.hear(
            news.after, news.at, news.view_age_ms, applied, now
        )
        if news.is_unsettled and not self._is_reader():
            self._state.servers.mark_store_unsettled(now)
        if not self._is_following():
            return
        self._record_store_answer(now - news.view_age_ms)
        if not is_next:
            return
        events: list[Event] = []
        for change in news.changes:
            if change.revision <= applied:
                continue
            match change.value:
                case None:
                    events.append(Deleted(change.key, change.revision))
                case ValueChange() as value:
                    pending = _PendingDocument(change.revision, value, source)
                    self._pending.append(pending)
                case value:
                    events.append(Entry(change.key, value, change.revision))
        self._applied_at = news.at
        self._apply_pending(self._document, source)
        self._apply_events(events)
        if self._pending:
            self._has_pending.set()

    def _apply_pending(self, content: bytes, source: str) -> bool:
        """Apply the pending documents that follow from one that this daemon has.

        :param content: the active document, or one that was fetched
        :returns: whether at least one of them was applied
        """
        count = len(self._pending)
        while self._pending:
            change = self._pending[0].change
            if digest_of(content) != change.digest:
                if result_digest(change.difference) != change.digest:
                    break
                match apply_difference(content, change.difference):
                    case Ok(result):
                        content = result
                        self._documents.record_applied(change.difference, source)
                    case _:
                        break
            self.activate_document(content, source)
            self._pending.pop(0)
        if not self._pending:
            self._known_at = self._applied_at
        return len(self._pending) < count

    async def run_document_fetches(self) -> None:
        """Fetch the documents that the reader did not send, until cancelled.

        If that fails or takes too long, they are read from the store.
        """
        while True:
            await self._has_pending.wait()
            self._has_pending = anyio.Event()
            try:
                with anyio.move_on_after(seconds(const.DOCUMENT_FETCH_TIMEOUT_MS)):
                    spread_ms = self._rng.uniform(0, const.DOCUMENT_FETCH_SPREAD_MS)
                    await anyio.sleep(spread_ms / 1_000)
                    await self._fetch_pending()
            finally:
                self._leave_pending_to_store()

    async def _fetch_pending(self) -> None:
        """Fetch the pending documents until there are none, or one is not found."""
        timeout_s = seconds(const.DOCUMENT_FETCH_TIMEOUT_MS)
        while self._pending:
            source = self._pending[0].source
            content = await self._fetch_document(source, timeout_s)
            if content is None:
                # Another peer may have sent it meanwhile.
                content = self._document
            if not self._apply_fetched(content, source):
                return

    def _apply_fetched(self, content: bytes, source: str) -> bool:
        """Apply a document that was fetched from the reader.

        :returns: whether it was one of the pending ones
        """
        digest = digest_of(content)
        digests = [pending.change.digest for pending in self._pending]
        if digest not in digests:
            return not digests
        if not self.activate_document(content, source) and digest != digests[0]:
            # Only a newer version makes the pending ones before it needless.
            return False
        del self._pending[: digests.index(digest)]
        return self._apply_pending(content, source)

    def _leave_pending_to_store(self) -> None:
        """Have the store read for the documents that are still pending."""
        if not self._pending or self._applied_at is None:
            return
        event(
            _LOGGER,
            "settings.left_to_store",
            logging.WARNING,
            result=self._pending[-1].change.digest.hex(),
            source=self._pending[-1].source,
        )
        self._pending.clear()
        self._following.miss(self._applied_at)

    async def _ask_peers_for_settings(self, listing: Listing) -> None:
        """Activate the settings of some peers before those of the first listing.

        The store may have come back from a copy that is older than the settings in
        force, and the operator writes again some time later.
        """
        own = self._state.members.own.address
        addresses = [
            member.address
            for member in _decode_members(listing).values()
            if member.address != own
        ]
        count = min(len(addresses), const.PEERS_ASKED_AT_START)
        await self._fetch_settings(self._rng.sample(addresses, count))

    def learn_era(self, era: int, peer: str) -> None:
        """Read all entries again if a peer knows a later era of the store.

        A watch that waits is not told of it before the next change.  Each era leads to
        one listing only, since the store may refuse this daemon.

        :param peer: name of the peer
        """
        if self._listed_at is None or era <= max(self.era, self._reported_era):
            return
        self._reported_era = era
        event(
            _LOGGER,
            "store.era_reported",
            logging.WARNING,
            era=era,
            before_era=self.era,
            source=peer,
        )
        if self._watch_scope is not None:
            self._watch_scope.cancel()

    def _watch_pause_ms(self, events: Sequence[Event], is_reader: bool) -> int:
        """Return the time for which changes are collected before the next watch.

        Every watch returns at the first change, so without a pause all daemons call the
        store once for each change of any key.  Streams change all the time, and
        heartbeats bring them sooner.

        :param events: the latest changes
        :param is_reader: few daemons watch, since this one does it for others
        """
        if is_reader:
            return const.READER_WATCH_PAUSE_MS
        if all(change.key.startswith(const.STREAM_PREFIX) for change in events):
            return const.MAX_WATCH_PAUSE_MS
        daemon_count = 1 + len(self._state.members.peers())
        return min(const.MAX_WATCH_PAUSE_MS, daemon_count * const.WATCH_PAUSE_MS)

    async def register(self) -> None:
        """Register this daemon under a leased key and renew it until cancelled.

        After the store came back from a copy, the daemon registers again at once: a
        daemon that starts then knows the others only from the store.
        """
        while True:
            if self._lease is None:
                await self._acquire_lease()
            elif await self._kv.renew_lease(self._lease) == Err(LeaseExpired()):
                event(_LOGGER, "member.lease_lost", lease=self._lease.id)
                self._lease = None
                continue
            wait_ms = (
                const.MEMBER_RENEWAL_INTERVAL_MS
                if self._lease
                else const.STORE_RETRY_INTERVAL_MS
            )
            with anyio.move_on_after(seconds(wait_ms)):
                await self._restored.wait()
                self._restored = anyio.Event()

    async def unregister(self) -> None:
        """Revoke the lease, which deletes the key at once."""
        if self._lease is not None:
            await self._kv.revoke_lease(self._lease)

    async def _acquire_lease(self) -> None:
        granted = await self._kv.grant_lease(const.MEMBER_LEASE_TTL_MS)
        if isinstance(granted, Err):
            return
        own = self._state.members.own
        value = json.dumps(
            {
                "name": own.name,
                "failure_domain": own.failure_domain,
                "lifetime": own.started_ms,
                "capacity": own.capacity,
            }
        )
        key = const.MEMBER_PREFIX + own.address
        lease = granted.ok_value
        if isinstance(await self._kv.put(key, value, None, lease), Applied):
            self._lease = lease
            event(_LOGGER, "member.registered", lease=lease.id, era=lease.era)

    def expire_servers(self, now_ms: int) -> None:
        """Remove the servers that did not register again after a store outage."""
        for server in self._state.servers.expire(now_ms):
            event(_LOGGER, "server.gone", server=server.id, cause="entry is missing")

    def _apply_listing(self, listing: Listing) -> None:
        now = self._state.clock.now_ms()
        if self._listed_at is not None and listing.at.era != self._listed_at.era:
            self._state.servers.mark_store_restored(now)
            self._restored.set()
            event(
                _LOGGER,
                "store.restored",
                logging.WARNING,
                era=listing.at.era,
                revision=listing.at.number,
                before_era=self._listed_at.era,
                before_revision=self._listed_at.number,
            )
        self._listed_at = listing.at
        servers = (
            (self._decode_server(e), e.revision)
            for e in _entries_under(server_entries.PREFIX, listing.entries)
        )
        self._state.servers.replace(
            ((s, revision) for s, revision in servers if s is not None),
            listing.at,
            now,
        )
        self._state.streams.observe_servers(self._state.servers.all(), now)
        for entry in _entries_under(const.STREAM_PREFIX, listing.entries):
            self._learn_streams(entry, now)
        for entry in _entries_under(const.SUSPECT_PREFIX, listing.entries):
            self._learn_suspect_entry(entry)
        self._members = _decode_members(listing)
        self._state.members.set_listed(self._members.values(), now)
        for entry in listing.entries:
            if entry.key == operator_document.KEY:
                self._activate_entry(entry)
            elif entry.key.startswith(operator_document.PREFIX):
                self._check_operator_key(entry)
        evacuated = (_evacuated_domain(entry.key) for entry in listing.entries)
        self._set_evacuated_domains(
            frozenset(domain for domain in evacuated if domain is not None), listing.at
        )
        update_cold_servers(self._state)
        event(
            _LOGGER,
            "store.listed",
            revision=listing.at.number,
            era=listing.at.era,
            servers=len(self._state.servers.all()),
            missing=self._state.servers.missing(),
            members=len(self._members),
            settings=self._state.versions.version,
        )

    def _apply_events(self, events: Iterable[Event]) -> None:
        now = self._state.clock.now_ms()
        for change in events:
            if change.key.startswith(server_entries.PREFIX):
                self._apply_server_event(change, now)
            elif change.key.startswith(const.MEMBER_PREFIX):
                self._apply_member_event(change, now)
            elif change.key == operator_document.KEY and isinstance(change, Entry):
                self._activate_entry(change)
            elif change.key.startswith(operator_document.PREFIX):
                self._apply_evacuation(change)
            elif change.key.startswith(const.STREAM_PREFIX) and isinstance(
                change, Entry
            ):
                self._learn_streams(change, now)
        self._state.streams.observe_servers(self._state.servers.all(), now)
        update_cold_servers(self._state)

    def _apply_evacuation(self, change: Event) -> None:
        """Apply that the operator evacuates a failure domain or takes it back."""
        domains = self._state.servers.evacuated_domains
        match change:
            case Entry():
                if (domain := self._check_operator_key(change)) is not None:
                    self._set_evacuated_domains(domains | {domain}, change.revision)
            case Deleted():
                domain = _evacuated_domain(change.key)
                self._set_evacuated_domains(domains - {domain}, change.revision)

    def _check_operator_key(self, entry: Entry) -> str | None:
        """Return the failure domain that a key evacuates, or log that it is ignored."""
        domain = _evacuated_domain(entry.key)
        if domain is None:
            event(
                _LOGGER,
                "operator.key_ignored",
                logging.WARNING,
                key=entry.key,
                revision=entry.revision.number,
                era=entry.revision.era,
            )
        return domain

    def _set_evacuated_domains(self, domains: frozenset[str], at: Revision) -> None:
        """Replace the evacuated domains; those taken back have cold servers.

        :param at: revision of the store at which the domains were read
        """
        servers, deployment = self._state.servers, self._state.deployment
        previous = servers.evacuated_domains
        servers.set_evacuated_domains(domains)
        for domain in sorted(domains - previous):
            event(
                _LOGGER,
                "domain.evacuated",
                logging.WARNING,
                domain=domain,
                servers=sum(s.failure_domain == domain for s in servers.all()),
                revision=at.number,
                era=at.era,
            )
        for domain in sorted(previous - domains):
            event(
                _LOGGER,
                "domain.taken_back",
                domain=domain,
                revision=at.number,
                era=at.era,
            )
        services = deployment.services.values() if deployment is not None else ()
        cold_ms = {s.name: s.cold_start_ms for s in services if s.cold_per_s > 0}
        servers.mark_cold(previous - domains, cold_ms, self._state.clock.now_ms())

    def _learn_suspect_entry(self, entry: Entry) -> None:
        """Learn which requests crashed servers before this daemon started."""
        match suspect_records.decode(entry.value):
            case Ok(suspects):
                self._learn_suspects(suspects)
            case Err(detail):
                event(_LOGGER, "suspects.unreadable", key=entry.key, cause=detail)

    def _learn_streams(self, entry: Entry, now_ms: int) -> None:
        """Learn which versions began the streams of another daemon."""
        match stream_records.decode(entry.value):
            case Ok(content):
                self._state.streams.learn_versions(content.versions, now_ms)
                self._state.streams.learn(content.groups, STORE_SOURCE, now_ms)
            case Err(detail):
                event(_LOGGER, "streams.unreadable", key=entry.key, cause=detail)

    def _apply_server_event(self, change: Event, now_ms: int) -> None:
        server_id = change.key.removeprefix(server_entries.PREFIX)
        match change:
            case Deleted(revision=revision):
                self._state.servers.remove(server_id, revision, now_ms)
                event(
                    _LOGGER,
                    "server.removed",
                    server=server_id,
                    revision=revision.number,
                    era=revision.era,
                    kept=server_id in self._state.servers.missing(),
                )
            case Entry():
                server = self._decode_server(change)
                if server is None:
                    self._state.servers.remove(server_id, change.revision, now_ms)
                else:
                    self._state.servers.put(server, change.revision, now_ms)
                    self._report_server(server, change.revision)

    def _report_server(self, server: Server, revision: Revision) -> None:
        event(
            _LOGGER,
            "server.listed",
            server=server.id,
            service=server.service,
            address=server.address,
            state=server.state.value,
            revision=revision.number,
            era=revision.era,
        )

    def _decode_server(self, entry: Entry) -> Server | None:
        server = server_entries.decode_entry(entry.key, entry.value)
        if server is None:
            event(
                _LOGGER,
                "server.unreadable",
                key=entry.key,
                revision=entry.revision.number,
                era=entry.revision.era,
            )
        return server

    def _apply_member_event(self, change: Event, now_ms: int) -> None:
        member = _decode_member(change) if isinstance(change, Entry) else None
        if member is None:
            self._members.pop(change.key, None)
        else:
            self._members[change.key] = member
        self._state.members.set_listed(self._members.values(), now_ms)

    def _activate_entry(self, entry: Entry) -> None:
        if self.activate_document(entry.value.encode(), "store"):
            self._documents.record_received("store")

    def activate_document(self, content: bytes, source: str) -> bool:
        """Activate a version of the operator's document if it is newer.

        :param content: the encoded document
        :param source: ``store`` or the address of the peer that sent it
        :returns: whether it was activated; a document that can't be decoded is logged,
            and the version in force stays
        """
        if content == self._document:
            # Peers and the store send the same version; decoding it takes 10 ms.
            return False
        match operator_document.decode_document(content):
            case Err(detail):
                event(
                    _LOGGER,
                    "settings.unreadable",
                    logging.WARNING,
                    source=source,
                    cause=detail,
                    in_force=self._state.versions.version,
                )
                return False
            case Ok(deployment):
                pass
        versions, now = self._state.versions, self._state.clock.now_ms()
        previous_version = versions.version
        if not versions.activate_if_newer(
            ActiveDeployment(deployment, content, source, now)
        ):
            return False
        event(
            _LOGGER,
            "settings.in_force",
            version=deployment.version,
            before=previous_version,
            source=source,
            routes=len(deployment.all_routes()),
        )
        self._on_settings_activated()
        return True

    def _record_store_answer(self, answered_ms: int) -> None:
        """Record an answer of the store, to this daemon or to its reader.

        :param answered_ms: monotonic time of the answer
        """
        self._state.servers.mark_store_available(answered_ms)
        if self._outage_since_ms is None:
            return
        now = self._state.clock.now_ms()
        event(_LOGGER, "store.back", away_ms=now - self._outage_since_ms)
        self._outage_since_ms = None

    def _record_store_failure(self, unavailable: Unavailable) -> None:
        now = self._state.clock.now_ms()
        self._state.servers.mark_store_unavailable(now)
        if self._outage_since_ms is not None:
            return
        self._outage_since_ms = now
        event(_LOGGER, "store.lost", logging.WARNING, cause=unavailable.detail)


def _evacuated_domain(key: str) -> str | None:
    """Return the failure domain that one of the operator's keys evacuates, if any."""
    is_evacuation = key.startswith(evacuations.PREFIX)
    return evacuations.decode_key(key) if is_evacuation else None


def _entries_under(prefix: str, entries: Iterable[Entry]) -> list[Entry]:
    return [entry for entry in entries if entry.key.startswith(prefix)]


def _decode_members(listing: Listing) -> dict[str, Member]:
    """Return the registered daemons by key, without entries that can't be read."""
    return {
        entry.key: member
        for entry in _entries_under(const.MEMBER_PREFIX, listing.entries)
        if (member := _decode_member(entry)) is not None
    }


def _decode_member(entry: Entry) -> Member | None:
    try:
        fields = decode_object(entry.value)
        return Member(
            address=address(entry.key.removeprefix(const.MEMBER_PREFIX)),
            name=text(fields["name"]),
            failure_domain=text(fields["failure_domain"]),
            started_ms=whole_number(fields["lifetime"]),
            capacity=number(fields.get("capacity", DEFAULT_CAPACITY)),
        )
    except (ValueError, KeyError):
        event(
            _LOGGER,
            "member.unreadable",
            key=entry.key,
            revision=entry.revision.number,
            era=entry.revision.era,
        )
        return None
