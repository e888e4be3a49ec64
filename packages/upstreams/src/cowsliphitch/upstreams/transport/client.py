"""One HTTP client for all upstreams of a daemon."""

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

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
    time the more streams are open.  The pools are used without the library's client,
    whose cookies, redirects and authentication have no use here.
    """

    def __init__(self, clock: Clock) -> None:
        """Open nothing yet."""
        self._tls = httpx.create_ssl_context()
        self._by_origin: dict[str, httpx.AsyncHTTPTransport] = {}
        # A reused connection may be closed by the upstream just as a call is sent,
        # and then nobody knows if the call ran.  Orders always use a new one.
        self._fresh_pool = self._new_pool(keepalive=0)
        self._clock = clock

    def _new_pool(self, keepalive: int) -> httpx.AsyncHTTPTransport:
        limits = httpx.Limits(
            max_connections=const.MAX_CONNECTIONS, max_keepalive_connections=keepalive
        )
        return httpx.AsyncHTTPTransport(verify=self._tls, limits=limits)

    def _pool_for(self, url: str) -> httpx.AsyncHTTPTransport:
        """Return the pool with the connections to a URL's upstream."""
        origin = url.partition("/v1/")[0]
        pool = self._by_origin.get(origin)
        if pool is None:
            pool = self._new_pool(const.KEEPALIVE_CONNECTIONS)
            self._by_origin[origin] = pool
        return pool

    async def keep(self, addresses: set[str]) -> None:
        """Close the connections to upstreams that are gone."""
        for origin in self._by_origin.keys() - addresses:
            await self._by_origin.pop(origin).aclose()

    async def close(self) -> None:
        """Close the connections."""
        await self.keep(set())
        await self._fresh_pool.aclose()

    async def send_call(
        self, url: str, content: bytes, call: Call, refuses_before_running: bool
    ) -> Result[StageAnswer, Refusal]:
        """Send a call and read its whole answer."""
        pool = self._fresh_pool if call.key else self._pool_for(url)
        left_ms = call.end_ms - self._clock.now_ms()
        try:
            with anyio.fail_after(seconds(left_ms)):
                resp = await pool.handle_async_request(
                    self._request(url, content, call)
                )
                try:
                    answer = await resp.aread()
                finally:
                    await resp.aclose()
        except TimeoutError:
            return Err(deadline_refusal())
        except httpx.HTTPError as exc:
            return Err(refusal_of_exception(exc))
        if resp.status_code != httpx.codes.OK:
            return Err(refusal_of_status(resp.status_code, refuses_before_running))
        if len(answer) > const.MAX_ANSWER_BYTES:
            return Err(refusal_of_answer("the upstream's answer is too long"))
        return check_answer(answer, call)

    @asynccontextmanager
    async def stream(
        self, url: str, content: bytes, call: Call
    ) -> AsyncIterator[httpx.Response]:
        """Send a call and leave its answer to be read as a stream.

        One timer ends the stream at the deadline by shutting its socket; a timeout
        for each read would cost an eighth of the relay's processor time.
        """
        request = self._request(url, content, call)
        resp = await self._pool_for(url).handle_async_request(request)
        sock = resp.extensions["network_stream"].get_extra_info("socket")
        left_ms = max(0, call.end_ms - self._clock.now_ms())
        loop = asyncio.get_running_loop()
        timer = loop.call_later(seconds(left_ms), _shut, sock)
        try:
            yield resp
        finally:
            timer.cancel()
            await resp.aclose()

    async def get_json(self, url: str, timeout_ms: int) -> Result[bytes, Refusal]:
        """Read a report of an upstream."""
        timeout = httpx.Timeout(seconds(timeout_ms)).as_dict()
        request = httpx.Request("GET", url, extensions={"timeout": timeout})
        try:
            resp = await self._pool_for(url).handle_async_request(request)
            try:
                content = await resp.aread()
            finally:
                await resp.aclose()
        except httpx.HTTPError as exc:
            return Err(refusal_of_exception(exc))
        if resp.status_code != httpx.codes.OK:
            return Err(refusal_of_status(resp.status_code, refuses_before_running=True))
        return Ok(content)

    async def post_status(self, url: str, content: bytes, timeout_ms: int) -> int:
        """Send something whose answer is its status; 0 stands for no answer."""
        timeout = httpx.Timeout(seconds(timeout_ms)).as_dict()
        request = httpx.Request(
            "POST",
            url,
            headers={"content-type": "application/json"},
            content=content,
            extensions={"timeout": timeout},
        )
        try:
            with anyio.fail_after(seconds(timeout_ms)):
                resp = await self._pool_for(url).handle_async_request(request)
                await resp.aclose()
        except (TimeoutError, httpx.HTTPError):
            return 0
        return resp.status_code

    def _request(self, url: str, content: bytes, call: Call) -> httpx.Request:
        left_ms = max(1, call.end_ms - self._clock.now_ms())
        headers = {
            "content-type": "application/json",
            const.REQUEST_HEADER: call.request,
            const.ATTEMPT_HEADER: call.attempt,
            const.TIMEOUT_HEADER: str(left_ms),
        }
        if call.key:
            headers[const.KEY_HEADER] = call.key
        return httpx.Request(
            "POST",
            url,
            headers=headers,
            content=content,
            extensions={"timeout": _timeout(left_ms)},
        )


def _shut(sock: socket.socket) -> None:
    """Let whoever reads from a socket see its end."""
    with suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)


def _timeout(left_ms: int) -> dict[str, float | None]:
    """Return the limits of one call, in seconds as the library wants them."""
    connect_ms = min(left_ms, const.CONNECT_TIMEOUT_MS)
    return httpx.Timeout(seconds(left_ms), connect=seconds(connect_ms)).as_dict()


def check_answer(content: bytes, call: Call) -> Result[StageAnswer, Refusal]:
    """Accept only a valid answer to this very attempt."""
    match from_json(content, StageAnswer):
        case Err(detail):
            return Err(refusal_of_answer(detail))
        case Ok(answer) if answer.attempt != call.attempt:
            return Err(refusal_of_answer("the answer belongs to another attempt"))
        case Ok(answer):
            return Ok(answer)
