"""All pools of a daemon, kept in step with the settings and the VM list."""

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
class Member:
    """An upstream that the VM list or a peer told of."""

    name: str
    pool: str
    address: str
    failure_domain: str
    leaving: bool


class PoolRegistry:
    """Make, change and drop pools; poll the engines' load."""

    def __init__(
        self,
        failure_domain: str,
        client: UpstreamClient,
        clock: Clock,
        suspects: SuspectRegistry,
    ) -> None:
        """Start without pools."""
        self._failure_domain = failure_domain
        self._client = client
        self._clock = clock
        self._suspects = suspects
        self._members: tuple[Member, ...] = ()
        self.pools: dict[str, PoolCoordinator] = {}

    def apply(self, settings: Settings) -> None:
        """Use new settings from now on."""
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
        for gone in self.pools.keys() - fleet.pools.keys():
            del self.pools[gone]
        self.set_members(self._members)

    def set_members(self, members: Iterable[Member]) -> None:
        """Take over who serves which pool."""
        self._members = tuple(members)
        now = self._clock.now_ms()
        for pool_name, pool in self.pools.items():
            pool.set_upstreams(
                UpstreamState(
                    name=member.name,
                    address=member.address,
                    pool=pool_name,
                    failure_domain=member.failure_domain,
                    slots=pool.cfg.pool.slots,
                    active_since_ms=now,
                    leaving=member.leaving,
                )
                for member in self._members
                if member.pool == pool_name
            )

    async def run(self) -> None:
        """Poll the engines' load for ever."""
        while True:
            await self._client.keep(self._addresses())
            async with anyio.create_task_group() as group:
                for pool in self.pools.values():
                    if pool.cfg.pool.kind is not PoolKind.ENGINE:
                        continue
                    for upstream in pool.upstreams.values():
                        group.start_soon(self._poll, upstream)
            await anyio.sleep(seconds(const.LOAD_POLL_INTERVAL_MS))

    def _addresses(self) -> set[str]:
        """Return the upstreams that are listed or still run something."""
        return {member.address for member in self._members} | {
            upstream.address
            for pool in self.pools.values()
            for upstream in pool.upstreams.values()
        }

    async def _poll(self, upstream: UpstreamState) -> None:
        sent_before = upstream.outstanding
        url = f"{upstream.address}/v1/load"
        got = await self._client.get_json(url, const.LOAD_TIMEOUT_MS)
        loaded = got.and_then(lambda content: from_json(content, Load))
        if isinstance(loaded, Ok):
            load = loaded.ok_value
            now = self._clock.now_ms()
            upstream.report = LoadReport(now, load.active, load.waiting, sent_before)
