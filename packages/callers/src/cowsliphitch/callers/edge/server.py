"""Listen for callers and serve their connections."""

import logging
from collections.abc import Callable

import anyio
from anyio.abc import SocketStream, TaskStatus

from cowsliphitch.core.clock import Clock
from cowsliphitch.core.deployment.models import CallerLimits

from . import const
from .connection import CallerConnection
from .models import Diagnostics, Handler

_LOGGER = logging.getLogger(__name__)


class EdgeServer:
    """One listening address.

    :param address: host and port
    :param max_connections: connections beyond this are closed at once
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        limits: Callable[[], CallerLimits],
        max_connections: int,
        clock: Clock,
    ) -> None:
        """Open nothing yet."""
        self._address = address
        self._handler = handler
        self._limits = limits
        self._max_connections = max_connections
        self._clock = clock
        self._closing = False
        self.diagnostics = Diagnostics()

    def disable_keep_alive(self) -> None:
        """Let every answer from now on end its connection."""
        self._closing = True

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept connections until cancelled."""
        host, _, port = self._address.rpartition(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port), backlog=const.LISTEN_BACKLOG
        )
        task_status.started()
        async with listener:
            await listener.serve(self._serve)
        # A daemon that is deaf but looks alive is worse than one that restarts.
        raise RuntimeError(f"the listener of {self._address} has ended")

    async def _serve(self, stream: SocketStream) -> None:
        diagnostics = self.diagnostics
        if diagnostics.connections >= self._max_connections:
            diagnostics.refused_connections += 1
            await anyio.aclose_forcefully(stream)
            return
        diagnostics.connections += 1
        connection = CallerConnection(
            stream,
            self._handler,
            self._limits,
            lambda: self._closing,
            diagnostics,
            self._clock,
        )
        try:
            await connection.serve()
        except Exception:
            _LOGGER.exception("A caller's connection ended with an error")
        finally:
            diagnostics.connections -= 1
