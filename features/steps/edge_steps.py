"""Steps on callers' connections, over real sockets on the loopback address."""

import asyncio
import contextlib
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from typing import Any, Final
from unittest import mock

import anyio
import anyio.to_thread
import h11
from anyio.abc import SocketStream
from anyio.lowlevel import checkpoint
from behave import given, then, when

from cowsliphitch.callers.edge import const
from cowsliphitch.callers.edge.models import EdgeRequest, Reply
from cowsliphitch.callers.edge.server import EdgeServer
from cowsliphitch.core.clock import Clock
from cowsliphitch.core.deployment.models import CallerLimits
from cowsliphitch.standins.processes import free_port

MB: Final = 1_000_000
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

# A request of about 500 bytes: 20 are more than the server reads ahead.
MORE_REQUEST = PLAIN_REQUEST.replace(b"\r\n\r\n", b"\r\nX: " + b"x" * 450 + b"\r\n\r\n")
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


async def connect_edge(port: int) -> SocketStream:
    return await anyio.connect_tcp("127.0.0.1", port)


class UnreadStream:
    """Connection with a small window, of which nothing is read."""

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock

    async def __aenter__(self) -> "UnreadStream":
        return self

    async def __aexit__(self, *_exc: object) -> None:
        self._socket.close()

    async def send(self, data: bytes) -> None:
        await asyncio.get_running_loop().sock_sendall(self._socket, data)


async def connect_unread(port: int) -> Any:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2_048)
    sock.connect(("127.0.0.1", port))
    sock.setblocking(False)
    return UnreadStream(sock)


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

    def run(
        self,
        call: Callable[[SocketStream], Awaitable[Any]],
        connect: Callable[[int], Awaitable[Any]] = connect_edge,
    ) -> Any:
        """Run the server while ``call`` uses a connection to it."""

        async def serve_and_call() -> Any:
            async with anyio.create_task_group() as group:
                await group.start(self.server.run)
                async with await connect(self.port) as stream:
                    result = await call(stream)
                await anyio.sleep(0.15)
                group.cancel_scope.cancel()
            return result

        return anyio.run(serve_and_call)


async def echo(req: EdgeRequest, reply: Reply) -> None:
    reply.admit()
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


@given(
    "an edge server whose limits are {head:d} bytes of head and {body:d} bytes of body"
)
def given_edge(context: Any, head: int, body: int) -> None:
    limits = CallerLimits(head, body, HEADER_TIMEOUT_MS, 600)
    context.edge = Edge(echo, limits)


@given("an edge server whose handler takes {ms:d} ms")
def given_slow_edge(context: Any, ms: int) -> None:
    context.edge = Edge(lambda *_: anyio.sleep(ms / 1_000), CallerLimits())


@given("an edge server whose handler stops in the middle of its answer")
def given_aborting_edge(context: Any) -> None:
    context.edge = Edge(abort_answer, CallerLimits())


@given("an edge server whose handler raises an error")
def given_failing_edge(context: Any) -> None:
    context.edge = Edge(raise_error, CallerLimits())


@given("an edge server that refuses all requests")
def given_refusing_edge(context: Any) -> None:
    async def refuse(_req: EdgeRequest, reply: Reply) -> None:
        await reply.start(404, (), 0)
        await reply.end()

    context.edge = Edge(refuse, CallerLimits())


@when("the edge server is sent {request}")
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
        more = int(leaves.split()[-3]) if leaves.endswith("more requests") else 0
        await stream.send(PLAIN_REQUEST)
        await stream.send(MORE_REQUEST * more)
        await anyio.sleep(ms / 1_000)
        sock = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        if leaves.startswith("ends its side"):
            await stream.send_eof()
        elif leaves.startswith("resets the connection"):
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
    context.execute_steps("when the edge server is sent a request")


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


@given("an edge server whose admitted requests take {ms:d} ms")
def given_slow_admitting_edge(context: Any, ms: int) -> None:
    async def answer(req: EdgeRequest, reply: Reply) -> None:
        reply.admit()
        await anyio.sleep(ms / 1_000)
        await echo(req, reply)

    context.edge = Edge(answer, CallerLimits())


