"""Steps on the server registry and on server placement."""

from typing import Any

import attrs
from behave import given, then, when

from cowsliphitch.core.revisions import Revision
from cowsliphitch.core.servers.load import ServerLoad
from cowsliphitch.core.servers.models import Server, ServerState
from cowsliphitch.core.servers.placement import ServerPlacement
from cowsliphitch.core.servers.registry import LeavingReport, ServerRegistry

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


def revision_at(context: Any, number: int) -> Revision:
    return Revision(context.era, number)


def next_revision(context: Any) -> Revision:
    context.revision += 1
    return revision_at(context, context.revision)


def put(context: Any, changed: Server) -> None:
    context.registry.put(changed, next_revision(context), context.now_ms)


def report_leaving(context: Any, name: str, revision: Revision) -> None:
    report = LeavingReport(name, revision, was_removed=False)
    assert context.registry.mark_leaving(report, context.now_ms, "peer")


@given('servers "{names}" of a service')
def servers(context: Any, names: str) -> None:
    context.now_ms = 1_000
    context.registry = ServerRegistry()
    context.placement = ServerPlacement()
    context.revision, context.era = 10, 1
    first = revision_at(context, 1)
    context.registry.replace(
        ((server(name), first) for name in names.split(", ")), first, context.now_ms
    )


@given('servers "{names}" of a service that started at {ms:d}')
def started_servers(context: Any, names: str, ms: int) -> None:
    servers(context, names)
    for name in names.split(", "):
        put(context, server(name, started_ms=ms))


@given('"{name}" was written at revision {revision:d}')
def was_written(context: Any, name: str, revision: int) -> None:
    context.revision = revision
    context.registry.put(server(name), revision_at(context, revision), context.now_ms)


@when("the store comes back from a copy of revision {revision:d}")
def store_restored(context: Any, revision: int) -> None:
    """Begin the next era."""
    context.era += 1
    context.revision = revision
    context.registry.mark_store_restored(context.now_ms)


@when('the store comes back from a copy of revision {revision:d} without "{name}"')
def store_restored_without(context: Any, revision: int, name: str) -> None:
    store_restored(context, revision)
    at = revision_at(context, revision)
    others = [(s, at) for s in context.registry.all() if s.id != name]
    context.registry.replace(others, at, context.now_ms)


@when('the copy of "{name}" with revision {revision:d} is listed as ready')
def copy_is_listed(context: Any, name: str, revision: int) -> None:
    at = revision_at(context, revision)
    context.revision = max(context.revision, revision)
    others = [
        (s, revision_at(context, 2)) for s in context.registry.all() if s.id != name
    ]
    copy = server(name, started_ms=5_000)
    context.registry.replace([(copy, at), *others], at, context.now_ms)


@when('a peer of the next era reports that "{name}" left at revision {revision:d}')
def peer_of_next_era(context: Any, name: str, revision: int) -> None:
    report_leaving(context, name, Revision(context.era + 1, revision))


@when('a peer of the era before reports that "{name}" left at revision {revision:d}')
def peer_of_era_before(context: Any, name: str, revision: int) -> None:
    at = Revision(context.era - 1, revision)
    report = LeavingReport(name, at, was_removed=False, started_ms=5_000)
    assert context.registry.mark_leaving(report, context.now_ms, "peer")


@then('"{name}" is known to have started at {ms:d}')
def known_start(context: Any, name: str, ms: int) -> None:
    assert context.registry.get(name).started_ms == ms


@when('"{name}" is listed as draining')
def listed_as_draining(context: Any, name: str) -> None:
    started_ms = context.registry.get(name).started_ms
    draining = server(name, state=ServerState.DRAINING, started_ms=started_ms)
    put(context, draining)


@when('a peer reports that "{name}" is draining')
def peer_reports_draining(context: Any, name: str) -> None:
    started_ms = context.registry.get(name).started_ms
    report = LeavingReport(
        name, next_revision(context), was_removed=False, started_ms=started_ms
    )
    assert context.registry.mark_leaving(report, context.now_ms, "peer")


@when('the entry of "{name}" vanishes')
def entry_vanishes(context: Any, name: str) -> None:
    context.registry.remove(name, next_revision(context), context.now_ms)


