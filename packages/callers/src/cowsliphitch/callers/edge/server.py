"""Listener that accepts callers' connections, with a limit on their number."""

import logging
import sys
from collections.abc import Callable

import anyio
from anyio.abc import SocketStream, TaskStatus

from cowsliphitch.core.clock import Clock
from cowsliphitch.core.deployment.models import CallerLimits
from cowsliphitch.core.overload.buffers import BufferBudget

from . import const
from .connection import CallerConnection
from .models import Diagnostics, Handler

_LOGGER = logging.getLogger(__name__)


class EdgeServer:
    """HTTP server on one address.

    :param address: host and port
    :param handler: answers each request
    :param limits: returns the limits in force
    :param max_connections: limit of open connections; further ones are closed at once
    :param budget: memory for the bodies of requests, without a limit by default
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        limits: Callable[[], CallerLimits],
        max_connections: int,
        clock: Clock,
        budget: BufferBudget | None = None,
    ) -> None:
        """Initialize the server; :meth:`run` opens the listening socket."""
        self._budget = budget or BufferBudget(sys.maxsize)
        self._address = address
        self._handler = handler
        self._limits = limits
        self._max_connections = max_connections
        self._clock = clock
        self._keep_alive_disabled = False
        self.diagnostics = Diagnostics()

    def disable_keep_alive(self) -> None:
        """Close each connection after its next answer, so that the daemon can stop."""
        self._keep_alive_disabled = True

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept connections until cancelled.

        :raises RuntimeError: the listening socket was closed
        """
        host, _, port = self._address.rpartition(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port), backlog=const.LISTEN_BACKLOG
        )
        task_status.started()
        async with listener:
            await listener.serve(self._serve)
        # End the daemon, so that it restarts: otherwise it would look alive to its
        # peers without accepting connections.
        raise RuntimeError(
            f"listener on {self._address} stopped; no further connections are accepted"
        )

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
            lambda: self._keep_alive_disabled,
            diagnostics,
            self._clock,
            self._budget,
        )
        try:
            await connection.serve()
        except Exception:
            _LOGGER.exception("Unexpected error; closing the caller's connection")
        finally:
            diagnostics.connections -= 1
