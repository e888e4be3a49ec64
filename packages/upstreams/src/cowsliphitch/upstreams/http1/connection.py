"""One HTTP/1.1 connection to a server."""

import select
import socket
from collections.abc import Callable
from functools import partial

import anyio
import h11
from anyio.abc import SocketAttribute, SocketStream

from cowsliphitch.core.clock import Clock, seconds
from cowsliphitch.core.verdict import Reason, may_have_run, not_run

from . import const
from .models import AnswerHead, OutgoingRequest, UpstreamError


class Connection:
    """Send requests one after the other and read their answers.

    :param request_id_header: lower-case name of the header that a server echoes
    """

    def __init__(
        self, stream: SocketStream, request_id_header: bytes, clock: Clock
    ) -> None:
        """Wrap an open stream."""
        self._stream = stream
        self._id_header = request_id_header
        self._clock = clock
        self._protocol = _new_protocol()
        self._sent_all = False
        self._at_eof = False
        self.reusable_until_ms = 0
        self.uses = 0

    async def send(self, request: OutgoingRequest) -> None:
        """Write a whole request; call it beside :meth:`read_head`.

        :raises UpstreamError: the connection broke, so the request may have run
        """
        self.uses += 1
        self._sent_all = False
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=[*request.headers, (b"content-length", b"%d" % len(request.body))],
        )
        content = self._protocol.send(head) or b""
        if request.body:
            content += self._protocol.send(h11.Data(data=request.body)) or b""
        content += self._protocol.send(h11.EndOfMessage()) or b""
        try:
            await self._stream.send(content)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as exc:
            raise _lost("the connection broke while the request was sent") from exc
        self._sent_all = True

    async def read_head(self, request: OutgoingRequest) -> AnswerHead:
        """Read the head of the answer; skip answers to earlier requests.

        :raises UpstreamError: there is no valid answer
        """
        for _ in range(const.MAX_FOREIGN_ANSWERS + 1):
            head = await self._read_any_head()
            echoed = head.get(self._id_header)
            if not request.request_id or echoed in (None, request.request_id):
                return head
            await self._skip_answer(request)
        raise _invalid("the answers on this connection belong to other requests")

    async def read_chunk(self) -> bytes | None:
        """Return the next bytes of the body, ``None`` once it is complete.

        :raises UpstreamError: the body broke off
        """
        match await self._next_event():
            case h11.Data(data=data):
                return bytes(data)
            case h11.EndOfMessage():
                return None
            case event:
                raise _lost(f"the body broke off: {type(event).__name__}")

    def finish(self, head: AnswerHead) -> bool:
        """Note a whole answer; tell whether the connection may serve another."""
        if not self._sent_all or self._at_eof:
            return False
        if self._protocol.trailing_data[0]:
            return False
        try:
            self._protocol.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        timeout_ms = _keep_alive_ms(head.get(b"keep-alive"))
        self.reusable_until_ms = self._clock.now_ms() + timeout_ms
        return timeout_ms > 0

    def is_quiet(self) -> bool:
        """Tell whether the peer neither closed the connection nor sent anything."""
        sock: socket.socket = self._stream.extra(SocketAttribute.raw_socket)
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLIN | select.POLLHUP | select.POLLERR)
        return not poll.poll(0)

    async def close(self) -> None:
        """Close the connection at once; the server sees it and drops its work."""
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self._stream)

    async def _read_any_head(self) -> AnswerHead:
        while True:
            match await self._next_event():
                case h11.InformationalResponse():
                    continue
                case h11.Response(status_code=status, headers=headers):
                    return AnswerHead(status, tuple((k, v) for k, v in headers))
                case event:
                    raise _lost(f"no answer came: {type(event).__name__}")

    async def _skip_answer(self, request: OutgoingRequest) -> None:
        """Read an answer to an earlier request, and await the own one after it."""
        while await self.read_chunk() is not None:
            pass
        rest = self._protocol.trailing_data[0]
        self._protocol = _new_protocol()
        self._protocol.send(
            h11.Request(
                method=request.method, target=request.target, headers=[*request.headers]
            )
        )
        self._protocol.send(h11.EndOfMessage())
        if rest:
            self._protocol.receive_data(rest)

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        while True:
            event = self._call(self._protocol.next_event)
            if event is not h11.NEED_DATA:
                return event  # type: ignore[return-value]
            try:
                data = await self._stream.receive(const.READ_BYTES)
            except anyio.EndOfStream:
                data = b""
                self._at_eof = True
            except (anyio.BrokenResourceError, anyio.ClosedResourceError) as exc:
                raise _lost("the connection was reset before the answer ended") from exc
            self._call(partial(self._protocol.receive_data, data))

    def _call(self, read: Callable[[], object]) -> object:
        try:
            return read()
        except h11.RemoteProtocolError as exc:
            if self._at_eof:
                raise _lost("the connection closed before the answer ended") from exc
            raise _invalid(f"the answer is not valid HTTP: {exc}") from exc


async def connect(
    address: str,
    request_id_header: bytes,
    clock: Clock,
    timeout_ms: int = const.CONNECT_TIMEOUT_MS,
) -> Connection:
    """Open a connection.

    :raises UpstreamError: nobody answers there, so nothing ran
    """
    host, _, port = address.rpartition(":")
    try:
        with anyio.fail_after(seconds(timeout_ms)):
            stream = await anyio.connect_tcp(host, int(port))
    except TimeoutError as exc:
        detail = f"{address} does not answer"
        raise UpstreamError(not_run(Reason.CONNECT_TIMEOUT, detail)) from exc
    except OSError as exc:
        detail = f"{address} can't be reached: {type(exc).__name__}"
        raise UpstreamError(not_run(Reason.CONNECT_FAILED, detail)) from exc
    sock: socket.socket = stream.extra(SocketAttribute.raw_socket)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, const.TCP_USER_TIMEOUT_MS
    )
    return Connection(stream, request_id_header, clock)


def _new_protocol() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=const.MAX_HEAD_BYTES)


def _keep_alive_ms(stated: bytes | None) -> int:
    """Return how long an idle connection may be used again."""
    if stated is None:
        return const.DEFAULT_KEEP_ALIVE_MS
    for part in stated.decode("latin-1").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdecimal():
            return max(0, int(value) * 1_000 - const.KEEP_ALIVE_MARGIN_MS)
    return const.DEFAULT_KEEP_ALIVE_MS


def _lost(detail: str) -> UpstreamError:
    return UpstreamError(may_have_run(Reason.CONNECTION_LOST, detail))


def _invalid(detail: str) -> UpstreamError:
    return UpstreamError(may_have_run(Reason.INVALID_ANSWER, detail))
