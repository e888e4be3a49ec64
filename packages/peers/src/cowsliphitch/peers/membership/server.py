"""The calls that other daemons make here."""

from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from cowsliphitch.core.clock import Clock
from cowsliphitch.core.vms.models import VmListing

from ..wire import convert, peers_pb2 as pb
from ..wire.peers_grpc import PeersBase
from . import const
from .coordinator import PeerCoordinator
from .models import Hooks


class PeerServer(PeersBase):
    """Answer the other daemons."""

    def __init__(
        self, coordinator: PeerCoordinator, hooks: Hooks, clock: Clock
    ) -> None:
        """Use the daemon's coordinator."""
        self._coordinator = coordinator
        self._hooks = hooks
        self._clock = clock

    async def Exchange(self, stream: Any) -> None:
        """Take a peer's digest and answer with what it lacks."""
        digest: pb.Digest = await _receive(stream)
        counts = {
            len(digest.ids),
            len(digest.heartbeat_ages),
            len(digest.version_ages),
        }
        if len(counts) != 1 or digest.ByteSize() > const.MAX_DIGEST_BYTES:
            self._coordinator.diagnostics.refused_senders += 1
            raise GRPCError(Status.INVALID_ARGUMENT, "the digest is not valid")
        self._coordinator.diagnostics.bytes_received += digest.ByteSize()
        self._coordinator.receive(digest)
        reply = self._coordinator.digest(for_peer=digest)
        self._coordinator.diagnostics.bytes_sent += reply.ByteSize()
        await stream.send_message(reply)

    async def FetchState(self, stream: Any) -> None:
        """Hand over the configuration and the VMs, as far as they are newer."""
        request: pb.StateRequest = await _receive(stream)
        snapshot = self._hooks.snapshot()
        if snapshot and snapshot.manifest.revision <= request.above_revision:
            snapshot = None
        listing: VmListing | None = self._hooks.listing()
        if listing and listing.seen_ms <= request.listing_above_ms:
            listing = None
        await stream.send_message(convert.state_to_wire(snapshot, listing))

    async def Append(self, stream: Any) -> None:
        """Append to an order log for a peer; the peer dispatches the order."""
        request: pb.AppendRequest = await _receive(stream)
        try:
            record = convert.order_from_wire(request.record)
        except ValueError as exc:
            raise GRPCError(Status.INVALID_ARGUMENT, str(exc)) from exc
        end_ms = self._clock.now_ms() + request.timeout_ms
        outcome = await self._hooks.append(request.shard, record, end_ms)
        await stream.send_message(convert.outcome_to_wire(outcome))


async def _receive(stream: Any) -> Any:
    message = await stream.recv_message()
    if message is None:
        raise GRPCError(Status.INVALID_ARGUMENT, "the call has no message")
    return message
