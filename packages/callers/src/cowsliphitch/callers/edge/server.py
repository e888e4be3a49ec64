"""Listener that accepts callers' connections, with a limit on their number.

Fault: a crowd of callers holds all connections.  At the limit, one that is not in use
makes room for the next, and a new one waits until one in use has ended after its
answer; see :mod:`cowsliphitch.core.overload.connections`.
"""

import asyncio
import errno
import itertools
import logging
import socket
import sys
from collections import deque
from collections.abc import Callable
from typing import Final

import anyio
from anyio.abc import SocketAttribute, TaskGroup, TaskStatus
from anyio.lowlevel import checkpoint

from cowsliphitch.core.clock import Clock, seconds
from cowsliphitch.core.deployment.models import CallerLimits
from cowsliphitch.core.overload.buffers import CONNECTION_BYTES, BufferBudget
from cowsliphitch.core.overload.connections import (
    MAX_WAITING,
    ROOM_TIMEOUT_MS,
    connections_to_end,
    eviction_rank,
)

from . import const
from .connection import CallerConnection
from .models import Diagnostics, ErrorEncoder, Handler, encode_bare_error
from .stream import CallerStream, has_left

_LOGGER = logging.getLogger(__name__)

# Errors of a socket that is closed or no longer listens.  Others pass: no descriptor or
# kernel memory is free, or the caller has left.
_LISTENER_ERRORS: Final = frozenset({errno.EBADF, errno.EINVAL, errno.ENOTSOCK})


