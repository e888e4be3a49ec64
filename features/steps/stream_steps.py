"""Steps on the records of streams, without I/O."""

import itertools
from typing import Any

from behave import given, then, when

from cowsliphitch.core.fleet.freshness import FleetFreshness
from cowsliphitch.core.servers.models import Server, ServerState
from cowsliphitch.core.streams.models import KnownOrigin, StreamOrigin, UnknownOrigin
from cowsliphitch.core.streams.registry import StreamRegistry
from cowsliphitch.gateway import stream_records

SERVICE = "engine"
INTERVAL_MS = 125


def servers_of(versions: str) -> list[Server]:
    return [
        Server(v, SERVICE, f"{v}:1", "domain", ServerState.READY, 4, version=v)
        for v in versions.split(", ")
    ]


@given('daemons "{names}" that see the versions "{versions}"')
def daemons_with_versions(context: Any, names: str, versions: str) -> None:
    context.now_ms = 1_000
    context.daemons = {name: StreamRegistry() for name in names.split(", ")}
    for registry in context.daemons.values():
        registry.observe_servers(servers_of(versions), context.now_ms)


@when('stream "{stream}" begins with "{version}" at daemon "{name}"')
def stream_begins(context: Any, stream: str, version: str, name: str) -> None:
    origin = StreamOrigin(SERVICE, version)
    context.daemons[name].record_begun([stream], origin, context.now_ms)


@when('{count:d} streams begin with "{version}" at daemon "{name}"')
def streams_begin(context: Any, count: int, version: str, name: str) -> None:
    for number in range(count):
        stream_begins(context, f"s{number}", version, name)
    context.last_stream = f"s{count - 1}"


@when('daemon "{name}" sends a heartbeat to "{peer}"')
def send_streams(context: Any, name: str, peer: str) -> None:
    groups = context.daemons[name].next_announcement(INTERVAL_MS, context.now_ms)
    context.daemons[peer].learn(groups, name, context.now_ms)


@when('{ms:d} ms pass, and all daemons see the versions "{versions}"')
def see_versions(context: Any, ms: int, versions: str) -> None:
    context.now_ms += ms
    for registry in context.daemons.values():
        registry.observe_servers(servers_of(versions), context.now_ms)


@when(
    'all daemons see the versions "{versions}", and tell each other'
    " each {step:d} ms for {ms:d} ms"
)
def tell_each_other(context: Any, versions: str, step: int, ms: int) -> None:
    for _ in range(0, ms, step):
        see_versions(context, step, versions)
        for sender, receiver in itertools.permutations(context.daemons.values(), 2):
            receiver.learn_versions(sender.recent_origins(), context.now_ms)


@when(
    'all daemons are replaced by "{name}", which sees the versions "{versions}" and'
    ' reads what "{writer}" wrote'
)
def read_written(context: Any, name: str, versions: str, writer: str) -> None:
    before = context.daemons[writer]
    content = stream_records.StreamContent(
        before.recent_origins(), before.own_since(0, context.now_ms)
    )
    read = stream_records.decode(stream_records.encode(content)).ok_value
    assert set(read.versions) == set(content.versions), read
    assert read.groups == content.groups, read
    context.daemons = {name: StreamRegistry()}
    see_versions(context, 3_000, versions)
    context.daemons[name].learn_versions(read.versions, context.now_ms)
    context.daemons[name].learn(read.groups, "store", context.now_ms)


@then('daemon "{name}" takes stream "{stream}" for one of "{version}" by "{source}"')
def takes_stream_for(
    context: Any, name: str, stream: str, version: str, source: str
) -> None:
    lookup = context.daemons[name].find(stream, SERVICE, context.now_ms)
    assert isinstance(lookup, KnownOrigin), lookup
    assert lookup.origin == StreamOrigin(SERVICE, version), lookup
    assert lookup.source == source, lookup


