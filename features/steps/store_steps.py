"""Steps on the store's coordinator, with a scripted client of the store."""

import json
import subprocess
import sys
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import anyio
import httpx
from behave import given, then, when
from result import Err, Ok, Result

from cowsliphitch.core.clock import Clock, seconds
from cowsliphitch.core.fleet.members import Member, MemberTable
from cowsliphitch.core.kv.models import (
    Applied,
    Changes,
    Deleted,
    LeaseExpired,
    Listing,
    Restored,
    Unavailable,
)
from cowsliphitch.core.revisions import NO_REVISION, Revision
from cowsliphitch.gateway.document_exchange import DocumentExchange
from cowsliphitch.gateway.engine_quarantine import EngineQuarantine
from cowsliphitch.gateway.fleet_coordinator import FleetCoordinator
from cowsliphitch.gateway.state import GatewayState
from cowsliphitch.gateway.store_coordinator import StoreCoordinator
from cowsliphitch.peers.fleet.rpc import PeerConnections
from cowsliphitch.platform.store.client import KeyValueClient
from cowsliphitch.standins.processes import free_port
from cowsliphitch.state.leases.coordinator import LeaseCoordinator


class ChangingStore:
    """Client of a store in which a key changes all the time."""

    def __init__(self) -> None:
        self.watches = 0

    async def scan(self, _prefix: str) -> Result[Listing, Any]:
        return Ok(Listing((), Revision(1, 1)))

    async def watch(
        self, _prefix: str, after: Revision, _wait_ms: int
    ) -> Result[Changes, Any]:
        self.watches += 1
        await anyio.sleep(0.001)
        at = Revision(after.era, after.number + 1)
        return Ok(Changes((Deleted("other/key", at),), at))


@given("a daemon among {count:d} whose store has a change for every watch")
def changing_store(context: Any, count: int) -> None:
    clock = Clock()
    members = MemberTable(Member("d0:1", "d0", "domain"), clock.now_ms())
    members.set_listed(
        (Member(f"d{n}:1", f"d{n}", "domain") for n in range(1, count)), clock.now_ms()
    )
    context.store = ChangingStore()
    context.daemon_count = count
    context.state = GatewayState(clock, 1, members)


@when("it reads the store for {ms:d} ms")
def read_store(context: Any, ms: int) -> None:
    coordinator = StoreCoordinator(context.store, context.state, lambda: None)
    members = context.state.members.peers()

    async def main() -> None:
        with anyio.move_on_after(seconds(ms)):
            async with anyio.create_task_group() as group:
                group.start_soon(coordinator.run)
                # The listing of the scripted store is empty.
                await anyio.sleep(0)
                context.state.members.set_listed(members, 0)

    anyio.run(main)
    context.read_ms = ms
    context.view_age_ms = context.state.servers.view_age_ms(
        context.state.clock.now_ms()
    )


@then("all daemons together watch at most {count:d} times a second")
def bounded_watches(context: Any, count: int) -> None:
    total = context.store.watches * context.daemon_count * 1_000 / context.read_ms
    assert total <= count, total


@then("it has read the last change at most {ms:d} ms ago")
def view_is_recent(context: Any, ms: int) -> None:
    assert context.view_age_ms <= ms, context.view_age_ms


async def with_store(
    action: Callable[[str, KeyValueClient, KeyValueClient], Awaitable[None]],
    limit_ms: int = 10_000,
) -> None:
    """Run an action with the stand-in of the store and two clients of it."""
    clock = Clock()
    port = free_port()
    arguments = ["-m", "cowsliphitch.standins", "kv", "--port", str(port)]
    process = subprocess.Popen([sys.executable, *arguments], stderr=subprocess.DEVNULL)
    url = f"http://127.0.0.1:{port}"
    own, other = KeyValueClient(url, clock), KeyValueClient(url, clock)
    try:
        with anyio.fail_after(seconds(limit_ms)):
            while isinstance(await own.get("x"), Err):
                await anyio.sleep(0.02)
            await httpx_post(f"{url}/copy")
            await action(url, own, other)
        await own.close()
        await other.close()
    finally:
        process.kill()
        process.wait()


async def httpx_post(url: str) -> None:
    async with httpx.AsyncClient() as client:
        (await client.post(url)).raise_for_status()


async def run_over_drill(
    context: Any, copy_has: str, url: str, own: KeyValueClient, other: KeyValueClient
) -> None:
    lease = (await own.grant_lease(10_000)).ok_value
    await own.put("key", "before", NO_REVISION, lease)
    context.entry = (await own.get("key")).ok_value
    await httpx_post(f"{url}/restore")
    if copy_has != "lacks the lease":
        other_lease = (await other.grant_lease(10_000)).ok_value
        assert other_lease.id == lease.id and other_lease.era == lease.era + 1
        await other.put("key", "after", NO_REVISION, other_lease)
        entry = (await other.get("key")).ok_value
        assert entry.revision.number == context.entry.revision.number
    await anyio.sleep(0.3)
    context.write = await own.put("key", "again", context.entry.revision)
    context.renewed = await own.renew_lease(lease)
    await own.revoke_lease(lease)
    context.left = (await other.get("key")).ok_value


