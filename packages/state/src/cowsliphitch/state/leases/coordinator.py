"""Hold one duty by a lease of the platform."""

import logging

from result import Err, Ok

from cowsliphitch.core.clock import Clock
from cowsliphitch.core.codec import to_json
from cowsliphitch.core.fencing.lease import HeldLease, renew_at_ms
from cowsliphitch.platform.store.client import KeyValueClient
from cowsliphitch.platform.store.models import Applied, LeaseExpired

from . import const
from .models import Diagnostics, Holder

_LOGGER = logging.getLogger(__name__)


class LeaseCoordinator:
    """One duty, such as giving orders to the engines of a pool.

    The key of the duty lives as long as the lease, so only one daemon holds it; what a
    holder does after a pause is fenced by the lease's number.
    """

    def __init__(
        self, duty: str, daemon: str, kv: KeyValueClient, clock: Clock
    ) -> None:
        """Start without the duty."""
        self._duty = duty
        self._daemon = daemon
        self._kv = kv
        self._clock = clock
        self._lease: HeldLease | None = None
        self.diagnostics = Diagnostics()

    def held(self, call_ms: int) -> HeldLease | None:
        """Return the lease if a call that starts now ends while it is held."""
        lease = self._lease
        if lease is None or not lease.covers(self._clock.now_ms(), call_ms):
            return None
        return lease

    async def keep(self) -> None:
        """Take the duty, or renew its lease when that is due."""
        now = self._clock.now_ms()
        if self._lease is not None and self._lease.valid_until_ms <= now:
            self._drop()
        if self._lease is None:
            await self._take()
        elif now >= renew_at_ms(self._lease, const.TTL_MS):
            await self._renew(self._lease)

    async def _take(self) -> None:
        started_ms = self._clock.now_ms()
        match await self._kv.grant_lease(const.TTL_MS):
            case Err(_):
                return
            case Ok(number):
                pass
        key = const.DUTY_KEY.format(duty=self._duty)
        holder = to_json(Holder(self._daemon, number))
        result = await self._kv.put(key, holder, expected=0, lease=number)
        if isinstance(result, Applied):
            self._lease = HeldLease(number, started_ms + const.TTL_MS)
            self.diagnostics.taken += 1
            _LOGGER.info("Duty %s is held by lease %d", self._duty, number)

    async def _renew(self, lease: HeldLease) -> None:
        started_ms = self._clock.now_ms()
        match await self._kv.renew_lease(lease.id):
            case Ok(_):
                self._lease = HeldLease(lease.id, started_ms + const.TTL_MS)
            case Err(LeaseExpired()):
                self._drop()

    def _drop(self) -> None:
        self._lease = None
        self.diagnostics.lost += 1
        _LOGGER.info("Duty %s is lost", self._duty)
