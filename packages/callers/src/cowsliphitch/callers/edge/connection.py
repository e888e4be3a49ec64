"""Server side of one HTTP/1.1 connection of a caller.

Requests whose framing is ambiguous are rejected, and a handler is cancelled as soon as
its caller disconnects.  A caller that does not read its answers gets no further ones,
and its connection ends if it reads nothing for long, or if it holds the most unsent
bytes when the memory for buffers is exhausted.
"""

import logging
from collections.abc import Awaitable, Callable
from typing import Final

import anyio
import h11
from anyio.lowlevel import checkpoint

from cowsliphitch.core.clock import Clock, seconds
from cowsliphitch.core.deployment.models import CallerLimits
from cowsliphitch.core.overload.buffers import (
    CONNECTION_BYTES,
    Buffer,
    BufferBudget,
    head_bytes,
)
from cowsliphitch.core.overload.connections import (
    Closing,
    ConnectionUse,
    Idle,
    InUse,
    Stalled,
    Unadmitted,
    refusal_delay_ms,
)

from . import const
from .models import (
    Diagnostics,
    EdgeRequest,
    ErrorEncoder,
    Handler,
    Header,
    ReplyError,
)
from .stream import CallerStream

_LOGGER = logging.getLogger(__name__)

_REASON_PHRASES: Final = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    422: b"Unprocessable Content",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class _RequestRejected(Exception):
    """A request can't be served; the connection ends with this error status."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


class _CallerDisconnected(Exception):
    """The caller closed the connection."""


class CallerConnection:
    """Reads requests one at a time and writes their answers.

    Implements :class:`~cowsliphitch.callers.edge.models.Reply` for its handler.

    :param limits: returns the limits in force
    :param is_closing: returns whether the connection is to be closed after its next
        answer
    :param diagnostics: counters of the server, shared by its connections
    :param budget: memory for the connection, its input and its unsent output
    :param is_crowded: returns whether many connections are open
    :param encode_error: returns the answer to a request that is rejected here
    :param turns: of bodies in many small chunks, one in each round of the event loop
    """

    def __init__(
        self,
        stream: CallerStream,
        handler: Handler,
        limits: Callable[[], CallerLimits],
        is_closing: Callable[[], bool],
        diagnostics: Diagnostics,
        clock: Clock,
        budget: BufferBudget,
        is_crowded: Callable[[], bool],
        encode_error: ErrorEncoder,
        turns: anyio.Lock,
    ) -> None:
        """Initialize the protocol state of a newly accepted stream."""
        self._stream = stream
        self._handler = handler
        self._limits = limits
        self._is_closing = is_closing
        self._diagnostics = diagnostics
        self._clock = clock
        self._budget = budget
        self._is_crowded = is_crowded
        self._encode_error = encode_error
        self._turns = turns
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits().header_bytes
        )
        self._started = False
        self._is_admitted = False
        self._is_ending = False
        self._has_begun = False
        self._closing_since_ms: int | None = None
        self._answers = 0
        self._refusals = 0
        self._is_waiting_for_head = True
        self._handled_since_ms: int | None = None
        self._is_head_method = False
        self._opened_ms = self._idle_since_ms = clock.now_ms()
        self._acknowledged_bytes = 0
        self._stalled_since_ms: int | None = None
        self._held = budget.open(is_pinned=True)
        self._held.resize(CONNECTION_BYTES)
        self._unsent = budget.open()
        self._unsent.on_give_up = self._give_up

    def observe_use(self) -> ConnectionUse:
        """Look at the connection and return what it is used for.

        Callers that read nothing are noticed by comparing two looks.
        """
        self._observe_reading()
        now_ms = self._clock.now_ms()
        if self._closing_since_ms is not None and not self._stream.unread_bytes:
            return Closing(now_ms - self._closing_since_ms)
        sends_ahead = bool(self._protocol.trailing_data[0])
        in_use = InUse(self._answers, sends_ahead, self._is_ending)
        if not self._is_admitted:
            is_running = self._handled_since_ms is not None and not self._started
            if is_running or self._is_first_request_pending():
                return in_use
            return Unadmitted(now_ms - self._opened_ms)
        if self._stalled_ms:
            return Stalled(self._stalled_ms)
        if self._is_waiting_for_head:
            return Idle(now_ms - self._idle_since_ms)
        return in_use

    def _is_first_request_pending(self) -> bool:
        """Return whether bytes of a first request wait for the event loop."""
        is_first = self._is_waiting_for_head and not self._answers
        return is_first and (not self._has_begun or self._stream.has_input)

    @property
    def _stalled_ms(self) -> int:
        """Return for how long the caller has read nothing, as of the last look."""
        if self._stalled_since_ms is None:
            return 0
        return self._clock.now_ms() - self._stalled_since_ms

    def _observe_reading(self) -> None:
        """Record whether the caller has read anything since the last look."""
        unread = self._stream.unread_bytes
        acknowledged = self._stream.written_bytes - unread
        if not unread:
            self._stalled_since_ms = None
        elif self._stalled_since_ms is None or acknowledged != self._acknowledged_bytes:
            self._stalled_since_ms = self._clock.now_ms()
        self._acknowledged_bytes = acknowledged

    def evict(self) -> None:
        """Close the connection to make room for another one."""
        if self._stream.unread_bytes:
            self.reset()
        else:
            self._stream.close()

    def end_after_answer(self) -> None:
        """Close the connection after the answer to its current request."""
        self._is_ending = True

    def reset(self) -> None:
        """Close the connection, and drop what its caller has not read."""
        self._stream.reset()

    def _give_up(self) -> None:
        self._diagnostics.given_up += 1
        self.reset()

    @property
    def started(self) -> bool:
        """Return whether the head of the current answer has been sent."""
        return self._started

    @property
    def handled_since_ms(self) -> int | None:
        """Return the monotonic time at which its request began to be handled.

        :returns: ``None`` if no request is handled
        """
        return self._handled_since_ms

    async def serve(self) -> None:
        """Serve requests until either side closes the connection."""
        self._has_begun = True
        try:
            while await self._serve_request():
                pass
        except (_CallerDisconnected, ReplyError):
            self._diagnostics.disconnected += 1
        except _RequestRejected as exc:
            self._diagnostics.malformed += 1
            _LOGGER.info("Rejecting request: status=%d cause=%s", exc.status, exc)
            await self._send_error(exc.status, str(exc))
        finally:
            self._stream.close()
            self._unsent.close()
            self._held.close()

    def admit(self) -> None:
        """Record that a request was admitted."""
        self._is_admitted = True

    async def start(
        self, status: int, headers: tuple[Header, ...], length: int | None
    ) -> None:
        """Send the head of an answer.

        :param length: size of the body in bytes; ``None`` for chunked encoding
        :raises ReplyError: the caller disconnected
        """
        framing: tuple[Header, ...] = ()
        if length is not None:
            framing = ((b"content-length", b"%d" % length),)
        if self._is_ending or self._is_closing():
            framing = (*framing, (b"connection", b"close"))
        self._started = True
        head = h11.Response(
            status_code=status,
            headers=[*headers, *framing],
            reason=_REASON_PHRASES.get(status, b""),
        )
        await self._write(self._protocol.send(head))

    async def send(self, data: bytes) -> None:
        """Send the next bytes of an answer's body.

        :raises ReplyError: the caller disconnected
        """
        await self._write(self._protocol.send(h11.Data(data=data)))

    async def end(self) -> None:
        """End an answer's body, which completes the answer.

        :raises ReplyError: the caller disconnected
        """
        await self._write(self._protocol.send(h11.EndOfMessage()))

    async def _serve_request(self) -> bool:
        """Serve one request; return whether the connection may carry another."""
        buffer = self._budget.open()
        try:
            req = await self._read_request(buffer)
            if req is None:
                return False
            buffer.pin()
            self._diagnostics.requests += 1
            self._started = False
            self._handled_since_ms = self._clock.now_ms()
            await self._handle(req)
        finally:
            self._handled_since_ms = None
            buffer.close()
        if self._is_ending or self._protocol.our_state is not h11.DONE:
            return await self._close_gracefully()
        self._answers += 1
        self._idle_since_ms = self._clock.now_ms()
        self._refusals += not self._is_admitted
        self._protocol.start_next_cycle()
        return True

    async def _handle(self, req: EdgeRequest) -> None:
        """Run the handler, and cancel it as soon as the caller disconnects."""
        disconnected = failed = False

        async def watch_disconnect(scope: anyio.CancelScope) -> None:
            nonlocal disconnected
            await self._wait_for_disconnect()
            disconnected = True
            scope.cancel()

        self._diagnostics.active += 1
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(watch_disconnect, group.cancel_scope)
                failed = await self._run_handler(req)
                group.cancel_scope.cancel()
        finally:
            self._diagnostics.active -= 1
        if disconnected:
            raise _CallerDisconnected
        if failed and not self._started:
            # Status 502: after an error in the handler the request may have run.
            raise _RequestRejected(502, "the handler raised an unexpected error")

    async def _run_handler(self, req: EdgeRequest) -> bool:
        """Run the handler; return whether it raised an unexpected error."""
        try:
            await self._handler(req, self)
        except ReplyError:
            self._diagnostics.disconnected += 1
        except Exception:
            _LOGGER.exception("Unexpected error in the request handler")
            return True
        return False

    async def _wait_for_disconnect(self) -> None:
        """Read a little ahead until the caller disconnects.

        Beyond the limit the state of the connection is polled instead.
        """
        while len(self._protocol.trailing_data[0]) < const.MAX_PIPELINED_BYTES:
            try:
                data = await self._stream.receive(const.MAX_PIPELINED_BYTES)
            except anyio.EndOfStream:
                return
            self._protocol.receive_data(data)
            self._count_input()
        while not self._stream.has_caller_left:
            await anyio.sleep(seconds(const.STATE_POLL_MS))

    def _count_input(self) -> None:
        """Count what was read ahead."""
        self._held.resize(CONNECTION_BYTES + len(self._protocol.trailing_data[0]))

    async def _read_request(self, buffer: Buffer) -> EdgeRequest | None:
        """Read a request; return ``None`` if the connection ended before one began.

        :param buffer: counts the memory of its head and its body
        :raises _RequestRejected: the request is invalid, too large or too slow
        :raises _CallerDisconnected: the caller disconnected during the request
        """
        self._is_waiting_for_head = True
        limits = self._limits()
        is_pipelined = bool(self._protocol.trailing_data[0])
        received_ms = await self._wait_for_first_byte(limits.idle_timeout_ms)
        if received_ms is None:
            return None
        if self._refusals and (is_pipelined or self._is_crowded()):
            await self._wait_after_refusal()
        # Callers that read an answer before their next request never wait here.
        await self._wait_until(
            lambda: (
                self._stream.unread_bytes <= const.MAX_UNREAD_BYTES
                or self._stream.has_caller_left
            ),
            lambda: anyio.sleep(seconds(const.STATE_POLL_MS)),
        )
        if self._stream.is_lost:
            # Input that was read ahead may hold a whole request, which nobody awaits.
            raise _CallerDisconnected
        try:
            with anyio.fail_after(seconds(limits.header_timeout_ms)):
                event = await self._next_event(const.READ_HEAD_BYTES)
        except TimeoutError:
            raise _RequestRejected(
                408, f"no complete head within {limits.header_timeout_ms} ms"
            ) from None
        if not isinstance(event, h11.Request):
            return None
        self._is_waiting_for_head = False
        self._is_head_method = event.method == b"HEAD"
        host = _validate_head(event, limits)
        self._count_head(event, buffer)
        is_chunked = any(name == b"transfer-encoding" for name, _ in event.headers)
        body = await self._read_body(limits, buffer, is_chunked)
        # The input is in the body now, which is counted apart.
        self._count_input()
        if self._stream.has_caller_left:
            raise _CallerDisconnected
        return EdgeRequest(
            method=event.method,
            target=event.target,
            host=host,
            headers=tuple((k, v) for k, v in event.headers),
            body=body,
            received_ms=received_ms,
        )

    def _count_head(self, head: h11.Request, buffer: Buffer) -> None:
        """Count the memory of a decoded head.

        :raises _RequestRejected: there is not enough
        """
        size = head_bytes(head.headers)
        if not (self._budget.has_room_for_head(size) and buffer.grow(size)):
            count = len(head.headers)
            raise _RequestRejected(
                503, f"no memory for {count} headers, which take {size} bytes"
            )

    async def _wait_after_refusal(self) -> None:
        """Leave processor time to other connections, unless a request was admitted."""
        if self._is_admitted:
            return
        next_ms = self._idle_since_ms + refusal_delay_ms(self._refusals)
        with anyio.move_on_after(seconds(max(0, next_ms - self._clock.now_ms()))):
            await self._stream.wait_lost()

    async def _wait_for_first_byte(self, idle_timeout_ms: int) -> int | None:
        """Return when the first byte of a request arrived, in monotonic ms.

        :returns: ``None`` if the connection closed or the idle timeout passed
        """
        if self._protocol.trailing_data[0]:
            return self._clock.now_ms()
        remaining_ms = self._idle_since_ms + idle_timeout_ms - self._clock.now_ms()
        try:
            with anyio.fail_after(seconds(max(0, remaining_ms))):
                data = await self._stream.receive(const.READ_HEAD_BYTES)
        except (TimeoutError, anyio.EndOfStream):
            return None
        self._receive(data)
        return self._clock.now_ms()

    async def _read_body(
        self, limits: CallerLimits, buffer: Buffer, is_chunked: bool
    ) -> bytes:
        if self._protocol.they_are_waiting_for_100_continue:
            informational = h11.InformationalResponse(status_code=100, headers=[])
            await self._write(self._protocol.send(informational))
        with anyio.CancelScope() as scope:
            buffer.on_give_up = scope.cancel
            body = await self._read_chunks(limits, buffer, is_chunked)
            if not buffer.is_given_up:
                return body
        raise _RequestRejected(503, f"no memory for a request of {buffer.size} bytes")

    async def _read_chunks(
        self, limits: CallerLimits, buffer: Buffer, is_chunked: bool
    ) -> bytes:
        """Read a body.

        :param is_chunked: it may come in many small chunks, so it takes turns
        """
        body = bytearray()
        small_chunks = 0
        is_turn_due = is_chunked
        while True:
            if is_turn_due:
                async with self._turns:
                    await checkpoint()
                is_turn_due = False
                if small_chunks and self._stream.has_caller_left:
                    raise _CallerDisconnected
            match self._decode_event():
                case h11.Data(data=data):
                    buffer.grow(len(data))
                    body += data
                    if len(body) > limits.body_bytes:
                        raise _RequestRejected(
                            413, f"the body exceeds {limits.body_bytes} bytes"
                        )
                    if is_chunked and len(data) < const.SMALL_CHUNK_BYTES:
                        small_chunks += 1
                        is_turn_due = small_chunks % const.SMALL_CHUNKS_AT_ONCE == 0
                case h11.EndOfMessage():
                    return bytes(body)
                case h11.NEED_DATA:
                    await self._receive_body()
                case _:
                    raise _CallerDisconnected

    async def _receive_body(self) -> None:
        """Receive the next bytes of a body.

        :raises _RequestRejected: none arrive within the timeout
        """
        try:
            with anyio.fail_after(seconds(const.BODY_READ_TIMEOUT_MS)):
                await self._receive_more(const.READ_BYTES)
        except TimeoutError:
            raise _RequestRejected(
                408, f"no body data within {const.BODY_READ_TIMEOUT_MS} ms"
            ) from None

    async def _next_event(self, max_bytes: int) -> object:
        while (event := self._decode_event()) is h11.NEED_DATA:
            await self._receive_more(max_bytes)
        return event

    def _decode_event(self) -> object:
        """Return the next event of what has been received.

        :raises _RequestRejected: the bytes are not a valid request
        """
        try:
            return self._protocol.next_event()
        except h11.RemoteProtocolError as exc:
            raise _RequestRejected(exc.error_status_hint, str(exc)) from exc

    async def _receive_more(self, max_bytes: int) -> None:
        """Receive bytes of a request that has begun.

        :raises _CallerDisconnected: the caller ended its side
        """
        try:
            data = await self._stream.receive(max_bytes)
        except anyio.EndOfStream:
            raise _CallerDisconnected from None
        self._receive(data)

    def _receive(self, data: bytes) -> None:
        try:
            self._protocol.receive_data(data)
        except h11.RemoteProtocolError as exc:
            raise _RequestRejected(exc.error_status_hint, str(exc)) from exc
        self._count_input()

    async def _write(self, data: bytes | None) -> None:
        """Send bytes, and wait until the operating system has taken them.

        :raises ReplyError: the caller disconnected, or has read nothing for long
        """
        unsent = memoryview(data or b"")
        try:
            while unsent:
                part, unsent = unsent[: const.WRITE_BYTES], unsent[const.WRITE_BYTES :]
                self._stream.write(part)
                self._unsent.resize(self._stream.unsent_bytes + len(unsent))
                await self._wait_until(
                    lambda: not self._stream.unsent_bytes, self._stream.wait_drained
                )
                await self._stream.wait_drained()
        except anyio.BrokenResourceError as exc:
            raise ReplyError("the caller closed the connection") from exc
        finally:
            self._unsent.resize(self._stream.unsent_bytes)

    async def _wait_until(
        self, is_done: Callable[[], bool], wait: Callable[[], Awaitable[None]]
    ) -> None:
        """Wait until the caller has read enough of its answers.

        :param wait: returns when the condition may hold
        :raises ReplyError: the caller has read nothing for long
        """
        while not is_done():
            self._observe_reading()
            if self._stalled_ms >= self._stall_timeout_ms():
                self._diagnostics.stalled += 1
                self.reset()
                raise ReplyError("the caller reads nothing")
            with anyio.move_on_after(seconds(const.STALL_CHECK_MS)):
                await wait()

    def _stall_timeout_ms(self) -> int:
        return max(self._limits().idle_timeout_ms, const.MIN_STALL_TIMEOUT_MS)

    async def _send_error(self, status: int, detail: str) -> None:
        """Send an error answer, then close the connection."""
        if self._protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        answer = self._encode_error(status, detail)
        length = b"%d" % len(answer.body)
        head = h11.Response(
            status_code=answer.status,
            headers=[
                *answer.headers,
                (b"content-length", length),
                (b"connection", b"close"),
            ],
            reason=_REASON_PHRASES.get(answer.status, b""),
        )
        try:
            await self._write(self._protocol.send(head))
            if answer.body and not self._is_head_method:
                await self._write(self._protocol.send(h11.Data(data=answer.body)))
            await self._write(self._protocol.send(h11.EndOfMessage()))
        except ReplyError:
            return
        await self._close_gracefully()

    async def _close_gracefully(self) -> bool:
        """Close the sending side and discard input, so that no reset is sent.

        :returns: always ``False``
        """
        if self._protocol.our_state in (h11.SEND_BODY, h11.SEND_RESPONSE):
            return False
        self._closing_since_ms = self._clock.now_ms()
        try:
            with anyio.move_on_after(seconds(const.LINGER_MS)):
                self._stream.send_eof()
                while True:
                    await self._stream.receive(const.READ_BYTES)
        except (OSError, anyio.EndOfStream):
            return False
        return False


def _validate_head(head: h11.Request, limits: CallerLimits) -> str:
    """Check the framing and size of a request and return its host.

    :raises _RequestRejected: the framing is ambiguous, or the head or body is too large
    """
    names = [name for name, _ in head.headers]
    if b"content-length" in names and b"transfer-encoding" in names:
        raise _RequestRejected(
            400, "both content-length and transfer-encoding are given"
        )
    if names.count(b"host") != 1:
        raise _RequestRejected(400, "exactly one host header is required")
    if not head.target.startswith(b"/"):
        raise _RequestRejected(400, "the target must be a path")
    if (
        sum(len(name) + len(value) for name, value in head.headers)
        > limits.header_bytes
    ):
        raise _RequestRejected(431, f"the head exceeds {limits.header_bytes} bytes")
    headers = dict(head.headers)
    length = headers.get(b"content-length")
    if length is not None and int(length) > limits.body_bytes:
        raise _RequestRejected(413, f"the body exceeds {limits.body_bytes} bytes")
    host = headers[b"host"].decode("latin-1").lower()
    return host.partition(":")[0]
