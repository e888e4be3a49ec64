"""All pools of a daemon, updated from the settings and the VM list."""

from collections.abc import Iterable

import anyio
import attrs
from result import Ok

from cowsliphitch.core.clock import Clock, seconds
from cowsliphitch.core.codec import from_json
from cowsliphitch.core.quarantine.registry import SuspectRegistry
from cowsliphitch.core.routing.models import LoadReport, UpstreamState
from cowsliphitch.core.settings.models import PoolKind, Settings

from ..engines.models import Load
from ..transport.client import UpstreamClient
from . import const
from .coordinator import PoolCoordinator
from .models import PoolConfig


@attrs.frozen
class ListedUpstream:
    """An upstream as the VM list describes it.

    :param address: base URL
    :param leaving: the upstream is draining, according to the VM list or a peer
    """

    name: str
    pool: str
    address: str
    failure_domain: str
    leaving: bool


class PoolRegistry:
    """Create, update and remove pools, and poll the load of engines."""

    def __init__(
        self,
        failure_domain: str,
        client: UpstreamClient,
        clock: Clock,
        suspects: SuspectRegistry,
    ) -> None:
        """Initialize the registry without pools or upstreams."""
        self._failure_domain = failure_domain
        self._client = client
        self._clock = clock
        self._suspects = suspects
        self._listed: tuple[ListedUpstream, ...] = ()
        self.pools: dict[str, PoolCoordinator] = {}

    def apply(self, settings: Settings) -> None:
        """Apply new settings: create, update and remove pools."""
        shares = {str(name): team.share for name, team in settings.teams.items()}
        fleet = settings.fleet
        for name, pool in fleet.pools.items():
            cfg = PoolConfig(pool, fleet.policy, shares, fleet.limits.max_queue)
            if name in self.pools:
                self.pools[name].apply(cfg)
                continue
            self.pools[str(name)] = PoolCoordinator(
                str(name), cfg, self._failure_domain, self._clock, self._suspects
            )
        for removed in self.pools.keys() - fleet.pools.keys():
            del self.pools[removed]
        self.set_listed_upstreams(self._listed)

    def set_listed_upstreams(self, listed: Iterable[ListedUpstream]) -> None:
        """Replace the list of upstreams and assign them to their pools."""
        self._listed = tuple(listed)
        now = self._clock.now_ms()
        for pool_name, pool in self.pools.items():
            pool.set_upstreams(
                UpstreamState(
                    name=entry.name,
                    address=entry.address,
                    pool=pool_name,
                    failure_domain=entry.failure_domain,
                    slots=pool.cfg.pool.slots,
                    active_since_ms=now,
                    leaving=entry.leaving,
                )
                for entry in self._listed
                if entry.pool == pool_name
            )

    async def run(self) -> None:
        """Poll the load of engines until cancelled.

        Each round first closes connections to upstreams that are no longer in use.
        """
        while True:
            await self._client.close_all_except(self._active_addresses())
            async with anyio.create_task_group() as group:
                for pool in self.pools.values():
                    if pool.cfg.pool.kind is not PoolKind.ENGINE:
                        continue
                    for upstream in pool.upstreams.values():
                        group.start_soon(self._poll_load, upstream)
            await anyio.sleep(seconds(const.LOAD_POLL_INTERVAL_MS))

    def _active_addresses(self) -> set[str]:
        """Return the addresses of all upstreams that are listed or in a pool."""
        return {entry.address for entry in self._listed} | {
            upstream.address
            for pool in self.pools.values()
            for upstream in pool.upstreams.values()
        }

    async def _poll_load(self, upstream: UpstreamState) -> None:
        own_outstanding = upstream.outstanding
        url = f"{upstream.address}/v1/load"
        response = await self._client.get_json(url, const.LOAD_TIMEOUT_MS)
        decoded = response.and_then(lambda content: from_json(content, Load))
        if isinstance(decoded, Ok):
            load = decoded.ok_value
            now = self._clock.now_ms()
            upstream.report = LoadReport(
                now, load.active, load.waiting, own_outstanding
            )
