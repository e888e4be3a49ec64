"""Stand-in of the platform's VM list: live and leaving VMs, shown with a lag."""

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
class Change:
    """A list of VMs and since when it is true."""

    at_ms: int
    vms: list[dict[str, str]]


class VmList:
    """The state of the stand-in and its HTTP handlers."""

    def __init__(self, clock: Clock) -> None:
        """Start with no VMs."""
        self._clock = clock
        self._changes: deque[Change] = deque([Change(0, [])], maxlen=100)
        self._lag_ms = VM_LIST_LAG_MS
        self.faults = Faults()

    def app(self) -> Starlette:
        """Return the HTTP application."""
        return Starlette(
            routes=[
                Route("/v1/vms", self._get, methods=["GET"]),
                Route("/v1/vms", self._put, methods=["PUT"]),
                self.faults.route(),
            ]
        )

    async def _get(self, _req: Request) -> Response:
        if self.faults.delay_ms:
            await anyio.sleep(seconds(self.faults.delay_ms))
        if self.faults.down:
            return Response(status_code=503)
        seen_ms = self._clock.now_ms() - self._lag_ms
        visible = [change for change in self._changes if change.at_ms <= seen_ms]
        vms = visible[-1].vms if visible else []
        return JSONResponse({"vms": vms})

    async def _put(self, req: Request) -> Response:
        body = await req.json()
        self._lag_ms = int(body.get("lag_ms", self._lag_ms))
        self._changes.append(Change(self._clock.now_ms(), body["vms"]))
        return JSONResponse({})
