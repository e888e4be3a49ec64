"""Stand-in of the platform's key-value service: compare-and-swap, leases, watches."""

import itertools

import anyio
import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from cowsliphitch.core.clock import Clock, seconds

from .const import DEFAULT_LEASE_TTL_MS
from .faults import Faults

MAX_VALUE_BYTES = 1_048_576


@attrs.define
class Item:
    """One stored value."""

    value: str
    revision: int
    lease: int | None = None


@attrs.define
class Lease:
    """A lease and when it lapses."""

    ttl_ms: int
    expires_ms: int


@attrs.define
class Counts:
    """Calls by kind, as the platform bills them."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    conflicts: int = 0


class KeyValueService:
    """The state of the stand-in and its HTTP handlers."""

    def __init__(self, clock: Clock) -> None:
        """Start empty."""
        self._clock = clock
        self._items: dict[str, Item] = {}
        self._leases: dict[int, Lease] = {}
        self._lease_ids = itertools.count(1)
        self._revision = 0
        self._changed = anyio.Event()
        self.faults = Faults()
        self.counts = Counts()

    def app(self) -> Starlette:
        """Return the HTTP application."""
        return Starlette(
            routes=[
                Route("/v1/kv/{key:path}", self._get, methods=["GET"]),
                Route("/v1/kv/{key:path}", self._put, methods=["PUT"]),
                Route("/v1/kv/{key:path}", self._delete, methods=["DELETE"]),
                Route("/v1/list", self._list, methods=["GET"]),
                Route("/v1/watch/{key:path}", self._watch, methods=["GET"]),
                Route("/v1/leases", self._grant, methods=["POST"]),
                Route("/v1/leases/{lease:int}", self._renew, methods=["PUT"]),
                Route("/stats", self._stats, methods=["GET"]),
                self.faults.route(),
            ]
        )

    async def _disturbed(self) -> Response | None:
        if self.faults.delay_ms:
            await anyio.sleep(seconds(self.faults.delay_ms))
        if self.faults.down:
            return Response(status_code=503)
        self._expire()
        return None

    def _expire(self) -> None:
        now = self._clock.now_ms()
        lapsed = {i for i, lease in self._leases.items() if lease.expires_ms <= now}
        if not lapsed:
            return
        self._leases = {i: v for i, v in self._leases.items() if i not in lapsed}
        self._items = {k: v for k, v in self._items.items() if v.lease not in lapsed}
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def _get(self, req: Request) -> Response:
        self.counts.reads += 1
        if (refused := await self._disturbed()) is not None:
            return refused
        return self._answer(req.path_params["key"])

    def _answer(self, key: str) -> Response:
        item = self._items.get(key)
        if item is None:
            return Response(status_code=404)
        return JSONResponse({"value": item.value, "revision": item.revision})

    async def _put(self, req: Request) -> Response:
        self.counts.writes += 1
        body = await req.json()
        if (refused := await self._disturbed()) is not None:
            return refused
        key = req.path_params["key"]
        if len(body["value"]) > MAX_VALUE_BYTES:
            return Response(status_code=413)
        current = self._items.get(key)
        revision = current.revision if current is not None else 0
        if body.get("expected") is not None and body["expected"] != revision:
            self.counts.conflicts += 1
            return JSONResponse({"revision": revision}, status_code=409)
        lease = body.get("lease")
        if lease is not None and lease not in self._leases:
            return JSONResponse({"revision": revision}, status_code=410)
        self._revision += 1
        self._items[key] = Item(body["value"], self._revision, lease)
        self._notify()
        return self._acknowledge(self._items[key].revision)

    def _acknowledge(self, revision: int) -> Response:
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return Response(status_code=504)
        return JSONResponse({"revision": revision})

    async def _delete(self, req: Request) -> Response:
        self.counts.writes += 1
        if (refused := await self._disturbed()) is not None:
            return refused
        self._items.pop(req.path_params["key"], None)
        self._notify()
        return self._acknowledge(self._revision)

    async def _list(self, req: Request) -> Response:
        self.counts.reads += 1
        if (refused := await self._disturbed()) is not None:
            return refused
        prefix = req.query_params.get("prefix", "")
        found = [
            {"key": key, "value": item.value, "revision": item.revision}
            for key, item in sorted(self._items.items())
            if key.startswith(prefix)
        ]
        return JSONResponse({"items": found})

    async def _watch(self, req: Request) -> Response:
        self.counts.watches += 1
        if (refused := await self._disturbed()) is not None:
            return refused
        key = req.path_params["key"]
        after = int(req.query_params.get("after", "0"))
        wait_ms = int(req.query_params.get("wait_ms", "1000"))
        with anyio.move_on_after(seconds(wait_ms)):
            while not self._is_newer(key, after):
                await self._changed.wait()
        if self.faults.down:
            return Response(status_code=503)
        return (
            self._answer(key)
            if self._is_newer(key, after)
            else Response(status_code=304)
        )

    def _is_newer(self, key: str, after: int) -> bool:
        item = self._items.get(key)
        return item is not None and item.revision > after

    async def _grant(self, req: Request) -> Response:
        self.counts.writes += 1
        if (refused := await self._disturbed()) is not None:
            return refused
        ttl_ms = int((await req.json()).get("ttl_ms", DEFAULT_LEASE_TTL_MS))
        lease = next(self._lease_ids)
        self._leases[lease] = Lease(ttl_ms, self._clock.now_ms() + ttl_ms)
        return JSONResponse({"lease": lease})

    async def _renew(self, req: Request) -> Response:
        self.counts.writes += 1
        if (refused := await self._disturbed()) is not None:
            return refused
        lease = self._leases.get(req.path_params["lease"])
        if lease is None:
            return Response(status_code=410)
        lease.expires_ms = self._clock.now_ms() + lease.ttl_ms
        return JSONResponse({"ttl_ms": lease.ttl_ms})

    async def _stats(self, _req: Request) -> Response:
        return JSONResponse(attrs.asdict(self.counts))
