"""Permits for requests to servers that name a limit or are cold.

The daemon that holds the duty for a service's pool group grants them.  For model
engines and stage servers it chooses the server anyway; for other services, the daemons
ask it for each request to a limited server.
"""

import logging
from collections.abc import Sequence
from typing import Any

import attrs

from cowsliphitch.core.clock import MS_PER_SECOND
from cowsliphitch.core.limits.const import (
    MAX_RETRY_AFTER_MS,
    TAKEOVER_COLD_SHARE,
    TAKEOVER_MS,
    UNHEARD_AGE_MS,
)
from cowsliphitch.core.limits.grants import RateGrants
from cowsliphitch.core.limits.models import (
    Decision,
    Denied,
    Granted,
    LimitedServer,
    PermitRequest,
)
from cowsliphitch.core.servers.models import Server
from cowsliphitch.peers.fleet.models import PeerCallFailed
from cowsliphitch.peers.fleet.rpc import PeerConnections
from cowsliphitch.telemetry.logs import event

from . import const
from .state import GatewayState, duty_name

_LOGGER = logging.getLogger(__name__)

# Source in logs of a limit that a daemon named when it asked for a permit.
_REQUEST_SOURCE = "permit request"


@attrs.frozen
class Permit:
    """Permit to send one request to a limited server.

    :param send_ms: monotonic time from which it may be sent
    """

    server_id: str
    send_ms: int


@attrs.define
class _Denial:
    """Denial that holds for later requests to the same servers for a short time.

    :param until_ms: monotonic time until which it holds
    :param return_ms: monotonic time at which the caller of the last one may return
    """

    until_ms: int
    return_ms: float


