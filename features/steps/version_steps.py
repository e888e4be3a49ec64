"""Steps on streams whose engines have several software versions."""

import itertools
import signal
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import attrs
import httpx
from behave import given, then, when
from platform_steps import PROMPT_HEADERS, set_up_site

from cowsliphitch.standins.processes import wait_for
from cowsliphitch.standins.site import EVENT_COUNT, FIRST_VERSION, put

GENERATION_HEADERS = PROMPT_HEADERS | {"cowsliphitch-pieces": "1,1"}

# Longer than it takes to tell the peers and the store which version began a stream.
SPREAD_S = 0.6

# After it no watch of a daemon that stands still waits in the store.
WATCH_S = 2.2


@attrs.frozen
class StreamPart:
    """What a caller received of a stream in one attempt.

    :param events: text of each event by its number
    :param is_whole: the answer ended with the stream
    """

    request_id: str
    status: int
    events: dict[int, str]
    is_whole: bool
    took_s: float


def receive_stream(
    context: Any, daemon: int, headers: dict[str, str] | None = None, body: str = ""
) -> StreamPart:
    site = context.site
    request_id = f"stream-{next(context.stream_numbers)}"
    defaults = GENERATION_HEADERS | {
        "host": "a.example",
        "cowsliphitch-request-id": request_id,
        "cowsliphitch-credential": "key-red",
        "cowsliphitch-deadline-ms": "5000",
    }
    url = f"http://127.0.0.1:{site.daemons[daemon]['callers']}/generation/1"
    text, is_whole, started_s = "", False, time.monotonic()
    with httpx.stream(
        "POST", url, headers=defaults | (headers or {}), content=body, timeout=8.0
    ) as answer:
        try:
            for part in answer.iter_text():
                text += part
            is_whole = answer.status_code == 200
        except httpx.RemoteProtocolError:
            pass
    took_s = time.monotonic() - started_s
    lines = [event.split("\n") for event in text.split("\n\n") if event]
    events = {int(number[4:]): data[6:] for number, data in lines}
    return StreamPart(request_id, answer.status_code, events, is_whole, took_s)


def take_up(context: Any, first: StreamPart, daemon: int) -> StreamPart:
    """Take a stream up again after its last event."""
    headers = {"last-event-id": str(max(first.events)), "resumes": first.request_id}
    return receive_stream(context, daemon, headers)


@given('a site whose engines have the versions "{versions}"')
def site_with_versions(context: Any, versions: str) -> None:
    context.stream_numbers = itertools.count(1)
    # Attempts of each stream, the first one first.
    context.streams = []
    set_up_site(context, resumable=True, engine_versions=versions.split(", "))


@when('"{name}" interrupts its streams and {count:d} generations are requested')
def interrupt(context: Any, name: str, count: int) -> None:
    context.site.servers[name].mode = "cut"
    context.streams = [[receive_stream(context, n % 2)] for n in range(count)]
    assert context.site.servers[name].executed, f"{name} got no request"


@given('a stream that "{name}" broke off')
def broken_stream(context: Any, name: str) -> None:
    """Have an engine break a stream off while no other one of its version runs."""
    servers = context.site.servers
    version = servers[name].version
    others = [
        s for s in servers.values() if s.service == "engine" and s.version == version
    ]
    for server in others:
        server.mode = "cut"
    for _ in range(40):
        context.first = receive_stream(context, 0)
        if not context.first.is_whole and context.first.request_id in (
            servers[name].executed
        ):
            break
    else:
        raise AssertionError(f"{name} broke off no stream")
    for server in others:
        server.mode = "good"
    time.sleep(SPREAD_S)


@when("nothing else happens")
def nothing_happens(context: Any) -> None:
    pass


@when("the daemon that began the stream is killed")
def kill_first_daemon(context: Any) -> None:
    process = context.site.daemons[0]["process"]
    process.kill()
    process.wait()


@when("the store stops answering")
def stop_store(context: Any) -> None:
    store = context.site.processes[0]
    store.send_signal(signal.SIGSTOP)
    time.sleep(1)


@when("all daemons are killed at once and start again")
def kill_all_daemons(context: Any) -> None:
    for daemon in context.site.daemons:
        daemon["process"].kill()
    for number in range(len(context.site.daemons)):
        context.site.restart_daemon(number)