@given("an edge server whose admitted requests block the event loop for {ms:d} ms")
def given_blocking_edge(context: Any, ms: int) -> None:
    async def answer(req: EdgeRequest, reply: Reply) -> None:
        time.sleep(ms / 1_000)
        await echo(req, reply)

    context.edge = Edge(answer, CallerLimits())


@when(
    "a caller comes at a limit of {limit:d} while another has sent {count:d} requests"
)
def send_beside_other(context: Any, limit: int, count: int) -> None:
    context.edge.server._max_connections = limit

    async def call(other: SocketStream) -> None:
        await other.send(PLAIN_REQUEST * count)
        await anyio.sleep(0.1)
        async with await connect_edge(context.edge.port) as stream:
            context.answer = await ask_once(stream)
        context.other_answer = await read_all(other)

    context.edge.run(call)


@when(
    "{count:d} callers send a request and leave at once at a limit of {limit:d}, beside"
    " another"
)
def send_and_leave_by_many(context: Any, count: int, limit: int) -> None:
    context.edge.server._max_connections = limit

    async def call(other: SocketStream) -> None:
        await other.send(PLAIN_REQUEST)
        await anyio.sleep(0.1)
        # Without a pause, so that the server notices none of them before all have left.
        for _ in range(count):
            with socket.create_connection(("127.0.0.1", context.edge.port)) as sock:
                sock.sendall(PLAIN_REQUEST)
        context.other_answer = await read_until(other, b"/0", 1)
        with anyio.move_on_after(0.1) as scope, contextlib.suppress(anyio.EndOfStream):
            await other.receive()
        context.stays_open = scope.cancelled_caught

    context.edge.run(call)


@then("the other one gets {count:d} answer, and its connection stays open")
def assert_other_stays(context: Any, count: int) -> None:
    assert context.other_answer.count(b"HTTP/1.1 200 ") == count, context.other_answer
    assert b"connection: close" not in context.other_answer, context.other_answer
    assert context.stays_open


@when("{count:d} callers send a request at once at a limit of {limit:d}")
def send_by_many(context: Any, count: int, limit: int) -> None:
    context.edge.server._max_connections = limit

    def ask_all() -> list[bytes]:
        socks = [socket.socket() for _ in range(count)]
        for sock in socks:
            sock.settimeout(READ_TIMEOUT_S)
            sock.connect(("127.0.0.1", context.edge.port))
            sock.sendall(PLAIN_REQUEST)
        return [receive_and_close(sock) for sock in socks]

    async def call(stream: SocketStream) -> None:
        await stream.aclose()
        # In a thread, since the requests arrive while the event loop is busy.
        context.answers = await anyio.to_thread.run_sync(ask_all)

    context.edge.run(call)


class DecodedChunks:
    """Counts the chunks that are decoded, in all and in a round of the event loop."""

    def __init__(self) -> None:
        self.count = self.most_in_round = self._in_round = 0
        self._next_event = h11.Connection.next_event

    def patch(self) -> Any:
        def next_event(connection: h11.Connection) -> Any:
            event = self._next_event(connection)
            if isinstance(event, h11.Data):
                self.count += 1
                self._in_round += 1
            return event

        return mock.patch.object(h11.Connection, "next_event", next_event)

    async def watch(self) -> None:
        while True:
            self.most_in_round = max(self.most_in_round, self._in_round)
            self._in_round = 0
            await checkpoint()


def small_chunks(count: int) -> bytes:
    head = b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n"
    return head + b"1\r\nx\r\n" * count


async def watch_decoding(chunks: DecodedChunks, call: Callable[[], Any]) -> Any:
    """Call a function in a thread and record what is decoded until 0.5 s later."""
    async with anyio.create_task_group() as group:
        group.start_soon(chunks.watch)
        result = await anyio.to_thread.run_sync(call)
        await anyio.sleep(0.5)
        group.cancel_scope.cancel()
    return result


