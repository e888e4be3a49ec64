"""HTTP API for operators: settings, audit trail, status and metrics.

Every route except the metrics needs an operator's token.
"""

from collections.abc import Awaitable, Callable
from typing import Final

from result import Err, Ok
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from cowsliphitch.core.codec import from_json, to_builtins
from cowsliphitch.core.settings.const import MAX_DOCUMENT_BYTES

from .models import Control, SubmitReply, SubmitRequest

MAX_BODY_BYTES: Final = 2 * MAX_DOCUMENT_BYTES
DEFAULT_AUDIT_ENTRIES: Final = 50

STATUS_BY_OUTCOME: Final = {
    "stored": 200,
    "unchanged": 200,
    "conflict": 409,
    "unknown": 504,
    "unavailable": 503,
    "invalid": 422,
}

Handler = Callable[[Request, str], Awaitable[Response]]


class OperatorsApp:
    """Routes and handlers of the operators' API.

    :param control: access to the daemon
    """

    def __init__(self, control: Control) -> None:
        """Initialize the handlers for one daemon."""
        self._control = control

    def app(self) -> Starlette:
        """Build the ASGI application."""
        routes: list[tuple[str, str, Handler]] = [
            ("/v1/config", "GET", self._read_config),
            ("/v1/config", "POST", self._submit),
            ("/v1/audit", "GET", self._audit),
            ("/v1/daemons", "GET", self._daemons),
            ("/v1/upstreams", "GET", self._upstreams),
            ("/v1/teams", "GET", self._teams),
            ("/v1/diagnostics", "GET", self._diagnostics),
        ]
        guarded = [
            Route(path, self._require_operator(handler), methods=[method])
            for path, method, handler in routes
        ]
        return Starlette(routes=[*guarded, Route("/metrics", self._metrics)])

    def _require_operator(
        self, handler: Handler
    ) -> Callable[[Request], Awaitable[Response]]:
        """Wrap a handler so that it answers 401 unless an operator's token is sent."""

        async def guarded(req: Request) -> Response:
            scheme, _, token = req.headers.get("authorization", "").partition(" ")
            operator = self._control.operator_of(token) if scheme == "Bearer" else None
            if operator is None:
                headers = {"www-authenticate": "Bearer"}
                body = {"detail": "an operator's token is required"}
                return JSONResponse(body, 401, headers)
            return await handler(req, operator)

        return guarded

    async def _read_config(self, _req: Request, _operator: str) -> Response:
        snapshot = self._control.snapshot()
        if snapshot is None:
            return JSONResponse({"detail": "no configuration is in force"}, 404)
        return JSONResponse(to_builtins(snapshot))

    async def _submit(self, req: Request, operator: str) -> Response:
        content = bytearray()
        async for chunk in req.stream():
            content += chunk
            if len(content) > MAX_BODY_BYTES:
                return JSONResponse({"detail": "the document is too long"}, 413)
        match from_json(bytes(content), SubmitRequest):
            case Err(detail):
                reply = SubmitReply("invalid", detail=f"the body is {detail}")
            case Ok(request):
                reply = await self._control.submit(operator, request)
        return JSONResponse(to_builtins(reply), STATUS_BY_OUTCOME[reply.outcome])

    async def _audit(self, req: Request, _operator: str) -> Response:
        text = req.query_params.get("limit", str(DEFAULT_AUDIT_ENTRIES))
        limit = int(text) if text.isdecimal() else DEFAULT_AUDIT_ENTRIES
        match await self._control.audit(limit):
            case Err(refusal):
                return JSONResponse({"detail": refusal.detail}, refusal.status)
            case Ok(audit):
                return JSONResponse(to_builtins(audit))

    async def _daemons(self, _req: Request, _operator: str) -> Response:
        return JSONResponse(to_builtins(self._control.daemons()))

    async def _upstreams(self, _req: Request, _operator: str) -> Response:
        return JSONResponse(to_builtins(self._control.upstreams()))

    async def _teams(self, _req: Request, _operator: str) -> Response:
        return JSONResponse(to_builtins(self._control.teams()))

    async def _diagnostics(self, _req: Request, _operator: str) -> Response:
        return JSONResponse(self._control.diagnostics())

    async def _metrics(self, _req: Request) -> Response:
        content, media_type = self._control.metrics()
        return Response(content, media_type=media_type)
