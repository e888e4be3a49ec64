"""Stand-in for the network in front of one daemon.

It forwards TCP connections.  It can also simulate a network partition: connections
stay open, and no bytes pass until the partition ends.
"""

import anyio
from anyio.abc import ByteStream, SocketStream
from starlette.applications import Starlette

from cowsliphitch.core.clock import seconds

from .const import LOOPBACK
from .faults import Faults
from .server import serve

CHUNK_BYTES = 65_536
PARTITION_POLL_MS = 20


class Relay:
    """TCP relay between a daemon and its peers.

    The ``hang`` switch isolates the daemon without closing connections.
    """

    def __init__(self, listen_port: int, target: str) -> None:
        """Set the listening port and the destination.

        :param listen_port: port on the loopback address that accepts connections
        :param target: ``host:port`` to forward to
        """
        self._listen_port = listen_port
        self._host, _, port = target.rpartition(":")
        self._port = int(port)
        self.faults = Faults()

    async def run(self, control_port: int) -> None:
        """Relay connections and serve the fault switches until SIGTERM or SIGINT.

        :param control_port: port of the HTTP interface with the fault switches
        """
        listener = await anyio.create_tcp_listener(
            local_host=LOOPBACK, local_port=self._listen_port
        )
        app = Starlette(routes=[self.faults.route()])
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, self._handle_connection)
            await serve(app, control_port)
            group.cancel_scope.cancel()

    async def _handle_connection(self, client: SocketStream) -> None:
        async with client:
            await self._wait_while_partitioned()
            try:
                target = await anyio.connect_tcp(self._host, self._port)
            except OSError:
                return
            async with target, anyio.create_task_group() as group:
                group.start_soon(self._forward, client, target, group.cancel_scope)
                group.start_soon(self._forward, target, client, group.cancel_scope)

    async def _forward(
        self, source: ByteStream, sink: ByteStream, scope: anyio.CancelScope
    ) -> None:
        try:
            while True:
                data = await source.receive(CHUNK_BYTES)
                await self._wait_while_partitioned()
                await sink.send(data)
        except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
            scope.cancel()

    async def _wait_while_partitioned(self) -> None:
        while self.faults.hang:
            await anyio.sleep(seconds(PARTITION_POLL_MS))