class EdgeServer:
    """HTTP server on one address.

    :param address: host and port
    :param handler: answers each request
    :param limits: returns the limits in force
    :param max_connections: limit of open connections; further ones wait for a short
        time until another one makes room, and are closed if none does
    :param budget: memory for connections and for what they buffer, without a limit by
        default
    :param encode_error: returns the answer to a request that the server rejects
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        limits: Callable[[], CallerLimits],
        max_connections: int,
        clock: Clock,
        budget: BufferBudget | None = None,
        encode_error: ErrorEncoder = encode_bare_error,
    ) -> None:
        """Initialize the server; :meth:`run` opens the listening socket."""
        self._budget = budget or BufferBudget(sys.maxsize)
        self._address = address
        self._handler = handler
        self._limits = limits
        self._max_connections = max_connections
        self._clock = clock
        self._encode_error = encode_error
        self._keep_alive_disabled = False
        self._connections: set[CallerConnection] = set()
        self._connecting = 0
        self._evictable: list[CallerConnection] = []
        self._next_search_ms = 0
        self._waiting: deque[socket.socket] = deque()
        self._full_since_ms: int | None = None
        self._queue_changed = anyio.Event()
        self._body_turns = anyio.Lock(fast_acquire=True)
        self.diagnostics = Diagnostics()

    def disable_keep_alive(self) -> None:
        """Close each connection after its next answer, so that the daemon can stop."""
        self._keep_alive_disabled = True

    def handled_before(self, time_ms: int) -> int:
        """Return how many requests have been handled since before a monotonic time."""
        times_ms = (connection.handled_since_ms for connection in self._connections)
        return sum(since is not None and since <= time_ms for since in times_ms)

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept connections until cancelled.

        :raises RuntimeError: the listening socket accepts no more connections
        """
        host, _, port = self._address.rpartition(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port), backlog=const.LISTEN_BACKLOG
        )
        try:
            async with listener, anyio.create_task_group() as group:
                for part in listener.listeners:
                    sock = part.extra(SocketAttribute.raw_socket)
                    group.start_soon(self._accept, sock, group)
                group.start_soon(self._run_queue, group)
                task_status.started()
        finally:
            while self._waiting:
                self._waiting.popleft().close()

    async def _accept(self, listening: socket.socket, group: TaskGroup) -> None:
        """Accept connections on a listening socket, one at a time.

        :raises RuntimeError: the socket accepts no more connections
        """
        loop = asyncio.get_running_loop()
        for count in itertools.count():
            if count % const.ACCEPTED_AT_ONCE == 0:
                await checkpoint()
            while len(self._waiting) >= MAX_WAITING:
                await anyio.sleep(seconds(const.EVICTION_SEARCH_INTERVAL_MS))
            try:
                sock, _ = await loop.sock_accept(listening)
            except OSError as exc:
                if exc.errno in _LISTENER_ERRORS:
                    # End the daemon, so that it restarts: otherwise it would look alive
                    # to its peers without accepting connections.
                    raise RuntimeError(
                        f"listener on {self._address} stopped; no further connections"
                        " are accepted"
                    ) from exc
                await anyio.sleep(seconds(const.ACCEPT_RETRY_MS))
                continue
            finally:
                # asyncio does not do so if the wait is cancelled.
                if listening.fileno() >= 0:
                    loop.remove_reader(listening)
            self._waiting.append(sock)
            self._admit_waiting(group)
            self._notify_queue()

    async def _run_queue(self, group: TaskGroup) -> None:
        """Admit new connections that wait for room, or close them after a time."""
        while True:
            self._admit_waiting(group)
            self._queue_changed = anyio.Event()
            timeout_s = seconds(const.EVICTION_SEARCH_INTERVAL_MS)
            with anyio.move_on_after(timeout_s if self._waiting else None):
                await self._queue_changed.wait()

    def _notify_queue(self) -> None:
        if self._waiting:
            self._queue_changed.set()

    def _admit_waiting(self, group: TaskGroup) -> None:
        """Admit the new connections for which there is room, in their order.

        If none could be for the timeout, those that wait are closed.  Those whose
        callers have left are closed before others make room for them.
        """
        while self._waiting:
            if has_left(self._waiting[0]):
                self._waiting.popleft().close()
                continue
            now_ms = self._clock.now_ms()
            if self._make_room():
                self._full_since_ms = None
                self._connecting += 1
                group.start_soon(self._connect, self._waiting.popleft(), group)
                continue
            if self._full_since_ms is None:
                self._full_since_ms = now_ms
            if now_ms - self._full_since_ms < ROOM_TIMEOUT_MS:
                return
            self.diagnostics.refused_connections += 1
            self._waiting.popleft().close()
        self._full_since_ms = None

    async def _connect(self, sock: socket.socket, group: TaskGroup) -> None:
        """Serve an accepted socket."""
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await asyncio.get_running_loop().connect_accepted_socket(
                lambda: CallerStream(lambda stream: self._open(stream, group)), sock
            )
        except OSError:
            # The caller has left, and the event loop has closed the socket.
            sock.close()
        finally:
            self._connecting -= 1

    def _open(self, stream: CallerStream, group: TaskGroup) -> None:
        """Serve a new connection."""
        connection = CallerConnection(
            stream,
            self._handler,
            self._limits,
            lambda: self._keep_alive_disabled,
            self.diagnostics,
            self._clock,
            self._budget,
            lambda: len(self._connections) >= self._max_connections // 2,
            self._encode_error,
            self._body_turns,
        )
        self._connections.add(connection)
        self.diagnostics.connections += 1
        group.start_soon(self._serve, connection)

    def _make_room(self) -> bool:
        """Return whether a connection may be opened, closing another one if need be."""
        count = len(self._connections) + self._connecting
        has_room = count < self._max_connections
        if has_room and self._budget.has_room(CONNECTION_BYTES):
            return True
        connection = self._next_evictable()
        if connection is None:
            return False
        self.diagnostics.evicted += 1
        self._connections.discard(connection)
        connection.evict()
        return True

    def _next_evictable(self) -> CallerConnection | None:
        """Return the connection that is closed first, ``None`` if all are kept.

        Those that were found are kept for the next calls, so that a flood of new
        connections costs no search each.
        """
        now_ms = self._clock.now_ms()
        if not self._evictable and now_ms >= self._next_search_ms:
            self._next_search_ms = now_ms + const.EVICTION_SEARCH_INTERVAL_MS
            uses = [(c, c.observe_use()) for c in self._connections]
            ranked = [(eviction_rank(use), c) for c, use in uses]
            found = [(rank, c) for rank, c in ranked if rank is not None]
            found.sort(key=lambda entry: entry[0])
            self._evictable = [c for _, c in found[-const.MAX_EVICTABLE_FOUND :]]
            if not found:
                for connection in connections_to_end(uses, len(self._waiting)):
                    connection.end_after_answer()
        while self._evictable:
            connection = self._evictable.pop()
            is_open = connection in self._connections
            if is_open and eviction_rank(connection.observe_use()) is not None:
                return connection
        return None

    async def _serve(self, connection: CallerConnection) -> None:
        try:
            await connection.serve()
        except Exception:
            _LOGGER.exception("Unexpected error; closing the caller's connection")
        finally:
            self._connections.discard(connection)
            self.diagnostics.connections -= 1
            self._notify_queue()
