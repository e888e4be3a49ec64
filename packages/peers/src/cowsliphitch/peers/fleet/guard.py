"""Limits of the connections to the gRPC server.

Fault: something that is no daemon connects to the peers' address.  The HTTP/2 library
checks the length of a frame only once it has received the whole frame, up to 16 MB, and
answers each ping and each change of settings, whether its answers are read or not.
Here a connection is closed once it announces a frame over the limit, sends more such
frames than daemons do, or leaves too much unread.
"""

import asyncio
from typing import Any, Final, cast

from grpclib.protocol import H2Protocol
from grpclib.server import Server

from cowsliphitch.core.clock import MS_PER_SECOND, Clock

from . import const

_PREFACE_BYTES: Final = 24
_FRAME_HEAD_BYTES: Final = 9
_LENGTH_BYTES: Final = 3

# Frames of calls (RFC 9113, section 6): data, headers, resets, window updates and
# continuations.
_CALL_FRAMES: Final = frozenset({0x0, 0x1, 0x3, 0x8, 0x9})


class FrameLimits:
    """Follows the frames of one connection without keeping their bytes."""

    def __init__(self) -> None:
        """Initialize before the preface of the connection."""
        self._head = b""
        self._skipped = _PREFACE_BYTES
        self._second = 0
        self._control_frames = 0

    def accepts(self, data: bytes, now_ms: int) -> bool:
        """Return whether the frames that begin in these bytes keep to the limits.

        :param now_ms: monotonic time
        """
        if now_ms // MS_PER_SECOND != self._second:
            self._second = now_ms // MS_PER_SECOND
            self._control_frames = 0
        at = 0
        while True:
            skipped = min(self._skipped, len(data) - at)
            self._skipped -= skipped
            at += skipped
            missing = _FRAME_HEAD_BYTES - len(self._head)
            self._head += data[at : at + missing]
            at += missing
            if len(self._head) < _FRAME_HEAD_BYTES:
                return True
            length = int.from_bytes(self._head[:_LENGTH_BYTES], "big")
            self._control_frames += self._head[_LENGTH_BYTES] not in _CALL_FRAMES
            if (
                length > const.MAX_FRAME_BYTES
                or self._control_frames > const.MAX_CONTROL_FRAMES_PER_S
            ):
                return False
            self._head, self._skipped = b"", length


class GuardedServer(Server):
    """gRPC server with a limit on its connections and on what each may hold."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Initialize without connections."""
        super().__init__(*args, **kwargs)
        self.transports: set[asyncio.Transport] = set()

    @property
    def unsent_bytes(self) -> int:
        """Return how many bytes wait for the peers to read them."""
        return sum(t.get_write_buffer_size() for t in self.transports)

    # The library has no other way to choose the protocol of a connection.
    def _protocol_factory(self) -> H2Protocol:
        protocol = super()._protocol_factory()
        return cast(H2Protocol, _GuardedProtocol(self, protocol))


class _GuardedProtocol(asyncio.Protocol):
    """Passes a connection's bytes on to the library while it keeps to the limits."""

    def __init__(self, server: GuardedServer, protocol: H2Protocol) -> None:
        self._server = server
        self._protocol = protocol
        self._frames = FrameLimits()
        self._clock = Clock()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the connection, unless there are too many."""
        if len(self._server.transports) >= const.MAX_CONNECTIONS:
            cast(asyncio.Transport, transport).abort()
            # The server keeps the handlers of calls until they are closed.
            self._protocol.handler.close()
            return
        self._transport = cast(asyncio.Transport, transport)
        self._server.transports.add(self._transport)
        self._protocol.connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Pass bytes on, or close the connection."""
        if self._transport is None:
            return
        is_accepted = self._frames.accepts(data, self._clock.now_ms())
        if not is_accepted or self._leaves_too_much_unread():
            self._transport.abort()
            return
        self._protocol.data_received(data)

    def _leaves_too_much_unread(self) -> bool:
        assert self._transport is not None
        return (
            self._transport.get_write_buffer_size() > const.MAX_UNREAD_BYTES
            and self._server.unsent_bytes > const.MAX_ALL_UNREAD_BYTES
        )

    def pause_writing(self) -> None:
        """Have the library wait until the peer reads."""
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        """Have the library write again."""
        self._protocol.resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the calls of the connection."""
        if self._transport is not None:
            self._server.transports.discard(self._transport)
            self._protocol.connection_lost(exc)
