"""Hold teams that want too much to their part of each pool."""

from typing import Final

import anyio

from cowsliphitch.core.clock import Clock, seconds
from cowsliphitch.core.membership.models import MemberRecord, PoolDemand
from cowsliphitch.core.scheduling.division import Demand, compute_caps
from cowsliphitch.core.settings.models import DivisionPolicy, Settings
from cowsliphitch.peers.membership.coordinator import PeerCoordinator
from cowsliphitch.state.config.coordinator import ConfigCoordinator
from cowsliphitch.upstreams.pool.coordinator import PoolCoordinator

INTERVAL_MS: Final = 300
DEMAND_DIGITS: Final = 1
LEAST_DEMAND: Final = 0.05


def demands_of(pools: dict[str, PoolCoordinator]) -> tuple[PoolDemand, ...]:
    """Return what this daemon's teams offered to each pool lately, in slots."""
    return tuple(
        PoolDemand(name, team, round(slots, DEMAND_DIGITS))
        for name, pool in pools.items()
        for team, slots in sorted(pool.demand().items())
        if slots >= LEAST_DEMAND
    )


class Division:
    """Compute the caps of this daemon from its own demand and the peers' digests."""

    def __init__(
        self,
        pools: dict[str, PoolCoordinator],
        peers: PeerCoordinator,
        config: ConfigCoordinator,
        clock: Clock,
    ) -> None:
        """Use the daemon's parts."""
        self._pools = pools
        self._peers = peers
        self._config = config
        self._clock = clock

    async def run(self) -> None:
        """Set the caps of every pool, for ever."""
        while True:
            await anyio.sleep(seconds(INTERVAL_MS))
            members = self._peers.view.alive(self._clock.now_ms())
            for pool in self._pools.values():
                pool.caps = self._caps_of(pool, members, self._config.settings)
                pool.serve_queue()

    def _caps_of(
        self, pool: PoolCoordinator, members: list[MemberRecord], settings: Settings
    ) -> dict[str, int]:
        """Return the slots of each team that wants more than its part of a pool."""
        if settings.fleet.policy.division is DivisionPolicy.LOCAL:
            return {}
        own = self._peers.view.own.name
        demands = [
            Demand(member.name, demand.team, demand.slots)
            for member in members
            for demand in member.demands
            if demand.pool == pool.name and member.name != own
        ]
        demands += [Demand(own, team, slots) for team, slots in pool.demand().items()]
        shares = {str(name): team.share for name, team in settings.teams.items()}
        return compute_caps(pool.capacity, demands, shares, own)
