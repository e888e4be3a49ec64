"""Poll the platform's VM list."""

import logging
from collections.abc import Callable

import anyio
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

    def __init__(self, base_url: str, clock: Clock) -> None:
        """Start with no VMs."""
        timeout = httpx.Timeout(seconds(const.CALL_TIMEOUT_MS))
        self._http = httpx.AsyncClient(base_url=base_url, timeout=timeout)
        self._clock = clock
        self._listeners: list[Listener] = []
        self._available = True
        self.listing = VmListing()
        self.last_answer_ms: int | None = None

    def listen(self, listener: Listener) -> None:
        """Call ``listener`` with each listing that differs from the last."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Poll for ever."""
        while True:
            await self.poll()
            await anyio.sleep(seconds(const.POLL_INTERVAL_MS))

    async def poll(self) -> None:
        """Read the list once and tell the listeners what changed."""
        match await self._read():
            case Ok(listing):
                self.last_answer_ms = self._clock.now_ms()
                self._note_available(True)
                self._take(listing)
            case Err(_):
                self._note_available(False)

    def offer(self, listing: VmListing) -> None:
        """Take over a peer's listing, while the platform never gave one."""
        if self.last_answer_ms is None and not self.listing.vms:
            self._take(listing)

    def _take(self, listing: VmListing) -> None:
        if listing == self.listing:
            return
        self.listing = listing
        for listener in self._listeners:
            listener(listing)

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
