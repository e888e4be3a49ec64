"""Stand-in of the network before one daemon: passes bytes on, or drops them all."""

import anyio
from anyio.abc import ByteStream, SocketStream
from starlette.applications import Starlette

from cowsliphitch.core.clock import seconds

from .const import LOOPBACK
from .faults import Faults
from .server import serve

CHUNK_BYTES = 65_536
CUT_POLL_MS = 20


class Relay:
    """A TCP relay whose ``hang`` switch cuts the daemon off without a word."""

    def __init__(self, listen: int, target: str) -> None:
        """Remember where to listen and where to pass bytes on."""
        self._listen = listen
        self._host, _, port = target.rpartition(":")
        self._port = int(port)
        self.faults = Faults()

    async def run(self, control_port: int) -> None:
        """Relay, and serve the fault switches, until told to stop."""
        listener = await anyio.create_tcp_listener(
            local_host=LOOPBACK, local_port=self._listen
        )
        app = Starlette(routes=[self.faults.route()])
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, self._handle)
            await serve(app, control_port)
            group.cancel_scope.cancel()

    async def _handle(self, caller: SocketStream) -> None:
        async with caller:
            await self._while_cut()
            try:
                target = await anyio.connect_tcp(self._host, self._port)
            except OSError:
                return
            async with target, anyio.create_task_group() as group:
                group.start_soon(self._pass, caller, target, group.cancel_scope)
                group.start_soon(self._pass, target, caller, group.cancel_scope)

    async def _pass(
        self, source: ByteStream, sink: ByteStream, scope: anyio.CancelScope
    ) -> None:
        try:
            while True:
                data = await source.receive(CHUNK_BYTES)
                await self._while_cut()
                await sink.send(data)
        except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
            scope.cancel()

    async def _while_cut(self) -> None:
        while self.faults.hang:
            await anyio.sleep(seconds(CUT_POLL_MS))