@when("{callers:d} callers send a body of {count:d} chunks of one byte at once")
def send_small_chunks(context: Any, callers: int, count: int) -> None:
    def ask_all() -> list[bytes]:
        socks = [socket.socket() for _ in range(callers)]
        for sock in socks:
            sock.settimeout(READ_TIMEOUT_S)
            sock.connect(("127.0.0.1", context.edge.port))
            sock.sendall(small_chunks(count) + b"0\r\n\r\n")
        return [receive_and_close(sock) for sock in socks]

    context.chunks = DecodedChunks()

    async def call(_stream: SocketStream) -> None:
        context.answers = await watch_decoding(context.chunks, ask_all)

    with context.chunks.patch():
        context.edge.run(call)


@when("a caller leaves after it has sent {count:d} chunks of one byte")
def leave_after_chunks(context: Any, count: int) -> None:
    def send_and_leave() -> None:
        with socket.create_connection(("127.0.0.1", context.edge.port)) as sock:
            sock.sendall(small_chunks(count))

    context.chunks = DecodedChunks()

    async def call(_stream: SocketStream) -> None:
        await watch_decoding(context.chunks, send_and_leave)

    with context.chunks.patch():
        context.edge.run(call)


@then("at most {count:d} chunks were decoded in one round of the event loop")
def check_chunks_in_round(context: Any, count: int) -> None:
    assert 0 < context.chunks.most_in_round <= count, context.chunks.most_in_round


@then("at most {count:d} chunks were decoded")
def check_decoded_chunks(context: Any, count: int) -> None:
    assert context.chunks.count <= count, context.chunks.count


def receive_and_close(sock: socket.socket) -> bytes:
    with sock:
        try:
            return sock.recv(4_096)
        except ConnectionResetError:
            return b""


async def ask_once(stream: SocketStream) -> bytes:
    """Send a request; return the beginning of its answer, if any."""
    try:
        with anyio.fail_after(READ_TIMEOUT_S):
            await stream.send(PLAIN_REQUEST)
            return await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return b""


@then("the caller gets 200")
def assert_answered(context: Any) -> None:
    assert context.answer.startswith(b"HTTP/1.1 200 "), context.answer


@then("the caller gets the end of the connection")
def assert_refused(context: Any) -> None:
    assert context.answer == b"", context.answer


@then("the other one gets {count:d} answer and the end of the connection")
def assert_other_answered(context: Any, count: int) -> None:
    assert context.other_answer.count(b"HTTP/1.1 200 ") == count, context.other_answer
    assert b"connection: close" in context.other_answer, context.other_answer


@then("each of them gets 200")
def assert_each_answered(context: Any) -> None:
    starts = [answer[:13] for answer in context.answers]
    assert set(starts) == {b"HTTP/1.1 200 "}, starts


@given("an edge server whose answers have {mb:d} MB")
def given_large_answers(context: Any, mb: int) -> None:
    async def answer(_req: EdgeRequest, reply: Reply) -> None:
        reply.admit()
        await reply.start(200, (), mb * MB)
        await reply.send(b"x" * (mb * MB))
        await reply.end()

    context.edge = Edge(answer, CallerLimits(idle_timeout_ms=200))


@given("an edge server whose answers have {mb:d} MB, with a budget of {budget:d} MB")
def given_budget(context: Any, mb: int, budget: int) -> None:
    given_large_answers(context, mb)
    context.edge.server._budget.limit = budget * MB


@when("a caller sends {count:d} requests at once and reads nothing for {ms:d} ms")
def send_unread(context: Any, count: int, ms: int) -> None:
    async def call(stream: SocketStream) -> None:
        with anyio.move_on_after(ms / 1_000):
            await stream.send(PLAIN_REQUEST * count)
            await anyio.sleep(ms / 1_000)

    context.edge.run(call, connect_unread)


@when("a caller sends {count:d} requests at once and reads for {ms:d} ms")
def send_and_read(context: Any, count: int, ms: int) -> None:
    async def call(stream: SocketStream) -> None:
        await stream.send(PLAIN_REQUEST * count)
        with anyio.move_on_after(ms / 1_000):
            while True:
                await stream.receive()

    context.edge.run(call)


@then("the handler received at most {count:d} requests")
def assert_few_requests(context: Any, count: int) -> None:
    assert 1 <= len(context.edge.requests) <= count, len(context.edge.requests)


