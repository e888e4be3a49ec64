"""gRPC channels to the other daemons."""

import ssl
from typing import Any

import attrs
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError
from result import Err, Ok, Result

from cowsliphitch.core.clock import Clock

from ..wire import peers_pb2 as pb
from ..wire.peers_grpc import PeersStub


@attrs.frozen
class CallFailed:
    """Result of a call to a peer that got no answer.

    :param may_have_run: the peer may have executed the call
    """

    may_have_run: bool


class Channels:
    """One gRPC channel for each peer address, opened on first use.

    :param tls: TLS context for all channels, ``None`` for connections in plain text
    """

    def __init__(self, tls: ssl.SSLContext | None, clock: Clock) -> None:
        """Initialize without channels."""
        self._tls = tls
        self._clock = clock
        self._last_used_ms: dict[str, int] = {}
        self._channels: dict[str, Channel] = {}

    def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            channel.close()

    def close_idle(self, before_ms: int) -> None:
        """Close the channels that were last used before a time.

        :param before_ms: monotonic time
        """
        idle = [
            peer for peer, used_ms in self._last_used_ms.items() if used_ms < before_ms
        ]
        for address in idle:
            del self._last_used_ms[address]
            self._channels.pop(address).close()

    async def exchange(
        self, address: str, digest: pb.Digest, timeout: float
    ) -> Result[pb.Digest, CallFailed]:
        """Exchange digests with a peer.

        :param timeout: in seconds
        """
        return await self._call(address, "Exchange", digest, timeout)

    async def fetch_state(
        self, address: str, request: pb.StateRequest, timeout: float
    ) -> Result[pb.StateReply, CallFailed]:
        """Fetch the newer configuration and VM list of a peer.

        :param timeout: in seconds
        """
        return await self._call(address, "FetchState", request, timeout)

    async def append(
        self, address: str, request: pb.AppendRequest, timeout: float
    ) -> Result[pb.AppendReply, CallFailed]:
        """Have a peer append a record to an order log.

        :param timeout: in seconds
        """
        return await self._call(address, "Append", request, timeout)

    async def _call(
        self, address: str, method: str, request: Any, timeout: float
    ) -> Result[Any, CallFailed]:
        stub = PeersStub(self._channel(address))
        try:
            return Ok(await getattr(stub, method)(request, timeout=timeout))
        except (ConnectionRefusedError, ssl.SSLError):
            return Err(CallFailed(may_have_run=False))
        except (TimeoutError, OSError, GRPCError, StreamTerminatedError):
            return Err(CallFailed(may_have_run=True))

    def _channel(self, address: str) -> Channel:
        self._last_used_ms[address] = self._clock.now_ms()
        channel = self._channels.get(address)
        if channel is None:
            host, _, port = address.rpartition(":")
            channel = Channel(host, int(port), ssl=self._tls)
            self._channels[address] = channel
        return channel
