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
    """Send calls to upstreams and map what comes back to verdicts.

    Each upstream has a connection pool of its own: the library looks through the
    whole pool for every request, so that one pool for all costs the more processor
    time the more streams are open.
    """

    def __init__(self, clock: Clock) -> None:
        """Open nothing yet."""
        self._tls = httpx.create_ssl_context()
        self._by_origin: dict[str, httpx.AsyncClient] = {}
        # A reused connection may be closed by the upstream just as a call is sent,
        # and then nobody knows if the call ran.  Orders always use a new one.
        self._fresh_http = self._new_http(keepalive=0)
        self._clock = clock

    def _new_http(self, keepalive: int) -> httpx.AsyncClient:
        limits = httpx.Limits(
            max_connections=const.MAX_CONNECTIONS, max_keepalive_connections=keepalive
        )
        return httpx.AsyncClient(limits=limits, timeout=None, verify=self._tls)

    def _http_for(self, url: str) -> httpx.AsyncClient:
        """Return the client with the connections to a URL's upstream."""
        origin = url.partition("/v1/")[0]
        http = self._by_origin.get(origin)
        if http is None:
            http = self._new_http(const.KEEPALIVE_CONNECTIONS)
            self._by_origin[origin] = http
        return http

    async def keep(self, addresses: set[str]) -> None:
        """Close the connections to upstreams that are gone."""
        for origin in self._by_origin.keys() - addresses:
            await self._by_origin.pop(origin).aclose()

    async def close(self) -> None:
        """Close the connections."""
        await self.keep(set())
        await self._fresh_http.aclose()

    async def answer(
        self, url: str, content: bytes, call: Call, refuses_before_running: bool
    ) -> Result[StageAnswer, Refusal]:
        """Send a call and read its whole answer."""
        http = self._fresh_http if call.key else self._http_for(url)
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
        async with self._http_for(url).stream(
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
            resp = await self._http_for(url).get(url, timeout=seconds(timeout_ms))
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
