"""Reconciliation of the adapters on engines with the fleet's settings.

One daemon of the fleet holds the duty for a pool by a lease.  Each order carries the
lease's number as a fencing token, so that an engine can reject a late order of a paused
former holder.  Orders contain the full desired state and are resent every few seconds.
On an engine that ignores the token, a late order is therefore overwritten within that
interval.
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
    send_order,
)
from cowsliphitch.upstreams.pool.coordinator import PoolCoordinator
from cowsliphitch.upstreams.transport.client import UpstreamClient

_LOGGER = logging.getLogger(__name__)

LEASE_CHECK_INTERVAL_MS: Final = 500
RESEND_INTERVAL_MS: Final = 3_000


class EngineOrderDuty:
    """Acquires the duty for pools, and sends orders to their engines while holding it.

    :param available_daemons: returns the names of the daemons that accept work
    """

    def __init__(
        self,
        daemon_name: str,
        pools: dict[str, PoolCoordinator],
        available_daemons: Callable[[], list[str]],
        kv_client: KeyValueClient,
        upstream_client: UpstreamClient,
        clock: Clock,
    ) -> None:
        """Initialize without holding the duty for any pool."""
        self._daemon_name = daemon_name
        self._pools = pools
        self._available_daemons = available_daemons
        self._kv_client = kv_client
        self._upstream_client = upstream_client
        self._clock = clock
        self._lease_coordinators: dict[str, LeaseCoordinator] = {}
        self._acknowledged: dict[str, tuple[EngineOrder, int]] = {}

    async def run(self) -> None:
        """Maintain leases and send due orders, until cancelled."""
        while True:
            for pool_name, pool in list(self._pools.items()):
                if pool.cfg.pool.adapters:
                    await self._reconcile_pool(pool_name, pool)
            await anyio.sleep(seconds(LEASE_CHECK_INTERVAL_MS))

    async def _reconcile_pool(self, pool_name: str, pool: PoolCoordinator) -> None:
        """Acquire or renew the lease for a pool, and send due orders to its engines.

        Only the highest-ranked daemon for the pool does this.
        """
        if rank(f"engines/{pool_name}", self._available_daemons())[:1] != [
            self._daemon_name
        ]:
            return
        lease_coordinator = self._lease_coordinators.setdefault(
            pool_name,
            LeaseCoordinator(
                f"engines/{pool_name}", self._daemon_name, self._kv_client, self._clock
            ),
        )
        await lease_coordinator.acquire_or_renew()
        for upstream in list(pool.upstreams.values()):
            held_lease = lease_coordinator.lease_covering(ORDER_TIMEOUT_MS)
            if held_lease is None:
                return
            adapters = tuple(str(adapter) for adapter in pool.cfg.pool.adapters)
            order = EngineOrder(held_lease.fencing_token, adapters)
            if self._is_due(upstream.name, order):
                await self._send_order(upstream.name, upstream.address, order)

    def _is_due(self, engine_name: str, order: EngineOrder) -> bool:
        last_acknowledged = self._acknowledged.get(engine_name)
        if last_acknowledged is None or last_acknowledged[0] != order:
            return True
        return self._clock.now_ms() - last_acknowledged[1] >= RESEND_INTERVAL_MS

    async def _send_order(
        self, engine_name: str, address: str, order: EngineOrder
    ) -> None:
        sent_ms = self._clock.now_ms()
        match await send_order(self._upstream_client, address, order):
            case OrderOutcome.DONE:
                self._acknowledged[engine_name] = (order, sent_ms)
            case OrderOutcome.FENCED:
                _LOGGER.warning(
                    "Engine %s rejected an order: it accepted a higher fencing token",
                    engine_name,
                )
            case OrderOutcome.UNKNOWN:
                self._acknowledged.pop(engine_name, None)
