"""Calls between daemons, and the server that answers them."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from grpclib.client import Channel
from grpclib.config import Configuration
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server

from cowsliphitch.core.clock import seconds

from ..wire import fleet_pb2 as pb
from ..wire.fleet_grpc import FleetBase, FleetStub
from . import const, convert
from .models import (
    EngineProgressReport,
    PeerCallFailed,
    PeerRequestHandlers,
    RunStagesReply,
    RunStagesRequest,
)

_CONFIG = Configuration(
    _keepalive_time=const.PROBE_AFTER_S,
    _keepalive_timeout=const.PROBE_TIMEOUT_S,
    _http2_max_pings_without_data=0,
    _http2_min_sent_ping_interval_without_data=const.PROBE_AFTER_S,
)

T = TypeVar("T")

_FAILURES = (TimeoutError, OSError, GRPCError, StreamTerminatedError)


class FleetServer(FleetBase):
    """Answer the other daemons."""

    def __init__(self, services: PeerRequestHandlers) -> None:
        """Use what this daemon does for its peers."""
        self._services = services

    async def RunStages(self, stream: Any) -> None:
        """Do the stages of a request."""
        message = await _receive(stream)
        try:
            order = convert.request_from_wire(message)
        except ValueError as exc:
            raise GRPCError(Status.INVALID_ARGUMENT, str(exc)) from exc
        reply = await self._services.run_stages(order)
        await stream.send_message(convert.reply_to_wire(reply))

    async def Note(self, stream: Any) -> None:
        """Take over what became of a request at its engine."""
        self._services.record_progress(
            convert.progress_from_wire(await _receive(stream))
        )
        await stream.send_message(pb.ProgressReply())

    async def FetchDocument(self, stream: Any) -> None:
        """Hand over the operator's document if it is newer."""
        message = await _receive(stream)
        version, content = self._services.get_document(message.above_version)
        await stream.send_message(pb.Document(version=version, content=content))


def make_server(services: PeerRequestHandlers) -> Server:
    """Return the server, which is not listening yet."""
    return Server([FleetServer(services)], config=_CONFIG)


class PeerConnections:
    """One connection to each peer, opened when it is first used."""

    def __init__(self) -> None:
        """Open nothing yet."""
        self._channels: dict[str, Channel] = {}

    def disconnect(self, address: str) -> None:
        """Close the connection to a peer; its pending calls fail at once."""
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    def addresses(self) -> list[str]:
        """Return the peers to which a connection was opened."""
        return list(self._channels)

    def close(self) -> None:
        """Close all connections."""
        for address in self.addresses():
            self.disconnect(address)

    async def run_stages(
        self, address: str, order: RunStagesRequest
    ) -> RunStagesReply | PeerCallFailed:
        """Ask a peer for the stages of a request."""
        timeout_s = seconds(max(0, order.remaining_ms)) + const.CALL_MARGIN_S
        message = convert.request_to_wire(order)
        try:
            reply = await _apart(
                self._stub(address).RunStages(message, timeout=timeout_s)
            )
            return convert.reply_from_wire(reply)
        except ValueError as exc:
            return PeerCallFailed(f"{address} gave an answer that can't be read: {exc}")
        except _FAILURES as exc:
            return PeerCallFailed(f"{address} gave no answer: {type(exc).__name__}")

    async def report_progress(
        self, address: str, note: EngineProgressReport
    ) -> PeerCallFailed | None:
        """Tell a peer what became of a request at its engine."""
        try:
            await _apart(
                self._stub(address).Note(
                    convert.progress_to_wire(note), timeout=const.NOTE_TIMEOUT_S
                )
            )
        except _FAILURES as exc:
            return PeerCallFailed(f"{address} gave no answer: {type(exc).__name__}")
        return None

    async def fetch_document(
        self, address: str, above_version: int
    ) -> bytes | PeerCallFailed | None:
        """Read a peer's operator document if it is above a version."""
        message = pb.DocumentRequest(above_version=above_version)
        try:
            reply = await _apart(
                self._stub(address).FetchDocument(
                    message, timeout=const.FETCH_TIMEOUT_S
                )
            )
        except _FAILURES as exc:
            return PeerCallFailed(f"{address} gave no answer: {type(exc).__name__}")
        return reply.content if reply.version > above_version else None

    def _stub(self, address: str) -> FleetStub:
        channel = self._channels.get(address)
        if channel is None:
            host, _, port = address.rpartition(":")
            channel = Channel(host, int(port), config=_CONFIG)
            self._channels[address] = channel
        return FleetStub(channel)


async def _apart(call: Coroutine[Any, Any, T]) -> T:
    """Await a call of the library in a task of its own.

    The library ends a call whose connection is lost by cancelling its task.  In a task
    of a group that would look like a cancellation of the group.

    :raises StreamTerminatedError: the call was ended
    """
    task = asyncio.get_running_loop().create_task(call)
    try:
        return await task
    except asyncio.CancelledError:
        own = asyncio.current_task()
        if task.cancelled() and own is not None and not own.cancelling():
            raise StreamTerminatedError("the call was ended") from None
        raise


async def _receive(stream: Any) -> Any:
    message = await stream.recv_message()
    if message is None:
        raise GRPCError(Status.INVALID_ARGUMENT, "the call has no message")
    return message
