"""Stand-ins of the users' platform: servers that register themselves, and a document.

They run in the loop of a test; the daemons and the store are processes of their own.
"""

import base64
import itertools
import json
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

EVENTS: Final = 4
MAX_CONNECTIONS: Final = 200
SEAL: Final = (b"cowsliphitch-response-seal", b"seal")


@attrs.define
class SiteServer:
    """One server: an engine, a stage server or a plain service, by its service's name.

    :param mode: ``good``, ``full`` (refuses), ``reset`` (runs, answers nothing),
        ``unsealed`` (answers without its proof), ``cut`` (breaks a stream off)
    :param gone: results that were freed at any server of the site
    :param lost: requests that an engine refused since their results were gone
    :param prompt_ms: how long an engine reads a prompt
    """

    id: str
    service: str
    domain: str = "domain-a"
    mode: str = "good"
    port: int = attrs.Factory(free_port)
    state: str = "ready"
    ran: list[str] = attrs.Factory(list)
    seen: list[EdgeRequest] = attrs.Factory(list)
    pieces: int = 0
    freed: set[str] = attrs.Factory(set)
    gone: set[str] = attrs.Factory(set)
    lost: list[str] = attrs.Factory(list)
    prompt_ms: int = 0
    _handles: Any = attrs.Factory(itertools.count)

    @property
    def address(self) -> str:
        """Return host and port."""
        return f"{LOOPBACK}:{self.port}"

    def entry(self) -> str:
        """Return the entry by which the server registers itself."""
        row = {
            "service": self.service,
            "address": self.address,
            "zone": self.domain,
            "version": "v1",
            "slots": 4,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": 1,
        }
        return json.dumps(row)

    def edge(self) -> EdgeServer:
        """Return the listener that serves this server's calls."""
        return EdgeServer(
            self.address, self.handle, CallerLimits, MAX_CONNECTIONS, Clock()
        )

    async def handle(self, req: EdgeRequest, reply: Reply) -> None:
        """Answer one call."""
        match req.path:
            case "/stage-run":
                await self._run_pieces(req, reply)
            case "/stage-free":
                handles = set(json.loads(req.body)["handles"])
                self.freed |= handles
                self.gone |= handles
                await self._answer(reply, 200, b"{}")
            case _:
                await self._run(req, reply)

    async def _run_pieces(self, req: EdgeRequest, reply: Reply) -> None:
        items = json.loads(req.body)["items"]
        self.pieces += len(items)
        made = [
            {"handle": f"{self.address}/{self.id}-{next(self._handles)}"} for _ in items
        ]
        await anyio.sleep(0.02)
        await self._answer(reply, 200, json.dumps({"items": made}).encode())

    async def _run(self, req: EdgeRequest, reply: Reply) -> None:
        request = req.get(b"cowsliphitch-request-id") or ""
        if req.get(b"cowsliphitch-expect-instance") != self.id:
            await self._answer(reply, 421, b"")
            return
        if self.mode == "full":
            not_run = ((b"cowsliphitch-not-executed", b"1"),)
            await self._answer(reply, 503, b"", not_run)
            return
        inputs = set((req.get(b"cowsliphitch-inputs") or "").split(","))
        if inputs & self.gone:
            self.lost.append(request)
            not_run = ((b"cowsliphitch-not-executed", b"1"),)
            await self._answer(reply, 409, b"", not_run)
            return
        self.ran.append(request)
        self.seen.append(req)
        echoed = ((b"cowsliphitch-request-id", request.encode()),)
        if self.mode == "reset":
            return
        seal = () if self.mode == "unsealed" else (SEAL,)
        if self.service == "engine":
            await self._stream(req, reply, echoed + seal)
        else:
            await self._answer(reply, 200, b"done", echoed + seal)

    async def _stream(self, req: EdgeRequest, reply: Reply, headers: Any) -> None:
        after = int(req.get(b"last-event-id") or "0")
        await anyio.sleep(seconds(self.prompt_ms))
        kind = ((b"content-type", b"text/event-stream"),)
        await reply.start(200, headers + kind, None)
        for number in range(after + 1, EVENTS + 1):
            await reply.send(b"id: %d\ndata: event\n\n" % number)
            await anyio.sleep(0.02)
            if self.mode == "cut" and number == 2:
                await reply.send(b"id: 3\nda")
                return
        await reply.end()

    async def _answer(
        self, reply: Reply, status: int, body: bytes, headers: Any = ()
    ) -> None:
        await reply.start(status, headers, len(body))
        if body:
            await reply.send(body)
        await reply.end()


def document(version: int, keys: dict[str, str], resumable: bool = False) -> str:
    """Return an operator's document with an order, a lookup and a generation.

    :param keys: team by key
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
    found = {
        "version": version,
        "routes": [route | common for route in routes],
        "services": services,
        "tenants": teams,
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 100_000},
    }
    return json.dumps(found)


def put(store_url: str, key: str, value: str | None) -> None:
    """Write or remove a key of the store, as the operator or a server would."""
    encoded = base64.b64encode((value or "").encode()).decode()
    body: dict[str, Any] = {"expect_rev": [], "writes": [], "remove": []}
    if value is None:
        body["remove"] = [key]
    else:
        body["writes"] = [{"key": key, "value": encoded, "lease": 0}]
    httpx.post(f"{store_url}/kv-txn", json=body).raise_for_status()
