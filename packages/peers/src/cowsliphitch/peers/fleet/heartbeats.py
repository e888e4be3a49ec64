"""Heartbeats between daemons over UDP."""

import logging
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress

import anyio
from anyio.abc import TaskStatus, UDPSocket

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
        self._socket: UDPSocket | None = None
        self._send_lock = anyio.Lock()
        self.malformed_datagrams = 0

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Open the socket and receive heartbeats until cancelled."""
        host, _, port = self._address.rpartition(":")
        async with await anyio.create_udp_socket(
            local_host=host, local_port=int(port)
        ) as sock:
            self._socket = sock
            task_status.started()
            async for content, (peer_host, peer_port) in sock:
                try:
                    heartbeat = convert.heartbeat_from_wire(
                        content, f"{peer_host}:{peer_port}"
                    )
                except ValueError as exc:
                    self.malformed_datagrams += 1
                    _LOGGER.warning("Heartbeat datagram dropped: %s", exc)
                    continue
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
            async with self._send_lock:
                with suppress(OSError, anyio.BrokenResourceError):
                    await self._socket.sendto(content, host, int(port))
