"""Steps on the client of the store, with scripted answers of several eras."""

import json
from collections.abc import Sequence
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
    Conflict,
    Entry,
    LeaseExpired,
    Listing,
    Restored,
    Unavailable,
    WriteOutcomeUnknown,
)
from cowsliphitch.core.revisions import LeaseRef, Revision
from cowsliphitch.gateway.state import GatewayState
from cowsliphitch.gateway.store_coordinator import StoreCoordinator
from cowsliphitch.platform.store.client import KeyValueClient
from cowsliphitch.standins.site import SiteServer

ITEM = {"key": "k", "value": "dg==", "mod_rev": 7, "created": 7, "lease": 0}
ANSWERS = {
    "/kv-key": ITEM,
    "/kv-range": {"items": [ITEM], "has_more": False, "at": 7},
    "/kv-txn": {"mod_rev": 8},
    "/kv-keep/5": {},
}


@given('a store whose answers are of the eras "{eras}"')
def scripted_store(context: Any, eras: str) -> None:
    context.eras = iter(eras.split(", "))
    context.calls = 0


def make_client(context: Any) -> KeyValueClient:
    def answer(request: httpx.Request) -> httpx.Response:
        context.calls += 1
        body = dict(ANSWERS[request.url.path])
        if request.url.path == "/kv-range":
            body["has_more"] = context.calls == 1
        return httpx.Response(200, headers={"store-era": next(context.eras)}, json=body)

    client = KeyValueClient("http://store", Clock())
    client._http = httpx.AsyncClient(
        transport=httpx.MockTransport(answer), base_url="http://store"
    )
    return client


@when("a client reads a key {count:d} times")
def read_key(context: Any, count: int) -> None:
    async def main() -> None:
        client = make_client(context)
        for _ in range(count):
            context.result = await client.get("k")

    anyio.run(main)


@when("a client lists keys on two pages")
def list_keys(context: Any) -> None:
    async def main() -> None:
        context.result = await make_client(context).scan("")

    anyio.run(main)


@when("a client that has read a key renews a lease of era {era:d}")
def renew_lease(context: Any, era: int) -> None:
    async def main() -> None:
        client = make_client(context)
        await client.get("k")
        context.result = await client.renew_lease(LeaseRef(5, era))

    anyio.run(main)


@when("a client that has read a key writes under a lease of era {era:d}")
def write_under_lease(context: Any, era: int) -> None:
    async def main() -> None:
        client = make_client(context)
        await client.get("k")
        context.result = await client.put("k", "v", None, LeaseRef(5, era))

    anyio.run(main)


@then('the last result is "{name}"')
def last_result(context: Any, name: str) -> None:
    match context.result:
        case Ok(_):
            actual = "ok"
        case Err(Unavailable()):
            actual = "unavailable"
        case Err(LeaseExpired()):
            actual = "expired"
        case Applied():
            actual = "applied"
        case WriteOutcomeUnknown():
            actual = "unknown"
        case Conflict():
            actual = "conflict"
    assert actual == name, context.result


@then("the store got {count:d} calls")
def call_count(context: Any, count: int) -> None:
    assert context.calls == count, context.calls


class RestoredStore:
    """Client of a store that has an entry in its first era only."""

    def __init__(self, key: str, value: str) -> None:
        self.entries = iter([(Entry(key, value, Revision(1, 7)),), ()])
        self.era = 0

    async def scan(self, _prefix: str) -> Result[Listing, Any]:
        self.era += 1
        return Ok(Listing(next(self.entries), Revision(self.era, 9)))

    async def watch(self, *_args: Any) -> Result[Changes, Any]:
        if self.era > 1:
            await anyio.sleep_forever()
        return Err(Restored(2))


@given('a daemon that has listed the server "{name}", and no outage of its store')
def listed_server(context: Any, name: str) -> None:
    clock = Clock()
    members = MemberTable(Member("d0:1", "d0", "domain"), clock.now_ms())
    context.state = GatewayState(clock, 1, members)
    entry = SiteServer(name, "desk", all_freed=set()).entry()
    context.store = RestoredStore(f"servers/{name}", entry)


@when('the store is listed in a new era without "{name}"')
def list_in_new_era(context: Any, name: str) -> None:
    coordinator = StoreCoordinator(context.store, context.state, lambda: None)

    def ready() -> list[str]:
        return [server.id for server in context.state.servers.ready("desk")]

    async def main() -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(coordinator.run)
            await anyio.sleep(0.05)
            context.ready_at_once = ready()
            await anyio.sleep(seconds(2_400))
            coordinator.expire_servers(context.state.clock.now_ms())
            context.ready_later = ready()
            group.cancel_scope.cancel()

    anyio.run(main)
    assert coordinator.era == 2, coordinator.era


@then('"{name}" still takes requests')
def still_ready(context: Any, name: str) -> None:
    assert context.ready_at_once == [name], context.ready_at_once


@then('"{name}" takes no requests 2400 ms later')
def expired_later(context: Any, name: str) -> None:
    assert context.ready_later == [], context.ready_later


OWN_ADDRESS = "127.0.0.1:1"


class FirstListing:
    """Client of a store that lists daemons, and whose watch waits."""

    def __init__(self, era: int, peer_count: int) -> None:
        self.at = Revision(era, 9)
        addresses = [OWN_ADDRESS, *(f"127.0.0.1:{2 + n}" for n in range(peer_count))]
        value = json.dumps({"name": "n", "failure_domain": "d", "lifetime": 1})
        self.entries = tuple(
            Entry(f"members/{address}", value, Revision(era, 5))
            for address in addresses
        )

    async def scan(self, _prefix: str) -> Result[Listing, Any]:
        return Ok(Listing(self.entries, self.at))

    async def watch(self, *_args: Any) -> Result[Changes, Any]:
        await anyio.sleep_forever()
        raise AssertionError("the watch returned")


@given("a store in era {era:d} that lists a starting daemon and {count:d} others")
def first_listing(context: Any, era: int, count: int) -> None:
    context.store = FirstListing(era, count)


@when("the daemon lists it")
def list_first(context: Any) -> None:
    clock = Clock()
    members = MemberTable(Member(OWN_ADDRESS, "n", "d"), clock.now_ms())
    state = GatewayState(clock, 1, members)
    context.asked, context.known_before = [], []

    async def fetch(addresses: Sequence[str]) -> None:
        context.asked += addresses
        context.known_before += members.peers()

    async def main() -> None:
        with anyio.move_on_after(0.1):
            await StoreCoordinator(context.store, state, lambda: None, fetch).run()

    anyio.run(main)


@then("it asks {count:d} of the others for their settings before")
def asked_others(context: Any, count: int) -> None:
    assert len(set(context.asked)) == len(context.asked) == count, context.asked
    assert OWN_ADDRESS not in context.asked, context.asked
    assert not context.known_before, context.known_before
