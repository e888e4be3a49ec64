"""Connections to servers, kept between requests and bounded for each server."""

from collections import deque
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager, suppress

import attrs
from anyio.abc import TaskGroup

from cowsliphitch.core.clock import Clock
from cowsliphitch.core.verdict import Reason, may_have_run, not_run

from . import const
from .connection import Connection, connect
from .models import AnswerHead, OutgoingRequest, UpstreamError


@attrs.define
class _Origin:
    """The connections to one address."""

    idle: deque[Connection] = attrs.Factory(deque)
    open: int = 0


@attrs.define
class Diagnostics:
    """Counters of the pool, for metrics."""

    opened: int = 0
    reused: int = 0


class Answer:
    """An answer that is being read."""

    def __init__(self, head: AnswerHead, connection: Connection) -> None:
        """Start at the beginning of the body."""
        self.head = head
        self.complete = False
        self._connection = connection

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body's bytes as they arrive.

        :raises UpstreamError: the body broke off
        """
        while (chunk := await self._connection.read_chunk()) is not None:
            yield chunk
        self.complete = True

    async def read(self, limit: int) -> bytes:
        """Return the whole body.

        :raises UpstreamError: it broke off, or it has more than ``limit`` bytes
        """
        parts: list[bytes] = []
        size = 0
        async for chunk in self.chunks():
            size += len(chunk)
            if size > limit:
                detail = f"the answer has more than {limit} bytes"
                raise UpstreamError(may_have_run(Reason.INVALID_ANSWER, detail))
            parts.append(chunk)
        return b"".join(parts)


class ConnectionPool:
    """Exchange requests with servers by address.

    :param request_id_header: lower-case name of the header that servers echo
    """

    def __init__(
        self, request_id_header: bytes, group: TaskGroup, clock: Clock
    ) -> None:
        """Open nothing yet.

        :param group: where long requests are sent beside the reading of their answers
        """
        self._group = group
        self._id_header = request_id_header
        self._clock = clock
        self._origins: dict[str, _Origin] = {}
        self.diagnostics = Diagnostics()

    @asynccontextmanager
    async def exchange(
        self, address: str, request: OutgoingRequest, max_open: int
    ) -> AsyncIterator[Answer]:
        """Send a request and read the head of its answer.

        The connection is kept if the answer was read whole, and closed otherwise.

        :param max_open: connections to this address that may be open at a time
        :raises UpstreamError: there is no answer
        """
        origin = self._origins.setdefault(address, _Origin())
        connection = await self._take(address, origin, max_open)
        kept = False
        try:
            await self._send(connection, request)
            answer = Answer(await connection.read_head(request), connection)
            yield answer
            kept = answer.complete and connection.finish(answer.head)
        finally:
            if kept:
                origin.idle.append(connection)
            else:
                origin.open -= 1
                await connection.close()

    async def _send(self, connection: Connection, request: OutgoingRequest) -> None:
        """Send a request; a long one goes on while its answer is awaited.

        A server may answer before it has read a long body.
        """
        if len(request.body) <= const.INLINE_BODY_BYTES:
            await connection.send(request)
        else:
            self._group.start_soon(_send_aside, connection, request)

    async def close_stale(self, addresses: Iterable[str]) -> None:
        """Close idle connections to other addresses and those that got too old."""
        wanted = set(addresses)
        now = self._clock.now_ms()
        stale: list[Connection] = []
        for address, origin in list(self._origins.items()):
            kept = deque(
                connection
                for connection in origin.idle
                if address in wanted and connection.reusable_until_ms > now
            )
            stale.extend(c for c in origin.idle if c not in kept)
            origin.open -= len(origin.idle) - len(kept)
            origin.idle = kept
            if address not in wanted and origin.open == 0:
                del self._origins[address]
        # Closing may wait, so that requests come and go meanwhile.
        for connection in stale:
            await connection.close()

    def open_to(self, address: str) -> int:
        """Return the number of open connections to an address."""
        origin = self._origins.get(address)
        return origin.open if origin else 0

    async def close(self) -> None:
        """Close the idle connections."""
        await self.close_stale(())

    async def _take(self, address: str, origin: _Origin, max_open: int) -> Connection:
        while origin.idle:
            connection = origin.idle.pop()
            if self._is_usable(connection):
                self.diagnostics.reused += 1
                return connection
            origin.open -= 1
            await connection.close()
        if origin.open >= max_open:
            detail = f"{max_open} connections to {address} are open already"
            raise UpstreamError(not_run(Reason.QUEUE_FULL, detail))
        origin.open += 1
        try:
            connection = await connect(address, self._id_header, self._clock)
        except BaseException:
            origin.open -= 1
            raise
        self.diagnostics.opened += 1
        return connection

    def _is_usable(self, connection: Connection) -> bool:
        in_time = self._clock.now_ms() < connection.reusable_until_ms
        return in_time and connection.is_quiet()


async def _send_aside(connection: Connection, request: OutgoingRequest) -> None:
    """Send a long request; if that fails, reading its answer fails too."""
    with suppress(UpstreamError):
        await connection.send(request)
