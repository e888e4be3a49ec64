"""Steps on requests at servers, and which of them were lost with a restart."""

from typing import Any

import attrs
from behave import given, then, when

from cowsliphitch.core.quarantine.exposures import ExposureTable
from cowsliphitch.core.revisions import Revision
from cowsliphitch.core.servers.models import Server, ServerState
from cowsliphitch.core.servers.registry import ServerRegistry

SERVER = Server("s1", "service", "a:1", "domain", ServerState.READY, 4, started_ms=100)


def list_servers(context: Any, *servers: Server) -> None:
    context.revision = Revision(1, context.revision.number + 1)
    context.registry.replace(
        ((server, context.revision) for server in servers),
        context.revision,
        context.now_ms,
    )


@given('a request that was sent to the server "s1" at {ms:d} ms')
def sent(context: Any, ms: int) -> None:
    context.exposures, context.registry = ExposureTable(), ServerRegistry()
    context.now_ms, context.revision = ms, Revision(1, 1)
    list_servers(context, SERVER)
    context.exposure = context.exposures.begin("digest", ("part",), SERVER, ms, ms)


@when("it hangs")
def hangs(context: Any) -> None:
    context.now_ms = 4_000


@when("it is given up at {ms:d} ms")
def is_given_up(context: Any, ms: int) -> None:
    context.exposures.give_up(context.exposure, ms, is_silent=True)
    context.now_ms = 4_000


@when("its connection is lost at {ms:d} ms")
def connection_is_lost(context: Any, ms: int) -> None:
    context.exposures.give_up(context.exposure, ms, is_silent=False)
    context.now_ms = ms


@when("another is sent on a connection of {connected_ms:d} ms and {fate}")
def another_is_sent(context: Any, connected_ms: int, fate: str) -> None:
    context.other = context.exposures.begin(
        "digest", (), SERVER, connected_ms, connected_ms
    )
    if fate == "is lost, too":
        context.exposures.give_up(context.other, context.now_ms, is_silent=False)


@then("{count:d} crashes lost requests, and {moved:d} request is at the later lifetime")
def count_crashes(context: Any, count: int, moved: int) -> None:
    (lifetime,) = context.exposures.take_lost(context.registry, context.now_ms)
    assert len(list(filter(None, lifetime.crashes))) == count, lifetime
    assert len(context.exposures) == moved
    assert not moved or context.other.server.started_ms == 200
    # Its loss shows once the server starts again.
    list_servers(context, attrs.evolve(SERVER, started_ms=300))
    later = take_lost(context)
    assert later == ([context.other] if moved else []), later


@when('a crash of "s1" was detected at {ms:d} ms')
def crash_was_detected(context: Any, ms: int) -> None:
    context.crashed_ms = ms


@then("no request was lost, and it is at the later lifetime")
def is_at_later_lifetime(context: Any) -> None:
    for _ in range(2):
        assert not context.exposures.take_lost(
            context.registry, context.now_ms, lambda _server: context.crashed_ms
        )
    assert context.exposure.server.started_ms == 200 and len(context.exposures) == 1
    list_servers(context, attrs.evolve(SERVER, started_ms=300))
    assert take_lost(context) == [context.exposure]


@when("it is answered")
def is_answered(context: Any) -> None:
    context.exposures.resolve(context.exposure)


@when('"s1" is listed with a later start')
def starts_again(context: Any) -> None:
    list_servers(context, attrs.evolve(SERVER, started_ms=200))


@when('"s1" is listed with the same start')
def is_listed_again(context: Any) -> None:
    list_servers(context)
    list_servers(context, SERVER)


@when('the entry of "s1" expires')
def expires(context: Any) -> None:
    list_servers(context)


@when('another server is listed later at the address of "s1"')
def is_replaced(context: Any) -> None:
    list_servers(context, attrs.evolve(SERVER, id="s2", started_ms=200))


@when('another server was listed before at the address of "s1"')
def replaced_another(context: Any) -> None:
    list_servers(context, attrs.evolve(SERVER, id="s2", started_ms=50))


@when('"s1" announces that it leaves, and is listed with a later start')
def leaves_and_returns(context: Any) -> None:
    list_servers(context, attrs.evolve(SERVER, state=ServerState.DRAINING))
    assert not context.exposures.take_lost(context.registry, context.now_ms)
    starts_again(context)


@when('"s1" sends bytes at {ms:d} ms on a connection of {connected_ms:d} ms')
def sends_bytes(context: Any, ms: int, connected_ms: int) -> None:
    context.exposures.hear(SERVER, connected_ms, ms)


@when("{s:d} s pass")
def pass_time(context: Any, s: int) -> None:
    context.now_ms += s * 1_000


def take_lost(context: Any) -> list[Any]:
    lost = context.exposures.take_lost(context.registry, context.now_ms)
    return [exposure for lifetime in lost for exposure in lifetime.exposures]


@then("it was lost")
def was_lost(context: Any) -> None:
    assert take_lost(context) == [context.exposure]
    assert context.exposure.is_resolved and not len(context.exposures)


@then("it is still open")
def is_open(context: Any) -> None:
    assert not take_lost(context)
    assert not context.exposure.is_resolved and len(context.exposures) == 1


@then("it is forgotten")
def is_forgotten(context: Any) -> None:
    assert not take_lost(context)
    assert context.exposure.is_resolved and not len(context.exposures)


@then("it is reported no more")
def is_not_reported(context: Any) -> None:
    assert not take_lost(context)


@given('{count:d} requests that were sent to the server "s1" at {ms:d} ms and given up')
def many_given_up(context: Any, count: int, ms: int) -> None:
    context.exposures = ExposureTable()
    for number in range(count):
        exposure = context.exposures.begin(str(number), (), SERVER, ms, ms)
        context.exposures.give_up(exposure, ms, is_silent=True)


@then("{count:d} of them are still open")
def are_open(context: Any, count: int) -> None:
    assert len(context.exposures) == count, len(context.exposures)