@when("all engines get a new identifier and the same version")
def replace_engines(context: Any) -> None:
    site = context.site
    for name, server in list(site.servers.items()):
        if server.service != "engine":
            continue
        put(site.store, f"servers/{name}", None)
        server.id = f"{name}-again"
        put(site.store, f"servers/{server.id}", server.entry())
    time.sleep(SPREAD_S)


@when('the entry of "{name}" is removed')
def remove_entry(context: Any, name: str) -> None:
    put(context.site.store, f"servers/{name}", None)
    time.sleep(SPREAD_S)


@when("the stream is taken up again {count:d} times through {daemons}")
def take_up_again(context: Any, count: int, daemons: str) -> None:
    numbers = {"both daemons": (0, 1), "the other daemon": (1,)}[daemons]
    choices = itertools.islice(itertools.cycle(numbers), count)
    context.streams = [
        [context.first, take_up(context, context.first, daemon)] for daemon in choices
    ]


@when(
    "the stream is taken up again, breaks off once more, and is taken up a third time"
)
def take_up_twice(context: Any) -> None:
    servers, first = context.site.servers, context.first
    version = servers["engine-1"].version
    for server in servers.values():
        if server.service == "engine" and server.version == version:
            server.mode, server.cut_after = "cut", max(first.events) + 1
    second = take_up(context, first, 1)
    assert not second.is_whole and second.events, second
    for server in servers.values():
        server.mode = "good"
    time.sleep(SPREAD_S)
    joined = attrs.evolve(first, events=first.events | second.events)
    context.streams = [
        [first, second, take_up(context, joined, daemon)] for daemon in (0, 1, 1, 0)
    ]


@when(
    'a daemon stands still while "{name}" becomes "{version}" and breaks a stream off'
)
def stand_still(context: Any, name: str, version: str) -> None:
    site, server = context.site, context.site.servers[name]
    site.daemons[1]["process"].send_signal(signal.SIGSTOP)
    time.sleep(WATCH_S)
    server.version, server.crashes = version, server.crashes + 1
    put(site.store, f"servers/{name}", server.entry())
    time.sleep(SPREAD_S)
    others = [s for s in site.servers.values() if s.service == server.service]
    for other in others:
        other.mode = "good" if other is server else "full"
    broken_stream(context, name)
    for other in others:
        other.mode = "good"


@when(
    "the stream is taken up {count:d} times at the moment at which the daemon goes on"
)
def take_up_after_pause(context: Any, count: int) -> None:
    with ThreadPoolExecutor(count) as pool:
        parts = [pool.submit(take_up, context, context.first, 1) for _ in range(count)]
        time.sleep(SPREAD_S)
        context.site.daemons[1]["process"].send_signal(signal.SIGCONT)
    context.streams = [[context.first, part.result()] for part in parts]


@when(
    "a stream that nobody knows is taken up again {count:d} times through both daemons"
)
def take_up_unknown(context: Any, count: int) -> None:
    context.first = StreamPart("unknown", 200, {1: "event", 2: "event"}, False, 0.0)
    take_up_again(context, count, "both daemons")


@then("no stream has events of two versions")
def check_versions(context: Any) -> None:
    for parts in context.streams:
        texts = {text for part in parts for text in part.events.values()}
        assert len(texts) == 1, parts


@then("every stream is whole")
def check_whole(context: Any) -> None:
    for parts in context.streams:
        numbers = [number for part in parts for number in part.events]
        assert parts[-1].is_whole, parts
        assert numbers == list(range(1, EVENT_COUNT + 1)), parts


@then('streams of "{version}" broke off after {count:d} events')
def check_broken(context: Any, version: str, count: int) -> None:
    text = "event" if version == FIRST_VERSION else f"event {version}"
    parts = [parts[0] for parts in context.streams if not parts[0].is_whole]
    assert parts, "no stream broke off"
    assert all(list(part.events.values()) == [text] * count for part in parts), parts


@then("every take-up was refused with {status:d} within {ms:d} ms")
def check_refused(context: Any, status: int, ms: int) -> None:
    for parts in context.streams:
        assert parts[-1].status == status and not parts[-1].events, parts
        assert parts[-1].took_s * 1_000 <= ms, parts
    wait_for(
        "the daemons are ready",
        lambda: context.site.status(context.site.daemons[0]) == 200,
    )
