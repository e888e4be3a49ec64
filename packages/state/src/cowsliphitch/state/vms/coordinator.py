"""Poll the platform's VM list."""

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
    """One poller of the list; everybody else listens.

    The last listing is kept while the platform gives no answer.
    """

    def __init__(
        self, base_url: str, clock: Clock, is_watcher: Callable[[], bool]
    ) -> None:
        """Start with no VMs."""
        timeout = httpx.Timeout(seconds(const.CALL_TIMEOUT_MS))
        self._http = httpx.AsyncClient(base_url=base_url, timeout=timeout)
        self._clock = clock
        self._is_watcher = is_watcher
        self._listeners: list[Listener] = []
        self._available = True
        self.listing = VmListing()

    def add_listener(self, listener: Listener) -> None:
        """Call ``listener`` with each listing whose VMs differ from the last."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Poll for ever; while the peers have fresh news, only watchers do."""
        while True:
            if self._is_watcher() or self._age_ms() > const.FOLLOW_PEERS_FOR_MS:
                await self.poll()
            await anyio.sleep(seconds(const.POLL_INTERVAL_MS))

    async def poll(self) -> None:
        """Read the list once and tell the listeners what changed."""
        match await self._read():
            case Ok(listing):
                self._note_available(True)
                seen_ms = self._clock.wall_ms()
                self.offer(attrs.evolve(listing, seen_ms=seen_ms))
            case Err(_):
                self._note_available(False)

    def confirm(self, seen_ms: int) -> None:
        """Note that a peer saw the same VMs later."""
        self.listing = attrs.evolve(self.listing, seen_ms=seen_ms)

    def offer(self, listing: VmListing) -> None:
        """Take over a listing that the platform gave later than the one known."""
        if listing.seen_ms <= self.listing.seen_ms:
            return
        changed = listing.vms != self.listing.vms
        self.listing = listing
        if changed:
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

    def _note_available(self, available: bool) -> None:
        if available is self._available:
            return
        self._available = available
        if available:
            _LOGGER.info("VM list is back")
        else:
            _LOGGER.warning("VM list is lost")
