"""Steps on the limits of the connections between daemons."""

import asyncio
import contextlib
from typing import Any, Final
from unittest import mock

import anyio
from behave import then, when

from cowsliphitch.peers.fleet import const
from cowsliphitch.peers.fleet.guard import FrameLimits, GuardedServer
from cowsliphitch.standins.processes import free_port

PREFACE: Final = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
TYPES: Final = {"calls": 0x0, "pings": 0x6}


def frames(count: int, kind: str, size: int) -> bytes:
    head = size.to_bytes(3, "big") + bytes([TYPES[kind], 0, 0, 0, 0, 1])
    return (head + b"x" * size) * count


@when("a connection sends {count:d} {kind} of {size:d} bytes, {part:d} bytes at a time")
def send_frames(context: Any, count: int, kind: str, size: int, part: int) -> None:
    limits = FrameLimits()
    data = PREFACE + frames(count, kind, size)
    parts = [data[at : at + part] for at in range(0, len(data), part)]
    context.is_accepted = all(limits.accepts(part, 1_500) for part in parts)


@when("a connection sends {count:d} pings of 8 bytes in each of {seconds:d} seconds")
def send_each_second(context: Any, count: int, seconds: int) -> None:
    limits = FrameLimits()
    limits.accepts(PREFACE, 0)
    data = frames(count, "pings", 8)
    context.is_accepted = all(
        limits.accepts(data, second * 1_000) for second in range(seconds)
    )


@then("they are {accepted}")
def check_accepted(context: Any, accepted: str) -> None:
    assert context.is_accepted == (accepted == "accepted")


@when(
    "{count:d} connections come one after the other at a limit of {limit:d} open ones"
)
def connect_over_limit(context: Any, count: int, limit: int) -> None:
    async def main() -> None:
        port = free_port()
        server = GuardedServer([])
        await server.start("127.0.0.1", port)
        kept = [await asyncio.open_connection("127.0.0.1", port) for _ in range(limit)]
        for _ in range(count):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            with contextlib.suppress(ConnectionResetError):
                assert await reader.read() == b""
            writer.close()
        context.kept_handlers = len(server._handlers)
        context.connections = len(server.transports)
        for _, writer in kept:
            writer.close()
        server.close()
        await server.wait_closed()

    with mock.patch.object(const, "MAX_CONNECTIONS", limit):
        anyio.run(main)


@then(
    "the server keeps at most {handlers:d} handlers of calls, and {count:d} connections"
)
def check_kept(context: Any, handlers: int, count: int) -> None:
    assert context.kept_handlers <= handlers, context.kept_handlers
    assert context.connections == count, context.connections
