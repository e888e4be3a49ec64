"""Heartbeats between daemons over UDP.

Load pattern: many daemons send heartbeats while the event loop is busy, so that
datagrams pile up in the socket's buffer.  All of them are read at once, and only the
latest of each peer is decoded and applied.
"""

import logging
import socket
from collections.abc import Awaitable, Callable, Iterable
from contextlib import closing, suppress

import anyio
from anyio.abc import TaskStatus

from . import const, convert
from .models import Heartbeat

_LOGGER = logging.getLogger(__name__)


class HeartbeatSocket:
    """UDP socket that sends and receives a daemon's heartbeats.

    :param address: host and port to listen on
    :param on_heartbeat: called for each valid heartbeat
    """

    def __init__(
        self, address: str, on_heartbeat: Callable[[Heartbeat], Awaitable[None]]
    ) -> None:
        """Initialize without a socket; ``run`` opens it."""
        self._address = address
        self._on_heartbeat = on_heartbeat
        self._socket: socket.socket | None = None
        self.malformed_datagrams = 0
        self.superseded_datagrams = 0

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Open the socket and receive heartbeats until cancelled."""
        host, _, port = self._address.rpartition(":")
        with closing(socket.socket(socket.AF_INET, socket.SOCK_DGRAM)) as sock:
            sock.setblocking(False)
            sock.bind((host, int(port)))
            self._socket = sock
            task_status.started()
            while True:
                await anyio.wait_readable(sock)
                for address, content in self._read_latest(sock).items():
                    await self._apply(content, address)

    def _read_latest(self, sock: socket.socket) -> dict[str, bytes]:
        """Read the buffered datagrams; return the last one of each peer by address."""
        latest: dict[str, bytes] = {}
        for _ in range(const.MAX_DATAGRAMS_PER_READ):
            try:
                content, (host, port) = sock.recvfrom(const.MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                break
            except OSError as exc:
                _LOGGER.warning("Heartbeat not received, waiting for the next: %s", exc)
                break
            address = f"{host}:{port}"
            self.superseded_datagrams += address in latest
            latest[address] = content
        return latest

    async def _apply(self, content: bytes, address: str) -> None:
        try:
            heartbeat = convert.heartbeat_from_wire(content, address)
        except ValueError as exc:
            self.malformed_datagrams += 1
            _LOGGER.warning("Heartbeat datagram dropped: %s", exc)
            return
        await self._on_heartbeat(heartbeat)

    async def send(self, heartbeat: Heartbeat, addresses: Iterable[str]) -> None:
        """Send a heartbeat to peers.

        Errors of the socket are ignored: they amount to a lost datagram, and the next
        heartbeat follows soon.
        """
        if self._socket is None:
            return
        content = convert.heartbeat_to_wire(heartbeat)
        if len(content) > const.MAX_DATAGRAM_BYTES:
            _LOGGER.warning(
                "Heartbeat not sent: %d bytes exceed the limit of %d bytes",
                len(content),
                const.MAX_DATAGRAM_BYTES,
            )
            return
        for address in addresses:
            host, _, port = address.rpartition(":")
            with suppress(OSError):
                self._socket.sendto(content, (host, int(port)))
