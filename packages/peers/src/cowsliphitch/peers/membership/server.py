"""gRPC service for the membership and order-log calls of other daemons."""

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
    """Serve the calls of other daemons."""

    def __init__(
        self, coordinator: PeerCoordinator, hooks: Hooks, clock: Clock
    ) -> None:
        """Initialize with the daemon's coordinator and state callbacks."""
        self._coordinator = coordinator
        self._hooks = hooks
        self._clock = clock

    async def Exchange(self, stream: Any) -> None:
        """Merge a peer's digest and reply with the records that the peer lacks."""
        digest: pb.Digest = await _receive(stream)
        lengths = {
            len(digest.ids),
            len(digest.heartbeat_ages),
            len(digest.version_ages),
        }
        if len(lengths) != 1 or digest.ByteSize() > const.MAX_DIGEST_BYTES:
            self._coordinator.diagnostics.refused_senders += 1
            raise GRPCError(Status.INVALID_ARGUMENT, "the digest is not valid")
        self._coordinator.diagnostics.bytes_received += digest.ByteSize()
        self._coordinator.merge_digest(digest)
        reply = self._coordinator.build_digest(for_peer=digest)
        self._coordinator.diagnostics.bytes_sent += reply.ByteSize()
        await stream.send_message(reply)

    async def FetchState(self, stream: Any) -> None:
        """Return the configuration and the VM list, each only if it is newer."""
        request: pb.StateRequest = await _receive(stream)
        snapshot = self._hooks.snapshot()
        if snapshot and snapshot.manifest.revision <= request.above_revision:
            snapshot = None
        listing: VmListing | None = self._hooks.listing()
        if listing and listing.seen_ms <= request.listing_above_ms:
            listing = None
        await stream.send_message(convert.state_to_wire(snapshot, listing))

    async def Append(self, stream: Any) -> None:
        """Append a record to an order log for a peer, which dispatches the order."""
        request: pb.AppendRequest = await _receive(stream)
        try:
            record = convert.order_from_wire(request.record)
        except ValueError as exc:
            raise GRPCError(Status.INVALID_ARGUMENT, str(exc)) from exc
        deadline_ms = self._clock.now_ms() + request.timeout_ms
        outcome = await self._hooks.append(request.shard, record, deadline_ms)
        await stream.send_message(convert.outcome_to_wire(outcome))


async def _receive(stream: Any) -> Any:
    message = await stream.recv_message()
    if message is None:
        raise GRPCError(Status.INVALID_ARGUMENT, "the call has no message")
    return message
