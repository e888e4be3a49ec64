"""Steps on daemons of which one reads the store for the others."""

import hashlib
import json
import random
from collections.abc import Callable
from functools import partial
from typing import Any

import anyio
from behave import given, then, when
from result import Err, Ok, Result

from cowsliphitch.core.clock import Clock, seconds
from cowsliphitch.core.documents.difference import digest_of
from cowsliphitch.core.fleet.following import reader_of
from cowsliphitch.core.fleet.members import Member, MemberTable
from cowsliphitch.core.kv.models import (
    Changes,
    Deleted,
    Entry,
    Listing,
    Restored,
    Unavailable,
)
from cowsliphitch.core.revisions import Revision
from cowsliphitch.gateway.document_exchange import DocumentExchange
from cowsliphitch.gateway.state import GatewayState
from cowsliphitch.gateway.store_coordinator import StoreCoordinator
from cowsliphitch.peers.fleet.const import MAX_DATAGRAM_BYTES
from cowsliphitch.peers.fleet.convert import exchange_from_wire, exchange_to_wire
from cowsliphitch.peers.fleet.models import (
    DocumentQuery,
    DocumentReply,
    Exchange,
    StoreChange,
    StoreNews,
)
from cowsliphitch.peers.wire import fleet_pb2 as pb
from cowsliphitch.platform.operator_document import KEY
from cowsliphitch.standins.site import SiteServer, document

SERVERS = 3


class SharedStore:
    """A store that changes all the time, and refuses whom it is told to."""

    def __init__(self, clock: Clock, interval_ms: int) -> None:
        self.clock, self.interval_ms = clock, interval_ms
        self.era = 1
        self.events: list[Any] = []
        self.changed_ms: dict[int, int] = {}
        self.calls_ms: list[int] = []
        self.refused: set[str] = set()
        self.away = False
        self.documents_read: list[str] = []
        self.servers = [SiteServer(f"s{n}", "desk") for n in range(SERVERS)]
        for server in self.servers:
            self.add(Entry(f"servers/{server.id}", server.entry(), self.next_revision))

    @property
    def next_revision(self) -> Revision:
        return Revision(self.era, len(self.events) + 1)

    @property
    def at(self) -> Revision:
        return Revision(self.era, len(self.events))

    def add(self, change: Any) -> None:
        self.events.append(change)
        self.changed_ms[change.revision.number] = self.clock.now_ms()

    async def run(self) -> None:
        while True:
            await anyio.sleep(seconds(self.interval_ms))
            if not self.away:
                self.add(Entry("other/key", "value", self.next_revision))

    def expire_servers(self) -> None:
        for server in self.servers:
            self.add(Deleted(f"servers/{server.id}", self.next_revision))

    def is_refusing(self, address: str) -> bool:
        self.calls_ms.append(self.clock.now_ms())
        return self.away or address in self.refused


class Client:
    """One daemon's client of the shared store."""

    def __init__(self, store: SharedStore, address: str) -> None:
        self.store, self.address = store, address

    async def scan(self, _prefix: str) -> Result[Listing, Any]:
        await anyio.sleep(0.002)
        if self.store.is_refusing(self.address):
            return Err(Unavailable("refused"))
        latest = {event.key: event for event in self.store.events}
        entries = tuple(e for e in latest.values() if isinstance(e, Entry))
        self.note_documents(entries)
        return Ok(Listing(entries, self.store.at))

    def note_documents(self, events: tuple[Any, ...]) -> None:
        if any(event.key == KEY for event in events):
            self.store.documents_read.append(self.address)

    async def get(self, _key: str) -> Result[Any, Any]:
        await anyio.sleep(0.002)
        if self.store.is_refusing(self.address):
            return Err(Unavailable("refused"))
        return Ok(None)

    async def watch(self, _prefix: str, after: Revision, wait_ms: int) -> Any:
        store = self.store
        if store.is_refusing(self.address):
            return Err(Unavailable("refused"))
        with anyio.move_on_after(seconds(wait_ms)):
            while store.era == after.era and store.at <= after and not store.away:
                await anyio.sleep(0.005)
        if store.away:
            return Err(Unavailable("away"))
        if store.era != after.era:
            return Err(Restored(store.era))
        events = tuple(e for e in store.events if e.revision > after)
        self.note_documents(events)
        return Ok(Changes(events, store.at))


