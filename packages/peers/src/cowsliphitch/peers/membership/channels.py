"""Connections to the other daemons."""

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
    """A call to a peer got no answer.

    :param may_have_run: the peer may have acted on it
    """

    may_have_run: bool


class Channels:
    """One channel for each peer address, opened when it is first used."""

    def __init__(self, tls: ssl.SSLContext | None, clock: Clock) -> None:
        """Remember how connections are secured."""
        self._tls = tls
        self._clock = clock
        self._used_ms: dict[str, int] = {}
        self._channels: dict[str, Channel] = {}

    def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            channel.close()

    def close_idle(self, before_ms: int) -> None:
        """Close the channels that were not used since ``before_ms``."""
        idle = [a for a, used_ms in self._used_ms.items() if used_ms < before_ms]
        for address in idle:
            del self._used_ms[address]
            self._channels.pop(address).close()

    async def exchange(
        self, address: str, digest: pb.Digest, timeout: float
    ) -> Result[pb.Digest, CallFailed]:
        """Exchange digests with a peer."""
        return await self._call(address, "Exchange", digest, timeout)

    async def fetch_state(
        self, address: str, request: pb.StateRequest, timeout: float
    ) -> Result[pb.StateReply, CallFailed]:
        """Read a peer's configuration and VMs."""
        return await self._call(address, "FetchState", request, timeout)

    async def append(
        self, address: str, request: pb.AppendRequest, timeout: float
    ) -> Result[pb.AppendReply, CallFailed]:
        """Let a peer append to an order log."""
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
        self._used_ms[address] = self._clock.now_ms()
        channel = self._channels.get(address)
        if channel is None:
            host, _, port = address.rpartition(":")
            channel = Channel(host, int(port), ssl=self._tls)
            self._channels[address] = channel
        return channel
