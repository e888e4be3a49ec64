"""Byte stream of one caller's connection, with bounded input.

Fault: a caller sends without end.  anyio's streams read an accepted socket from the
start, 256 KB at a time, whether anybody takes the bytes or not, until a read has waited
for the first time.  Here the socket is read only while :meth:`CallerStream.receive`
waits, and at most as much as it asks for.
"""

import asyncio
import fcntl
import select
import socket
import struct
import termios
from collections.abc import Callable
from typing import Any, Final, cast

import anyio
from anyio.lowlevel import cancel_shielded_checkpoint, checkpoint

from . import const

# State in the first byte of the kernel's TCP_INFO: neither side has closed.
_TCP_ESTABLISHED: Final = 1

# The event loop reads one socket at a time, and the bytes are copied at once, so that
# all connections share the memory that they are read into.
_READ_BUFFER: Final = memoryview(bytearray(const.READ_BYTES))

_RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)


def has_left(sock: socket.socket) -> bool:
    """Return whether the other side of a connection has closed it."""
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    return info[0] != _TCP_ESTABLISHED


class CallerStream(asyncio.BufferedProtocol):
    """Stream over an accepted socket.

    :param on_open: called once the stream may be used
    """

    def __init__(self, on_open: Callable[["CallerStream"], None]) -> None:
        """Initialize the stream; the event loop calls ``connection_made``."""
        self._on_open = on_open
        self._received = b""
        self._max_read = const.READ_BYTES
        self._has_ended = False
        self._is_lost = False
        self._written_bytes = 0
        self._readable = anyio.Event()
        self._drained = anyio.Event()
        self._lost = anyio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, and read nothing before it is asked for."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.pause_reading()
        self._transport.set_write_buffer_limits(0)
        self._socket = cast(socket.socket, transport.get_extra_info("socket"))
        self._on_open(self)

    def get_buffer(self, sizehint: int) -> Any:
        """Return the memory that the next bytes are read into."""
        return _READ_BUFFER[: self._max_read]

    def buffer_updated(self, nbytes: int) -> None:
        """Copy the bytes that were read, and read no more until they are taken."""
        self._received += bytes(_READ_BUFFER[:nbytes])
        self._transport.pause_reading()
        self._readable.set()

    def eof_received(self) -> bool:
        """Record that the caller ended its side; answers may still be sent."""
        self._has_ended = True
        self._readable.set()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake up what waits on the connection."""
        self._has_ended = self._is_lost = True
        self._readable.set()
        self._drained.set()
        self._lost.set()

    def pause_writing(self) -> None:
        """Record that the operating system takes no more output at present."""
        self._drained = anyio.Event()

    def resume_writing(self) -> None:
        """Record that the operating system has taken all output."""
        self._drained.set()

    @property
    def is_lost(self) -> bool:
        """Return whether the connection is closed."""
        return self._is_lost or self._transport.is_closing()

    @property
    def written_bytes(self) -> int:
        """Return how many bytes were written so far."""
        return self._written_bytes

    @property
    def unsent_bytes(self) -> int:
        """Return how many bytes the process holds that were not sent."""
        return self._transport.get_write_buffer_size()

    @property
    def unread_bytes(self) -> int:
        """Return how many bytes the caller has not acknowledged."""
        if self.is_lost:
            return 0
        queued = fcntl.ioctl(self._socket.fileno(), termios.TIOCOUTQ, b"\0" * 4)
        return self.unsent_bytes + int(struct.unpack("i", queued)[0])

    @property
    def has_input(self) -> bool:
        """Return whether input has arrived that was not taken by a receiver."""
        if self._received or self.is_lost:
            return bool(self._received)
        poll = select.poll()
        poll.register(self._socket.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    @property
    def has_caller_left(self) -> bool:
        """Return whether the caller closed its side, also behind unread input."""
        if self.is_lost:
            return True
        return has_left(self._socket)

    async def receive(self, max_bytes: int) -> bytes:
        """Return the next bytes.

        :raises anyio.EndOfStream: the caller ended its side, or the connection is lost
        """
        if self._received or self._has_ended:
            await checkpoint()
        else:
            self._readable = anyio.Event()
            self._max_read = max_bytes
            self._transport.resume_reading()
            try:
                await self._readable.wait()
            finally:
                self._transport.pause_reading()
        data, self._received = self._received[:max_bytes], self._received[max_bytes:]
        if not data:
            raise anyio.EndOfStream
        return data

    def write(self, data: bytes | memoryview) -> None:
        """Send bytes, and keep those that the operating system does not take.

        :raises anyio.BrokenResourceError: the connection is lost
        """
        if self.is_lost:
            raise anyio.BrokenResourceError
        self._transport.write(data)
        self._written_bytes += len(data)

    async def wait_drained(self) -> None:
        """Wait until the process holds no output.

        :raises anyio.BrokenResourceError: the connection is lost
        """
        if self.unsent_bytes:
            await self._drained.wait()
        else:
            await cancel_shielded_checkpoint()
        if self.is_lost:
            raise anyio.BrokenResourceError

    async def wait_lost(self) -> None:
        """Wait until the connection is closed by this side, or a write fails."""
        await self._lost.wait()

    def send_eof(self) -> None:
        """End this side of the connection."""
        if not self.is_lost:
            self._transport.write_eof()

    def close(self) -> None:
        """Close the connection; the operating system sends what it has taken."""
        self._transport.abort()

    def reset(self) -> None:
        """Close the connection, and drop what the caller has not read."""
        if not self.is_lost:
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        self._transport.abort()
