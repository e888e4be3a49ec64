"""Send and receive heartbeats as datagrams."""

import logging
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress

import anyio
from anyio.abc import TaskStatus, UDPSocket

from . import const, convert
from .models import Heartbeat

_LOGGER = logging.getLogger(__name__)


class HeartbeatSocket:
    """One datagram socket for the heartbeats of a daemon.

    :param address: host and port to listen on
    :param on_heartbeat: called for each valid heartbeat
    """

    def __init__(
        self, address: str, on_heartbeat: Callable[[Heartbeat], Awaitable[None]]
    ) -> None:
        """Open nothing yet."""
        self._address = address
        self._on_heartbeat = on_heartbeat
        self._socket: UDPSocket | None = None
        self._sending = anyio.Lock()
        self.malformed = 0

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Receive until cancelled."""
        host, _, port = self._address.rpartition(":")
        async with await anyio.create_udp_socket(
            local_host=host, local_port=int(port)
        ) as sock:
            self._socket = sock
            task_status.started()
            async for content, (peer_host, peer_port) in sock:
                try:
                    beat = convert.heartbeat_from_wire(
                        content, f"{peer_host}:{peer_port}"
                    )
                except ValueError as exc:
                    self.malformed += 1
                    _LOGGER.warning("Datagram dropped: %s", exc)
                    continue
                await self._on_heartbeat(beat)

    async def send(self, beat: Heartbeat, addresses: Iterable[str]) -> None:
        """Send a heartbeat to peers; a datagram that can't leave is as good as lost."""
        if self._socket is None:
            return
        content = convert.heartbeat_to_wire(beat)
        if len(content) > const.MAX_DATAGRAM_BYTES:
            _LOGGER.warning("Heartbeat of %d bytes is not sent", len(content))
            return
        for address in addresses:
            host, _, port = address.rpartition(":")
            async with self._sending:
                with suppress(OSError, anyio.BrokenResourceError):
                    await self._socket.sendto(content, host, int(port))