@then('daemon "{name}" does not know stream "{stream}"')
def does_not_know(context: Any, name: str, stream: str) -> None:
    lookup = context.daemons[name].find(stream, SERVICE, context.now_ms)
    assert isinstance(lookup, UnknownOrigin), lookup


@then('daemon "{name}" announces no stream')
def announces_nothing(context: Any, name: str) -> None:
    registry = context.daemons[name]
    assert not registry.next_announcement(INTERVAL_MS, context.now_ms)
    assert not registry.own_since(0, context.now_ms)


@then('daemon "{name}" exports streams')
def exports(context: Any, name: str) -> None:
    assert context.daemons[name].exporting_services(context.now_ms) == (SERVICE,)


@then('daemon "{name}" does not export streams')
def does_not_export(context: Any, name: str) -> None:
    assert not context.daemons[name].exporting_services(context.now_ms)


@then(
    'daemon "{name}" announces {count:d} streams, the latest among them, for {ms:d} ms'
)
def announces_latest(context: Any, name: str, count: int, ms: int) -> None:
    registry, peer = context.daemons[name], StreamRegistry()
    for passed_ms, announced in ((0, count), (ms, count), (ms + 1, 0)):
        now = context.now_ms + passed_ms
        groups = registry.next_announcement(INTERVAL_MS, now)
        assert sum(len(group.streams) for group in groups) == announced, groups
        peer.learn(groups, name, now)
    lookup = peer.find(context.last_stream, SERVICE, context.now_ms)
    assert isinstance(lookup, KnownOrigin), lookup


@then('daemon "{name}" has {count:d} records')
def has_records(context: Any, name: str, count: int) -> None:
    assert len(context.daemons[name]._records) == count


@given("the key of a daemon's streams with {content}")
def key_with(context: Any, content: str) -> None:
    context.content = content


@then("the key is not valid")
def key_is_invalid(context: Any) -> None:
    assert stream_records.decode(context.content).is_err()


@given('a daemon that hears "{peers}" with fresh views of the store')
def hears_peers(context: Any, peers: str) -> None:
    context.now_ms, context.freshness = 1_000, FleetFreshness()
    context.peers = peers.split(", ")
    hear(context, peers, 1_000, grow_old=False)


def hear(context: Any, peers: str, ms: int, grow_old: bool) -> None:
    end_ms, begin_ms = context.now_ms + ms, context.now_ms
    while context.now_ms < end_ms:
        context.now_ms += INTERVAL_MS
        age_ms = context.now_ms - begin_ms if grow_old else 100
        for peer in peers.split(", "):
            context.freshness.hear(peer, age_ms, INTERVAL_MS, context.now_ms)


@when('it hears "{peers}" for {ms:d} ms with fresh views')
def hears_fresh(context: Any, peers: str, ms: int) -> None:
    hear(context, peers, ms, grow_old=False)


@when('it hears "{peers}" for {ms:d} ms with views that grow old')
def hears_old(context: Any, peers: str, ms: int) -> None:
    hear(context, peers, ms, grow_old=True)


@when('it hears "{peers}" once')
def hears_once(context: Any, peers: str) -> None:
    hear(context, peers, 1, grow_old=False)


@when("it stands still for {ms:d} ms")
def stands_still(context: Any, ms: int) -> None:
    context.now_ms += ms


@then("its knowledge is current")
def is_current(context: Any) -> None:
    assert context.freshness.is_current(context.peers, context.now_ms)


@then("its knowledge is not current")
def is_not_current(context: Any) -> None:
    assert not context.freshness.is_current(context.peers, context.now_ms)


@then('daemon "{name}" does not know stream "{stream}" while its knowledge is old')
def does_not_know_while_old(context: Any, name: str, stream: str) -> None:
    lookup = context.daemons[name].find(stream, SERVICE, context.now_ms, False)
    assert lookup == UnknownOrigin(("v1",), is_current=False), lookup
