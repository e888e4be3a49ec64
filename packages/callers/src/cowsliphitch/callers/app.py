"""The HTTP application for callers."""

import json
from collections.abc import AsyncGenerator

from result import Err, Ok
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import (
    JSONResponse,
    PlainTextResponse,
    Response,
    StreamingResponse,
)
from starlette.routing import Route

from cowsliphitch.core.codec import from_json
from cowsliphitch.core.serving.models import (
    Finished,
    PipelineEvent,
    Refused,
    TokenLines,
)
from cowsliphitch.core.verdict import Reason, Refusal, not_run

from . import const
from .models import Gateway, Headers, PipelineBody
from .problems import problem, problem_response
from .requests import read_request


class CallersApp:
    """Routes and handlers of the callers' interface."""

    def __init__(self, gateway: Gateway) -> None:
        """Serve requests through the daemon's gateway."""
        self._gateway = gateway

    def app(self) -> Starlette:
        """Return the HTTP application."""
        return Starlette(
            routes=[
                Route("/v1/pipelines/{name}", self._pipeline, methods=["POST"]),
                Route("/v1/services/{name}", self._service, methods=["POST"]),
                Route("/healthz", self._health, methods=["GET"]),
                Route("/readyz", self._ready, methods=["GET"]),
            ],
            exception_handlers={404: _unknown_route, 405: _unknown_route},
        )

    async def _health(self, _req: Request) -> Response:
        return PlainTextResponse("ok\n")

    async def _ready(self, _req: Request) -> Response:
        match self._gateway.ready():
            case Ok(_):
                return PlainTextResponse("ready\n")
            case Err(refusal):
                return problem_response(refusal, self._gateway.new_request())

    async def _pipeline(self, req: Request) -> Response:
        request = self._gateway.new_request()
        match await read_request(req, self._gateway.max_body()):
            case Err(refusal):
                return problem_response(refusal, request)
            case Ok(received):
                pass
        match from_json(received.body, PipelineBody):
            case Err(detail):
                refusal = not_run(Reason.INVALID_REQUEST, f"the body is {detail}")
                return problem_response(refusal, request)
            case Ok(body):
                return await self._run(req, request, received.headers, body)

    async def _run(
        self, req: Request, request: str, headers: Headers, body: PipelineBody
    ) -> Response:
        """Answer with a stream or as a whole, as the caller prefers."""
        name = req.path_params["name"]
        events = self._gateway.run_pipeline(request, name, headers, body)
        first = await anext(events)
        if isinstance(first, Refused):
            await events.aclose()
            return problem_response(first.refusal, request)
        if const.STREAM_TYPE in req.headers.get("accept", ""):
            return StreamingResponse(
                stream_lines(request, first, events),
                headers={const.REQUEST_HEADER: request},
                media_type=const.STREAM_TYPE,
            )
        return await whole_answer(request, first, events)

    async def _service(self, req: Request) -> Response:
        request = self._gateway.new_request()
        match await read_request(req, self._gateway.max_body()):
            case Err(refusal):
                return problem_response(refusal, request)
            case Ok(received):
                headers, body = received.headers, received.body
        name = req.path_params["name"]
        match await self._gateway.call_service(request, name, headers, body):
            case Err(refusal):
                return problem_response(refusal, request)
            case Ok(answer):
                content = {
                    "request": request,
                    "output": answer.output,
                    "replayed": answer.replayed,
                }
                return JSONResponse(content, headers={const.REQUEST_HEADER: request})


async def whole_answer(
    request: str, first: PipelineEvent, events: AsyncGenerator[PipelineEvent, None]
) -> Response:
    """Gather a whole answer before anything is sent."""
    tokens: list[str] = []
    event = first
    while isinstance(event, TokenLines):
        lines = (json.loads(line) for line in event.content.splitlines())
        tokens.extend(token for line in lines for token in line["tokens"])
        event = await anext(events)
    await events.aclose()
    if isinstance(event, Refused):
        return problem_response(event.refusal, request)
    output = " ".join(tokens) if tokens else event.output
    content = {"request": request, "output": output, "tokens": event.tokens}
    return JSONResponse(content, headers={const.REQUEST_HEADER: request})


async def stream_lines(
    request: str, first: PipelineEvent, events: AsyncGenerator[PipelineEvent, None]
) -> AsyncGenerator[bytes, None]:
    """Pass lines on; the last line says that the answer is whole, or why it is not."""
    event = first
    try:
        while isinstance(event, TokenLines):
            yield event.content
            event = await anext(events)
        yield json.dumps(last_line(request, event)).encode() + b"\n"
    finally:
        await events.aclose()


def last_line(request: str, event: Finished | Refused) -> dict[str, object]:
    """Return the last line of a streamed answer."""
    if isinstance(event, Refused):
        return {"error": problem(event.refusal, request)}
    line: dict[str, object] = {
        "end": True,
        "tokens": event.tokens,
        "request": request,
    }
    return line | ({"output": event.output} if event.output else {})


async def _unknown_route(_req: Request, _exc: Exception) -> Response:
    refusal: Refusal = not_run(Reason.UNKNOWN_ROUTE, "there is no such path or method")
    return problem_response(refusal, "00000000-0000-0000-0000-000000000000")
