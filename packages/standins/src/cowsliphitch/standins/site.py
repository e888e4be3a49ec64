"""Stand-ins of the platform: servers with their store entries, and a settings document.

The servers run in the event loop of a test; the daemons and the key-value store are
separate processes.
"""

import asyncio
import base64
import itertools
import json
from collections.abc import Callable
from typing import Any, Final

import anyio
import attrs
import httpx

from cowsliphitch.callers.edge.models import EdgeRequest, Reply
from cowsliphitch.callers.edge.server import EdgeServer
from cowsliphitch.core.clock import Clock, seconds
from cowsliphitch.core.deployment.models import CallerLimits

from .const import LOOPBACK
from .processes import free_port

EVENT_COUNT: Final = 4
MAX_CONNECTIONS: Final = 200

FIRST_VERSION: Final = "v1"

# Unix time of the first start of a server; each crash makes it later.
FIRST_START_MS: Final = 1_700_000_000_000

# Time until a crashed server listens again.
CRASH_MS: Final = 500
SEAL: Final = (b"cowsliphitch-response-seal", b"seal")


@attrs.define
class SiteServer:
    """Stand-in of an engine, a stage server or a plain server, by its service.

    :param version: version of its software; engines mark their events with it, except
        ``FIRST_VERSION``
    :param mode: ``good``, ``full`` (refuses), ``reset`` (runs the request and closes
        the connection without an answer), ``unsealed`` (answers without the seal),
        ``cut`` (interrupts its streams within an event), ``spoil`` (interrupts them
        after an event whose identifier has a zero byte), ``endless`` (sends bytes until
        the connection is closed)
    :param cut_after: event after which it interrupts its streams
    :param executed: identifiers of the requests that it ran
    :param received: the same requests, as it received them
    :param piece_count: pieces of stages that it ran
    :param freed: handles of results that were freed at this server
    :param all_freed: handles of results that were freed at any server of the site
    :param missing_results: requests that it refused since their results were freed
    :param call_ms: duration of a call that runs pieces
    :param prefill_ms: time from the receipt of a prompt to its first event
    :param crashing_part: prompt part on which it crashes instead of answering
    :param crashing_bodies: bodies on which it crashes instead of answering, an engine
        after its first event
    :param crashing_key: input of pieces on which a stage server crashes
    :param crash_delay_ms: time from the receipt of such a body to the crash
    :param answer_delay_ms: time that it takes to answer other requests, unless it is an
        engine
    :param silent_ms: time for which it falls silent when it crashes, as a machine
        without power, 0 to refuse connections
    :param restarts: a crash is followed by a new start, not only by a silent time
    :param on_restart: called when it has started again after a crash
    :param crashes: number of its crashes
    :param limit: the limit on requests a second that its answers name, as sent
    :param says_leaving: its answers say that it leaves
    :param arrivals_ms: monotonic times at which requests arrived
    """

    id: str
    service: str
    domain: str = "domain-a"
    version: str = FIRST_VERSION
    mode: str = "good"
    cut_after: int = 2
    port: int = attrs.Factory(free_port)
    state: str = "ready"
    executed: list[str] = attrs.Factory(list)
    received: list[EdgeRequest] = attrs.Factory(list)
    piece_count: int = 0
    freed: set[str] = attrs.Factory(set)
    all_freed: set[str] = attrs.Factory(set)
    missing_results: list[str] = attrs.Factory(list)
    call_ms: int = 20
    prefill_ms: int = 0
    crashing_part: str = ""
    crashing_bodies: frozenset[bytes] = frozenset()
    crashing_key: str = ""
    crash_delay_ms: int = 0
    answer_delay_ms: int = 0
    silent_ms: int = 0
    restarts: bool = True
    on_restart: Callable[[], None] = lambda: None
    crashes: int = 0
    limit: str | None = None
    says_leaving: bool = False
    arrivals_ms: list[int] = attrs.Factory(list)
    _crash_scope: anyio.CancelScope | None = None
    _silent_until_s: float = 0.0
    _handler_scopes: set[anyio.CancelScope] = attrs.Factory(set)
    _handle_numbers: Any = attrs.Factory(itertools.count)

    @property
    def address(self) -> str:
        """Return the address as ``host:port``."""
        return f"{LOOPBACK}:{self.port}"

    def entry(self) -> str:
        """Return the server's entry in the key-value store, in JSON."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.domain,
            "version": self.version,
            "slots": 4,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": 1,
            "born": FIRST_START_MS + (self.crashes if self.restarts else 0),
        }
        return json.dumps(entry)

    def http_server(self) -> EdgeServer:
        """Return the HTTP server that passes calls to this stand-in."""
        return EdgeServer(
            self.address, self.handle, CallerLimits, MAX_CONNECTIONS, Clock()
        )

    async def run(self) -> None:
        """Serve until cancelled; after a crash, listen again after ``CRASH_MS``."""
        while True:
            with anyio.CancelScope() as self._crash_scope:
                await self.http_server().run()
            await anyio.sleep(seconds(CRASH_MS))

    def crash(self) -> None:
        """Close the listener and all connections, or fall silent for a time."""
        self.crashes += 1
        asyncio.get_running_loop().call_later(
            seconds(self.silent_ms or CRASH_MS), self.on_restart
        )
        if self.silent_ms:
            self._silent_until_s = anyio.current_time() + seconds(self.silent_ms)
            for scope in self._handler_scopes:
                scope.cancel()
        elif self._crash_scope is not None:
            self._crash_scope.cancel()

    async def handle(self, req: EdgeRequest, reply: Reply) -> None:
        """Answer a call to run pieces, to free results or to run a request.

        In a silent time nothing is answered, and connections end when it is over.
        """
        if anyio.current_time() >= self._silent_until_s:
            with anyio.CancelScope() as scope:
                self._handler_scopes.add(scope)
                try:
                    await self._handle(req, reply)
                finally:
                    self._handler_scopes.discard(scope)
            if not scope.cancelled_caught:
                return
        await anyio.sleep_until(self._silent_until_s)

    async def _handle(self, req: EdgeRequest, reply: Reply) -> None:
        match req.path:
            case "/stage-run":
                await self._run_stage(req, reply)
            case "/stage-free":
                handles = set(json.loads(req.body)["handles"])
                self.freed |= handles
                self.all_freed |= handles
                await self._answer(reply, 200, b"{}")
            case _:
                await self._run_request(req, reply)

    async def _run_stage(self, req: EdgeRequest, reply: Reply) -> None:
        items = json.loads(req.body)["items"]
        self.piece_count += len(items)
        if self.crashing_key in {item.get("key") for item in items}:
            self.crash()
            await anyio.sleep_forever()
        results = [
            {"handle": f"{self.address}/{self.id}-{next(self._handle_numbers)}"}
            for _ in items
        ]
        await anyio.sleep(seconds(self.call_ms))
        await self._answer(reply, 200, json.dumps({"items": results}).encode())

    async def _run_request(self, req: EdgeRequest, reply: Reply) -> None:
        self.arrivals_ms.append(req.received_ms)
        request = req.get(b"cowsliphitch-request-id") or ""
        if req.get(b"cowsliphitch-expect-instance") != self.id:
            await self._answer(reply, 421, b"")
            return
        if self.mode == "full":
            not_run = ((b"cowsliphitch-not-executed", b"1"),)
            await self._answer(reply, 503, b"", not_run)
            return
        inputs = set((req.get(b"cowsliphitch-inputs") or "").split(","))
        if inputs & self.all_freed:
            self.missing_results.append(request)
            not_run = ((b"cowsliphitch-not-executed", b"1"),)
            await self._answer(reply, 409, b"", not_run)
            return
        self.executed.append(request)
        self.received.append(req)
        prompt = req.get(b"cowsliphitch-prompt-prefix") or ""
        if self.crashing_part and f"{self.crashing_part}:" in prompt:
            await anyio.sleep(seconds(self.prefill_ms))
            self.crash()
            await anyio.sleep_forever()
        if req.body in self.crashing_bodies and self.service != "engine":
            await anyio.sleep(seconds(self.crash_delay_ms))
            self.crash()
            await anyio.sleep_forever()
        id_header = ((b"cowsliphitch-request-id", request.encode()),)
        if self.mode == "reset":
            return
        if self.mode == "endless":
            await reply.start(200, (*id_header, SEAL), None)
            while True:
                await reply.send(b"x" * 65_536)
        seal = () if self.mode == "unsealed" else (SEAL,)
        if self.service == "engine":
            await self._stream(req, reply, id_header + seal)
        else:
            await anyio.sleep(seconds(self.answer_delay_ms))
            await self._answer(reply, 200, b"done", id_header + seal)

    def _own_headers(self) -> tuple[tuple[bytes, bytes], ...]:
        """Return what the answers say about the server itself."""
        values = {
            b"server-limit": self.limit.encode() if self.limit is not None else None,
            b"server-leaving": b"1" if self.says_leaving else None,
        }
        return tuple((name, value) for name, value in values.items() if value)

    async def _stream(self, req: EdgeRequest, reply: Reply, headers: Any) -> None:
        after = int(req.get(b"last-event-id") or "0")
        mark = "" if self.version == FIRST_VERSION else f" {self.version}"
        text = f"event{mark}".encode()
        await anyio.sleep(seconds(self.prefill_ms))
        content_type = ((b"content-type", b"text/event-stream"),)
        headers += content_type + self._own_headers()
        await reply.start(200, headers, None)
        for number in range(after + 1, EVENT_COUNT + 1):
            await reply.send(b"id: %d\ndata: %s\n\n" % (number, text))
            await anyio.sleep(0.02)
            if req.body in self.crashing_bodies:
                self.crash()
                await anyio.sleep_forever()
            if self.mode in ("cut", "spoil") and number == self.cut_after:
                if self.mode == "spoil":
                    await reply.send(b"id: %d\0\ndata: %s\n\n" % (number + 1, text))
                await reply.send(b"id: %d\nda" % (number + 1))
                return
        await reply.end()

    async def _answer(
        self, reply: Reply, status: int, body: bytes, headers: Any = ()
    ) -> None:
        await reply.start(status, (*headers, *self._own_headers()), len(body))
        if body:
            await reply.send(body)
        await reply.end()


def document(version: int, keys: dict[str, str], resumable: bool = False) -> str:
    """Return an operator's document with routes for orders, lookups and generations.

    :param version: version of the settings
    :param keys: team by key
    :param resumable: interrupted generations may continue at another engine
    """
    common = {"hostname": "a.example", "public": False, "priority": 1}
    routes = [
        {
            "name": "order",
            "prefix": "/order/",
            "kind": "non_idempotent",
            "timeout_ms": 1_500,
            "target_latency_ms": 400,
            "service": "desk",
            "max_attempts": 1,
        },
        {
            "name": "lookup",
            "prefix": "/lookup/",
            "kind": "idempotent",
            "timeout_ms": 1_500,
            "target_latency_ms": 400,
            "service": "desk",
            "max_attempts": 2,
        },
        {
            "name": "generation",
            "prefix": "/generation/",
            "kind": "streaming",
            "timeout_ms": 6_000,
            "target_latency_ms": 1_000,
            "target_gap_ms": 300,
            "service": "engine",
            "max_attempts": 2,
            "resumable": resumable,
            "stages": [
                {"service": "encode", "after": [], "byte_count": 100},
                {"service": "rerank", "after": [0], "byte_count": 100},
            ],
        },
    ]
    pieces = {
        "slots": 1,
        "queue": 2,
        "batch": 4,
        "call_ms": 20.0,
        "item_ms": 1.0,
        "headroom_mb": 1.0,
        "handle_s": 4.0,
    }
    services = [
        {"name": "desk", "max_connections": 50},
        {"name": "encode", "max_connections": 50, "pieces": pieces},
        {"name": "rerank", "max_connections": 50, "pieces": pieces},
        {
            "name": "engine",
            "max_connections": 50,
            "engine": {"slots": 8, "kv_tokens": 100_000},
        },
    ]
    teams = [
        {"name": team, "api_keys": [k for k, t in keys.items() if t == team]}
        for team in sorted(set(keys.values()))
    ]
    content = {
        "version": version,
        "routes": [route | common for route in routes],
        "services": services,
        "tenants": teams,
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 100_000},
    }
    return json.dumps(content)


def put(store_url: str, key: str, value: str | None) -> None:
    """Write or delete a key of the store, as the operator or a server does.

    :param store_url: base URL of the store
    :param value: ``None`` deletes the key
    """
    encoded = base64.b64encode((value or "").encode()).decode()
    body: dict[str, Any] = {"expect_rev": [], "writes": [], "remove": []}
    if value is None:
        body["remove"] = [key]
    else:
        body["writes"] = [{"key": key, "value": encoded, "lease": 0}]
    httpx.post(f"{store_url}/kv-txn", json=body).raise_for_status()
