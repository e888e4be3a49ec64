"""Stand-in for the platform's key-value store.

It implements the HTTP interface that the platform publishes: reads, range queries,
watches, conditional transactions and leases.  Data is kept in memory and lost on exit.
"""

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
MAX_RANGE_ITEMS: Final = 500
MAX_HISTORY_EVENTS: Final = 4_096


@attrs.define
class Item:
    """Stored value.

    :param value: base64 text, as received
    :param revision: revision of the last write
    :param created: revision of the write that created the key
    :param lease: lease that the key is bound to, 0 for none
    """

    value: str
    revision: int
    created: int
    lease: int = 0


@attrs.define
class Lease:
    """Lease of the store, and the clock time at which it expires."""

    ttl_ms: int
    expires_ms: int


@attrs.define
class CallCounts:
    """Number of calls by kind, counted as the platform bills them."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    conflicts: int = 0


class KeyValueService:
    """In-memory key-value store with its HTTP handlers and fault switches."""

    def __init__(self, clock: Clock) -> None:
        """Initialize an empty store at revision 1."""
        self._clock = clock
        self._items: dict[str, Item] = {}
        self._leases: dict[int, Lease] = {}
        self._lease_id_sequence = itertools.count(1)
        self._revision = 1
        self._history: deque[dict[str, Any]] = deque(maxlen=MAX_HISTORY_EVENTS)
        self._compacted_revision = 0
        self._change_event = anyio.Event()
        self.faults = Faults()
        self.counts = CallCounts()

    def app(self) -> Starlette:
        """Return the ASGI application that serves the store."""
        return Starlette(
            routes=[
                Route("/kv-key", self._handle_get, methods=["GET"]),
                Route("/kv-range", self._handle_range, methods=["GET"]),
                Route("/kv-watch", self._handle_watch, methods=["GET"]),
                Route("/kv-txn", self._handle_transaction, methods=["POST"]),
                Route("/kv-lease", self._handle_lease_grant, methods=["POST"]),
                Route(
                    "/kv-keep/{lease:int}", self._handle_lease_renewal, methods=["POST"]
                ),
                Route(
                    "/kv-lease-end/{lease:int}",
                    self._handle_lease_revocation,
                    methods=["DELETE"],
                ),
                Route("/compact", self._handle_compaction, methods=["POST"]),
                Route("/stats", self._handle_stats, methods=["GET"]),
                self.faults.route(),
            ]
        )

    async def _apply_faults(self) -> Response | None:
        if self.faults.delay_ms:
            await anyio.sleep(seconds(self.faults.delay_ms))
        if self.faults.down:
            return Response(status_code=503)
        self._expire_leases()
        return None

    def _expire_leases(self) -> None:
        now_ms = self._clock.now_ms()
        expired_leases = {
            lease_id
            for lease_id, lease in self._leases.items()
            if lease.expires_ms <= now_ms
        }
        for lease in expired_leases:
            self._revoke_lease(lease)

    def _revoke_lease(self, lease_id: int) -> None:
        if self._leases.pop(lease_id, None) is None:
            return
        for key in [k for k, item in self._items.items() if item.lease == lease_id]:
            self._revision += 1
            self._delete_item(key)
        self._wake_watchers()

    def _wake_watchers(self) -> None:
        self._change_event.set()
        self._change_event = anyio.Event()

    def _append_event(self, event: dict[str, Any]) -> None:
        # A full history drops its oldest event, so watches from before it get 410.
        if len(self._history) == MAX_HISTORY_EVENTS:
            self._compacted_revision = self._history[0]["mod_rev"]
        self._history.append(event)

    def _delete_item(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._append_event({"key": key, "mod_rev": self._revision, "deleted": True})

    def _item_json(self, key: str, item: Item) -> dict[str, Any]:
        return {
            "key": key,
            "value": item.value,
            "mod_rev": item.revision,
            "created": item.created,
            "lease": item.lease,
        }

    async def _handle_get(self, req: Request) -> Response:
        self.counts.reads += 1
        if (fault_response := await self._apply_faults()) is not None:
            return fault_response
        key = req.query_params["key"]
        item = self._items.get(key)
        if item is None:
            return Response(status_code=404)
        return JSONResponse(self._item_json(key, item) | {"at": self._revision})

    async def _handle_range(self, req: Request) -> Response:
        self.counts.reads += 1
        if (fault_response := await self._apply_faults()) is not None:
            return fault_response
        prefix = req.query_params.get("prefix", "")
        after_key = req.query_params.get("after", "")
        items = [
            self._item_json(key, item)
            for key, item in sorted(self._items.items())
            if key.startswith(prefix) and key > after_key
        ]
        has_more = len(items) > MAX_RANGE_ITEMS
        body = {
            "items": items[:MAX_RANGE_ITEMS],
            "has_more": has_more,
            "at": self._revision,
        }
        return JSONResponse(body)

    async def _handle_watch(self, req: Request) -> Response:
        self.counts.watches += 1
        if (fault_response := await self._apply_faults()) is not None:
            return fault_response
        prefix = req.query_params.get("prefix", "")
        after_revision = int(req.query_params["after"])
        wait_ms = int(req.query_params["wait_ms"])
        with anyio.move_on_after(seconds(wait_ms)):
            while after_revision >= self._compacted_revision and not self._events_after(
                prefix, after_revision
            ):
                await self._change_event.wait()
        if self.faults.down:
            return Response(status_code=503)
        if after_revision < self._compacted_revision:
            return Response(status_code=410)
        body = {
            "events": self._events_after(prefix, after_revision),
            "at": self._revision,
        }
        return JSONResponse(body)

    def _events_after(self, prefix: str, after_revision: int) -> list[dict[str, Any]]:
        return [
            event
            for event in self._history
            if event["mod_rev"] > after_revision and event["key"].startswith(prefix)
        ]

    async def _handle_transaction(self, req: Request) -> Response:
        self.counts.writes += 1
        body = await req.json()
        if (fault_response := await self._apply_faults()) is not None:
            return fault_response
        writes = body.get("writes", [])
        if any(len(write["value"]) > MAX_VALUE_BYTES for write in writes):
            return Response(status_code=413)
        preconditions = body.get("expect_rev", [])
        if any(
            self._key_revision(condition["key"]) != condition["mod_rev"]
            for condition in preconditions
        ):
            self.counts.conflicts += 1
            items = [
                {
                    "key": condition["key"],
                    "mod_rev": self._key_revision(condition["key"]),
                }
                for condition in preconditions
            ]
            return JSONResponse({"items": items}, status_code=412)
        lease_ids = {write.get("lease") or 0 for write in writes} - {0}
        if not lease_ids <= self._leases.keys():
            return Response(status_code=404)
        self._apply_transaction(writes, body.get("remove", []))
        return self._acknowledge_write({"mod_rev": self._revision})

    def _apply_transaction(
        self, writes: list[dict[str, Any]], deleted_keys: list[str]
    ) -> None:
        self._revision += 1
        for write in writes:
            key, previous = write["key"], self._items.get(write["key"])
            created = previous.created if previous else self._revision
            item = Item(
                write["value"], self._revision, created, write.get("lease") or 0
            )
            self._items[key] = item
            self._append_event(self._item_json(key, item))
        for key in deleted_keys:
            self._delete_item(key)
        self._wake_watchers()

    def _key_revision(self, key: str) -> int:
        item = self._items.get(key)
        return item.revision if item is not None else 0

    def _acknowledge_write(self, body: dict[str, Any]) -> Response:
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return Response(status_code=504)
        return JSONResponse(body)

    async def _handle_lease_grant(self, req: Request) -> Response:
        self.counts.writes += 1
        if (fault_response := await self._apply_faults()) is not None:
            return fault_response
        ttl_ms = int((await req.json())["ttl_ms"])
        lease_id = next(self._lease_id_sequence)
        self._leases[lease_id] = Lease(ttl_ms, self._clock.now_ms() + ttl_ms)
        return JSONResponse({"lease": lease_id, "ttl_ms": ttl_ms})

    async def _handle_lease_renewal(self, req: Request) -> Response:
        self.counts.reads += 1
        if (fault_response := await self._apply_faults()) is not None:
            return fault_response
        lease = self._leases.get(req.path_params["lease"])
        if lease is None:
            return Response(status_code=404)
        lease.expires_ms = self._clock.now_ms() + lease.ttl_ms
        return JSONResponse({"ttl_ms": lease.ttl_ms})

    async def _handle_lease_revocation(self, req: Request) -> Response:
        self.counts.writes += 1
        if (fault_response := await self._apply_faults()) is not None:
            return fault_response
        self._revoke_lease(req.path_params["lease"])
        return Response(status_code=200)

    async def _handle_compaction(self, _req: Request) -> Response:
        """Discard the event history, as the platform may at any time.

        Watches from an older revision are then answered with 410.
        """
        self._compacted_revision = self._revision
        self._history.clear()
        self._wake_watchers()
        return Response(status_code=204)

    async def _handle_stats(self, _req: Request) -> Response:
        return JSONResponse(attrs.asdict(self.counts))
