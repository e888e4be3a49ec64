"""Read the platform's VM list, or take it over from peers.

Only some daemons poll the platform while peers pass their listings on.  While the
platform does not answer, the last listing remains in use.
"""

import logging
from collections.abc import Callable

import anyio
import attrs
import httpx
from result import Err, Ok, Result

from cowsliphitch.core.clock import Clock, seconds
from cowsliphitch.core.codec import from_json
from cowsliphitch.core.vms.models import VmListing

from . import const

_LOGGER = logging.getLogger(__name__)

Listener = Callable[[VmListing], None]


class VmCoordinator:
    """Holds the latest VM listing and passes changes to its listeners.

    :param base_url: base URL of the VM list
    :param is_watcher: returns whether this daemon polls the platform; the others do so
        only if their peers have passed on no recent listing
    """

    def __init__(
        self, base_url: str, clock: Clock, is_watcher: Callable[[], bool]
    ) -> None:
        """Initialize with an empty listing."""
        timeout = httpx.Timeout(seconds(const.CALL_TIMEOUT_MS))
        self._http = httpx.AsyncClient(base_url=base_url, timeout=timeout)
        self._clock = clock
        self._is_watcher = is_watcher
        self._listeners: list[Listener] = []
        self._available = True
        self.listing = VmListing()

    def add_listener(self, listener: Listener) -> None:
        """Call ``listener`` with each listing whose VMs differ from before."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Poll the list, until cancelled.

        A daemon that is not a watcher polls only while the listing is out of date.
        """
        while True:
            if self._is_watcher() or self._age_ms() > const.MAX_LISTING_AGE_MS:
                await self.poll()
            await anyio.sleep(seconds(const.POLL_INTERVAL_MS))

    async def poll(self) -> None:
        """Read the list once; if the VMs changed, call the listeners."""
        match await self._read():
            case Ok(listing):
                self._set_available(True)
                seen_ms = self._clock.wall_ms()
                self.offer(attrs.evolve(listing, seen_ms=seen_ms))
            case Err(_):
                self._set_available(False)

    def confirm(self, seen_ms: int) -> None:
        """Record that a peer read the same VMs at a later time, in Unix ms."""
        self.listing = attrs.evolve(self.listing, seen_ms=seen_ms)

    def offer(self, listing: VmListing) -> None:
        """Apply a listing if the platform returned it later than the present one."""
        if listing.seen_ms <= self.listing.seen_ms:
            return
        is_changed = listing.vms != self.listing.vms
        self.listing = listing
        if is_changed:
            for listener in self._listeners:
                listener(listing)

    def _age_ms(self) -> int:
        return self._clock.wall_ms() - self.listing.seen_ms

    async def close(self) -> None:
        """Close the connections."""
        await self._http.aclose()

    async def _read(self) -> Result[VmListing, str]:
        try:
            resp = await self._http.get("/v1/vms")
        except httpx.HTTPError as exc:
            return Err(type(exc).__name__)
        if resp.status_code != httpx.codes.OK:
            return Err(f"status {resp.status_code}")
        return from_json(resp.content, VmListing)

    def _set_available(self, available: bool) -> None:
        if available is self._available:
            return
        self._available = available
        if available:
            _LOGGER.info("VM list is available again")
        else:
            _LOGGER.warning("VM list is unavailable; keeping the last listing")
