"""Heartbeats between daemons over UDP.

Load pattern: many daemons send heartbeats while the event loop is busy, so that
datagrams pile up in the socket's buffer.  All of them are read at once, and only the
latest of each peer is applied; what goes with a heartbeat is taken from all of them.
"""

import logging
import socket
from collections.abc import Awaitable, Callable, Iterable, Sequence
from contextlib import closing, suppress

import anyio
from anyio.abc import TaskStatus

from . import const, convert
from .models import Exchange, Heartbeat

_LOGGER = logging.getLogger(__name__)


async def _ignore_exchange(_heartbeat: Heartbeat, _exchange: Exchange) -> None:
    """Leave out of account what came with a heartbeat."""


class HeartbeatSocket:
    """UDP socket that sends and receives a daemon's heartbeats.

    :param address: host and port to listen on
    :param on_heartbeat: called for each valid heartbeat
    :param on_exchange: called with a peer's latest heartbeat for all that came with
        its heartbeats, in their order
    """

    def __init__(
        self,
        address: str,
        on_heartbeat: Callable[[Heartbeat], Awaitable[None]],
        on_exchange: Callable[
            [Heartbeat, Exchange], Awaitable[None]
        ] = _ignore_exchange,
    ) -> None:
        """Initialize without a socket; ``run`` opens it."""
        self._address = address
        self._on_heartbeat = on_heartbeat
        self._on_exchange = on_exchange
        self._socket: socket.socket | None = None
        self.malformed_datagrams = 0
        self.failed_datagrams = 0
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
                for address, contents in self._read_all(sock).items():
                    try:
                        await self._apply(contents, address)
                    except Exception:
                        # One peer's datagram must not end the exchange with all others.
                        self.failed_datagrams += 1
                        _LOGGER.exception("Heartbeat of %s not applied", address)

    def _read_all(self, sock: socket.socket) -> dict[str, list[bytes]]:
        """Read the buffered datagrams; return those of each peer by address."""
        received: dict[str, list[bytes]] = {}
        for _ in range(const.MAX_DATAGRAMS_PER_READ):
            try:
                content, (host, port) = sock.recvfrom(const.MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                break
            except OSError as exc:
                _LOGGER.warning("Heartbeat not received, waiting for the next: %s", exc)
                break
            address = f"{host}:{port}"
            self.superseded_datagrams += address in received
            received.setdefault(address, []).append(content)
        return received

    async def _apply(self, contents: Sequence[bytes], address: str) -> None:
        """Apply the latest heartbeat of a peer, and all that came with the others."""
        try:
            heartbeat = convert.heartbeat_from_wire(contents[-1], address)
        except ValueError as exc:
            self._drop(exc)
            return
        await self._on_heartbeat(heartbeat)
        for content in contents[:-1]:
            try:
                exchange = convert.exchange_from_wire(content)
            except ValueError as exc:
                self._drop(exc)
                continue
            if not exchange.is_empty():
                await self._on_exchange(heartbeat, exchange)
        if not heartbeat.exchange.is_empty():
            await self._on_exchange(heartbeat, heartbeat.exchange)

    def _drop(self, cause: ValueError) -> None:
        self.malformed_datagrams += 1
        _LOGGER.warning("Heartbeat datagram dropped: %s", cause)

    async def send(self, heartbeat: Heartbeat, addresses: Iterable[str]) -> None:
        """Send a heartbeat to peers; see :meth:`send_encoded`."""
        await self.send_encoded(convert.heartbeat_to_wire(heartbeat), addresses)

    async def send_encoded(self, content: bytes, addresses: Iterable[str]) -> None:
        """Send an encoded heartbeat to peers.

        Errors of the socket are ignored: they amount to a lost datagram, and the next
        heartbeat or probe follows soon.
        """
        if self._socket is None:
            return
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
