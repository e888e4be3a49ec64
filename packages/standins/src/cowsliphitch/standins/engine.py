"""Stand-in of a model engine: limited slots, streamed tokens and a prefix cache.

Each stream holds a slot, granted by priority. A prompt whose prefix is cached has a
shorter prefill. ``GET /v1/load`` reports load as it was ``LOAD_REPORT_LAG_MS`` ago, so
that daemons must route by stale figures. Fault switches cut or stall streams.
"""

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


def generate_token(prompt: str, index: int) -> str:
    """Return the token that the stand-in generates at a position.

    Tokens depend only on the prompt and the position, so that a caller can compute
    the expected answer and check a stream, also one that another engine resumed.

    :param index: position from the start of the answer, counted from 0
    """
    return hashlib.sha256(f"{prompt}:{index}".encode()).hexdigest()[:5]


@attrs.frozen
class LoadReport:
    """Load of an engine at one moment.

    :param sampled_ms: monotonic time of the sample
    :param active_count: generations that hold a slot
    :param waiting_count: generations in the queue for a slot
    :param prefixes: cached prompt prefixes, least recently used first
    """

    sampled_ms: int
    active_count: int
    waiting_count: int
    prefixes: tuple[str, ...]


@attrs.frozen
class GenerationRequest:
    """A request to generate tokens.

    :param resume_from: position of the first token to send; more than 0 continues an
        interrupted answer
    :param priority: the lowest number is served first
    """

    prompt: str
    max_tokens: int
    resume_from: int = 0
    priority: int = 0


class Engine:
    """A model engine with limited slots and a lagging load report.

    An order below the highest fencing token so far is rejected with HTTP 412 if the
    engine checks fencing.
    """

    def __init__(
        self, upstream: Upstream, *, checks_fencing: bool, token_ms: float
    ) -> None:
        """Initialize an engine without load, cached prefixes or orders.

        :param upstream: record of runs, slots and fault switches
        :param checks_fencing: reject orders with a stale fencing token
        :param token_ms: time to decode one token
        """
        self._upstream = upstream
        self._checks_fencing = checks_fencing
        self._token_ms = token_ms
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._highest_fence = 0
        self._orders: list[dict[str, object]] = []
        self._reports: deque[LoadReport] = deque(maxlen=200)

    def app(self) -> Starlette:
        """Return the HTTP application."""
        return Starlette(
            routes=[
                Route("/v1/generate", self._generate, methods=["POST"]),
                Route("/v1/load", self._get_load, methods=["GET"]),
                Route("/v1/orders", self._submit_order, methods=["POST"]),
                Route("/v1/orders", self._list_orders, methods=["GET"]),
                *self._upstream.routes(),
            ]
        )

    async def _generate(self, req: Request) -> Response:
        text = (await req.body()).decode()
        if (refusal := await self._upstream.admit(req, text)) is not None:
            return refusal
        body = json.loads(text)
        resume_from = int(body.get("resume_from", 0))
        priority = int(body.get("priority", 0))
        generation = GenerationRequest(
            body["prompt"], int(body["max_tokens"]), resume_from, priority
        )
        self._upstream.record_run(req, text)
        if self._upstream.faults.garbage:
            return Response(b"\x00garbage")
        attempt = self._upstream.response_attempt(req)
        return StreamingResponse(
            self._stream(generation, attempt), media_type="application/x-ndjson"
        )

    async def _stream(
        self, generation: GenerationRequest, attempt: str
    ) -> AsyncIterator[bytes]:
        upstream = self._upstream
        upstream.waiting_count += 1
        async with upstream.slots.acquire(generation.priority):
            upstream.waiting_count -= 1
            upstream.active_count += 1
            try:
                await self._prefill(generation)
                async for chunk in self._decode(generation, attempt):
                    yield chunk
            finally:
                upstream.active_count -= 1
                self._record_load()

    async def _prefill(self, generation: GenerationRequest) -> None:
        prefix = generation.prompt[:PREFIX_CHARS]
        factor = CACHED_PREFILL_RATIO if prefix in self._prefixes else 1.0
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > MAX_CACHED_PREFIXES:
            self._prefixes.popitem(last=False)
        ms = self._upstream.work_ms * factor * self._upstream.faults.slow_factor
        await anyio.sleep(seconds(ms))

    async def _decode(
        self, generation: GenerationRequest, attempt: str
    ) -> AsyncIterator[bytes]:
        faults = self._upstream.faults
        for start in range(
            generation.resume_from, generation.max_tokens, TOKENS_PER_CHUNK
        ):
            stop = min(start + TOKENS_PER_CHUNK, generation.max_tokens)
            if faults.cut_after_tokens and start >= faults.cut_after_tokens:
                raise ConnectionError(f"fault switch cut the stream at token {start}")
            if faults.stall_after_tokens and start >= faults.stall_after_tokens:
                await anyio.sleep_forever()
            ms = self._token_ms * (stop - start) * faults.slow_factor
            await anyio.sleep(seconds(ms))
            tokens = [
                generate_token(generation.prompt, index) for index in range(start, stop)
            ]
            yield _encode_line({"index": start, "tokens": tokens})
        yield _encode_line(
            {"end": True, "tokens": generation.max_tokens, "attempt": attempt}
        )

    def _record_load(self) -> None:
        upstream = self._upstream
        report = LoadReport(
            upstream.clock.now_ms(),
            upstream.active_count,
            upstream.waiting_count,
            tuple(self._prefixes),
        )
        self._reports.append(report)

    async def _get_load(self, _req: Request) -> Response:
        self._record_load()
        visible_until_ms = self._upstream.clock.now_ms() - LOAD_REPORT_LAG_MS
        visible_reports = [
            report for report in self._reports if report.sampled_ms <= visible_until_ms
        ]
        report = visible_reports[-1] if visible_reports else LoadReport(0, 0, 0, ())
        return JSONResponse(
            {"active": report.active_count, "waiting": report.waiting_count}
        )

    async def _submit_order(self, req: Request) -> Response:
        body = await req.json()
        if self._checks_fencing and body["fence"] < self._highest_fence:
            return JSONResponse({"fence": self._highest_fence}, status_code=412)
        self._highest_fence = max(self._highest_fence, body["fence"])
        self._orders.append(body)
        return JSONResponse({"fence": self._highest_fence})

    async def _list_orders(self, _req: Request) -> Response:
        return JSONResponse({"orders": self._orders})


def _encode_line(value: dict[str, object]) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode() + b"\n"
