"""HTTP client of a daemon for all its upstreams.

Each failure becomes a refusal whose verdict says whether the call may have run.
"""

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
    """Send calls to upstreams and map failures to refusals.

    Each upstream has its own transport with its own connection pool.  The library scans
    the whole pool for every request, so the CPU cost of a shared pool would grow with
    the number of open streams.  The transports are used without ``httpx.AsyncClient``,
    whose cookies, redirects and authentication are not needed.
    """

    def __init__(self, clock: Clock) -> None:
        """Initialize the client without connections."""
        self._tls = httpx.create_ssl_context()
        self._transports: dict[str, httpx.AsyncHTTPTransport] = {}
        # An upstream may close an idle connection just as a call is sent on it, and
        # then it is unknown whether the call ran.  Orders always use a new connection.
        self._single_use_transport = self._new_transport(max_keepalive=0)
        self._clock = clock

    def _new_transport(self, max_keepalive: int) -> httpx.AsyncHTTPTransport:
        limits = httpx.Limits(
            max_connections=const.MAX_CONNECTIONS,
            max_keepalive_connections=max_keepalive,
        )
        return httpx.AsyncHTTPTransport(verify=self._tls, limits=limits)

    def _transport_for(self, url: str) -> httpx.AsyncHTTPTransport:
        """Return the transport for a URL's upstream; create it on first use."""
        origin = url.partition("/v1/")[0]
        transport = self._transports.get(origin)
        if transport is None:
            transport = self._new_transport(const.KEEPALIVE_CONNECTIONS)
            self._transports[origin] = transport
        return transport

    async def close_all_except(self, addresses: set[str]) -> None:
        """Close the connections to all upstreams but these.

        :param addresses: base URLs of the upstreams
        """
        for origin in self._transports.keys() - addresses:
            await self._transports.pop(origin).aclose()

    async def close(self) -> None:
        """Close all connections."""
        await self.close_all_except(set())
        await self._single_use_transport.aclose()

    async def send_call(
        self, url: str, content: bytes, call: Call, refuses_before_running: bool
    ) -> Result[StageAnswer, Refusal]:
        """Send a call and return its answer.

        A call with an idempotency key uses a new connection.

        :param refuses_before_running: a 429 or 503 means that the call did not run
        """
        transport = self._single_use_transport if call.key else self._transport_for(url)
        remaining_ms = call.end_ms - self._clock.now_ms()
        try:
            with anyio.fail_after(seconds(remaining_ms)):
                resp = await transport.handle_async_request(
                    self._build_request(url, content, call)
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
        return validate_answer(answer, call)

    @asynccontextmanager
    async def stream(
        self, url: str, content: bytes, call: Call
    ) -> AsyncIterator[httpx.Response]:
        """Send a call and yield its response, to be read as a stream.

        One timer shuts down the socket at the deadline.  A timeout for each read would
        cost an eighth of the CPU time of relaying.

        :raises httpx.HTTPError: the call failed before the head of its answer arrived
        """
        request = self._build_request(url, content, call)
        resp = await self._transport_for(url).handle_async_request(request)
        sock = resp.extensions["network_stream"].get_extra_info("socket")
        remaining_ms = max(0, call.end_ms - self._clock.now_ms())
        loop = asyncio.get_running_loop()
        timer = loop.call_later(seconds(remaining_ms), _shut_down, sock)
        try:
            yield resp
        finally:
            timer.cancel()
            await resp.aclose()

    async def get_json(self, url: str, timeout_ms: int) -> Result[bytes, Refusal]:
        """Return the body of a GET request, which the upstream answers as JSON."""
        timeout = httpx.Timeout(seconds(timeout_ms)).as_dict()
        request = httpx.Request("GET", url, extensions={"timeout": timeout})
        try:
            resp = await self._transport_for(url).handle_async_request(request)
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
        """Send a JSON body and return the status of the answer, 0 if there is none."""
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
                resp = await self._transport_for(url).handle_async_request(request)
                await resp.aclose()
        except (TimeoutError, httpx.HTTPError):
            return 0
        return resp.status_code

    def _build_request(self, url: str, content: bytes, call: Call) -> httpx.Request:
        remaining_ms = max(1, call.end_ms - self._clock.now_ms())
        headers = {
            "content-type": "application/json",
            const.REQUEST_HEADER: call.request,
            const.ATTEMPT_HEADER: call.attempt,
            const.TIMEOUT_HEADER: str(remaining_ms),
        }
        if call.key:
            headers[const.KEY_HEADER] = call.key
        return httpx.Request(
            "POST",
            url,
            headers=headers,
            content=content,
            extensions={"timeout": _build_timeout(remaining_ms)},
        )


def _shut_down(sock: socket.socket) -> None:
    """Shut down a socket, so that a pending read returns end of file."""
    with suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)


def _build_timeout(remaining_ms: int) -> dict[str, float | None]:
    """Return the timeouts of one call as a request extension, in seconds."""
    connect_ms = min(remaining_ms, const.CONNECT_TIMEOUT_MS)
    return httpx.Timeout(seconds(remaining_ms), connect=seconds(connect_ms)).as_dict()


def validate_answer(content: bytes, call: Call) -> Result[StageAnswer, Refusal]:
    """Decode an answer; refuse an invalid one or one to another attempt."""
    match from_json(content, StageAnswer):
        case Err(detail):
            return Err(refusal_of_answer(detail))
        case Ok(answer) if answer.attempt != call.attempt:
            return Err(refusal_of_answer("the answer belongs to another attempt"))
        case Ok(answer):
            return Ok(answer)
