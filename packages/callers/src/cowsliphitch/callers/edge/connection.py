"""One HTTP/1.1 connection of a caller."""

import logging
from collections.abc import Callable
from typing import Final

import anyio
import h11
from anyio.abc import SocketStream

from cowsliphitch.core.clock import Clock, seconds
from cowsliphitch.core.deployment.models import CallerLimits

from . import const
from .models import Diagnostics, EdgeRequest, Handler, Header, ReplyError

_LOGGER = logging.getLogger(__name__)

_REASONS: Final = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class _EndWithStatus(Exception):
    """The connection is to end with an error of this status."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


class _Left(Exception):
    """The caller closed the connection."""


class CallerConnection:
    """Read requests one after the other and write their answers.

    :param limits: returns the limits in force
    :param closing: tells whether connections are to end with their next answer
    """

    def __init__(
        self,
        stream: SocketStream,
        handler: Handler,
        limits: Callable[[], CallerLimits],
        closing: Callable[[], bool],
        diagnostics: Diagnostics,
        clock: Clock,
    ) -> None:
        """Wrap an accepted stream."""
        self._stream = stream
        self._handler = handler
        self._limits = limits
        self._closing = closing
        self._diagnostics = diagnostics
        self._clock = clock
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits().header_bytes
        )
        self._started = False
        self._idle_since_ms = clock.now_ms()

    @property
    def started(self) -> bool:
        """Tell whether the head of the present answer has been sent."""
        return self._started

    async def serve(self) -> None:
        """Serve requests until either side ends the connection."""
        try:
            while await self._serve_one():
                pass
        except (_Left, ReplyError):
            self._diagnostics.left += 1
        except _EndWithStatus as exc:
            self._diagnostics.malformed += 1
            _LOGGER.info("Request refused: status=%d cause=%s", exc.status, exc)
            await self._refuse(exc.status)
        finally:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(self._stream)

    async def start(
        self, status: int, headers: tuple[Header, ...], length: int | None
    ) -> None:
        """Send the head of an answer."""
        framing: tuple[Header, ...] = ()
        if length is not None:
            framing = ((b"content-length", b"%d" % length),)
        if self._closing():
            framing = (*framing, (b"connection", b"close"))
        self._started = True
        head = h11.Response(
            status_code=status,
            headers=[*headers, *framing],
            reason=_REASONS.get(status, b""),
        )
        await self._write(self._protocol.send(head))

    async def send(self, data: bytes) -> None:
        """Send bytes of an answer's body."""
        await self._write(self._protocol.send(h11.Data(data=data)))

    async def end(self) -> None:
        """End an answer's body."""
        await self._write(self._protocol.send(h11.EndOfMessage()))

    async def _serve_one(self) -> bool:
        """Serve one request; tell whether the connection may carry another."""
        req = await self._read_request()
        if req is None:
            return False
        self._diagnostics.requests += 1
        self._started = False
        await self._handle(req)
        if self._protocol.our_state is not h11.DONE:
            return await self._close_softly()
        self._idle_since_ms = self._clock.now_ms()
        self._protocol.start_next_cycle()
        return True

    async def _handle(self, req: EdgeRequest) -> None:
        """Run the handler, and cancel it as soon as the caller has left."""
        left = failed = False

        async def watch(scope: anyio.CancelScope) -> None:
            nonlocal left
            left = await self._wait_until_left()
            if left:
                scope.cancel()

        self._diagnostics.active += 1
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(watch, group.cancel_scope)
                failed = await self._run_handler(req)
                group.cancel_scope.cancel()
        finally:
            self._diagnostics.active -= 1
        if left:
            raise _Left
        if failed and not self._started:
            # An error of this program says nothing about what ran.
            raise _EndWithStatus(502, "the handler raised an error")

    async def _run_handler(self, req: EdgeRequest) -> bool:
        """Let the handler answer; tell whether it raised an error."""
        try:
            await self._handler(req, self)
        except ReplyError:
            self._diagnostics.left += 1
        except Exception:
            _LOGGER.exception("A request ended with an error of this program")
            return True
        return False

    async def _wait_until_left(self) -> bool:
        """Buffer what the caller sends on; return once it is gone."""
        while len(self._protocol.trailing_data[0]) <= const.MAX_PIPELINED_BYTES:
            try:
                data = await self._stream.receive(const.READ_BYTES)
            except (
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                return True
            self._protocol.receive_data(data)
        return False

    async def _read_request(self) -> EdgeRequest | None:
        """Read a whole request; ``None`` if the connection ended between two.

        :raises _EndWithStatus: it can't be served
        :raises _Left: the caller closed in the middle of it
        """
        limits = self._limits()
        first_ms = await self._await_first_byte(limits.idle_timeout_ms)
        if first_ms is None:
            return None
        left_ms = first_ms + limits.header_timeout_ms - self._clock.now_ms()
        try:
            with anyio.fail_after(seconds(max(0, left_ms))):
                event = await self._next_event()
        except TimeoutError:
            raise _EndWithStatus(408, "the head did not arrive in time") from None
        if not isinstance(event, h11.Request):
            return None
        host = _check_head(event, limits)
        body = await self._read_body(limits)
        return EdgeRequest(
            method=event.method,
            target=event.target,
            host=host,
            headers=tuple((k, v) for k, v in event.headers),
            body=body,
            received_ms=first_ms,
        )

    async def _await_first_byte(self, idle_timeout_ms: int) -> int | None:
        """Return when a request began, ``None`` if none came."""
        if self._protocol.trailing_data[0]:
            return self._clock.now_ms()
        left_ms = self._idle_since_ms + idle_timeout_ms - self._clock.now_ms()
        try:
            with anyio.fail_after(seconds(max(0, left_ms))):
                data = await self._stream.receive(const.READ_BYTES)
        except (
            TimeoutError,
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            return None
        self._receive(data)
        return self._clock.now_ms()

    async def _read_body(self, limits: CallerLimits) -> bytes:
        if self._protocol.they_are_waiting_for_100_continue:
            informational = h11.InformationalResponse(status_code=100, headers=[])
            await self._write(self._protocol.send(informational))
        parts: list[bytes] = []
        size = 0
        while True:
            try:
                with anyio.fail_after(seconds(const.BODY_STALL_MS)):
                    event = await self._next_event()
            except TimeoutError:
                raise _EndWithStatus(408, "the body stalled") from None
            match event:
                case h11.Data(data=data):
                    size += len(data)
                    if size > limits.body_bytes:
                        raise _EndWithStatus(413, f"the body has over {size} bytes")
                    parts.append(bytes(data))
                case h11.EndOfMessage():
                    return b"".join(parts)
                case _:
                    raise _Left

    async def _next_event(self) -> object:
        while True:
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as exc:
                raise _EndWithStatus(exc.error_status_hint, str(exc)) from exc
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self._stream.receive(const.READ_BYTES)
            except (
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                raise _Left from None
            self._receive(data)

    def _receive(self, data: bytes) -> None:
        try:
            self._protocol.receive_data(data)
        except h11.RemoteProtocolError as exc:
            raise _EndWithStatus(exc.error_status_hint, str(exc)) from exc

    async def _write(self, data: bytes | None) -> None:
        if not data:
            return
        try:
            await self._stream.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as exc:
            raise ReplyError("the caller's connection is gone") from exc

    async def _refuse(self, status: int) -> None:
        """Answer a request that can't be read, then close the connection."""
        if self._protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [(b"content-length", b"0"), (b"connection", b"close")]
        head = h11.Response(
            status_code=status, headers=headers, reason=_REASONS.get(status, b"")
        )
        try:
            await self._write(self._protocol.send(head))
            await self._write(self._protocol.send(h11.EndOfMessage()))
        except ReplyError:
            return
        await self._close_softly()

    async def _close_softly(self) -> bool:
        """End the own side, and read on for a while so that no reset is sent."""
        if self._protocol.our_state in (h11.SEND_BODY, h11.SEND_RESPONSE):
            return False
        try:
            with anyio.move_on_after(seconds(const.LINGER_MS)):
                await self._stream.send_eof()
                while True:
                    await self._stream.receive(const.READ_BYTES)
        except (
            OSError,
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            return False
        return False


def _check_head(head: h11.Request, limits: CallerLimits) -> str:
    """Return the host of a request whose framing leaves no doubt.

    :raises _EndWithStatus: it could be read in two ways, or is too large
    """
    names = [name for name, _ in head.headers]
    if b"content-length" in names and b"transfer-encoding" in names:
        raise _EndWithStatus(400, "both content-length and transfer-encoding are given")
    if names.count(b"host") != 1:
        raise _EndWithStatus(400, "there must be one host header")
    if not head.target.startswith(b"/"):
        raise _EndWithStatus(400, "the target must be a path")
    if (
        sum(len(name) + len(value) for name, value in head.headers)
        > limits.header_bytes
    ):
        raise _EndWithStatus(431, f"the head has over {limits.header_bytes} bytes")
    headers = dict(head.headers)
    length = headers.get(b"content-length")
    if length is not None and int(length) > limits.body_bytes:
        raise _EndWithStatus(413, f"the body has over {limits.body_bytes} bytes")
    host = headers[b"host"].decode("latin-1").lower()
    return host.partition(":")[0]