class PermitBroker:
    """Get permits from the granting daemon, and grant them if this is the one."""

    def __init__(self, state: GatewayState, peers: PeerConnections) -> None:
        """Initialize without any grant.

        :param peers: connections to the other daemons
        """
        self._state = state
        self._peers = peers
        self._grants = RateGrants(state.server_limits)
        # The latest denial by the servers that were asked for.
        self._denials: dict[tuple[str, ...], _Denial] = {}

    def limited(self, servers: Sequence[Server]) -> list[LimitedServer]:
        """Return what is known of those servers that are limited, in their order."""
        now = self._state.clock.now_ms()
        described = (self._state.server_limits.describe(s.id, now) for s in servers)
        return [limited for limited in described if limited is not None]

    async def acquire(
        self, service: str, servers: Sequence[Server], max_wait_ms: int, request_id: str
    ) -> Permit | Denied:
        """Get a permit for one of a service's limited servers, the preferred one first.

        :param max_wait_ms: longest time until the request may be sent
        """
        limited = self.limited(servers)
        now = self._state.clock.now_ms()
        if not limited:
            return Permit(servers[0].id, now)
        key = tuple(sorted(server.server_id for server in limited))
        denial = self._denials.get(key)
        if denial is not None and denial.until_ms > now:
            # Callers that were denied together must not return together.
            denial.return_ms += MS_PER_SECOND / sum(s.per_s for s in limited)
            return_ms = min(denial.return_ms, now + MAX_RETRY_AFTER_MS)
            return Denied(key[0], round(return_ms - now))
        request = PermitRequest(request_id, service, limited, max_wait_ms)
        match await self._ask(request):
            case Granted(server_id, wait_ms):
                return Permit(server_id, self._state.clock.now_ms() + wait_ms)
            case Denied(retry_after_ms=retry_after_ms) as denied:
                now = self._state.clock.now_ms()
                cached_ms = min(retry_after_ms - max_wait_ms, const.DENIAL_CACHE_MS)
                self._denials[key] = _Denial(now + cached_ms, now + retry_after_ms)
                return denied

    async def _ask(self, request: PermitRequest) -> Decision:
        own = self._state.members.own.address
        now = self._state.clock.now_ms()
        duty, domains = self._duty(request.service, request.servers[0].server_id)
        owner = self._state.members.owner_candidates(duty, now, domains=domains)
        if owner[0].address == own:
            return self._decide(request)
        reply = await self._peers.acquire_permit(owner[0].address, request)
        if isinstance(reply, PeerCallFailed):
            event(
                _LOGGER,
                "permit.owner_lost",
                request=request.request_id,
                owner=owner[0].address,
                cause=reply.detail,
            )
            return self._decide(request)
        return reply

    def grant(self, request: PermitRequest) -> Decision:
        """Grant or deny a request of a peer, which may know of limits first."""
        now = self._state.clock.now_ms()
        self._state.server_limits.learn(request.servers, _REQUEST_SOURCE, now)
        return self._decide(request)

    def _decide(self, request: PermitRequest) -> Decision:
        return self.decide(
            request.service,
            [server.server_id for server in request.servers],
            request.max_wait_ms,
            request.request_id,
        )

    def decide(
        self,
        service: str,
        server_ids: Sequence[str],
        max_wait_ms: float,
        request_id: str,
    ) -> Decision:
        """Grant a request to one of a service's servers, or deny it, and log that."""
        now = self._state.clock.now_ms()
        share = self._share(service, server_ids[0], now)
        decision = self._grants.decide(server_ids, share, max_wait_ms, now)
        known = self._state.server_limits.describe(decision.server_id, now)
        if known is None:
            return decision
        fields: dict[str, Any] = {
            "request": request_id,
            "server": decision.server_id,
            "per_s": known.per_s,
            "age_ms": known.age_ms if known.age_ms < UNHEARD_AGE_MS else None,
            "cold": self._state.server_limits.is_cold(decision.server_id),
            "share": round(share, 3),
            "sent": round(self._state.server_limits.sent(decision.server_id, now), 1),
        }
        match decision:
            case Granted(wait_ms=wait_ms):
                event(_LOGGER, "permit.granted", wait_ms=wait_ms, **fields)
            case Denied(retry_after_ms=retry_after_ms):
                event(_LOGGER, "permit.denied", retry_after_ms=retry_after_ms, **fields)
        return decision

    def rate_per_s(self, server: Server) -> float | None:
        """Return the requests a second to a server, ``None`` without a limit."""
        return self._state.server_limits.rate_of(server.id)

    def is_cold(self, server: Server) -> bool:
        """Return whether a server gets requests only with a permit since it is cold."""
        return self._state.server_limits.is_cold(server.id)

    def wait_ms(self, server: Server, now_ms: int) -> float:
        """Return the time until this daemon could grant a request to a server."""
        if self._state.server_limits.rate_of(server.id) is None:
            return 0.0
        share = self._share(server.service, server.id, now_ms)
        return self._grants.wait_ms(server.id, share, now_ms)

    def _share(self, service: str, server_id: str, now_ms: int) -> float:
        """Return the part of a server's rate that this daemon may grant."""
        members = self._state.members
        duty, domains = self._duty(service, server_id)
        if not self._state.stopping and members.acquire_duty(
            duty, now_ms, domains=domains
        ):
            event(_LOGGER, "duty.taken", duty=duty)
        owners = members.owner_candidates(duty, now_ms, domains=domains)
        if owners[0].address == members.own.address:
            share = members.fleet_share(now_ms)
            is_takeover = members.held_ms(duty, now_ms) < TAKEOVER_MS
            if is_takeover and self._state.server_limits.is_cold(server_id):
                return min(share, TAKEOVER_COLD_SHARE)
            return share
        return 1 / members.allowance_divisor(now_ms)

    def _duty(self, service: str, server_id: str) -> tuple[str, tuple[str, ...]]:
        """Return the duty to grant requests to a server, and its preferred domains."""
        state = self._state
        group = state.deployment.pool_group(service) if state.deployment else service
        server = state.servers.get(server_id)
        cell = state.cell_of(group, server.failure_domain if server else "")
        return duty_name(group, cell), cell.domains

    def evict_expired(self) -> None:
        """Forget the servers that are no longer limited, and denials that are over."""
        self._grants.retain_limited()
        now = self._state.clock.now_ms()
        self._denials = {
            key: denial
            for key, denial in self._denials.items()
            if denial.until_ms > now
        }