@when('the store is unavailable for {ms:d} ms and the entry of "{name}" expires')
def entry_expires(context: Any, ms: int, name: str) -> None:
    context.registry.mark_store_unavailable(context.now_ms)
    context.now_ms += ms
    context.registry.mark_store_available(context.now_ms)
    context.registry.remove(name, next_revision(context), context.now_ms)


@when("the registry waits {ms:d} ms")
def registry_waits(context: Any, ms: int) -> None:
    context.now_ms += ms
    context.registry.expire(context.now_ms)


@when('"{name}" registers again')
def registers(context: Any, name: str) -> None:
    put(context, server(name))


@when('"{name}" registers at a new address')
def registers_at_new_address(context: Any, name: str) -> None:
    put(context, server(name, address="elsewhere:1"))


@when('another server answers a request at the address of "{name}"')
def another_server_answers(context: Any, name: str) -> None:
    listed = context.registry.get(name)
    context.registry.mark_misdirected(name)
    assert not context.registry.is_usable(listed)
    put(context, attrs.evolve(listed))


@when('the domain of "{name}" is unreachable')
def domain_unreachable(context: Any, name: str) -> None:
    context.registry.set_unreachable_domains(frozenset({f"domain-{name}"}))


@when("all domains are reachable")
def all_domains_reachable(context: Any) -> None:
    context.registry.set_unreachable_domains(frozenset())


@then('the ready servers are "{names}"')
def ready(context: Any, names: str) -> None:
    ready_ids = sorted(s.id for s in context.registry.ready(SERVICE))
    assert ready_ids == names.split(", "), ready_ids


@when('"{name}" has {count:d} requests in flight from this daemon')
def has_in_flight(context: Any, name: str, count: int) -> None:
    for _ in range(count):
        context.placement.record_sent(name, context.now_ms)


@when('a peer reports {count:d} requests in flight at "{name}"')
def peer_reports_in_flight(context: Any, count: int, name: str) -> None:
    context.placement.set_peer_loads("peer", {name: ServerLoad(count)}, context.now_ms)


@when('"{name}" fails {count:d} requests')
def fails(context: Any, name: str, count: int) -> None:
    for _ in range(count):
        context.placement.record_failure(name, context.now_ms, unreachable=False)


@then('"{name}" is chosen')
def chosen(context: Any, name: str) -> None:
    choice = context.placement.choose(context.registry.ready(SERVICE), context.now_ms)
    assert choice.id == name, choice


@given('a request that is assigned to "{name}"')
def assigned(context: Any, name: str) -> None:
    context.assigned_server = context.registry.get(name)
    assert context.registry.is_usable(context.assigned_server)


@when('"{name}" restarts under the same identifier')
def restarts(context: Any, name: str) -> None:
    previous = context.registry.get(name)
    started_ms = previous.started_ms + 1_000
    put(context, attrs.evolve(server(name), started_ms=started_ms))


@then('the request may not be sent to "{name}" anymore')
def may_not_be_sent(context: Any, name: str) -> None:
    assert context.assigned_server.id == name
    assert not context.registry.is_usable(context.assigned_server)


@when('a peer reports that "{name}" left at revision {revision:d}')
def peer_reports_left(context: Any, name: str, revision: int) -> None:
    report_leaving(context, name, revision_at(context, revision))


@when('the entry of "{name}" of revision {revision:d} is read as ready')
def old_entry_is_read(context: Any, name: str, revision: int) -> None:
    context.registry.put(server(name), revision_at(context, revision), context.now_ms)


@when('a listing of revision {revision:d} shows "{name}" as draining')
def listing_shows_draining(context: Any, name: str, revision: int) -> None:
    at = revision_at(context, revision)
    listed = [
        (attrs.evolve(s, state=ServerState.DRAINING), at)
        if s.id == name
        else (s, revision_at(context, 1))
        for s in context.registry.all()
    ]
    context.registry.replace(listed, at, context.now_ms)


