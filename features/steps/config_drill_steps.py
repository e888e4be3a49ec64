"""Steps on configurations in a store that comes back from an older copy."""

import subprocess
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import attrs
import httpx
from anyio.abc import TaskGroup
from behave import given, then, when

from cowsliphitch.core.clock import Clock, seconds
from cowsliphitch.core.config.const import ROOT_KEY
from cowsliphitch.core.kv.models import Applied, WriteOutcomeUnknown, WriteResult
from cowsliphitch.core.settings.models import EMPTY_SETTINGS, Settings
from cowsliphitch.platform.store.client import KeyValueClient
from cowsliphitch.standins.processes import free_port
from cowsliphitch.state.config.coordinator import ConfigCoordinator
from cowsliphitch.state.config.models import Author, Stored
from cowsliphitch.state.config.store import ConfigStore

CLAIM_INTERVAL_MS = {"A": 11, "B": 12, "C": 13, "D": 14}
OUTAGE_S = 0.3
# More than storing a configuration takes.
REVISIONS_LOST = 10


def settings_of(name: str) -> Settings:
    orders = attrs.evolve(
        EMPTY_SETTINGS.fleet.orders, claim_interval=CLAIM_INTERVAL_MS[name]
    )
    fleet = attrs.evolve(EMPTY_SETTINGS.fleet, orders=orders)
    return attrs.evolve(EMPTY_SETTINGS, fleet=fleet)


def name_of(settings: Settings) -> str:
    interval_ms = settings.fleet.orders.claim_interval
    names = [n for n, ms in CLAIM_INTERVAL_MS.items() if ms == interval_ms]
    return names[0] if names else "none"


