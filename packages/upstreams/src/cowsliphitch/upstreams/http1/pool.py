"""Connection pool of a daemon, with a connection limit for each server.

An idle connection is reused only before the server's idle timeout, and only if it is
still open without unread bytes.  If a connection closes during a request, it is unknown
whether the request ran.
"""

import sys
from collections import deque
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager, suppress
from typing import Final

import anyio
import attrs
import h11

from cowsliphitch.core.clock import Clock
from cowsliphitch.core.overload.buffers import Buffer, BufferBudget
from cowsliphitch.core.verdict import Reason, may_have_run, not_run
from cowsliphitch.telemetry.tasks import BackgroundTasks

from . import const
from .connection import Connection, connect, encode_head
from .models import AnswerHead, OutgoingRequest, UpstreamError

FIRST_FAILURE_STATUS: Final = 400


@attrs.define
class _Origin:
    """The connections to one address.

    :param idle: connections without a request, the most recently used last
    :param open: number of connections, idle and in use
    """

    idle: deque[Connection] = attrs.Factory(deque)
    open: int = 0


@attrs.define
class Diagnostics:
    """Counters of the pool, for metrics.

    :param opened: connections established
    :param reused: exchanges on an idle connection
    """

    opened: int = 0
    reused: int = 0


class Answer:
    """An answer whose body is read from its connection.

    :ivar is_complete: the body was read to its end
    :ivar buffer: what is buffered of it until the exchange ends
    """

    def __init__(
        self, head: AnswerHead, connection: Connection, buffer: Buffer
    ) -> None:
        """Initialize the answer with its body unread."""
        self.head = head
        self.is_complete = False
        self.buffer = buffer
        self._connection = connection

    @property
    def connected_ms(self) -> int:
        """Return the monotonic time at which its connection was opened."""
        return self._connection.opened_ms

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body's bytes as they arrive.

        :raises UpstreamError: the connection ended before the body did
        """
        while (chunk := await self._connection.read_chunk()) is not None:
            yield chunk
        self.is_complete = True

    async def read(self, max_bytes: int) -> bytes:
        """Return the whole body.

        :raises UpstreamError: the connection ended before the body did, the body has
            more than ``max_bytes`` bytes, or its buffer was given up
        """
        parts: list[bytes] = []
        with anyio.CancelScope() as scope:
            self.buffer.on_give_up = scope.cancel
            async for chunk in self.chunks():
                self.keep(self.buffer.size + len(chunk))
                if self.buffer.size > max_bytes:
                    detail = f"the answer has more than {max_bytes} bytes"
                    raise UpstreamError(may_have_run(Reason.INVALID_ANSWER, detail))
                parts.append(chunk)
        self.keep(self.buffer.size)
        return b"".join(parts)

    def keep(self, size: int) -> None:
        """Set how many bytes of the answer are buffered.

        :raises UpstreamError: the buffer was given up, since all buffers of the process
            have reached their limit
        """
        if not self.buffer.resize(size):
            detail = f"the process has no memory for {size} bytes of the answer"
            raise UpstreamError(may_have_run(Reason.INVALID_ANSWER, detail))


class ConnectionPool:
    """Sends requests to servers by address, over pooled connections.

    :param request_id_header: lower-case name of the header in which servers echo the
        request identifier
    """

    def __init__(
        self,
        request_id_header: bytes,
        tasks: BackgroundTasks,
        clock: Clock,
        budget: BufferBudget | None = None,
    ) -> None:
        """Initialize the pool without connections.

        :param tasks: send long requests
        :param budget: memory for what is buffered, without a limit by default
        """
        self._tasks = tasks
        self._budget = budget or BufferBudget(sys.maxsize)
        self._request_id_header = request_id_header
        self._clock = clock
        self._origins: dict[str, _Origin] = {}
        self.diagnostics = Diagnostics()

    @asynccontextmanager
    async def exchange(
        self,
        address: str,
        request: OutgoingRequest,
        max_open: int,
        before_send: Callable[[int], None] = lambda _connected_ms: None,
    ) -> AsyncIterator[Answer]:
        """Send a request and read the head of its answer.

        The connection returns to the pool if the answer was read to its end, is no
        failure and the server allows reuse, and is closed otherwise: a faulty server
        may write a refusal once more, which would look like the next answer.

        :param address: host and port
        :param max_open: limit of open connections to this address
        :param before_send: called with the monotonic time at which the connection was
            opened, before the first byte is sent
        :raises UpstreamError: no valid answer arrived
        """
        message = encode_head(request)
        origin = self._origins.setdefault(address, _Origin())
        connection = await self._acquire(address, origin, max_open)
        reusable = False
        buffer = self._budget.open()
        try:
            before_send(connection.opened_ms)
            await self._send_request(connection, request, message)
            head = await connection.read_head(request)
            answer = Answer(head, connection, buffer)
            yield answer
            reusable = (
                answer.is_complete
                and answer.head.status < FIRST_FAILURE_STATUS
                and connection.finish_exchange(answer.head)
            )
        finally:
            buffer.close()
            if reusable:
                origin.idle.append(connection)
            else:
                origin.open -= 1
                await connection.close()

    async def _send_request(
        self, connection: Connection, request: OutgoingRequest, head: h11.Request
    ) -> None:
        """Send a request; send a long one concurrently with reading its answer.

        A server may answer before it has read a long body.
        """
        if len(request.body) <= const.MAX_INLINE_BODY_BYTES:
            await connection.send(request, head)
        else:
            self._tasks.start_soon(_send_in_background, connection, request, head)

    async def close_stale(self, active_addresses: Iterable[str]) -> None:
        """Close idle connections that expired or whose address is not active.

        :param active_addresses: addresses of the servers that are still in use
        """
        active = set(active_addresses)
        now_ms = self._clock.now_ms()
        stale: list[Connection] = []
        for address, origin in list(self._origins.items()):
            reusable = deque(
                connection
                for connection in origin.idle
                if address in active and connection.reusable_until_ms > now_ms
            )
            stale.extend(c for c in origin.idle if c not in reusable)
            origin.open -= len(origin.idle) - len(reusable)
            origin.idle = reusable
            if address not in active and origin.open == 0:
                del self._origins[address]
        # Other tasks may use the pool during close(), so it comes after all updates.
        for connection in stale:
            await connection.close()

    def open_connections(self, address: str) -> int:
        """Return the number of open connections to an address."""
        origin = self._origins.get(address)
        return origin.open if origin else 0

    async def close(self) -> None:
        """Close all idle connections."""
        await self.close_stale(())

    async def _acquire(
        self, address: str, origin: _Origin, max_open: int
    ) -> Connection:
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
            connection = await connect(address, self._request_id_header, self._clock)
        except BaseException:
            origin.open -= 1
            raise
        self.diagnostics.opened += 1
        return connection

    def _is_usable(self, connection: Connection) -> bool:
        is_unexpired = self._clock.now_ms() < connection.reusable_until_ms
        return is_unexpired and connection.has_no_pending_input()


async def _send_in_background(
    connection: Connection, request: OutgoingRequest, head: h11.Request
) -> None:
    """Send a long request; ignore its failure, which reading the answer reports too."""
    try:
        with suppress(UpstreamError):
            await connection.send(request, head)
    except Exception:
        # Otherwise an answer would be waited for until the deadline.
        await connection.close()
        raise
