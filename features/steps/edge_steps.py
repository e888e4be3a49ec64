"""Steps on callers' connections, over real sockets on the loopback address."""

import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from anyio.abc import SocketStream
from behave import given, then, when

from cowsliphitch.callers.edge.models import EdgeRequest, Reply
from cowsliphitch.callers.edge.server import EdgeServer
from cowsliphitch.core.clock import Clock
from cowsliphitch.core.deployment.models import CallerLimits
from cowsliphitch.standins.processes import free_port

HOST = b"Host: a.example\r\n"
HEADER_TIMEOUT_MS = 400
READ_TIMEOUT_S = 3.0


def chunked(size: int) -> bytes:
    parts = b"".join(b"64\r\n" + b"x" * 100 + b"\r\n" for _ in range(size // 100))
    head = b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n"
    return head + parts + b"0\r\n\r\n"


def sized(size: int) -> bytes:
    head = b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: %d\r\n\r\n" % size
    return head + b"x" * size


PLAIN_REQUEST = b"GET /0 HTTP/1.1\r\n" + HOST + b"\r\n"
REQUESTS = {
    "both a content-length and a transfer-encoding": (
        b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 5\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\n"
    ),
    "two content-lengths": (
        b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 5\r\n"
        b"Content-Length: 6\r\n\r\nhello!"
    ),
    "two hosts": b"GET / HTTP/1.1\r\n" + HOST + b"Host: b.example\r\n\r\n",
    "no host": b"GET / HTTP/1.1\r\n\r\n",
    "an absolute target": b"GET http://a.example/ HTTP/1.1\r\n" + HOST + b"\r\n",
    "a head of 4000 bytes": (
        b"GET / HTTP/1.1\r\n" + HOST + b"X: " + b"x" * 4_000 + b"\r\n\r\n"
    ),
    "a body of 1500 bytes by length": sized(1_500),
    "a body of 1500 bytes in chunks": chunked(1_500),
    "a body of 900 bytes in chunks": chunked(900),
    "a head that stops in the middle": b"GET / HTTP/1.1\r\nHos",
    "bytes that are not HTTP": b"\x16\x03\x01 hello\r\n\r\n",
    "a request": PLAIN_REQUEST,
}


class Edge:
    """Edge server with a given handler; records the requests that the handler gets."""

    def __init__(self, handler: Any, limits: CallerLimits) -> None:
        self.port = free_port()
        self.requests: list[EdgeRequest] = []
        self.cancelled_ms: int | None = None
        self.clock = Clock()
        self._handler = handler
        self.server = EdgeServer(
            f"127.0.0.1:{self.port}", self._handle, lambda: limits, 100, self.clock
        )

    async def _handle(self, req: EdgeRequest, reply: Reply) -> None:
        self.requests.append(req)
        try:
            await self._handler(req, reply)
        except anyio.get_cancelled_exc_class():
            self.cancelled_ms = self.clock.now_ms()
            raise

    def run(self, call: Callable[[SocketStream], Awaitable[Any]]) -> Any:
        """Run the server while ``call`` uses a connection to it."""

        async def serve_and_call() -> Any:
            async with anyio.create_task_group() as group:
                await group.start(self.server.run)
                async with await anyio.connect_tcp("127.0.0.1", self.port) as stream:
                    result = await call(stream)
                await anyio.sleep(0.15)
                group.cancel_scope.cancel()
            return result

        return anyio.run(serve_and_call)


async def echo(req: EdgeRequest, reply: Reply) -> None:
    content = req.body or req.target
    await reply.start(200, (), len(content))
    await reply.send(content)
    await reply.end()


async def abort_answer(_req: EdgeRequest, reply: Reply) -> None:
    await reply.start(200, (), None)
    await reply.send(b"half")


async def raise_error(_req: EdgeRequest, _reply: Reply) -> None:
    raise ValueError("injected error of the handler")


async def read_all(stream: SocketStream) -> bytes:
    content = b""
    with anyio.move_on_after(READ_TIMEOUT_S) as scope:
        try:
            while True:
                content += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return content
    assert not scope.cancelled_caught, content
    return content


async def read_until(stream: SocketStream, end: bytes, count: int) -> bytes:
    content = b""
    with anyio.fail_after(READ_TIMEOUT_S):
        while content.count(end) < count:
            content += await stream.receive()
    return content


@given("an edge whose limits are {head:d} bytes of head and {body:d} bytes of body")
def given_edge(context: Any, head: int, body: int) -> None:
    limits = CallerLimits(head, body, HEADER_TIMEOUT_MS, 600)
    context.edge = Edge(echo, limits)


@given("an edge whose handler takes {ms:d} ms")
def given_slow_edge(context: Any, ms: int) -> None:
    context.edge = Edge(lambda *_: anyio.sleep(ms / 1_000), CallerLimits())


@given("an edge whose handler stops in the middle of its answer")
def given_aborting_edge(context: Any) -> None:
    context.edge = Edge(abort_answer, CallerLimits())


@given("an edge whose handler raises an error")
def given_failing_edge(context: Any) -> None:
    context.edge = Edge(raise_error, CallerLimits())


@when("an edge is sent {request}")
def send_to_edge(context: Any, request: str) -> None:
    async def call(stream: SocketStream) -> bytes:
        if request.endswith("requests at once"):
            context.count = int(request.split()[0])
            paths = [b"/path-%d" % n for n in range(context.count)]
            await stream.send(
                b"".join(b"GET %s HTTP/1.1\r\n" % p + HOST + b"\r\n" for p in paths)
            )
            return await read_until(stream, b"/path-", context.count)
        await stream.send(REQUESTS[request])
        if request == "a body of 900 bytes in chunks":
            return await read_until(stream, b"x" * 900, 1)
        return await read_all(stream)

    context.answer = context.edge.run(call)


@then("the caller gets {status:d} and the end of the connection")
def assert_status(context: Any, status: int) -> None:
    assert context.answer.startswith(b"HTTP/1.1 %d " % status), context.answer


@then("the handler received {count:d} requests")
def assert_request_count(context: Any, count: int) -> None:
    assert len(context.edge.requests) == count, context.edge.requests


@then("the caller gets 200 with the body that it sent")
def assert_body_echoed(context: Any) -> None:
    assert context.answer.startswith(b"HTTP/1.1 200 ")
    assert context.answer.endswith(b"x" * 900)


@then("the caller gets {count:d} answers in order")
def assert_answers_in_order(context: Any, count: int) -> None:
    positions = [context.answer.index(b"/path-%d" % n) for n in range(count)]
    assert positions == sorted(positions), context.answer


@when("a caller {leaves} {ms:d} ms after its request")
def disconnect_caller(context: Any, leaves: str, ms: int) -> None:
    async def call(stream: SocketStream) -> None:
        await stream.send(PLAIN_REQUEST)
        await anyio.sleep(ms / 1_000)
        sock = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        if leaves == "ends its side":
            await stream.send_eof()
        elif leaves == "resets the connection":
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            await stream.aclose()
        else:
            await stream.aclose()
        context.disconnected_ms = context.edge.clock.now_ms()

    context.edge.run(call)


@then("the handler was cancelled within {ms:d} ms")
def assert_handler_cancelled(context: Any, ms: int) -> None:
    assert context.edge.cancelled_ms is not None
    assert context.edge.cancelled_ms - context.disconnected_ms <= ms


@then("the caller sees an incomplete answer")
def assert_answer_incomplete(context: Any) -> None:
    assert context.answer.startswith(b"HTTP/1.1 200 ")
    assert b"half" in context.answer and not context.answer.endswith(b"0\r\n\r\n")


@when("a request arrives after keep-alive was disabled")
def send_after_disabling_keep_alive(context: Any) -> None:
    context.edge.server.disable_keep_alive()
    context.execute_steps("when an edge is sent a request")


@then("the answer announces the close of the connection")
def assert_close_announced(context: Any) -> None:
    assert b"connection: close" in context.answer.lower(), context.answer


@when("a caller waits {ms:d} ms between two requests")
def send_two_requests(context: Any, ms: int) -> None:
    async def call(stream: SocketStream) -> bytes:
        await stream.send(PLAIN_REQUEST)
        first = await read_until(stream, b"/0", 1)
        await anyio.sleep(ms / 1_000)
        await stream.send(PLAIN_REQUEST)
        return first + await read_all(stream)

    context.answer = context.edge.run(call)


@then("the caller gets 200 both times")
def assert_both_answered(context: Any) -> None:
    assert context.answer.count(b"HTTP/1.1 200 ") == 2, context.answer
