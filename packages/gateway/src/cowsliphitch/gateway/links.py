"""Calls to servers, with what they show of the failure domains' reachability."""

import itertools
import logging
from collections.abc import AsyncIterator, Iterator, Sequence
from contextlib import asynccontextmanager, contextmanager

import anyio

from cowsliphitch.core.clock import seconds
from cowsliphitch.core.fleet.reachability import (
    UNREACHABLE_AFTER_REFUSALS,
    Reachability,
)
from cowsliphitch.core.servers.models import Server
from cowsliphitch.core.verdict import Reason, may_have_run
from cowsliphitch.telemetry.logs import event
from cowsliphitch.upstreams.http1.connection import connect
from cowsliphitch.upstreams.http1.models import OutgoingRequest, UpstreamError
from cowsliphitch.upstreams.http1.pool import Answer, ConnectionPool

from . import const
from .state import GatewayState

_LOGGER = logging.getLogger(__name__)


class ServerLinks:
    """Exchange requests with servers, and give up those that are cut off."""

    def __init__(self, state: GatewayState, pool: ConnectionPool) -> None:
        """Take all failure domains to be reachable."""
        self._state = state
        self._pool = pool
        self._reach = Reachability(state.members.own.failure_domain)
        self._scopes: dict[str, set[anyio.CancelScope]] = {}

    @asynccontextmanager
    async def exchange(
        self, server: Server, request: OutgoingRequest, max_open: int
    ) -> AsyncIterator[Answer]:
        """Send a request and read the head of its answer.

        :raises UpstreamError: there is no answer
        """
        answered = False
        try:
            async with self._pool.exchange(server.address, request, max_open) as answer:
                answered = True
                self._reach.record_answer(server.failure_domain)
                yield answer
        except UpstreamError as exc:
            if not answered:
                self._note_failure(server, exc.refusal.reason)
            raise

    def _note_failure(self, server: Server, reason: Reason) -> None:
        """Take a connection that failed as evidence on its failure domain."""
        now = self._state.clock.now_ms()
        match reason:
            case Reason.CONNECT_TIMEOUT:
                self._reach.record_connection_timeout(server.failure_domain, now)
            case Reason.CONNECT_FAILED:
                self._reach.record_connection_refused(
                    server.failure_domain, server.id, now
                )

    @contextmanager
    def until_cut(self, server: Server) -> Iterator[None]:
        """Give up what is done inside as soon as the server is cut off.

        :raises UpstreamError: the server's failure domain was cut off
        """
        scopes = self._scopes.setdefault(server.failure_domain, set())
        with anyio.CancelScope() as scope:
            scopes.add(scope)
            try:
                yield
            finally:
                scopes.discard(scope)
        if scope.cancelled_caught:
            detail = f"{server.failure_domain} is cut off"
            raise UpstreamError(may_have_run(Reason.CONNECTION_LOST, detail))

    def update(self) -> None:
        """Weigh the evidence anew, and give up calls to domains that were cut off."""
        before = self._reach.unreachable
        now = self._state.clock.now_ms()
        cut = self._reach.update(self._state.members, now)
        self._state.servers.set_unreachable_domains(cut)
        for domain in cut - before:
            event(_LOGGER, "domain.cut_off", logging.WARNING, domain=domain)
            for scope in list(self._scopes.get(domain, ())):
                scope.cancel()
        for domain in before - cut:
            event(_LOGGER, "domain.back", domain=domain)

    async def probe(self) -> None:
        """Try a connection to each domain that is suspect, for ever."""
        for turn in itertools.count():
            await anyio.sleep(seconds(const.PROBE_INTERVAL_MS))
            now = self._state.clock.now_ms()
            async with anyio.create_task_group() as group:
                for domain in self._reach.suspect_domains(self._state.members, now):
                    servers = [
                        server
                        for server in self._state.servers.all()
                        if server.failure_domain == domain
                    ]
                    for server in _next_in_turn(servers, turn):
                        group.start_soon(self._probe, server)

    async def _probe(self, server: Server) -> None:
        try:
            connection = await connect(
                server.address, b"", self._state.clock, const.PROBE_TIMEOUT_MS
            )
        except UpstreamError as exc:
            self._note_failure(server, exc.refusal.reason)
            self.update()
            return
        await connection.close()
        self._reach.record_answer(server.failure_domain)


def _next_in_turn(servers: Sequence[Server], turn: int) -> Sequence[Server]:
    """Return as many servers as must refuse for a domain to be cut off."""
    count = min(len(servers), UNREACHABLE_AFTER_REFUSALS)
    return [servers[(turn * count + n) % len(servers)] for n in range(count)]
