"""Client side of one HTTP/1.1 connection to a server.

Every failure becomes an :class:`UpstreamError` whose verdict says whether the request
may have run.
"""

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
    """Sends requests one at a time and reads their answers.

    :param request_id_header: lower-case name of the header in which servers echo the
        request identifier
    :ivar reusable_until_ms: monotonic time until which the idle connection may be used
        again
    :ivar request_count: requests sent on this connection
    :ivar opened_ms: monotonic time at which the connection was opened
    """

    def __init__(
        self, stream: SocketStream, request_id_header: bytes, clock: Clock
    ) -> None:
        """Initialize the protocol state of a newly opened stream."""
        self._stream = stream
        self._request_id_header = request_id_header
        self._clock = clock
        self._protocol = _new_protocol()
        self._request_sent = False
        self._eof_received = False
        self.reusable_until_ms = 0
        self.request_count = 0
        self.opened_ms = clock.now_ms()

    async def send(self, request: OutgoingRequest, head: h11.Request) -> None:
        """Write a whole request.

        :meth:`read_head` may run concurrently, since a server may answer early.

        :param head: the head that :func:`encode_head` returned for the request
        :raises UpstreamError: the connection broke, so the request may have run
        """
        self.request_count += 1
        self._request_sent = False
        content = self._protocol.send(head) or b""
        if request.body:
            content += self._protocol.send(h11.Data(data=request.body)) or b""
        content += self._protocol.send(h11.EndOfMessage()) or b""
        try:
            await self._stream.send(content)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as exc:
            raise _connection_lost(
                "the connection broke while the request was sent"
            ) from exc
        self._request_sent = True

    async def read_head(self, request: OutgoingRequest) -> AnswerHead:
        """Read the head of the answer to a request; skip answers to earlier ones.

        An answer belongs to the request if it echoes its identifier or echoes none.

        :raises UpstreamError: no valid answer arrived
        """
        for _ in range(const.MAX_STALE_ANSWERS + 1):
            head = await self._read_next_head()
            echoed_id = head.get(self._request_id_header)
            if not request.request_id or echoed_id in (None, request.request_id):
                return head
            await self._skip_stale_answer(request)
        raise _invalid_answer("the answers on this connection belong to other requests")

    async def read_chunk(self) -> bytes | None:
        """Return the next bytes of the body, or ``None`` once it is complete.

        :raises UpstreamError: the connection ended before the body did
        """
        match await self._next_event():
            case h11.Data(data=data):
                return bytes(data)
            case h11.EndOfMessage():
                return None
            case event:
                raise _connection_lost(f"the body broke off: {type(event).__name__}")

    def finish_exchange(self, head: AnswerHead) -> bool:
        """End the exchange after a complete answer and update the idle timeout.

        :returns: whether the connection may carry another request
        """
        if not self._request_sent or self._eof_received:
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

    def has_no_pending_input(self) -> bool:
        """Return whether the server has neither closed the connection nor sent data.

        The socket is polled without waiting.
        """
        sock: socket.socket = self._stream.extra(SocketAttribute.raw_socket)
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLIN | select.POLLHUP | select.POLLERR)
        return not poll.poll(0)

    async def close(self) -> None:
        """Close the connection at once, so that the server cancels its work."""
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self._stream)

    async def _read_next_head(self) -> AnswerHead:
        for _ in range(const.MAX_INFORMATIONAL_HEADS + 1):
            match await self._next_event():
                case h11.InformationalResponse():
                    continue
                case h11.Response(status_code=status, headers=headers):
                    # The parser refuses those below 100, and accepts any above.
                    if status > const.LAST_STATUS:
                        raise _invalid_answer(f"{status} is not a status of HTTP")
                    return AnswerHead(status, tuple((k, v) for k, v in headers))
                case event:
                    raise _connection_lost(f"no answer came: {type(event).__name__}")
        raise _invalid_answer(
            f"more than {const.MAX_INFORMATIONAL_HEADS} informational heads came"
        )

    async def _skip_stale_answer(self, request: OutgoingRequest) -> None:
        """Discard an answer to an earlier request and prepare to read the next one.

        A protocol object allows one answer for each request, so a new one takes over
        the request and the bytes that were received after the discarded answer.
        """
        size = 0
        while (chunk := await self.read_chunk()) is not None:
            size += len(chunk)
            if size > const.MAX_STALE_BYTES:
                raise _invalid_answer(
                    "an answer to another request has more than"
                    f" {const.MAX_STALE_BYTES} bytes"
                )
        trailing = self._protocol.trailing_data[0]
        self._protocol = _new_protocol()
        self._protocol.send(
            h11.Request(
                method=request.method, target=request.target, headers=[*request.headers]
            )
        )
        self._protocol.send(h11.EndOfMessage())
        if trailing:
            self._protocol.receive_data(trailing)

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        while True:
            event = self._run_protocol(self._protocol.next_event)
            if event is not h11.NEED_DATA:
                return event  # type: ignore[return-value]
            try:
                data = await self._stream.receive(const.READ_BYTES)
            except anyio.EndOfStream:
                data = b""
                self._eof_received = True
            except (anyio.BrokenResourceError, anyio.ClosedResourceError) as exc:
                raise _connection_lost(
                    "the connection was reset before the answer ended"
                ) from exc
            self._run_protocol(partial(self._protocol.receive_data, data))

    def _run_protocol(self, operation: Callable[[], object]) -> object:
        try:
            return operation()
        except h11.RemoteProtocolError as exc:
            if self._eof_received:
                raise _connection_lost(
                    "the connection closed before the answer ended"
                ) from exc
            raise _invalid_answer(f"the answer is not valid HTTP: {exc}") from exc


def encode_head(request: OutgoingRequest) -> h11.Request:
    """Return the head of a request, before anything is sent.

    :raises UpstreamError: a header can't be sent, so nothing ran
    """
    try:
        return h11.Request(
            method=request.method,
            target=request.target,
            headers=[*request.headers, (b"content-length", b"%d" % len(request.body))],
        )
    except h11.LocalProtocolError as exc:
        detail = f"the request can't be sent: {exc}"
        raise UpstreamError(not_run(Reason.UNSENDABLE, detail)) from exc


async def connect(
    address: str,
    request_id_header: bytes,
    clock: Clock,
    timeout_ms: int = const.CONNECT_TIMEOUT_MS,
) -> Connection:
    """Open a connection.

    :param address: host and port
    :param request_id_header: lower-case name of the header in which servers echo the
        request identifier
    :raises UpstreamError: no connection was established, so nothing ran
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


def _keep_alive_ms(header: bytes | None) -> int:
    """Return how long the connection may be idle before its next use.

    :param header: value of the ``keep-alive`` header, ``None`` if absent
    """
    if header is None:
        return const.DEFAULT_KEEP_ALIVE_MS
    for parameter in header.decode("latin-1").split(","):
        name, _, value = parameter.strip().partition("=")
        digits = value.strip()
        if name.lower() == "timeout" and digits.isdecimal():
            timeout_s = int(digits[: const.MAX_KEEP_ALIVE_DIGITS])
            return max(0, timeout_s * 1_000 - const.KEEP_ALIVE_MARGIN_MS)
    return const.DEFAULT_KEEP_ALIVE_MS


def _connection_lost(detail: str) -> UpstreamError:
    return UpstreamError(may_have_run(Reason.CONNECTION_LOST, detail))


def _invalid_answer(detail: str) -> UpstreamError:
    return UpstreamError(may_have_run(Reason.INVALID_ANSWER, detail))