class Follower:
    """A daemon's coordinator, and when it knew each revision."""

    def __init__(self, domain: "Domain", member: Member) -> None:
        self.domain, self.member = domain, member
        members = MemberTable(member, domain.clock.now_ms())
        self.state = GatewayState(domain.clock, 1, members)
        client: Any = Client(domain.store, member.address)
        self.documents = DocumentExchange(self.state)
        self.coordinator = StoreCoordinator(
            client,
            self.state,
            lambda: None,
            is_large_fleet=lambda: True,
            send_news=self.send_news,
            documents=self.documents,
            fetch_document=self.fetch_document,
        )
        self.knew_ms: dict[int, int] = {}
        self.stands_still = self.sends_old = False

    @property
    def document(self) -> bytes:
        current = self.state.versions.current
        return current.document if current is not None else b""

    async def fetch_document(self, address: str, _timeout_s: float) -> bytes | None:
        if self.domain.fetch_fault == "is silent":
            await anyio.sleep_forever()
        await anyio.sleep(seconds(self.domain.fetch_ms))
        reader = next(d for d in self.domain.daemons if d.member.address == address)
        reply = reader.documents.reply(self.documents.query())
        content = self.documents.decode(reply).unwrap_or(None)
        if content and self.domain.fetch_fault == "sends another document":
            content = content.replace(b'"routes"', b' "routes"')
        return content

    async def send_news(self, news: StoreNews) -> None:
        if self.stands_still:
            await anyio.sleep_forever()
        if self.sends_old:
            return
        encoded = exchange_to_wire(Exchange(store_news=news))
        assert len(encoded) < MAX_DATAGRAM_BYTES, len(encoded)
        # The heartbeat that is part of the datagram.
        heartbeat = pb.Heartbeat(name="vm", lifetime=1).SerializeToString()
        decoded = exchange_from_wire(heartbeat + encoded).store_news
        assert decoded == news, (decoded, news)
        if self.domain.loses_documents and news.has_digests:
            self.domain.loses_documents = False
            return
        for other in self.domain.daemons:
            is_lost = self.domain.rng.random() < self.domain.loss
            if other is not self and not other.stands_still and not is_lost:
                other.coordinator.apply_news(news, self.member.address)

    def note(self) -> None:
        known = self.coordinator._known_at
        for number in range(1, known.number + 1 if known else 1):
            self.knew_ms.setdefault(number, self.domain.clock.now_ms())


class Domain:
    """The daemons of one failure domain."""

    def __init__(self, count: int, interval_ms: int) -> None:
        self.clock, self.rng, self.loss = Clock(), random.Random(1), 0.0
        self.beacons = 1
        self.fetch_fault, self.fetch_ms, self.loses_documents = "", 5, False
        self.store = SharedStore(self.clock, interval_ms)
        members = [
            Member(f"10.0.0.{n}:1", f"vm-{n}", "domain", 1) for n in range(count)
        ]
        self.daemons = [Follower(self, member) for member in members]
        for daemon in self.daemons:
            for member in members:
                daemon.state.members.record_heartbeat(
                    member, 1, False, self.clock.now_ms(), is_probed=True
                )
        self.script: list[Callable[[], Any]] = []

    @property
    def reader(self) -> Follower:
        members = self.daemons[0].state.members
        address = reader_of(members, self.clock.now_ms())
        return next(d for d in self.daemons if d.member.address == address)

    async def note_all(self) -> None:
        while True:
            for daemon in self.daemons:
                daemon.note()
            await anyio.sleep(0.01)

    async def run_beacon(self, daemon: Follower, after_ms: int) -> None:
        await anyio.sleep(seconds(after_ms))
        await daemon.coordinator.run_beacon()

    def run(self) -> None:
        async def main() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(self.store.run)
                group.start_soon(self.note_all)
                for daemon in self.daemons:
                    group.start_soon(daemon.coordinator.run)
                    for number in range(self.beacons):
                        group.start_soon(self.run_beacon, daemon, number * 10)
                    group.start_soon(daemon.coordinator.run_document_fetches)
                for action in self.script:
                    await action()
                self.end_ms = self.clock.now_ms()
                group.cancel_scope.cancel()

        anyio.run(main)

    def delays_ms(self, daemons: list[Follower], from_ms: int) -> list[int]:
        """Return how long after each change each daemon knew of it."""
        settled_ms = min(self.store.changed_ms.values()) + 1_200
        return [
            daemon.knew_ms.get(number, self.end_ms) - changed_ms
            for daemon in daemons
            for number, changed_ms in self.store.changed_ms.items()
            if max(from_ms, settled_ms) <= changed_ms <= self.end_ms - 100
        ]


@given(
    "{count:d} daemons of one failure domain in a large fleet, and a store that changes"
    " every {ms:d} ms"
)
def make_domain(context: Any, count: int, ms: int) -> None:
    context.domain = Domain(count, ms)


