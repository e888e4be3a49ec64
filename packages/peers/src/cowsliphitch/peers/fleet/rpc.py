"""gRPC client and server for the calls between daemons."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from grpclib.client import Channel
from grpclib.config import Configuration
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server

from cowsliphitch.core.clock import seconds
from cowsliphitch.core.limits.models import Decision, PermitRequest

from ..wire import fleet_pb2 as pb
from ..wire.fleet_grpc import FleetBase, FleetStub
from . import const, convert
from .guard import GuardedServer
from .models import (
    BeginTrial,
    DocumentQuery,
    DocumentReply,
    EndTrial,
    EngineProgressReport,
    PeerCallFailed,
    PeerRequestHandlers,
    RunStagesReply,
    RunStagesRequest,
    TrialReply,
)

_GRPC_CONFIG = Configuration(
    _keepalive_time=const.KEEPALIVE_INTERVAL_S,
    _keepalive_timeout=const.KEEPALIVE_TIMEOUT_S,
    _http2_max_pings_without_data=0,
    _http2_min_sent_ping_interval_without_data=const.KEEPALIVE_INTERVAL_S,
)

T = TypeVar("T")

_CALL_ERRORS = (TimeoutError, OSError, GRPCError, StreamTerminatedError)


class FleetServer(FleetBase):
    """Serve the calls of other daemons."""

    def __init__(self, handlers: PeerRequestHandlers) -> None:
        """Initialize with the callbacks that do the work."""
        self._handlers = handlers

    async def RunStages(self, stream: Any) -> None:
        """Run the stages of a peer's request."""
        message = await _receive(stream)
        try:
            request = convert.request_from_wire(message)
        except ValueError as exc:
            raise GRPCError(Status.INVALID_ARGUMENT, str(exc)) from exc
        reply = await self._handlers.run_stages(request)
        await stream.send_message(convert.reply_to_wire(reply))

    async def Note(self, stream: Any) -> None:
        """Record the progress of a request at its engine."""
        self._handlers.record_progress(
            convert.progress_from_wire(await _receive(stream))
        )
        await stream.send_message(pb.ProgressReply())

    async def AcquirePermit(self, stream: Any) -> None:
        """Grant or deny a peer's request to a limited server."""
        message = await _receive(stream)
        try:
            request = convert.permit_request_from_wire(message)
        except ValueError as exc:
            raise GRPCError(Status.INVALID_ARGUMENT, str(exc)) from exc
        decision = self._handlers.grant_permit(request)
        await stream.send_message(convert.decision_to_wire(decision))

    async def BeginTrial(self, stream: Any) -> None:
        """Decide whether a peer may send a copy of a suspect request."""
        message = await _receive(stream)
        try:
            request = convert.begin_trial_from_wire(message)
        except ValueError as exc:
            raise GRPCError(Status.INVALID_ARGUMENT, str(exc)) from exc
        reply = self._handlers.begin_trial(request)
        await stream.send_message(convert.trial_reply_to_wire(reply))

    async def EndTrial(self, stream: Any) -> None:
        """Record that a peer's copy of a suspect request was judged."""
        message = await _receive(stream)
        try:
            report = convert.end_trial_from_wire(message)
        except ValueError as exc:
            raise GRPCError(Status.INVALID_ARGUMENT, str(exc)) from exc
        self._handlers.end_trial(report)
        await stream.send_message(pb.TrialEnded())

    async def FetchDocument(self, stream: Any) -> None:
        """Return the operator's document if it is newer than the peer's."""
        message = await _receive(stream)
        reply = self._handlers.get_document(
            DocumentQuery(message.above_version, message.compressed, message.base)
        )
        await stream.send_message(
            pb.Document(
                version=reply.version,
                content=reply.content,
                compressed=reply.compressed,
                difference=reply.difference,
            )
        )


def make_server(handlers: PeerRequestHandlers) -> Server:
    """Create the gRPC server; the caller starts it."""
    return GuardedServer([FleetServer(handlers)], config=_GRPC_CONFIG)


