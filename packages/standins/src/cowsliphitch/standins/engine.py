"""Stand-in of a model engine: batches, streams tokens and caches prompt prefixes."""

import hashlib
import json
from collections import OrderedDict, deque
from collections.abc import AsyncIterator

import anyio
import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from cowsliphitch.core.clock import seconds

from .const import (
    CACHED_PREFILL_RATIO,
    LOAD_REPORT_LAG_MS,
    MAX_CACHED_PREFIXES,
    PREFIX_CHARS,
    TOKENS_PER_CHUNK,
)
from .upstream import Upstream


def token(prompt: str, index: int) -> str:
    """Return the token that the stand-in generates at a position."""
    return hashlib.sha256(f"{prompt}:{index}".encode()).hexdigest()[:5]


@attrs.frozen
class LoadReport:
    """What an engine says of its load, and when that was true."""

    at_ms: int
    active: int
    waiting: int
    prefixes: tuple[str, ...]


@attrs.frozen
class Generation:
    """One request to generate tokens."""

    prompt: str
    max_tokens: int
    resume_from: int = 0
    priority: int = 0


class Engine:
    """A model engine with a limited batch and a lagging load report."""

    def __init__(
        self, upstream: Upstream, *, checks_fencing: bool, token_ms: float
    ) -> None:
        """Wrap the common upstream state."""
        self._upstream = upstream
        self._checks_fencing = checks_fencing
        self._token_ms = token_ms
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._fence = 0
        self._orders: list[dict[str, object]] = []
        self._reports: deque[LoadReport] = deque(maxlen=200)

    def app(self) -> Starlette:
        """Return the HTTP application."""
        return Starlette(
            routes=[
                Route("/v1/generate", self._generate, methods=["POST"]),
                Route("/v1/load", self._load, methods=["GET"]),
                Route("/v1/orders", self._order, methods=["POST"]),
                Route("/v1/orders", self._list_orders, methods=["GET"]),
                *self._upstream.routes(),
            ]
        )

    async def _generate(self, req: Request) -> Response:
        text = (await req.body()).decode()
        if (refused := await self._upstream.admit(req, text)) is not None:
            return refused
        body = json.loads(text)
        resume = int(body.get("resume_from", 0))
        priority = int(body.get("priority", 0))
        job = Generation(body["prompt"], int(body["max_tokens"]), resume, priority)
        self._upstream.start(req, text)
        if self._upstream.faults.garbage:
            return Response(b"\x00garbage")
        attempt = self._upstream.attempt_of(req)
        return StreamingResponse(
            self._stream(job, attempt), media_type="application/x-ndjson"
        )

    async def _stream(self, job: Generation, attempt: str) -> AsyncIterator[bytes]:
        state = self._upstream
        state.waiting += 1
        async with state.slots.acquire(job.priority):
            state.waiting -= 1
            state.active += 1
            try:
                await self._prefill(job)
                async for chunk in self._decode(job, attempt):
                    yield chunk
            finally:
                state.active -= 1
                self._note_load()

    async def _prefill(self, job: Generation) -> None:
        prefix = job.prompt[:PREFIX_CHARS]
        factor = CACHED_PREFILL_RATIO if prefix in self._prefixes else 1.0
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > MAX_CACHED_PREFIXES:
            self._prefixes.popitem(last=False)
        ms = self._upstream.work_ms * factor * self._upstream.faults.slow_factor
        await anyio.sleep(seconds(ms))

    async def _decode(self, job: Generation, attempt: str) -> AsyncIterator[bytes]:
        faults = self._upstream.faults
        for start in range(job.resume_from, job.max_tokens, TOKENS_PER_CHUNK):
            stop = min(start + TOKENS_PER_CHUNK, job.max_tokens)
            if faults.cut_after_tokens and start >= faults.cut_after_tokens:
                raise ConnectionError("the stream is cut by a fault switch")
            if faults.stall_after_tokens and start >= faults.stall_after_tokens:
                await anyio.sleep_forever()
            ms = self._token_ms * (stop - start) * faults.slow_factor
            await anyio.sleep(seconds(ms))
            words = [token(job.prompt, index) for index in range(start, stop)]
            yield _line({"index": start, "tokens": words})
        yield _line({"end": True, "tokens": job.max_tokens, "attempt": attempt})

    def _note_load(self) -> None:
        state = self._upstream
        report = LoadReport(
            state.clock.now_ms(), state.active, state.waiting, tuple(self._prefixes)
        )
        self._reports.append(report)

    async def _load(self, _req: Request) -> Response:
        self._note_load()
        seen_ms = self._upstream.clock.now_ms() - LOAD_REPORT_LAG_MS
        old = [report for report in self._reports if report.at_ms <= seen_ms]
        report = old[-1] if old else LoadReport(0, 0, 0, ())
        return JSONResponse({"active": report.active, "waiting": report.waiting})

    async def _order(self, req: Request) -> Response:
        body = await req.json()
        if self._checks_fencing and body["fence"] < self._fence:
            return JSONResponse({"fence": self._fence}, status_code=412)
        self._fence = max(self._fence, body["fence"])
        self._orders.append(body)
        return JSONResponse({"fence": self._fence})

    async def _list_orders(self, _req: Request) -> Response:
        return JSONResponse({"orders": self._orders})


def _line(value: dict[str, object]) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode() + b"\n"