@when("they run for {ms:d} ms")
def run_for(context: Any, ms: int) -> None:
    context.domain.script.append(partial(anyio.sleep, seconds(ms)))


@when("a quarter of the messages is lost")
def lose_messages(context: Any) -> None:
    context.domain.loss = 0.25


def add_action(context: Any, action: Callable[[], None]) -> None:
    async def run() -> None:
        action()

    context.domain.script.append(run)


@when("the reader stands still")
def reader_stands_still(context: Any) -> None:
    def act() -> None:
        context.faulty = context.domain.reader
        context.faulty.stands_still = True

    add_action(context, act)


@when("the reader hears nothing new")
def reader_is_mute(context: Any) -> None:
    def act() -> None:
        context.faulty = context.domain.reader
        context.faulty.sends_old = True

    add_action(context, act)


@when("the reader is refused by the store")
def reader_is_refused(context: Any) -> None:
    def act() -> None:
        context.faulty = context.domain.reader
        context.domain.store.refused.add(context.faulty.member.address)

    add_action(context, act)


@when("the store refuses all daemons but the reader after their first listing")
def refuse_others(context: Any) -> None:
    async def act() -> None:
        await anyio.sleep(0.7)
        domain = context.domain
        others = {d.member.address for d in domain.daemons if d is not domain.reader}
        domain.store.refused |= others

    context.domain.script.append(act)


@when("the store is away for {ms:d} ms and loses the entries of all servers in it")
def lose_entries(context: Any, ms: int) -> None:
    async def act() -> None:
        store = context.domain.store
        store.away = True
        await anyio.sleep(seconds(ms))
        store.expire_servers()
        store.away = False

    context.domain.script.append(act)


@then("every daemon still has its servers {ms:d} ms after the store's return")
def still_has_servers(context: Any, ms: int) -> None:
    domain = context.domain
    run_for(context, ms)
    domain.run()
    counts = [len(d.state.servers.ready("desk")) for d in domain.daemons]
    assert counts == [SERVERS] * len(domain.daemons), counts


@when("the store comes back in a later era")
def later_era(context: Any) -> None:
    add_action(context, lambda: setattr(context.domain.store, "era", 2))


@then("every daemon is in the later era")
def in_later_era(context: Any) -> None:
    context.domain.run()
    eras = [daemon.coordinator.era for daemon in context.domain.daemons]
    assert eras == [2] * len(eras), eras


def ensure_run(context: Any) -> Domain:
    if not hasattr(context.domain, "end_ms"):
        context.domain.run()
    return context.domain


@then("in the last {ms:d} ms the store was called at most {count:d} times")
def bounded_calls(context: Any, ms: int, count: int) -> None:
    domain = ensure_run(context)
    calls = [t for t in domain.store.calls_ms if t > domain.end_ms - ms]
    assert len(calls) <= count, len(calls)


@then("every daemon knows each change of the store after at most {ms:d} ms")
def all_know(context: Any, ms: int) -> None:
    domain = ensure_run(context)
    delays = domain.delays_ms(domain.daemons, 0)
    assert delays and max(delays) <= ms, max(delays)


@then("every other daemon knows each change of the store after at most {ms:d} ms")
def others_know(context: Any, ms: int) -> None:
    domain = ensure_run(context)
    others = [d for d in domain.daemons if d is not context.faulty]
    delays = domain.delays_ms(others, 0)
    assert delays and max(delays) <= ms, max(delays)


@then(
    "in the last {last:d} ms every other daemon knew each change after at most"
    " {ms:d} ms"
)
def others_know_at_end(context: Any, last: int, ms: int) -> None:
    domain = ensure_run(context)
    others = [d for d in domain.daemons if d is not context.faulty]
    delays = domain.delays_ms(others, domain.end_ms - last)
    assert delays and max(delays) <= ms, max(delays)


@then("in the last {last:d} ms every daemon knew each change after at most {ms:d} ms")
def all_know_at_end(context: Any, last: int, ms: int) -> None:
    domain = ensure_run(context)
    delays = domain.delays_ms(domain.daemons, domain.end_ms - last)
    assert delays and max(delays) <= ms, max(delays)


def large_document(version: int, changed: int) -> str:
    """Return a document with many routes, of which the first ones change."""
    content = json.loads(document(version, {"key": "team"}))
    lookup = content["routes"][1]
    for number in range(600):
        text = f"{number}-{version if number < changed else 0}"
        name = hashlib.sha256(text.encode()).hexdigest()
        content["routes"].append(lookup | {"name": name, "prefix": f"/{name}/"})
    return json.dumps(content)


