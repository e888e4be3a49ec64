"""Steps on order logs in a store that comes back from an older copy."""

import uuid
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import attrs
import httpx
from anyio.abc import TaskGroup
from behave import given, then, when
from config_drill_steps import OUTAGE_S, Drill
from result import Err, Ok

from cowsliphitch.core.kv.models import WriteResult
from cowsliphitch.core.orders.log import Owned
from cowsliphitch.core.orders.models import OrderKey, parse_key
from cowsliphitch.core.settings.models import EMPTY_SETTINGS, Orders
from cowsliphitch.core.verdict import Verdict
from cowsliphitch.state.orders.coordinator import OrderCoordinator

TIMEOUT_MS = 3_000
DAEMONS = {"first": 0, "second": 1, "newly started": 2}

Action = Callable[[Drill, TaskGroup], Awaitable[None]]


def new_key(drill: Drill, name: str) -> OrderKey:
    """Return a key that is created now."""
    wall_ms = drill.clock.wall_ms()
    random_bits = uuid.uuid4().int & ((1 << 80) - 1)
    value = uuid.UUID(int=(wall_ms << 80) | random_bits)
    fields = value.int & ~(0xF << 76) & ~(0x3 << 62) | (0x7 << 76) | (0x2 << 62)
    text = str(uuid.UUID(int=fields))
    return parse_key(name, text, wall_ms, Orders().retention).ok_value


async def start_orders(drill: Drill, group: TaskGroup) -> OrderCoordinator:
    client = drill.client()
    # A daemon reads its configuration from the store when it starts.
    await client.get("config/root")
    coordinator = OrderCoordinator(client, drill.clock)
    orders = attrs.evolve(EMPTY_SETTINGS.fleet.orders, shards=1)
    fleet = attrs.evolve(EMPTY_SETTINGS.fleet, orders=orders)
    coordinator.apply(attrs.evolve(EMPTY_SETTINGS, fleet=fleet))
    group.start_soon(coordinator.run)
    await anyio.sleep(0.005)
    return coordinator


async def claim(context: Any, drill: Drill, number: int, name: str) -> None:
    if name not in context.order_keys:
        context.order_keys[name] = new_key(drill, name)
        # A key is older than the claim by the time that a request takes.
        await anyio.sleep(0.005)
    coordinator = context.orders[number]
    deadline_ms = drill.clock.now_ms() + TIMEOUT_MS
    key = context.order_keys[name]
    context.outcome = await coordinator.claim(key, "digest", deadline_ms)


async def drill_store(drill: Drill) -> None:
    await drill.post("/faults", {"down": True})
    await anyio.sleep(OUTAGE_S)
    await drill.post("/restore")
    await drill.post("/faults", {"down": False})


def prepare(context: Any, with_copy: bool, with_log: bool = True) -> None:
    context.order_keys, context.orders = {}, []

    async def act(drill: Drill, group: TaskGroup) -> None:
        for _ in range(2):
            context.orders.append(await start_orders(drill, group))
        # Orders before the copy, so that the only log exists.
        for number, name in enumerate(("x", "y") if with_log else ()):
            await claim(context, drill, number, name)
            assert isinstance(context.outcome, Ok), context.outcome
        if with_copy:
            await drill.post("/copy")

    context.actions = [act]


@given("a store, a copy of it, and two daemons that claim orders")
def store_with_copy(context: Any) -> None:
    prepare(context, with_copy=True)


@given("a store and two daemons that claim orders")
def store_without_copy(context: Any) -> None:
    prepare(context, with_copy=False)


@given("a store without an order log and two daemons that claim orders")
def store_without_log(context: Any) -> None:
    prepare(context, with_copy=True, with_log=False)


@when('the second daemon is about to create the log for order "{name}"')
def hold_second_write(context: Any, name: str) -> None:
    context.held_order = name


@when("the first daemon claims it before, and the store comes back from the copy")
def claim_before_second_write(context: Any) -> None:
    async def act(drill: Drill, _group: TaskGroup) -> None:
        client = drill.clients[-1]
        put = client.put

        async def put_after_drill(*args: Any) -> WriteResult:
            client.put = put
            await claim(context, drill, 0, context.held_order)
            assert isinstance(context.outcome.ok_value, Owned), context.outcome
            await drill.post("/restore")
            return await put(*args)

        client.put = put_after_drill
        await claim(context, drill, 1, context.held_order)

    context.actions.append(act)


@when('the first daemon claims order "{name}", and the store comes back from the copy')
def claim_and_lose(context: Any, name: str) -> None:
    async def act(drill: Drill, _group: TaskGroup) -> None:
        await claim(context, drill, 0, name)
        assert isinstance(context.outcome.ok_value, Owned), context.outcome
        await drill_store(drill)

    context.actions.append(act)


@when(
    'the first daemon claims order "{name}", and the store comes back from the copy at'
    " once"
)
def claim_and_lose_at_once(context: Any, name: str) -> None:
    async def act(drill: Drill, _group: TaskGroup) -> None:
        await claim(context, drill, 0, name)
        assert isinstance(context.outcome.ok_value, Owned), context.outcome
        async with httpx.AsyncClient(base_url=drill.url) as http:
            # The store's era is taken for certain for a short time after an answer.
            for client in drill.clients:
                await client.get("config/root")
            (await http.post("/restore")).raise_for_status()

    context.actions.append(act)


@when('the first daemon claims order "{name}", and the store is copied and comes back')
def claim_and_keep(context: Any, name: str) -> None:
    async def act(drill: Drill, _group: TaskGroup) -> None:
        await claim(context, drill, 0, name)
        await drill.post("/copy")
        await drill_store(drill)

    context.actions.append(act)


@when('the {daemon} daemon claims order "{name}" again')
@when('the {daemon} daemon claims order "{name}" that is new')
def claim_again(context: Any, daemon: str, name: str) -> None:
    async def act(drill: Drill, group: TaskGroup) -> None:
        if daemon == "newly started":
            context.orders.append(await start_orders(drill, group))
        await claim(context, drill, DAEMONS[daemon], name)

    context.actions.append(act)


@then("the claim is refused since the order may have run")
def is_refused(context: Any) -> None:
    anyio.run(Drill().run, context.actions)
    assert isinstance(context.outcome, Err), context.outcome
    assert context.outcome.err_value.verdict is Verdict.MAY_HAVE_RUN, context.outcome


@then("the claim is granted")
def is_granted(context: Any) -> None:
    anyio.run(Drill().run, context.actions)
    assert isinstance(context.outcome, Ok), context.outcome
    assert isinstance(context.outcome.ok_value, Owned), context.outcome
