"""Stand-in of the platform's key-value store, speaking its published calls."""

import itertools
from collections import deque
from typing import Any, Final

import anyio
import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from cowsliphitch.core.clock import Clock, seconds

from .faults import Faults

MAX_VALUE_BYTES: Final = 1_048_576
MAX_ITEMS: Final = 500
HISTORY_EVENTS: Final = 4_096


@attrs.define
class Item:
    """One stored value, base64 as it came."""

    value: str
    revision: int
    created: int
    lease: int = 0


@attrs.define
class Lease:
    """A lease and when it ends."""

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
        self._revision = 1
        self._history: deque[dict[str, Any]] = deque(maxlen=HISTORY_EVENTS)
        self._forgotten = 0
        self._changed = anyio.Event()
        self.faults = Faults()
        self.counts = Counts()

    def app(self) -> Starlette:
        """Return the HTTP application."""
        return Starlette(
            routes=[
                Route("/kv-key", self._key, methods=["GET"]),
                Route("/kv-range", self._range, methods=["GET"]),
                Route("/kv-watch", self._watch, methods=["GET"]),
                Route("/kv-txn", self._transact, methods=["POST"]),
                Route("/kv-lease", self._grant, methods=["POST"]),
                Route("/kv-keep/{lease:int}", self._keep, methods=["POST"]),
                Route("/kv-lease-end/{lease:int}", self._end, methods=["DELETE"]),
                Route("/compact", self._compact, methods=["POST"]),
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
        ended = {i for i, lease in self._leases.items() if lease.expires_ms <= now}
        for lease in ended:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        if self._leases.pop(lease, None) is None:
            return
        for key in [k for k, item in self._items.items() if item.lease == lease]:
            self._revision += 1
            self._remove(key)
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def _record(self, event: dict[str, Any]) -> None:
        if len(self._history) == HISTORY_EVENTS:
            self._forgotten = self._history[0]["mod_rev"]
        self._history.append(event)

    def _remove(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._record({"key": key, "mod_rev": self._revision, "deleted": True})

    def _shown(self, key: str, item: Item) -> dict[str, Any]:
        return {
            "key": key,
            "value": item.value,
            "mod_rev": item.revision,
            "created": item.created,
            "lease": item.lease,
        }

    async def _key(self, req: Request) -> Response:
        self.counts.reads += 1
        if (refused := await self._disturbed()) is not None:
            return refused
        key = req.query_params["key"]
        item = self._items.get(key)
        if item is None:
            return Response(status_code=404)
        return JSONResponse(self._shown(key, item) | {"at": self._revision})

    async def _range(self, req: Request) -> Response:
        self.counts.reads += 1
        if (refused := await self._disturbed()) is not None:
            return refused
        prefix = req.query_params.get("prefix", "")
        after = req.query_params.get("after", "")
        found = [
            self._shown(key, item)
            for key, item in sorted(self._items.items())
            if key.startswith(prefix) and key > after
        ]
        more = len(found) > MAX_ITEMS
        body = {"items": found[:MAX_ITEMS], "has_more": more, "at": self._revision}
        return JSONResponse(body)

    async def _watch(self, req: Request) -> Response:
        self.counts.watches += 1
        if (refused := await self._disturbed()) is not None:
            return refused
        prefix = req.query_params.get("prefix", "")
        after = int(req.query_params["after"])
        wait_ms = int(req.query_params["wait_ms"])
        with anyio.move_on_after(seconds(wait_ms)):
            while after >= self._forgotten and not self._events(prefix, after):
                await self._changed.wait()
        if self.faults.down:
            return Response(status_code=503)
        if after < self._forgotten:
            return Response(status_code=410)
        body = {"events": self._events(prefix, after), "at": self._revision}
        return JSONResponse(body)

    def _events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            event
            for event in self._history
            if event["mod_rev"] > after and event["key"].startswith(prefix)
        ]

    async def _transact(self, req: Request) -> Response:
        self.counts.writes += 1
        body = await req.json()
        if (refused := await self._disturbed()) is not None:
            return refused
        writes = body.get("writes", [])
        if any(len(write["value"]) > MAX_VALUE_BYTES for write in writes):
            return Response(status_code=413)
        rows = body.get("expect_rev", [])
        if any(self._revision_of(row["key"]) != row["mod_rev"] for row in rows):
            self.counts.conflicts += 1
            items = [
                {"key": row["key"], "mod_rev": self._revision_of(row["key"])}
                for row in rows
            ]
            return JSONResponse({"items": items}, status_code=412)
        leases = {write.get("lease") or 0 for write in writes} - {0}
        if not leases <= self._leases.keys():
            return Response(status_code=404)
        self._apply(writes, body.get("remove", []))
        return self._acknowledge({"mod_rev": self._revision})

    def _apply(self, writes: list[dict[str, Any]], removed: list[str]) -> None:
        self._revision += 1
        for write in writes:
            key, old = write["key"], self._items.get(write["key"])
            created = old.created if old else self._revision
            item = Item(
                write["value"], self._revision, created, write.get("lease") or 0
            )
            self._items[key] = item
            self._record(self._shown(key, item))
        for key in removed:
            self._remove(key)
        self._notify()

    def _revision_of(self, key: str) -> int:
        item = self._items.get(key)
        return item.revision if item is not None else 0

    def _acknowledge(self, body: dict[str, Any]) -> Response:
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return Response(status_code=504)
        return JSONResponse(body)

    async def _grant(self, req: Request) -> Response:
        self.counts.writes += 1
        if (refused := await self._disturbed()) is not None:
            return refused
        ttl_ms = int((await req.json())["ttl_ms"])
        lease = next(self._lease_ids)
        self._leases[lease] = Lease(ttl_ms, self._clock.now_ms() + ttl_ms)
        return JSONResponse({"lease": lease, "ttl_ms": ttl_ms})

    async def _keep(self, req: Request) -> Response:
        self.counts.reads += 1
        if (refused := await self._disturbed()) is not None:
            return refused
        lease = self._leases.get(req.path_params["lease"])
        if lease is None:
            return Response(status_code=404)
        lease.expires_ms = self._clock.now_ms() + lease.ttl_ms
        return JSONResponse({"ttl_ms": lease.ttl_ms})

    async def _end(self, req: Request) -> Response:
        self.counts.writes += 1
        if (refused := await self._disturbed()) is not None:
            return refused
        self._end_lease(req.path_params["lease"])
        return Response(status_code=200)

    async def _compact(self, _req: Request) -> Response:
        """Forget the history, as the platform may at any time."""
        self._forgotten = self._revision
        self._history.clear()
        self._notify()
        return Response(status_code=204)

    async def _stats(self, _req: Request) -> Response:
        return JSONResponse(attrs.asdict(self.counts))