@given("a daemon among {count:d} and a store in which a key changes every {ms:d} ms")
def daemon_and_changing_key(context: Any, count: int, ms: int) -> None:
    context.daemon_count, context.change_interval_ms = count, ms


async def read_changing_key(
    context: Any, url: str, own: KeyValueClient, other: KeyValueClient
) -> None:
    async def change_key() -> None:
        while True:
            await other.put("key", "value", None)
            await anyio.sleep(seconds(context.change_interval_ms))

    clock = Clock()
    members = MemberTable(Member("d0:1", "d0", "domain"), clock.now_ms())
    coordinator = StoreCoordinator(own, GatewayState(clock, 1, members), lambda: None)
    async with anyio.create_task_group() as group:
        for number in range(1, context.daemon_count):
            fields = {"name": f"d{number}", "failure_domain": "domain", "lifetime": 1}
            key = f"members/d{number}:1"
            group.start_soon(other.put, key, json.dumps(fields), None)
    with anyio.move_on_after(seconds(context.read_ms)):
        async with anyio.create_task_group() as group:
            group.start_soon(change_key)
            group.start_soon(coordinator.run)
    context.watches = own.diagnostics.watches
    assert len(members.peers()) == context.daemon_count - 1, len(members.peers())


@when("it reads this store for {ms:d} ms")
def read_this_store(context: Any, ms: int) -> None:
    context.read_ms = ms
    anyio.run(with_store, partial(read_changing_key, context), 10_000 + ms)


@then("it has watched at most {count:d} times")
def few_watches(context: Any, count: int) -> None:
    assert 0 < context.watches <= count, context.watches


class QuietStore:
    """Client of a store without changes.

    :param eras: eras of the first and of all further listings
    """

    def __init__(self, *eras: int) -> None:
        self.eras = eras
        self.listings = 0

    async def scan(self, _prefix: str) -> Result[Listing, Any]:
        era = self.eras[0 if self.listings == 0 else -1]
        self.listings += 1
        return Ok(Listing((), Revision(era, 1)))

    async def watch(self, *_args: Any) -> Result[Changes, Any]:
        await anyio.sleep_forever()
        raise AssertionError("the watch returned")


@given("a daemon whose watch waits, and a peer that knows era {era:d} of the store")
def waiting_watch(context: Any, era: int) -> None:
    context.peer_era = era


async def hear_of_era(context: Any) -> None:
    clock = Clock()
    addresses = [f"127.0.0.1:{free_port()}" for _ in range(2)]
    stores = QuietStore(1, 2), QuietStore(context.peer_era)
    fleets, coordinators = [], []
    async with anyio.create_task_group() as group:
        for address, store in zip(addresses, stores, strict=True):
            members = MemberTable(Member(address, address, "domain"), clock.now_ms())
            state = GatewayState(clock, 1, members)
            quarantine = EngineQuarantine(state, group)
            fleet = FleetCoordinator(
                state, PeerConnections(), quarantine, group, DocumentExchange(state)
            )
            fleet.store = StoreCoordinator(store, state, lambda: None)
            coordinators.append(fleet.store)
            fleets.append(fleet)
            await group.start(fleet.socket.run)
            group.start_soon(fleet.store.run)
        await anyio.sleep(0.1)
        assert coordinators[0].era == 1, coordinators[0].era
        peer = Member(addresses[0], addresses[0], "domain")
        fleets[1]._state.members.set_listed([peer], clock.now_ms())
        for _ in range(9):
            await fleets[1].send_heartbeat()
            await anyio.sleep(0.1)
        context.era = coordinators[0].era
        context.listings = stores[0].listings
        group.cancel_scope.cancel()


@when("the peer sends heartbeats")
def send_heartbeats(context: Any) -> None:
    anyio.run(hear_of_era, context)


@then("within 1000 ms the daemon has listed the store in era {era:d}")
def listed_in_era(context: Any, era: int) -> None:
    assert context.era == era, context.era


@then("it has listed the store {count:d} times")
def listing_count(context: Any, count: int) -> None:
    assert context.listings == count, context.listings


@given("a store whose client holds a lease")
@given("a store whose client has read a key")
def store_with_client(context: Any) -> None:
    context.copy_has = "lacks the lease"


@when("the store comes back from a copy that {has}")
def comes_back(context: Any, has: str) -> None:
    context.copy_has = has
    anyio.run(with_store, partial(run_over_drill, context, has))


@when(
    "the store comes back from a copy, and another client writes the key at the same"
    " revision"
)
def comes_back_and_written(context: Any) -> None:
    has = "gave its identifier to another daemon"
    anyio.run(with_store, partial(run_over_drill, context, has))


