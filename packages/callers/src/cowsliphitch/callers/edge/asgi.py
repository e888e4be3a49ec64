"""Serves an ASGI application by an edge server, with its limits."""

import logging
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any, Final
from urllib.parse import unquote

import anyio
from anyio.abc import TaskGroup, TaskStatus

from .models import EdgeRequest, Header, Reply, ReplyError

_LOGGER = logging.getLogger(__name__)

Message = MutableMapping[str, Any]
AsgiApp = Callable[
    [
        MutableMapping[str, Any],
        Callable[[], Awaitable[Message]],
        Callable[[Message], Awaitable[None]],
    ],
    Awaitable[None],
]

# Status from which an answer says that a request was not admitted, but for those below.
_FIRST_ERROR_STATUS: Final = 400

# Errors of requests that were admitted: limits, upstreams and deadlines.
_ADMITTED_ERRORS: Final = frozenset({429, 502, 503, 504})


class AsgiHandler:
    """Handler of an edge server that passes requests to an ASGI application.

    The application is not cancelled when a caller disconnects, since an order that has
    begun ends with a record of its outcome.

    :param app: the application
    :param probe_paths: paths that anybody may request; their answers do not show that a
        request was admitted
    """

    def __init__(self, app: AsgiApp, probe_paths: frozenset[str] = frozenset()) -> None:
        """Initialize the handler; it serves requests while :meth:`run` runs."""
        self._app = app
        self._probe_paths = probe_paths
        self._group: TaskGroup | None = None

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Run the application's tasks until cancelled."""
        async with anyio.create_task_group() as self._group:
            task_status.started()
            await anyio.sleep_forever()

    async def __call__(self, req: EdgeRequest, reply: Reply) -> None:
        """Answer a request.

        :raises Exception: the application raised it
        """
        assert self._group is not None, "the handler does not run"
        may_admit = req.path not in self._probe_paths
        exchange = _Exchange(req, reply, may_admit)
        self._group.start_soon(exchange.run, self._app)
        try:
            await exchange.ended.wait()
        finally:
            exchange.disconnected.set()
        if exchange.error is not None:
            raise exchange.error


class _Exchange:
    """One request to an application, and the answer to it.

    :ivar ended: set when the application has ended
    :ivar disconnected: set when the answer is complete, or can't be sent any more
    :ivar error: what the application raised
    """

    def __init__(self, req: EdgeRequest, reply: Reply, may_admit: bool) -> None:
        self._req = req
        self._reply = reply
        self._may_admit = may_admit
        self._is_body_read = False
        self._is_started = False
        self._status = 0
        self._headers: tuple[Header, ...] = ()
        self._length: int | None = None
        self.ended = anyio.Event()
        self.disconnected = anyio.Event()
        self.error: Exception | None = None

    async def run(self, app: AsgiApp) -> None:
        """Run the application for the request."""
        try:
            await app(self._scope(), self._receive, self._send)
        except Exception as exc:
            if self.disconnected.is_set():
                _LOGGER.exception("Unexpected error after the caller disconnected")
            self.error = exc
        finally:
            self.ended.set()

    def _scope(self) -> MutableMapping[str, Any]:
        """Return the request's scope (ASGI specification, HTTP 2.3)."""
        raw_path, _, query = self._req.target.partition(b"?")
        return {
            "type": "http",
            "asgi": {"version": "3.0", "spec_version": "2.3"},
            "http_version": "1.1",
            "method": self._req.method.decode("ascii").upper(),
            "scheme": "http",
            "path": unquote(raw_path.decode("latin-1")),
            "raw_path": raw_path,
            "query_string": query,
            "root_path": "",
            "headers": list(self._req.headers),
            "client": None,
            "server": None,
        }

    async def _receive(self) -> Message:
        if self._is_body_read:
            await self.disconnected.wait()
            return {"type": "http.disconnect"}
        self._is_body_read = True
        return {"type": "http.request", "body": self._req.body, "more_body": False}

    async def _send(self, message: Message) -> None:
        """Send a part of the answer, unless the caller has disconnected."""
        if self.disconnected.is_set():
            return
        try:
            match message["type"]:
                case "http.response.start":
                    self._set_head(message["status"], message.get("headers", ()))
                case "http.response.body":
                    has_more = message.get("more_body", False)
                    await self._send_body(message.get("body", b""), has_more)
        except ReplyError:
            self.disconnected.set()

    def _set_head(self, status: int, headers: Any) -> None:
        self._status = status
        given = tuple((bytes(k).lower(), bytes(v)) for k, v in headers)
        self._headers = tuple((k, v) for k, v in given if k != b"content-length")
        lengths = (int(v) for k, v in given if k == b"content-length")
        self._length = next(lengths, None)

    async def _send_body(self, body: bytes, has_more: bool) -> None:
        if not self._is_started:
            self._is_started = True
            if self._may_admit and self._is_admitted():
                self._reply.admit()
            if self._length is None and not has_more:
                self._length = len(body)
            await self._reply.start(self._status, self._headers, self._length)
        if body and self._req.method != b"HEAD":
            await self._reply.send(body)
        if not has_more:
            await self._reply.end()

    def _is_admitted(self) -> bool:
        is_error = self._status >= _FIRST_ERROR_STATUS
        return not is_error or self._status in _ADMITTED_ERRORS