class Drill:
    """A store in a process, its operator, and daemons that read from it."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.url = f"http://127.0.0.1:{free_port()}"
        self.daemons: list[ConfigCoordinator] = []
        self.received: list[list[str]] = []
        self.clients: list[KeyValueClient] = []
        self.client()

    def client(self) -> KeyValueClient:
        client = KeyValueClient(self.url, self.clock)
        self.clients.append(client)
        return client

    def start_daemon(
        self, group: TaskGroup, is_watcher: bool = True
    ) -> ConfigCoordinator:
        daemon = ConfigCoordinator(self.client(), self.clock, lambda: is_watcher)
        names: list[str] = []
        daemon.add_listener(lambda settings: names.append(name_of(settings)))
        self.daemons.append(daemon)
        self.received.append(names)
        group.start_soon(daemon.run)
        return daemon

    async def post(self, path: str, body: Any = None) -> None:
        async with httpx.AsyncClient() as client:
            (await client.post(self.url + path, json=body)).raise_for_status()

    async def count_calls(self) -> int:
        """Return how many calls the store has served."""
        async with httpx.AsyncClient() as client:
            counts = (await client.get(self.url + "/stats")).json()
        return int(counts["reads"] + counts["writes"] + counts["watches"])

    async def store(self, name: str) -> None:
        """Store a configuration as an operator who retries on a conflict."""
        await self.store_through(self.client(), name)

    async def wait_until_received(self, name: str) -> None:
        for names in self.received:
            await wait_until(
                lambda n=names: n[-1:] == [name], 1_500, f"{name} is in force"
            )

    async def lose(self, name: str) -> None:
        """Store a configuration, which is lost once all daemons have it in force."""
        await self.store(name)
        await self.wait_until_received(name)
        await self.post("/faults", {"down": True})
        await anyio.sleep(OUTAGE_S)
        await self.post("/restore")
        await self.post("/faults", {"down": False})

    async def store_through(self, client: KeyValueClient, name: str) -> None:
        store = ConfigStore(client, self.clock)
        for _ in range(20):
            root = (await store.read_root()).ok_value
            base = root.manifest.revision
            result = await store.submit(settings_of(name), base, Author("olga", ""))
            if isinstance(result, Stored):
                return
            await anyio.sleep(0.02)
        raise AssertionError(result)

    async def run(self, actions: list[Callable[..., Awaitable[None]]]) -> None:
        port = self.url.rpartition(":")[2]
        arguments = ["-m", "cowsliphitch.standins", "kv", "--port", port]
        process = subprocess.Popen(
            [sys.executable, *arguments], stderr=subprocess.DEVNULL
        )
        try:
            async with anyio.create_task_group() as group:
                with anyio.fail_after(20):
                    while (await self.clients[0].get("x")).is_err():
                        await anyio.sleep(0.02)
                    for action in actions:
                        await action(self, group)
                group.cancel_scope.cancel()
            for client in self.clients:
                await client.close()
        finally:
            process.kill()
            process.wait()


async def wait_until(condition: Callable[[], bool], ms: int, what: str) -> None:
    with anyio.move_on_after(seconds(ms)):
        while not condition():
            await anyio.sleep(0.02)
        return
    raise AssertionError(f"not within {ms} ms: {what}")


@given("a store with configuration A, a copy of it, and two daemons")
def store_with_copy(context: Any) -> None:
    async def prepare(drill: Drill, group: TaskGroup) -> None:
        await drill.store("A")
        for _ in range(2):
            drill.start_daemon(group)
        await drill.post("/copy")

    context.actions = [prepare]


@given(
    "a copy of a store without a configuration, then configuration A, and two daemons"
)
def store_with_empty_copy(context: Any) -> None:
    async def prepare(drill: Drill, group: TaskGroup) -> None:
        await drill.post("/copy")
        await drill.store("A")
        for _ in range(2):
            drill.start_daemon(group)

    context.actions = [prepare]


@given(
    "a store with configuration A, a copy of it, and two daemons that do not watch it"
)
def store_without_watchers(context: Any) -> None:
    async def prepare(drill: Drill, group: TaskGroup) -> None:
        await drill.store("A")
        for _ in range(2):
            drill.start_daemon(group, is_watcher=False)
        await drill.wait_until_received("A")
        await drill.post("/copy")

    context.actions = [prepare]


@when("one of them stores configuration B, and the store comes back at once")
def store_through_daemon(context: Any) -> None:
    async def act(drill: Drill, _group: TaskGroup) -> None:
        daemon = drill.daemons[0]
        author = Author("olga", "")
        result = await daemon.submit(settings_of("B"), daemon.revision, author)
        assert isinstance(result, Stored), result
        await drill.post("/restore")

    context.actions.append(act)


@when("an operator stores configuration B, and the store comes back from the copy")
def store_and_restore(context: Any) -> None:
    context.actions.append(lambda drill, _group: drill.lose("B"))


@when(
    "an operator stores configuration B, the store comes back at once, and others write"
    " as much as it lost"
)
def restore_and_write(context: Any) -> None:
    async def act(drill: Drill, _group: TaskGroup) -> None:
        await drill.store("B")
        await drill.wait_until_received("B")
        # An answer to another call hides the outage from the client's watch.
        for client in drill.clients:
            await client.get("x")
        async with httpx.AsyncClient(base_url=drill.url) as http:
            (await http.post("/restore")).raise_for_status()
            for number in range(REVISIONS_LOST):
                body = {"writes": [{"key": f"other/{number}", "value": ""}]}
                (await http.post("/kv-txn", json=body)).raise_for_status()

    context.actions.append(act)


@when(
    "an operator stores configuration B, and the store comes back before its root is"
    " written"
)
def restore_before_root(context: Any) -> None:
    async def act(drill: Drill, _group: TaskGroup) -> None:
        client = drill.client()
        put = client.put

        async def put_after_drill(key: str, *args: Any, **options: Any) -> WriteResult:
            if key == ROOT_KEY:
                client.put = put
                (await http.post("/restore")).raise_for_status()
            return await put(key, *args, **options)

        client.put = put_after_drill
        async with httpx.AsyncClient(base_url=drill.url) as http:
            await drill.store_through(client, "B")

    context.actions.append(act)


@when("the answer to configuration B is lost, and C follows it after a drill")
def lose_answer_before_drill(context: Any) -> None:
    async def act(drill: Drill, _group: TaskGroup) -> None:
        client = drill.client()
        put = client.put

        async def put_before_drill(key: str, *args: Any, **options: Any) -> WriteResult:
            result = await put(key, *args, **options)
            if key != ROOT_KEY:
                return result
            client.put = put
            assert isinstance(result, Applied), result
            await drill.post("/copy")
            await drill.post("/restore")
            await drill.store("C")
            return WriteOutcomeUnknown("the answer was lost")

        client.put = put_before_drill
        store = ConfigStore(client, drill.clock)
        base = (await store.read_root()).ok_value.manifest.revision
        context.result = await store.submit(settings_of("B"), base, Author("olga", ""))

    context.actions.append(act)


@then("configuration B is reported as stored")
def is_reported_as_stored(context: Any) -> None:
    anyio.run(Drill().run, context.actions)
    assert isinstance(context.result, Stored), context.result


@when(
    "an operator stores configuration C, and the store comes back from the copy again"
)
def lose_c(context: Any) -> None:
    context.actions.append(lambda drill, _group: drill.lose("C"))


@when("an operator stores configuration {name:Word}")
def store_configuration(context: Any, name: str) -> None:
    context.actions.append(lambda drill, _group: drill.store(name))


@when("other keys are written and the history of the store is discarded")
def discard_history(context: Any) -> None:
    async def act(drill: Drill, _group: TaskGroup) -> None:
        for number in range(3):
            await drill.clients[0].put(f"other/{number}", "", None)
        await drill.post("/compact")

    context.actions.append(act)


@then("within {ms:d} ms each daemon calls the store at most {count:d} times")
def calls_at_most(context: Any, ms: int, count: int) -> None:
    async def check(drill: Drill, _group: TaskGroup) -> None:
        before = await drill.count_calls()
        await anyio.sleep(seconds(ms))
        context.calls = (await drill.count_calls() - before) / len(drill.daemons)

    anyio.run(Drill().run, [*context.actions, check])
    assert context.calls <= count, context.calls


@then("within {ms:d} ms a daemon that starts has configuration {name}")
def starting_daemon_has(context: Any, ms: int, name: str) -> None:
    context.drill = Drill()

    async def check(drill: Drill, group: TaskGroup) -> None:
        daemon = drill.start_daemon(group)
        await wait_until(
            lambda: name_of(daemon.settings) == name, ms, f"{name} is in force"
        )
        await anyio.sleep(0.3)

    anyio.run(context.drill.run, [*context.actions, check])


@then("the two daemons had no other configuration after B")
def only_b(context: Any) -> None:
    for names in context.drill.received[:2]:
        assert set(names[names.index("B") :]) == {"B"}, names


@then("the two daemons have configuration {name} in force")
def in_force(context: Any, name: str) -> None:
    found = [name_of(daemon.settings) for daemon in context.drill.daemons[:2]]
    assert found == [name, name], found


@then('within {ms:d} ms the audit trail ends with a change by "{who}"')
def audit_trail_ends(context: Any, ms: int, who: str) -> None:
    async def check(drill: Drill, _group: TaskGroup) -> None:
        store = ConfigStore(drill.client(), drill.clock)
        with anyio.fail_after(seconds(ms)):
            while True:
                history = (await store.read_history(10)).ok_value
                if history and history[0].who == who:
                    return
                await anyio.sleep(0.02)

    anyio.run(Drill().run, [*context.actions, check])
