"""Duties, each held by a lease of the platform's key-value store.

At most one daemon holds a duty at a time, even if daemons can't reach each other.
"""

import logging

import attrs
from result import Err, Ok

from cowsliphitch.core.clock import Clock
from cowsliphitch.core.codec import to_json
from cowsliphitch.core.fencing.lease import HeldLease, renew_at_ms
from cowsliphitch.core.kv.models import Applied, LeaseExpired
from cowsliphitch.core.revisions import NO_REVISION
from cowsliphitch.platform.store.client import KeyValueClient

from . import const
from .models import Diagnostics, Holder

_LOGGER = logging.getLogger(__name__)


class LeaseCoordinator:
    """Acquires and renews one duty, such as sending orders to the engines of a pool.

    The key of the duty is attached to the lease, and the store deletes it when the
    lease expires, so only one daemon holds the duty.  Calls that a holder makes after a
    pause are fenced by the revision at which the key was written.

    :param duty: name of the duty
    :param daemon: name of this daemon
    """

    def __init__(
        self, duty: str, daemon: str, kv: KeyValueClient, clock: Clock
    ) -> None:
        """Initialize without the duty."""
        self._duty = duty
        self._daemon = daemon
        self._kv = kv
        self._clock = clock
        self._lease: HeldLease | None = None
        self.diagnostics = Diagnostics()

    def lease_covering(self, call_timeout_ms: int) -> HeldLease | None:
        """Return the lease if a call that starts now ends before the lease expires.

        :param call_timeout_ms: maximum duration of the call
        :returns: ``None`` if this daemon does not hold the duty or the lease expires
            before the end of the call
        """
        lease = self._lease
        if lease is None or not lease.covers(self._clock.now_ms(), call_timeout_ms):
            return None
        return lease

    async def acquire_or_renew(self) -> None:
        """Acquire the duty, or renew its lease when that is due."""
        now_ms = self._clock.now_ms()
        if self._lease is not None and self._lease.valid_until_ms <= now_ms:
            self._mark_lost()
        if self._lease is None:
            await self._acquire()
        elif now_ms >= renew_at_ms(self._lease, const.LEASE_TTL_MS):
            await self._renew(self._lease)

    async def _acquire(self) -> None:
        started_ms = self._clock.now_ms()
        match await self._kv.grant_lease(const.LEASE_TTL_MS):
            case Err(_):
                return
            case Ok(lease):
                pass
        key = const.DUTY_KEY.format(duty=self._duty)
        value = to_json(Holder(self._daemon, lease.id))
        result = await self._kv.put(key, value, NO_REVISION, lease)
        if isinstance(result, Applied):
            self._lease = HeldLease(
                lease, result.revision, started_ms + const.LEASE_TTL_MS
            )
            self.diagnostics.taken += 1
            _LOGGER.info(
                "Acquired duty %s with lease %d at revision %d of era %d",
                self._duty,
                lease.id,
                result.revision.number,
                result.revision.era,
            )

    async def _renew(self, lease: HeldLease) -> None:
        started_ms = self._clock.now_ms()
        match await self._kv.renew_lease(lease.lease):
            case Ok(_):
                self._lease = attrs.evolve(
                    lease, valid_until_ms=started_ms + const.LEASE_TTL_MS
                )
            case Err(LeaseExpired()):
                self._mark_lost()

    def _mark_lost(self) -> None:
        self._lease = None
        self.diagnostics.lost += 1
        _LOGGER.info("Duty %s lost: its lease expired or was revoked", self._duty)