@then(
    "a peer that hears its announcements for {count:d} heartbeats"
    ' sends nothing to "{name}"'
)
def peer_hears(context: Any, count: int, name: str) -> None:
    peer = ServerRegistry()
    first = revision_at(context, 1)
    peer.replace([(server(s), first) for s in ("s1", "s2")], first, context.now_ms)
    for _ in range(count):
        for report in context.registry.next_announcement(context.now_ms):
            peer.mark_leaving(report, context.now_ms, "peer")
    ready_ids = [s.id for s in peer.ready(SERVICE)]
    assert name not in ready_ids, ready_ids
    assert len(ready_ids) == 1, ready_ids


@when("{count:d} more servers leave")
def more_servers_leave(context: Any, count: int) -> None:
    for number in range(count):
        put(context, server(f"other-{number}", state=ServerState.DRAINING))


@when('a peer that saw no outage reports that the entry of "{name}" was removed')
def peer_reports_removed(context: Any, name: str) -> None:
    report = LeavingReport(
        name, revision_at(context, context.revision), was_removed=True
    )
    context.registry.mark_leaving(report, context.now_ms, "peer")


@when("the store was unavailable for {ms:d} ms")
def store_was_unavailable(context: Any, ms: int) -> None:
    context.registry.mark_store_unavailable(context.now_ms)
    context.now_ms += ms
    context.registry.mark_store_available(context.now_ms)


@given("a peer that the store serves")
def peer_with_store(context: Any) -> None:
    context.peer = ServerRegistry()
    first = revision_at(context, 1)
    context.peer.mark_store_available(context.now_ms)
    context.peer.replace(
        [(s, first) for s in context.registry.all()], first, context.now_ms
    )
    context.peer_is_served = True


@when("the store begins to refuse this daemon")
def store_refuses(context: Any) -> None:
    context.registry.mark_store_unavailable(context.now_ms)


@when('the entry of "{name}" vanishes for the peer')
def entry_vanishes_for_peer(context: Any, name: str) -> None:
    context.peer.remove(name, next_revision(context), context.now_ms)


@when("{ms:d} ms pass for both")
def time_passes(context: Any, ms: int) -> None:
    """Let the peer read the store and send its heartbeats meanwhile."""
    end_ms = context.now_ms + ms
    while context.now_ms < end_ms:
        context.now_ms += 100
        if context.peer_is_served:
            context.peer.mark_store_available(context.now_ms)
        for registry in (context.peer, context.registry):
            registry.expire(context.now_ms)
        for report in context.peer.next_announcement(context.now_ms):
            context.registry.mark_leaving(report, context.now_ms, "peer")


@when("the store begins to refuse the peer, and {ms:d} ms pass for both")
def store_refuses_peer(context: Any, ms: int) -> None:
    context.peer_is_served = False
    context.peer.mark_store_unavailable(context.now_ms)
    time_passes(context, ms)


@when(
    '"{name}" registers again at the peer after {first_ms:d} ms, and {ms:d} ms pass'
    " for both"
)
def registers_at_peer(context: Any, name: str, first_ms: int, ms: int) -> None:
    time_passes(context, first_ms)
    context.peer.put(server(name), next_revision(context), context.now_ms)
    time_passes(context, ms)


@when('"{name}" says in an answer that it leaves')
def says_leaving(context: Any, name: str) -> None:
    listed = context.registry.get(name)
    assert context.registry.mark_leaving_by_answer(listed, context.now_ms)
    assert not context.registry.mark_leaving_by_answer(listed, context.now_ms)


@when('"{name}" says to the peer that it leaves')
def says_leaving_to_peer(context: Any, name: str) -> None:
    listed = context.peer.get(name)
    assert context.peer.mark_leaving_by_answer(listed, context.now_ms)


@when('the answer to the request says that "{name}" leaves')
def says_leaving_late(context: Any, name: str) -> None:
    assert context.assigned_server.id == name
    context.registry.mark_leaving_by_answer(context.assigned_server, context.now_ms)


@when('"{name}" is listed again as ready after {ms:d} ms')
def listed_again(context: Any, name: str, ms: int) -> None:
    context.now_ms += ms
    context.registry.next_announcement(context.now_ms)
    started_ms = context.registry.get(name).started_ms
    put(context, server(name, started_ms=started_ms))


@when('"{name}" wants nothing for {ms:d} ms')
def wants_nothing(context: Any, name: str, ms: int) -> None:
    context.registry.pause(context.registry.get(name), context.now_ms + ms)
