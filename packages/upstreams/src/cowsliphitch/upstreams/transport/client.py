"""One HTTP client for all upstreams of a daemon."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import httpx
from result import Err, Ok, Result

from cowsliphitch.core.clock import Clock, seconds
from cowsliphitch.core.codec import from_json
from cowsliphitch.core.verdict import Refusal

from . import const
from .models import Call, StageAnswer
from .verdicts import (
    deadline_refusal,
    refusal_of_answer,
    refusal_of_exception,
    refusal_of_status,
)


class UpstreamClient:
    """Send calls to upstreams and map what comes back to verdicts."""

    def __init__(self, clock: Clock) -> None:
        """Open a pooled client; nothing is sent yet."""
        limits = httpx.Limits(
            max_connections=const.MAX_CONNECTIONS,
            max_keepalive_connections=const.KEEPALIVE_CONNECTIONS,
        )
        self._http = httpx.AsyncClient(limits=limits, timeout=None)
        # A reused connection may be closed by the upstream just as a call is sent,
        # and then nobody knows if the call ran.  Orders always use a new one.
        fresh = httpx.Limits(max_keepalive_connections=0)
        self._fresh_http = httpx.AsyncClient(limits=fresh, timeout=None)
        self._clock = clock

    async def close(self) -> None:
        """Close the connections."""
        await self._http.aclose()
        await self._fresh_http.aclose()

    async def answer(
        self, url: str, content: bytes, call: Call, refuses_before_running: bool
    ) -> Result[StageAnswer, Refusal]:
        """Send a call and read its whole answer."""
        http = self._fresh_http if call.key else self._http
        left_ms = call.end_ms - self._clock.now_ms()
        try:
            with anyio.fail_after(seconds(left_ms)):
                resp = await http.post(
                    url,
                    content=content,
                    headers=self._headers(call),
                    timeout=self._timeout(left_ms),
                )
        except TimeoutError:
            return Err(deadline_refusal())
        except httpx.HTTPError as exc:
            return Err(refusal_of_exception(exc))
        if resp.status_code != httpx.codes.OK:
            return Err(refusal_of_status(resp.status_code, refuses_before_running))
        if len(resp.content) > const.MAX_ANSWER_BYTES:
            return Err(refusal_of_answer("the upstream's answer is too long"))
        return check_answer(resp.content, call)

    @asynccontextmanager
    async def stream(
        self, url: str, content: bytes, call: Call
    ) -> AsyncIterator[httpx.Response]:
        """Send a call and leave its answer to be read as a stream."""
        left_ms = call.end_ms - self._clock.now_ms()
        async with self._http.stream(
            "POST",
            url,
            content=content,
            headers=self._headers(call),
            timeout=self._timeout(left_ms),
        ) as resp:
            yield resp

    async def get_json(self, url: str, timeout_ms: int) -> Result[bytes, Refusal]:
        """Read a report of an upstream."""
        try:
            resp = await self._http.get(url, timeout=seconds(timeout_ms))
        except httpx.HTTPError as exc:
            return Err(refusal_of_exception(exc))
        if resp.status_code != httpx.codes.OK:
            return Err(refusal_of_status(resp.status_code, refuses_before_running=True))
        return Ok(resp.content)

    def _headers(self, call: Call) -> dict[str, str]:
        left_ms = max(0, call.end_ms - self._clock.now_ms())
        headers = {
            "content-type": "application/json",
            const.REQUEST_HEADER: call.request,
            const.ATTEMPT_HEADER: call.attempt,
            const.TIMEOUT_HEADER: str(left_ms),
        }
        return headers | ({const.KEY_HEADER: call.key} if call.key else {})

    def _timeout(self, left_ms: int) -> httpx.Timeout:
        connect_ms = max(1, min(left_ms, const.CONNECT_TIMEOUT_MS))
        left = seconds(max(1, left_ms))
        return httpx.Timeout(left, connect=seconds(connect_ms))


def check_answer(content: bytes, call: Call) -> Result[StageAnswer, Refusal]:
    """Accept only a valid answer to this very attempt."""
    match from_json(content, StageAnswer):
        case Err(detail):
            return Err(refusal_of_answer(detail))
        case Ok(answer) if answer.attempt != call.attempt:
            return Err(refusal_of_answer("the answer belongs to another attempt"))
        case Ok(answer):
            return Ok(answer)
