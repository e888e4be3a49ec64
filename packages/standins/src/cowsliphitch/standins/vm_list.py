"""Stand-in for the platform's VM list.

It lists live and leaving VMs.  A new list becomes visible to readers after a lag, so
that daemons have to work with an outdated list.
"""

from collections import deque

import anyio
import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from cowsliphitch.core.clock import Clock, seconds

from .const import VM_LIST_LAG_MS
from .faults import Faults


@attrs.frozen
class PublishedList:
    """List of VMs, and the clock time at which it was received."""

    published_ms: int
    vms: list[dict[str, str]]


class VmList:
    """Published lists of VMs, with the HTTP handlers and fault switches."""

    def __init__(self, clock: Clock) -> None:
        """Initialize with an empty list of VMs."""
        self._clock = clock
        self._published_lists: deque[PublishedList] = deque(
            [PublishedList(0, [])], maxlen=100
        )
        self._lag_ms = VM_LIST_LAG_MS
        self.faults = Faults()

    def app(self) -> Starlette:
        """Return the ASGI application that serves the list."""
        return Starlette(
            routes=[
                Route("/v1/vms", self._handle_get, methods=["GET"]),
                Route("/v1/vms", self._handle_put, methods=["PUT"]),
                self.faults.route(),
            ]
        )

    async def _handle_get(self, _req: Request) -> Response:
        if self.faults.delay_ms:
            await anyio.sleep(seconds(self.faults.delay_ms))
        if self.faults.down:
            return Response(status_code=503)
        visible_until_ms = self._clock.now_ms() - self._lag_ms
        visible_lists = [
            published
            for published in self._published_lists
            if published.published_ms <= visible_until_ms
        ]
        vms = visible_lists[-1].vms if visible_lists else []
        return JSONResponse({"vms": vms})

    async def _handle_put(self, req: Request) -> Response:
        body = await req.json()
        self._lag_ms = int(body.get("lag_ms", self._lag_ms))
        self._published_lists.append(PublishedList(self._clock.now_ms(), body["vms"]))
        return JSONResponse({})