async def read_body(stream: SocketStream, size: int, pause_s: float) -> int:
    """Read an answer, with a pause in its middle; return the length of its body."""
    content = bytearray()
    with anyio.fail_after(READ_TIMEOUT_S + pause_s):
        while (read := len(content.partition(b"\r\n\r\n")[2])) < size:
            content += await stream.receive(MB)
            if read < size // 2 <= len(content):
                await anyio.sleep(pause_s)
    return read


@when("a caller pauses for {ms:d} ms in the middle of an answer")
def pause_reading(context: Any, ms: int) -> None:
    async def call(stream: SocketStream) -> int:
        await stream.send(PLAIN_REQUEST)
        return await read_body(stream, 8 * MB, ms / 1_000)

    context.size = context.edge.run(call)


@then("the caller gets {mb:d} MB")
def assert_whole(context: Any, mb: int) -> None:
    assert context.size == mb * MB, context.size


@when("a caller reads nothing for {ms:d} ms with a stall timeout of {timeout:d} ms")
def read_nothing(context: Any, ms: int, timeout: int) -> None:
    async def call(stream: SocketStream) -> None:
        await stream.send(PLAIN_REQUEST)
        await anyio.sleep(ms / 1_000)

    with mock.patch.object(const, "MIN_STALL_TIMEOUT_MS", timeout):
        context.edge.run(call, connect_unread)


@when(
    "another caller comes after a caller has read nothing for {ms:d} ms at a limit of"
    " {count:d}"
)
def come_at_limit(context: Any, ms: int, count: int) -> None:
    context.edge.server._max_connections = count

    async def call(stream: SocketStream) -> int:
        await stream.send(PLAIN_REQUEST)
        await anyio.sleep(ms / 1_000)
        async with await connect_edge(context.edge.port) as other:
            await other.send(PLAIN_REQUEST)
            return await read_body(other, 8 * MB, 0)

    context.size = context.edge.run(call, connect_unread)


@then('{count:d} connection was closed as "{cause}"')
def assert_closed(context: Any, count: int, cause: str) -> None:
    closed = context.edge.server.diagnostics.closed_by_cause()
    assert {c: n for c, n in closed.items() if n} == {cause: count}, closed


@when(
    "a caller of {count:d} requests reads nothing for {ms:d} ms, and then makes room"
    " for another"
)
def make_room(context: Any, count: int, ms: int) -> None:
    context.edge.server._max_connections = 1

    async def call(stream: SocketStream) -> int:
        await stream.send(PLAIN_REQUEST * count)
        await anyio.sleep(ms / 1_000)
        assert len(context.edge.requests) == 1, "the answer does not fit in the kernel"
        async with await connect_edge(context.edge.port) as other:
            await other.send(PLAIN_REQUEST)
            return await read_body(other, MB, 0)

    context.edge.run(call, connect_unread)


@when("its listening socket no longer listens")
def end_listening(context: Any) -> None:
    server, accept = context.edge.server, context.edge.server._accept

    async def shut_down(listening: socket.socket, group: Any) -> None:
        listening.shutdown(socket.SHUT_RDWR)
        await accept(listening, group)

    async def run() -> None:
        with anyio.fail_after(READ_TIMEOUT_S):
            await server.run()

    with mock.patch.object(server, "_accept", shut_down):
        try:
            anyio.run(run)
        except BaseExceptionGroup as group:
            context.errors = [str(exc) for exc in group.exceptions]


@then('the server ends with "{text}"')
def assert_server_ended(context: Any, text: str) -> None:
    assert [text in error for error in context.errors] == [True], context.errors


@when("a caller has got the answer to a body of {size:d} bytes")
def send_body(context: Any, size: int) -> None:
    async def call(stream: SocketStream) -> int:
        await stream.send(sized(size))
        await read_body(stream, size, 0)
        await anyio.sleep(0.1)
        return context.edge.server._budget.used

    context.counted = context.edge.run(call)


@then("its connection counts {count:d} bytes")
def assert_counted(context: Any, count: int) -> None:
    assert context.counted == count, context.counted
