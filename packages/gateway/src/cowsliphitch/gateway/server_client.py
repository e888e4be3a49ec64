"""Calls to servers, whose results also show which failure domains are reachable.

Everything that is sent to a server passes here, so this is also where a server that is
leaving is excluded, whenever it was chosen.

Fault: a failure domain becomes unreachable without connection errors.  Calls to its
servers would hang until they time out, so they are cancelled as soon as the domain
counts as unreachable.
"""

import enum
import itertools
import logging
import operator
from collections.abc import AsyncIterator, Callable, Iterator, Sequence
from contextlib import asynccontextmanager, contextmanager

import anyio
from result import Err, Ok

from cowsliphitch.core.clock import seconds
from cowsliphitch.core.fleet.reachability import (
    UNREACHABLE_AFTER_REFUSALS,
    Reachability,
)
from cowsliphitch.core.limits.models import Denied, LimitChange, UnreadableLimit
from cowsliphitch.core.servers.models import Server
from cowsliphitch.core.servers.registry import ANSWER_SOURCE
from cowsliphitch.core.verdict import Reason, may_have_run, not_run
from cowsliphitch.platform import servers as wire
from cowsliphitch.telemetry.logs import event
from cowsliphitch.upstreams.http1.connection import connect
from cowsliphitch.upstreams.http1.models import (
    AnswerHead,
    OutgoingRequest,
    UpstreamError,
)
from cowsliphitch.upstreams.http1.pool import Answer, ConnectionPool

from . import const
from .permits import Permit, PermitBroker
from .state import GatewayState

_LOGGER = logging.getLogger(__name__)


class Purpose(enum.Enum):
    """What a request to a server is for; the values appear in logs."""

    REQUEST = "request"
    STAGE_CALL = "stage call"
    FREE_RESULTS = "free results"