def write_document(domain: Domain, version: int, changed: int, **fields: Any) -> None:
    store = domain.store
    content = json.loads(large_document(version, changed))
    store.document = json.dumps(content | fields)
    store.add(Entry(KEY, store.document, store.next_revision))


@given("the store has a document of 600 routes")
def has_document(context: Any) -> None:
    write_document(context.domain, 1, 0)


@given("a peer that is asked for its document {fault}")
def fetch_fails(context: Any, fault: str) -> None:
    context.domain.fetch_fault = fault


@given("it takes {ms:d} ms to fetch a document")
def slow_fetch(context: Any, ms: int) -> None:
    context.domain.fetch_ms = ms


@when("the operator writes version {version:d} with {changed:d} other routes")
def operator_writes(context: Any, version: int, changed: int) -> None:
    def act() -> None:
        domain = context.domain
        domain.store.documents_read.clear()
        write_document(domain, version, changed)

    add_action(context, act)


@when("the operator writes version {version:d} with the teams {teams}")
def operator_writes_teams(context: Any, version: int, teams: str) -> None:
    def act() -> None:
        context.domain.store.documents_read.clear()
        write_document(context.domain, version, 0, tenants=json.loads(teams))

    add_action(context, act)


@then("no daemon accepts a key, or a request without one")
def no_key_accepted(context: Any) -> None:
    for daemon in context.domain.daemons:
        deployment = daemon.state.deployment
        assert deployment.requires_key and not deployment.team_by_key, deployment


@when("the next news of a document are lost")
def lose_documents(context: Any) -> None:
    add_action(context, lambda: setattr(context.domain, "loses_documents", True))


@when("half of the followers have another document of version {version:d}")
def other_base(context: Any, version: int) -> None:
    def act() -> None:
        domain = context.domain
        for daemon in [d for d in domain.daemons if d is not domain.reader][::2]:
            other = large_document(version, 5).encode()
            assert daemon.coordinator.activate_document(other, "a peer")

    add_action(context, act)


@when("all servers are removed at once with it")
def remove_servers(context: Any) -> None:
    add_action(context, context.domain.store.expire_servers)


@then("{ms:d} ms later no daemon has a server, and followers know no later revision")
def removed_meanwhile(context: Any, ms: int) -> None:
    run_for(context, ms)

    def check() -> None:
        domain = context.domain
        written = max(e.revision for e in domain.store.events if e.key == KEY)
        for daemon in domain.daemons:
            removed = {s.id for s in domain.store.servers} - {
                s.id for s in daemon.state.servers.ready("desk")
            }
            assert len(removed) == SERVERS, (daemon.member, removed)
            if daemon is not domain.reader:
                assert daemon.coordinator._known_at < written

    add_action(context, check)


@then("after {ms:d} ms all daemons have the operator's document")
def have_document(context: Any, ms: int) -> None:
    run_for(context, ms)
    domain = context.domain
    domain.run()
    expected = domain.store.document.encode()
    lacking = [d.member.name for d in domain.daemons if d.document != expected]
    assert not lacking, lacking


@then("only the reader has read it from the store")
def only_reader(context: Any) -> None:
    read = set(context.domain.store.documents_read)
    assert read == {context.domain.reader.member.address}, read


@then("all daemons have read it from the store")
def all_read(context: Any) -> None:
    read = set(context.domain.store.documents_read)
    assert len(read) == len(context.domain.daemons), read


@given("the reader sends a message every 10 ms")
def many_beacons(context: Any) -> None:
    context.domain.beacons = 50


@then("an older daemon gets {what}")
def older_daemon(context: Any, what: str) -> None:
    base = large_document(1, 0).encode()
    content = large_document(2, 500).encode()
    state = context.domain.daemons[0].state
    exchange = DocumentExchange(state)
    change = StoreChange(KEY, Revision(1, 7), exchange.make_change(base, content))
    news = StoreNews(Revision(1, 6), Revision(1, 7), (change,), 0)
    if what == "news with a gap instead of a digest":
        read = pb.Heartbeat.FromString(exchange_to_wire(Exchange(store_news=news)))
        assert (read.store_news.after, read.store_news.at) == (7, 7), read
        return
    assert context.domain.daemons[0].coordinator.activate_document(content, "store")
    assert exchange.reply(DocumentQuery(1, False)) == DocumentReply(2, content)
    forms = [exchange.reply(DocumentQuery(1, True, b)) for b in (digest_of(base), b"")]
    assert [bool(f.difference) for f in forms] == [True, False]
    assert [bool(f.compressed) for f in forms] == [False, True]
    assert exchange.reply(DocumentQuery(2)) == DocumentReply()
