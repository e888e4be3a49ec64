"""Steps on the memory of daemons."""

import http.client
import json
import socket
import threading
import time
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import anyio
import httpx
from behave import given, then, when
from platform_steps import TEAM_BY_KEY, Site
from result import Err

from cowsliphitch.core.clock import Clock
from cowsliphitch.core.overload.buffers import BufferBudget
from cowsliphitch.platform.store.client import KeyValueClient
from cowsliphitch.standins.site import document, put

MB = 1_000_000


def start_site(context: Any, memory_mb: int, desk_count: int) -> Site:
    site = context.site = Site(False, ("v1",), daemon_count=1, desk_count=desk_count)
    context.add_cleanup(site.close)
    site.memory_mb = memory_mb
    site.start()
    context.statuses = Counter()
    return site


@given(
    'a site with a daemon that has {mb:d} MB of memory and a server "{name}" that sends'
    " without end"
)
def start_with_endless_server(context: Any, mb: int, name: str) -> None:
    site = start_site(context, mb, desk_count=2)
    site.servers[name].mode = "endless"


@given("a site with a daemon that has {mb:d} MB of memory and bodies up to {body:d} MB")
def start_with_large_bodies(context: Any, mb: int, body: int) -> None:
    site = start_site(context, mb, desk_count=2)
    content = json.loads(document(2, TEAM_BY_KEY))
    content["limits"]["max_body_bytes"] = body * MB
    put(site.store, "op/config", json.dumps(content))
    time.sleep(1)


def headers_of(name: str) -> dict[str, str]:
    return {
        "host": "a.example",
        "cowsliphitch-request-id": name,
        "cowsliphitch-credential": "key-red",
        "cowsliphitch-deadline-ms": "1400",
    }


def call(context: Any, path: str, name: str) -> str:
    port = context.site.daemons[0]["callers"]
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=4)
    try:
        conn.request("POST", path, headers=headers_of(name))
        answer = conn.getresponse()
        answer.read()
        return str(answer.status)
    except (OSError, http.client.HTTPException) as exc:
        return type(exc).__name__
    finally:
        conn.close()


def call_generations(context: Any, until_s: float) -> None:
    """Send requests of another service all the while."""
    headers = {
        "cowsliphitch-model": "m",
        "cowsliphitch-token-usage": "100,40",
        "cowsliphitch-prompt-prefix": "aa:60,bb:40",
        "cowsliphitch-piece-key": "k",
        "cowsliphitch-pieces": "1,1",
    }
    context.others = []
    while time.monotonic() < until_s:
        answer = context.site.call("/generation/1", headers)
        context.others.append(answer.status_code)
        time.sleep(0.1)


@when("{count:d} lookups go to it at once again and again for {s:d} s")
def send_lookups(context: Any, count: int, s: int) -> None:
    until_s = time.monotonic() + s

    def send(number: int) -> None:
        while time.monotonic() < until_s:
            name = f"lookup-{number}-{time.monotonic_ns()}"
            context.statuses[call(context, "/lookup/1", name)] += 1

    run_beside(context, until_s, [lambda n=n: send(n) for n in range(count)])


def run_beside(context: Any, until_s: float, actions: list[Any]) -> None:
    threads = [threading.Thread(target=action, daemon=True) for action in actions]
    for thread in threads:
        thread.start()
    call_generations(context, until_s)
    for thread in threads:
        thread.join(10)


@when("{count:d} callers send {size:d} MB each and stop before the last byte")
def send_bodies(context: Any, count: int, size: int) -> None:
    port = context.site.daemons[0]["callers"]
    until_s = time.monotonic() + 4

    def send(number: int) -> None:
        head = "".join(f"{k}: {v}\r\n" for k, v in headers_of(f"b{number}").items())
        request = (
            f"POST /lookup/1 HTTP/1.1\r\n{head}content-length: {size * MB}\r\n\r\n"
        )
        try:
            with socket.create_connection(("127.0.0.1", port)) as sock:
                sock.sendall(request.encode() + b"x" * (size * MB - 1))
                time.sleep(max(0.0, until_s - time.monotonic()))
        except OSError as exc:
            context.statuses[type(exc).__name__] += 1

    run_beside(context, until_s, [lambda n=n: send(n) for n in range(count)])


@then("the daemon used at most {mb:d} MB")
def bounded_memory(context: Any, mb: int) -> None:
    process = context.site.daemons[0]["process"]
    assert process.poll() is None, process.poll()
    status = Path(f"/proc/{process.pid}/status").read_text()
    peak_kb = int(status.partition("VmHWM:")[2].split()[0])
    assert peak_kb * 1_024 <= mb * MB, peak_kb


@then("other callers were answered 200 all the while")
def others_answered(context: Any) -> None:
    assert len(context.others) >= 10, context.others
    assert set(context.others) == {200}, Counter(context.others)


@then("each of the lookups was answered 200 or 502")
def lookups_answered(context: Any) -> None:
    assert set(context.statuses) <= {"200", "502"}, context.statuses
    assert context.statuses["200"], context.statuses


@given("a budget of {limit:d} bytes with buffers of {sizes} bytes")
def make_budget(context: Any, limit: int, sizes: str) -> None:
    context.budget = BufferBudget(limit)
    context.buffers = [context.budget.open() for _ in sizes.split(",")]
    for buffer, size in zip(context.buffers, sizes.split(","), strict=True):
        assert buffer.resize(int(size))


@when("another buffer grows to {size:d} bytes")
def grow_buffer(context: Any, size: int) -> None:
    context.buffers.append(context.budget.open())
    context.buffers[-1].grow(size)


@when("number {number:d} is pinned and another buffer grows to {size:d} bytes")
def pin_and_grow(context: Any, number: int, size: int) -> None:
    context.buffers[number - 1].pin()
    grow_buffer(context, size)


@then("{which} is given up and {used:d} bytes are used once it is closed")
def check_given_up(context: Any, which: str, used: int) -> None:
    kept = [buffer.grow(0) for buffer in context.buffers]
    index = {"none": None, "the other": 2, "number 2": 1}[which]
    assert [n for n, is_kept in enumerate(kept) if not is_kept] == (
        [] if index is None else [index]
    )
    if index is not None:
        context.buffers[index].close()
    assert context.budget.used == used, context.budget.used


@when("the store's client reads an answer without end")
def read_endless_answer(context: Any) -> None:
    context.sent = 0

    async def content() -> AsyncIterator[bytes]:
        while context.sent < 100 * MB:
            context.sent += 65_536
            yield b" " * 65_536

    async def main() -> None:
        kv = KeyValueClient("http://127.0.0.1:1", Clock())
        await kv.close()
        transport = httpx.MockTransport(
            lambda _req: httpx.Response(200, content=content())
        )
        kv._http = httpx.AsyncClient(base_url="http://x", transport=transport)
        context.result = await kv.scan("")
        await kv.close()

    anyio.run(main)


@then("the call fails after at most {mb:d} MB")
def call_failed(context: Any, mb: int) -> None:
    assert isinstance(context.result, Err), context.result
    assert context.sent <= mb * MB, context.sent


@then("a head of {size:d} bytes is {taken}")
def check_head(context: Any, size: int, taken: str) -> None:
    assert context.budget.has_room_for_head(size) == (taken == "taken")
