"""Let the engines of each pool hold the adapters that the settings want.

One daemon of the fleet has the duty for a pool.  It gives each order under its lease's
number, and repeats the whole wanted state every few seconds: on an engine that ignores
the number, the late order of a paused predecessor lasts no longer than that.
"""

import logging
from collections.abc import Callable
from typing import Final

import anyio

from cowsliphitch.core.clock import Clock, seconds
from cowsliphitch.core.membership.ranking import rank
from cowsliphitch.platform.store.client import KeyValueClient
from cowsliphitch.state.leases.coordinator import LeaseCoordinator
from cowsliphitch.upstreams.engines.orders import (
    ORDER_TIMEOUT_MS,
    EngineOrder,
    OrderOutcome,
    give_order,
)
from cowsliphitch.upstreams.pool.coordinator import PoolCoordinator
from cowsliphitch.upstreams.transport.client import UpstreamClient

_LOGGER = logging.getLogger(__name__)

KEEP_INTERVAL_MS: Final = 500
REPEAT_INTERVAL_MS: Final = 3_000


class EngineOrders:
    """This daemon's part in giving orders to engines.

    :param members: names of the daemons that take work
    """

    def __init__(
        self,
        daemon: str,
        pools: dict[str, PoolCoordinator],
        members: Callable[[], list[str]],
        kv: KeyValueClient,
        client: UpstreamClient,
        clock: Clock,
    ) -> None:
        """Start without a duty."""
        self._daemon = daemon
        self._pools = pools
        self._members = members
        self._kv = kv
        self._client = client
        self._clock = clock
        self._leases: dict[str, LeaseCoordinator] = {}
        self._given: dict[str, tuple[EngineOrder, int]] = {}

    async def run(self) -> None:
        """Keep duties and give orders, for ever."""
        while True:
            for name, pool in list(self._pools.items()):
                if pool.cfg.pool.adapters:
                    await self._serve(name, pool)
            await anyio.sleep(seconds(KEEP_INTERVAL_MS))

    async def _serve(self, name: str, pool: PoolCoordinator) -> None:
        """Keep the duty for one pool and order what is due."""
        if rank(f"engines/{name}", self._members())[:1] != [self._daemon]:
            return
        lease = self._leases.setdefault(
            name,
            LeaseCoordinator(f"engines/{name}", self._daemon, self._kv, self._clock),
        )
        await lease.keep()
        for upstream in list(pool.upstreams.values()):
            held = lease.held(ORDER_TIMEOUT_MS)
            if held is None:
                return
            wanted = tuple(str(adapter) for adapter in pool.cfg.pool.adapters)
            order = EngineOrder(held.id, wanted)
            if self._is_due(upstream.name, order):
                await self._give(upstream.name, upstream.address, order)

    def _is_due(self, engine: str, order: EngineOrder) -> bool:
        last = self._given.get(engine)
        if last is None or last[0] != order:
            return True
        return self._clock.now_ms() - last[1] >= REPEAT_INTERVAL_MS

    async def _give(self, engine: str, address: str, order: EngineOrder) -> None:
        given_ms = self._clock.now_ms()
        match await give_order(self._client, address, order):
            case OrderOutcome.DONE:
                self._given[engine] = (order, given_ms)
            case OrderOutcome.FENCED:
                _LOGGER.warning("Engine %s holds a higher fencing number", engine)
            case OrderOutcome.UNKNOWN:
                self._given.pop(engine, None)
