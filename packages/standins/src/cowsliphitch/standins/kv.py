"""Stand-in for the platform's key-value store.

It implements the HTTP interface that the platform publishes: reads, range queries,
watches, conditional transactions and leases.  Data is kept in memory and lost on exit.

Lease identifiers are large and decrease: the platform does not say that they increase.

It can come back from a copy of itself: what was written since is gone, revisions and
lease identifiers are given out again, and the era rises.  The operator and the servers
write again what they had written.
"""

from collections import deque
from collections.abc import Callable
from typing import Any, Final

import anyio
import attrs
from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from cowsliphitch.core.clock import Clock, seconds

from .faults import Faults

MAX_VALUE_BYTES: Final = 1_048_576
MAX_RANGE_ITEMS: Final = 500
MAX_HISTORY_EVENTS: Final = 4_096
FIRST_ERA: Final = 1
FIRST_LEASE_ID: Final = 1 << 48

# The operator and the servers write under these keys.
FOREIGN_PREFIXES: Final = ("op/", "servers/")


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


@attrs.frozen
class Copy:
    """State of the store to which it can come back."""

    items: dict[str, Item]
    leases: dict[int, Lease]
    revision: int
    next_lease_id: int


@attrs.define
class CallCounts:
    """Number of calls by kind, counted as the platform bills them."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    conflicts: int = 0


class _EraHeader:
    """ASGI middleware that adds the store's era to all answers."""

    def __init__(self, app: ASGIApp, read_era: Callable[[], int]) -> None:
        self._app = app
        self._read_era = read_era

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        async def send_with_era(message: Message) -> None:
            if message["type"] == "http.response.start":
                era = (b"store-era", str(self._read_era()).encode())
                message["headers"] = [*message.get("headers", ()), era]
            await send(message)

        await self._app(scope, receive, send_with_era)


class KeyValueService:
    """In-memory key-value store with its HTTP handlers and fault switches."""

    def __init__(self, clock: Clock) -> None:
        """Initialize an empty store at revision 1."""
        self._clock = clock
        self._items: dict[str, Item] = {}
        self._leases: dict[int, Lease] = {}
        self._next_lease_id = FIRST_LEASE_ID
        self._granted_in_era = 0
        self._revision = 1
        self._history: deque[dict[str, Any]] = deque(maxlen=MAX_HISTORY_EVENTS)
        self._compacted_revision = 0
        self._change_event = anyio.Event()
        self._era = FIRST_ERA
        self._copy = self._take_copy()
        # What the operator and the servers last wrote since the copy, by key, and what
        # they have not written again after the drill; None for a deletion.
        self._foreign_changes: dict[str, str | None] = {}
        self._lost_changes: dict[str, str | None] = {}
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
                Route("/copy", self._handle_copy, methods=["POST"]),
                Route("/restore", self._handle_restore, methods=["POST"]),
                Route("/rewrite", self._handle_rewrite, methods=["POST"]),
                Route("/leases", self._handle_leases, methods=["GET"]),
                Route("/stats", self._handle_stats, methods=["GET"]),
                self.faults.route(),
            ],
            middleware=[Middleware(_EraHeader, read_era=lambda: self._era)],
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
        era = self._era
        with anyio.move_on_after(seconds(wait_ms)):
            while (
                era == self._era
                and self._has_history(after_revision)
                and not self._events_after(prefix, after_revision)
            ):
                await self._change_event.wait()
        if self.faults.down or era != self._era:
            return Response(status_code=503)
        if not self._has_history(after_revision):
            return Response(status_code=410)
        body = {
            "events": self._events_after(prefix, after_revision),
            "at": self._revision,
        }
        return JSONResponse(body)

    def _has_history(self, after_revision: int) -> bool:
        return self._compacted_revision <= after_revision <= self._revision

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
        changes = {write["key"]: write["value"] for write in writes}
        changes |= dict.fromkeys(deleted_keys)
        for key, value in changes.items():
            if key.startswith(FOREIGN_PREFIXES):
                self._foreign_changes[key] = value
                self._lost_changes.pop(key, None)
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
        lease_id = self._next_lease_id
        self._next_lease_id -= 1
        self._granted_in_era += 1
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

    def _take_copy(self) -> Copy:
        return Copy(
            dict(self._items),
            {lease_id: attrs.evolve(lease) for lease_id, lease in self._leases.items()},
            self._revision,
            self._next_lease_id,
        )

    async def _handle_copy(self, _req: Request) -> Response:
        """Keep a copy of the store to come back to."""
        self._copy = self._take_copy()
        self._foreign_changes.clear()
        return Response(status_code=204)

    async def _handle_restore(self, _req: Request) -> Response:
        """Come back from the copy; what was written since is gone."""
        self._items = dict(self._copy.items)
        self._leases = dict(self._copy.leases)
        self._revision = self._copy.revision
        self._next_lease_id = self._copy.next_lease_id
        self._history.clear()
        self._compacted_revision = self._revision
        self._lost_changes, self._foreign_changes = self._foreign_changes, {}
        self._era += 1
        self._granted_in_era = 0
        self._wake_watchers()
        return Response(status_code=204)

    async def _handle_rewrite(self, _req: Request) -> Response:
        """Write again what the operator and the servers last wrote before the drill.

        Keys that they have written since are left as they are.
        """
        lost, self._lost_changes = self._lost_changes, {}
        for key, value in lost.items():
            writes = [] if value is None else [{"key": key, "value": value}]
            self._apply_transaction(writes, [key] if value is None else [])
        return Response(status_code=204)

    async def _handle_leases(self, _req: Request) -> Response:
        """Return the number of leases that were granted in this era."""
        return JSONResponse({"era_granted": self._granted_in_era})

    async def _handle_stats(self, _req: Request) -> Response:
        return JSONResponse(attrs.asdict(self.counts))