class ServerClient:
    """Send requests to servers and track the reachability of failure domains."""

    def __init__(
        self, state: GatewayState, pool: ConnectionPool, permits: PermitBroker
    ) -> None:
        """Initialize with all failure domains reachable.

        :param pool: connections to the servers
        :param permits: where permits for limited servers are got
        """
        self._state = state
        self._permits = permits
        self._pool = pool
        self._reachability = Reachability(state.members.own.failure_domain)
        self._cancel_scopes: dict[str, set[anyio.CancelScope]] = {}
        self._suspect_domains: frozenset[str] = frozenset()
        self._has_suspects = anyio.Event()

    @asynccontextmanager
    async def exchange(
        self,
        server: Server,
        request: OutgoingRequest,
        max_connections: int,
        purpose: Purpose,
        permit: Permit | None = None,
        check_sendable: Callable[[int], None] = lambda _connected_ms: None,
    ) -> AsyncIterator[Answer]:
        """Send a request and yield its answer, once the head has been read.

        Without a permit, a request to a limited server gets one first.

        :param max_connections: connections to the server that may be open at a time
        :param check_sendable: called with the monotonic time at which the connection
            was opened, raises ``UpstreamError`` if the request may not be sent any more
        :raises UpstreamError: the server sent no answer, or may get nothing more
        """
        has_answered = False
        chosen_ms = self._state.clock.now_ms()
        self._check_usable(server, purpose)
        if permit is None or permit.server_id != server.id:
            permit = await self._acquire_permit(server, request, purpose)
        if permit is not None:
            await self.wait_for(permit)

        def before_send(connected_ms: int) -> None:
            # The server may have left while the connection was opened.
            self._check_usable(server, purpose)
            if permit is None:
                self._check_warm(server)
            check_sendable(connected_ms)
            self._log_send(server, request, purpose, chosen_ms)
            self._state.server_limits.record_sent(server.id, self._state.clock.now_ms())

        try:
            async with self._pool.exchange(
                server.address, request, max_connections, before_send
            ) as answer:
                has_answered = True
                self._reachability.record_answer(server.failure_domain)
                self._state.exposures.hear(
                    server, answer.connected_ms, self._state.clock.now_ms()
                )
                self._observe_head(server, answer.head)
                yield answer
        except UpstreamError as exc:
            if not has_answered:
                self._record_failure(server, exc.refusal.reason)
            raise

    async def choose_permitted(
        self, servers: Sequence[Server], max_wait_ms: int, request_id: str
    ) -> tuple[Server, Permit | None]:
        """Choose the first server that takes a request now or soon.

        :param servers: servers of one service, the preferred one first
        :param max_wait_ms: longest time until the request may be sent
        :raises UpstreamError: all servers are limited, and none takes it in time
        """
        is_limited = [self._permits.rate_per_s(s) is not None for s in servers]
        if not is_limited[0]:
            return servers[0], None
        limited = list(itertools.compress(servers, is_limited))
        unlimited = next(
            itertools.compress(servers, map(operator.not_, is_limited)), None
        )
        decision = await self._permits.acquire(
            servers[0].service,
            limited,
            0 if unlimited is not None else max_wait_ms,
            request_id,
        )
        match decision:
            case Permit(server_id):
                return next(s for s in limited if s.id == server_id), decision
            case Denied() if unlimited is not None:
                return unlimited, None
            case Denied(retry_after_ms=retry_after_ms):
                detail = f"all {len(servers)} servers limit their requests"
                raise UpstreamError(
                    not_run(Reason.RATE_LIMITED, detail, retry_after_ms)
                )

    async def _acquire_permit(
        self, server: Server, request: OutgoingRequest, purpose: Purpose
    ) -> Permit | None:
        """Get a permit for a server, ``None`` if it is not limited.

        :raises UpstreamError: the server takes no more requests for now
        """
        if self._permits.rate_per_s(server) is None:
            return None
        max_wait_ms = (
            const.MAX_FREE_RESULTS_WAIT_MS if purpose is Purpose.FREE_RESULTS else 0
        )
        request_id = request.request_id.decode("latin-1")
        _, permit = await self.choose_permitted((server,), max_wait_ms, request_id)
        return permit

    async def wait_for(self, permit: Permit) -> None:
        """Wait until a permit's request may be sent."""
        wait_ms = permit.send_ms - self._state.clock.now_ms()
        await anyio.sleep(seconds(max(0, wait_ms)))

    def _check_usable(self, server: Server, purpose: Purpose) -> None:
        """Check that a server still takes what is about to be sent.

        :raises UpstreamError: the server is draining, was removed, has restarted, wants
            no requests for a time or is in an evacuated failure domain
        """
        if self._state.servers.is_usable(server):
            return
        until_ms = self._state.servers.paused(server.service).get(server.id)
        pause_ms = until_ms - self._state.clock.now_ms() if until_ms else None
        is_evacuated = server.failure_domain in self._state.servers.evacuated_domains
        event(
            _LOGGER,
            "server.not_sent",
            purpose=purpose.value,
            server=server.id,
            pause_ms=pause_ms,
            evacuated=is_evacuated,
        )
        if is_evacuated:
            detail = f"{server.failure_domain} is evacuated; nothing was sent to it"
            raise UpstreamError(not_run(Reason.UPSTREAM_LEAVING, detail))
        if pause_ms is not None:
            detail = f"{server.id} wants no requests for {pause_ms} ms"
            raise UpstreamError(not_run(Reason.RATE_LIMITED, detail, pause_ms))
        detail = f"{server.id} is leaving or gone; nothing was sent to it"
        raise UpstreamError(not_run(Reason.UPSTREAM_LEAVING, detail))

    def _check_warm(self, server: Server) -> None:
        """Check that a server did not become cold since it was chosen.

        :raises UpstreamError: it did, so that the request needs a permit
        """
        if self._permits.is_cold(server):
            detail = f"{server.id} has become cold; nothing was sent to it"
            raise UpstreamError(not_run(Reason.RATE_LIMITED, detail))

    def _log_send(
        self,
        server: Server,
        request: OutgoingRequest,
        purpose: Purpose,
        chosen_ms: int,
    ) -> None:
        """Log that a request is sent, with the age of what is known of its server.

        :param chosen_ms: monotonic time at which the server was chosen
        """
        now = self._state.clock.now_ms()
        knowledge = self._state.servers.knowledge_of(server.id)
        event(
            _LOGGER,
            "server.send",
            purpose=purpose.value,
            request=request.request_id.decode("latin-1"),
            server=server.id,
            state=knowledge.state.value if knowledge else "unlisted",
            source=knowledge.source if knowledge else None,
            era=knowledge.revision.era if knowledge else None,
            known_ms=now - knowledge.updated_ms if knowledge else None,
            view_ms=self._state.servers.view_age_ms(now),
            limit_per_s=self._state.server_limits.rate_of(server.id),
            chosen_ms=now - chosen_ms,
            bytes=len(request.body),
        )

    def _observe_head(self, server: Server, head: AnswerHead) -> None:
        """Record what a server says of itself, unless another one sent the answer."""
        metadata = wire.decode_head(head)
        if metadata.wrong_server:
            return
        self._observe_limit(server, head)
        now = self._state.clock.now_ms()
        if metadata.is_leaving and self._state.servers.mark_leaving_by_answer(
            server, now
        ):
            event(
                _LOGGER,
                "server.leaving",
                server=server.id,
                status=metadata.status,
                source=ANSWER_SOURCE,
            )
        self._observe_pause(server, head)

    def _observe_pause(self, server: Server, head: AnswerHead) -> None:
        """Leave a server alone for the time that its refusal names."""
        match wire.decode_retry_after(head):
            case Ok(int(pause_ms)):
                self._state.servers.pause(server, self._state.clock.now_ms() + pause_ms)
                event(_LOGGER, "server.paused", server=server.id, pause_ms=pause_ms)
            case Err(value):
                event(
                    _LOGGER,
                    "server.pause_unreadable",
                    logging.WARNING,
                    server=server.id,
                    value=value,
                )

    def _observe_limit(self, server: Server, head: AnswerHead) -> None:
        """Record the limit on requests that an answer names."""
        named = wire.decode_limit(head)
        if isinstance(named, UnreadableLimit):
            event(
                _LOGGER,
                "server.limit_unreadable",
                logging.WARNING,
                server=server.id,
                value=named.text,
            )
        change = self._state.server_limits.observe(
            server.id, named, self._state.clock.now_ms()
        )
        if change is not None:
            log_limit_change(change)

    def _record_failure(self, server: Server, reason: Reason) -> None:
        """Record a failed connection as evidence on the server's failure domain."""
        now = self._state.clock.now_ms()
        match reason:
            case Reason.CONNECT_TIMEOUT:
                self._reachability.record_connection_timeout(server.failure_domain, now)
            case Reason.CONNECT_FAILED:
                self._reachability.record_connection_refused(
                    server.failure_domain, server.id, now
                )

    @contextmanager
    def cancel_if_unreachable(self, server: Server) -> Iterator[None]:
        """Cancel the enclosed code as soon as the server's domain is unreachable.

        :raises UpstreamError: the server's failure domain became unreachable; the
            request may have run
        """
        scopes = self._cancel_scopes.setdefault(server.failure_domain, set())
        with anyio.CancelScope() as scope:
            scopes.add(scope)
            try:
                yield
            finally:
                scopes.discard(scope)
        if scope.cancelled_caught:
            detail = f"{server.failure_domain} is cut off"
            raise UpstreamError(may_have_run(Reason.CONNECTION_LOST, detail))

    def update_reachability(self) -> None:
        """Re-evaluate all domains and cancel calls to newly unreachable ones."""
        previous = self._reachability.unreachable
        now = self._state.clock.now_ms()
        unreachable = self._reachability.update(self._state.members, now)
        self._state.servers.set_unreachable_domains(unreachable)
        self._suspect_domains = self._reachability.suspect_domains(
            self._state.members, now
        )
        if self._suspect_domains:
            self._has_suspects.set()
        for domain in unreachable - previous:
            event(_LOGGER, "domain.cut_off", logging.WARNING, domain=domain)
            for scope in list(self._cancel_scopes.get(domain, ())):
                scope.cancel()
        for domain in previous - unreachable:
            event(_LOGGER, "domain.back", domain=domain)

    async def run_probes(self) -> None:
        """Probe the servers of suspect domains in rotation until cancelled."""
        for round_number in itertools.count():
            if not self._suspect_domains:
                self._has_suspects = anyio.Event()
                await self._has_suspects.wait()
            suspects = self._suspect_domains
            unreachable = self._reachability.unreachable
            rounds = 1 + len(self._state.members.peers()) // const.DAEMONS_PER_PROBE
            async with anyio.create_task_group() as group:
                for domain in suspects:
                    if domain in unreachable and round_number % rounds:
                        continue
                    servers = [
                        server
                        for server in self._state.servers.all()
                        if server.failure_domain == domain
                        and self._state.servers.is_usable(server)
                    ]
                    for server in _probe_targets(servers, round_number):
                        group.start_soon(self._probe_server, server)
            await anyio.sleep(seconds(const.PROBE_INTERVAL_MS))

    async def _probe_server(self, server: Server) -> None:
        try:
            connection = await connect(
                server.address, b"", self._state.clock, const.PROBE_TIMEOUT_MS
            )
        except UpstreamError as exc:
            self._record_failure(server, exc.refusal.reason)
            self.update_reachability()
            return
        await connection.close()
        self._reachability.record_answer(server.failure_domain)


def log_limit_change(change: LimitChange) -> None:
    """Log that the limit of a server changed, with what is known of its source."""
    event(
        _LOGGER,
        "server.limit",
        server=change.server_id,
        per_s=change.per_s,
        before=change.previous_per_s,
        source=change.source,
        age_ms=change.age_ms,
    )


def _probe_targets(servers: Sequence[Server], round_number: int) -> Sequence[Server]:
    """Return the servers of one domain to probe in a round.

    They are as many as must refuse a connection to make the domain unreachable.
    """
    count = min(len(servers), UNREACHABLE_AFTER_REFUSALS)
    return [servers[(round_number * count + n) % len(servers)] for n in range(count)]