@then("the client takes its lease for expired, and the other lease lasts")
def lease_is_expired(context: Any) -> None:
    assert context.renewed == Err(LeaseExpired()), context.renewed
    if context.copy_has != "lacks the lease":
        assert context.left is not None and context.left.value == "after"


@then("the client's write is refused")
def write_is_refused(context: Any) -> None:
    assert not isinstance(context.write, Applied), context.write


@given("a daemon that holds a duty")
def daemon_with_duty(context: Any) -> None:
    context.is_drill = False


async def pass_duty_on(
    context: Any, url: str, own: KeyValueClient, other: KeyValueClient
) -> None:
    clock = Clock()
    first = LeaseCoordinator("engines", "entry-1", own, clock)
    await first.acquire_or_renew()
    held = first.lease_covering(0)
    assert held is not None
    if context.is_drill:
        await httpx_post(f"{url}/restore")
    else:
        await own.revoke_lease(held.lease)
    # The identifier of the lease that this one takes is lower than the first holder's.
    await other.grant_lease(10_000)
    second = LeaseCoordinator("engines", "entry-2", other, clock)
    await second.acquire_or_renew()
    successor = second.lease_covering(0)
    assert successor is not None and successor.lease.id < held.lease.id
    context.tokens = held.fencing_token, successor.fencing_token


@when(
    "its lease ends, and another daemon takes the duty with a lease of a lower"
    " identifier"
)
def lease_ends(context: Any) -> None:
    anyio.run(with_store, partial(pass_duty_on, context))


@when(
    "the store comes back from a copy, and another daemon takes the duty with a lease"
    " of a lower identifier"
)
def store_comes_back(context: Any) -> None:
    context.is_drill = True
    anyio.run(with_store, partial(pass_duty_on, context))


@then("the fencing token of the second holder is higher")
def token_is_higher(context: Any) -> None:
    first, second = context.tokens
    assert first < second, context.tokens


@given("a client that watches a store")
def watching_client(context: Any) -> None:
    context.watched = Ok(None)


async def watch_over_drill(
    context: Any, url: str, own: KeyValueClient, other: KeyValueClient
) -> None:
    """Watch from a revision that the store has just given out again."""
    await other.put("key", "before", None)
    at = (await own.scan("")).ok_value.at
    await httpx_post(f"{url}/restore")
    await other.put("key", "after", None)
    await anyio.sleep(0.3)
    with anyio.move_on_after(1):
        context.watched = await own.watch("", at, 5_000)


@when("the store comes back and gives out revisions up to the client's again")
def revisions_again(context: Any) -> None:
    anyio.run(with_store, partial(watch_over_drill, context))


@then("within 1 s the client learns that the store was restored")
def learns_restored(context: Any) -> None:
    assert context.watched == Err(Restored(2)), context.watched


class SilentStore(QuietStore):
    """Client of a store that answers no call that arrives in its outage.

    Like those of the platform's store, calls without an answer fail after 700 ms.
    """

    def __init__(self, clock: Clock, outage_ms: int) -> None:
        super().__init__(1)
        self.clock = clock
        self.lost_ms = clock.now_ms() + 50
        self.back_ms = self.lost_ms + outage_ms

    async def _answer(self) -> bool:
        if not self.lost_ms <= self.clock.now_ms() < self.back_ms:
            return True
        await anyio.sleep(0.7)
        return False

    async def scan(self, prefix: str) -> Result[Listing, Any]:
        if await self._answer():
            return await super().scan(prefix)
        return Err(Unavailable("ReadTimeout"))

    async def get(self, _key: str) -> Result[None, Any]:
        return Ok(None) if await self._answer() else Err(Unavailable("ReadTimeout"))

    async def watch(
        self, _prefix: str, after: Revision, _wait_ms: int
    ) -> Result[Changes, Any]:
        if not await self._answer():
            return Err(Unavailable("ReadTimeout"))
        await anyio.sleep(0.1)
        return Ok(Changes((), after))


@given("a store that answers no call for {ms:d} ms")
def silent_store(context: Any, ms: int) -> None:
    context.clock = Clock()
    context.store = SilentStore(context.clock, ms)


async def read_silent_store(context: Any) -> None:
    clock, store = context.clock, context.store
    members = MemberTable(Member("d0:1", "d0", "domain"), clock.now_ms())
    coordinator = StoreCoordinator(store, GatewayState(clock, 1, members), lambda: None)
    with anyio.fail_after(5):
        async with anyio.create_task_group() as group:
            group.start_soon(coordinator.run)
            while not coordinator.outage_ms:
                await anyio.sleep(0.005)
            while coordinator.outage_ms:
                await anyio.sleep(0.005)
            context.noticed_ms = clock.now_ms() - store.back_ms
            group.cancel_scope.cancel()


@when("a daemon reads it")
def daemon_reads(context: Any) -> None:
    anyio.run(read_silent_store, context)


@then("the daemon has noticed its return within {ms:d} ms")
def noticed_return(context: Any, ms: int) -> None:
    assert 0 <= context.noticed_ms <= ms, context.noticed_ms
