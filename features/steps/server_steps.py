"""Steps on the registry of servers and the choice among them."""

from typing import Any

import attrs
from behave import given, then, when

from cowsliphitch.core.servers.load import ServerLoad
from cowsliphitch.core.servers.models import Server, ServerState
from cowsliphitch.core.servers.placement import ServerPlacement
from cowsliphitch.core.servers.registry import ServerRegistry

SERVICE = "service"


def server(server_id: str, **fields: Any) -> Server:
    defaults: dict[str, Any] = {
        "service": SERVICE,
        "address": f"{server_id}:1",
        "failure_domain": f"domain-{server_id}",
        "state": ServerState.READY,
        "slots": 6,
    }
    return Server(id=server_id, **(defaults | fields))


@given('servers "{names}" of a service')
def servers(context: Any, names: str) -> None:
    context.now = 1_000
    context.registry = ServerRegistry()
    context.placement = ServerPlacement()
    context.registry.replace((server(name) for name in names.split(", ")), context.now)


@when('"{name}" is listed as draining')
def drains(context: Any, name: str) -> None:
    context.registry.put(server(name, state=ServerState.DRAINING))


@when('a peer tells that "{name}" is leaving')
def peer_tells(context: Any, name: str) -> None:
    assert context.registry.mark_draining(name)


@when('the entry of "{name}" vanishes')
def vanishes(context: Any, name: str) -> None:
    context.registry.remove(name, context.now)


@when('the store is away for {ms:d} ms and the entry of "{name}" lapses')
def lapses(context: Any, ms: int, name: str) -> None:
    context.registry.mark_store_unavailable(context.now)
    context.now += ms
    context.registry.mark_store_available(context.now)
    context.registry.remove(name, context.now)


@when("the registry waits {ms:d} ms")
def passes(context: Any, ms: int) -> None:
    context.now += ms
    context.registry.expire(context.now)


@when('"{name}" registers again')
def registers(context: Any, name: str) -> None:
    context.registry.put(server(name))


@when('"{name}" registers at a new address')
def registers_elsewhere(context: Any, name: str) -> None:
    context.registry.put(server(name, address="elsewhere:1"))


@when('a request finds another server at the address of "{name}"')
def misdirected(context: Any, name: str) -> None:
    known = context.registry.get(name)
    context.registry.mark_misdirected(name)
    assert not context.registry.is_usable(known)
    context.registry.put(attrs.evolve(known))


@when('the domain of "{name}" is cut off')
def cut(context: Any, name: str) -> None:
    context.registry.set_unreachable_domains(frozenset({f"domain-{name}"}))


@when("no domain is cut off")
def no_cut(context: Any) -> None:
    context.registry.set_unreachable_domains(frozenset())


@then('the ready servers are "{names}"')
def ready(context: Any, names: str) -> None:
    found = sorted(s.id for s in context.registry.ready(SERVICE))
    assert found == names.split(", "), found


@when('"{name}" has {count:d} requests of this daemon')
def has(context: Any, name: str, count: int) -> None:
    for _ in range(count):
        context.placement.record_sent(name)


@when('a peer says that it has {count:d} requests at "{name}"')
def peer_has(context: Any, count: int, name: str) -> None:
    context.placement.set_peer_loads("peer", {name: ServerLoad(count)})


@when('"{name}" fails {count:d} requests')
def fails(context: Any, name: str, count: int) -> None:
    for _ in range(count):
        context.placement.record_failure(name, context.now, unreachable=False)


@then('"{name}" is chosen')
def chosen(context: Any, name: str) -> None:
    found = context.placement.choose(context.registry.ready(SERVICE), context.now)
    assert found.id == name, found


@given('a request that was given "{name}"')
def was_given(context: Any, name: str) -> None:
    context.given_server = context.registry.get(name)
    assert context.registry.is_usable(context.given_server)


@when('"{name}" starts again under the same identifier')
def starts_again(context: Any, name: str) -> None:
    before = context.registry.get(name)
    context.registry.put(attrs.evolve(before, started_ms=before.started_ms + 1_000))


@then('the request may not go to "{name}" any more')
def may_not_go(context: Any, name: str) -> None:
    assert context.given_server.id == name
    assert not context.registry.is_usable(context.given_server)
