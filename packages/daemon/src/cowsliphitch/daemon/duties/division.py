"""Caps on the slots of teams whose demand exceeds their fair share of a pool."""

from typing import Final

import anyio

from cowsliphitch.core.clock import Clock, seconds
from cowsliphitch.core.membership.models import MemberRecord, PoolDemand
from cowsliphitch.core.scheduling.division import Demand, compute_caps
from cowsliphitch.core.settings.models import DivisionPolicy, Settings
from cowsliphitch.peers.membership.coordinator import PeerCoordinator
from cowsliphitch.state.config.coordinator import ConfigCoordinator
from cowsliphitch.upstreams.pool.coordinator import PoolCoordinator

UPDATE_INTERVAL_MS: Final = 300
DEMAND_DECIMALS: Final = 1
MIN_DEMAND_SLOTS: Final = 0.05


def collect_demands(pools: dict[str, PoolCoordinator]) -> tuple[PoolDemand, ...]:
    """Return the recent demand of each team at this daemon, in slots per pool.

    Demand is rounded, and demand below ``MIN_DEMAND_SLOTS`` is left out.
    """
    return tuple(
        PoolDemand(name, team, round(slots, DEMAND_DECIMALS))
        for name, pool in pools.items()
        for team, slots in sorted(pool.demand().items())
        if slots >= MIN_DEMAND_SLOTS
    )


class CapUpdater:
    """Updates this daemon's caps from its own demand and that in peers' digests."""

    def __init__(
        self,
        pools: dict[str, PoolCoordinator],
        peer_coordinator: PeerCoordinator,
        config_coordinator: ConfigCoordinator,
        clock: Clock,
    ) -> None:
        """Use the given components of the daemon."""
        self._pools = pools
        self._peer_coordinator = peer_coordinator
        self._config_coordinator = config_coordinator
        self._clock = clock

    async def run(self) -> None:
        """Update the caps of all pools in each interval, until cancelled."""
        while True:
            await anyio.sleep(seconds(UPDATE_INTERVAL_MS))
            members = self._peer_coordinator.view.alive(self._clock.now_ms())
            for pool in self._pools.values():
                pool.caps = self._compute_pool_caps(
                    pool, members, self._config_coordinator.settings
                )
                pool.serve_queue()

    def _compute_pool_caps(
        self, pool: PoolCoordinator, members: list[MemberRecord], settings: Settings
    ) -> dict[str, int]:
        """Return the slot cap of each team whose demand exceeds its fair share."""
        if settings.fleet.policy.division is DivisionPolicy.LOCAL:
            return {}
        own_name = self._peer_coordinator.view.own.name
        demands = [
            Demand(member.name, demand.team, demand.slots)
            for member in members
            for demand in member.demands
            if demand.pool == pool.name and member.name != own_name
        ]
        demands += [
            Demand(own_name, team, slots) for team, slots in pool.demand().items()
        ]
        shares = {str(name): team.share for name, team in settings.teams.items()}
        return compute_caps(pool.capacity, demands, shares, own_name)