class PeerConnections:
    """One connection to each peer, opened when it is first used."""

    def __init__(self) -> None:
        """Initialize without connections."""
        self._channels: dict[str, Channel] = {}

    def disconnect(self, address: str) -> None:
        """Close the connection to a peer; its pending calls fail at once."""
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    def addresses(self) -> list[str]:
        """Return the addresses of the peers with an open connection."""
        return list(self._channels)

    def close(self) -> None:
        """Close all connections."""
        for address in self.addresses():
            self.disconnect(address)

    async def run_stages(
        self, address: str, request: RunStagesRequest
    ) -> RunStagesReply | PeerCallFailed:
        """Have a peer run the stages of a request.

        :returns: the peer's reply, or why there is no usable one
        """
        timeout_s = (
            seconds(max(0, request.remaining_ms)) + const.RUN_STAGES_TIMEOUT_MARGIN_S
        )
        message = convert.request_to_wire(request)
        try:
            reply = await _run_in_own_task(
                self._stub(address).RunStages(message, timeout=timeout_s)
            )
            return convert.reply_from_wire(reply)
        except ValueError as exc:
            return PeerCallFailed(f"{address} gave an answer that can't be read: {exc}")
        except _CALL_ERRORS as exc:
            return PeerCallFailed(f"{address} gave no answer: {type(exc).__name__}")

    async def report_progress(
        self, address: str, report: EngineProgressReport
    ) -> PeerCallFailed | None:
        """Report the progress of a request at its engine to a peer.

        :returns: why the report may be lost, ``None`` if the peer has it
        """
        try:
            await _run_in_own_task(
                self._stub(address).Note(
                    convert.progress_to_wire(report),
                    timeout=const.REPORT_PROGRESS_TIMEOUT_S,
                )
            )
        except _CALL_ERRORS as exc:
            return PeerCallFailed(f"{address} gave no answer: {type(exc).__name__}")
        return None

    async def acquire_permit(
        self, address: str, request: PermitRequest
    ) -> Decision | PeerCallFailed:
        """Ask a peer for a request to a limited server.

        :returns: the decision, or why there is none
        """
        try:
            reply = await _run_in_own_task(
                self._stub(address).AcquirePermit(
                    convert.permit_request_to_wire(request),
                    timeout=const.ACQUIRE_PERMIT_TIMEOUT_S,
                )
            )
        except _CALL_ERRORS as exc:
            return PeerCallFailed(f"{address} gave no answer: {type(exc).__name__}")
        return convert.decision_from_wire(reply)

    async def begin_trial(
        self, address: str, request: BeginTrial
    ) -> TrialReply | PeerCallFailed:
        """Ask a peer whether a copy of a suspect request may be sent.

        :returns: the reply, or why there is none
        """
        try:
            reply = await _run_in_own_task(
                self._stub(address).BeginTrial(
                    convert.begin_trial_to_wire(request),
                    timeout=const.TRIAL_TIMEOUT_S,
                )
            )
        except _CALL_ERRORS as exc:
            return PeerCallFailed(f"{address} gave no answer: {type(exc).__name__}")
        return convert.trial_reply_from_wire(reply)

    async def end_trial(self, address: str, report: EndTrial) -> PeerCallFailed | None:
        """Report to a peer that a copy of a suspect request was judged.

        :returns: why the report may be lost, ``None`` if the peer has it
        """
        try:
            await _run_in_own_task(
                self._stub(address).EndTrial(
                    convert.end_trial_to_wire(report), timeout=const.TRIAL_TIMEOUT_S
                )
            )
        except _CALL_ERRORS as exc:
            return PeerCallFailed(f"{address} gave no answer: {type(exc).__name__}")
        return None

    async def fetch_document(
        self,
        address: str,
        query: DocumentQuery,
        timeout_s: float = const.FETCH_DOCUMENT_TIMEOUT_S,
    ) -> DocumentReply | PeerCallFailed | None:
        """Fetch the operator's document from a peer.

        :param timeout_s: time in seconds after which the call fails
        :returns: the document, ``None`` if the peer has none that is newer, or why the
            call failed
        """
        message = pb.DocumentRequest(
            above_version=query.above_version,
            compressed=query.is_compressed,
            base=query.base,
        )
        try:
            reply = await _run_in_own_task(
                self._stub(address).FetchDocument(message, timeout=timeout_s)
            )
        except _CALL_ERRORS as exc:
            return PeerCallFailed(f"{address} gave no answer: {type(exc).__name__}")
        if reply.version <= query.above_version:
            return None
        return DocumentReply(
            reply.version, reply.content, reply.compressed, reply.difference
        )

    def _stub(self, address: str) -> FleetStub:
        channel = self._channels.get(address)
        if channel is None:
            host, _, port = address.rpartition(":")
            channel = Channel(host, int(port), config=_GRPC_CONFIG)
            self._channels[address] = channel
        return FleetStub(channel)


async def _run_in_own_task(call: Coroutine[Any, Any, T]) -> T:
    """Await a gRPC call in a separate task.

    When a connection is lost, grpclib cancels the tasks of its pending calls.  Inside
    a task group this would look like a cancellation of the group.

    :raises StreamTerminatedError: grpclib cancelled the call
    """
    task = asyncio.get_running_loop().create_task(call)
    try:
        return await task
    except asyncio.CancelledError:
        current = asyncio.current_task()
        if task.cancelled() and current is not None and not current.cancelling():
            raise StreamTerminatedError(
                "connection lost; grpclib cancelled the call"
            ) from None
        raise


async def _receive(stream: Any) -> Any:
    message = await stream.recv_message()
    if message is None:
        raise GRPCError(Status.INVALID_ARGUMENT, "the call has no message")
    return message
