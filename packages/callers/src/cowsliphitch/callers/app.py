"""HTTP application for callers: pipelines, plain services and health checks."""

import json
from collections.abc import AsyncGenerator
from contextlib import aclosing
from typing import Any

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
from cowsliphitch.core.verdict import Reason, Refusal, may_have_run, not_run

from . import const
from .edge.models import ErrorAnswer
from .models import Gateway, Headers, PipelineBody
from .problems import problem_details, problem_response
from .requests import read_request


class CallersApp:
    """Routes and request handlers of the callers' interface."""

    def __init__(self, gateway: Gateway) -> None:
        """Initialize the application.

        :param gateway: runs the requests
        """
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

    def encode_error(self, status: int, detail: str) -> ErrorAnswer:
        """Return the refusal of a request that did not reach the application.

        :param status: error status of the HTTP server
        :param detail: what is wrong with the request
        """
        match status:
            case 413:
                refusal = not_run(Reason.BODY_TOO_LARGE, detail)
            case 502:
                refusal = may_have_run(Reason.UPSTREAM_FAILED, detail)
            case 503:
                refusal = not_run(Reason.QUEUE_FULL, detail, const.NO_MEMORY_RETRY_MS)
            case _:
                refusal = not_run(Reason.INVALID_REQUEST, detail)
        resp = problem_response(refusal, self._gateway.new_request_id())
        headers = tuple((k, v) for k, v in resp.raw_headers if k != b"content-length")
        return ErrorAnswer(resp.status_code, headers, bytes(resp.body))

    async def _health(self, _req: Request) -> Response:
        return PlainTextResponse("ok\n")

    async def _ready(self, _req: Request) -> Response:
        match self._gateway.ready():
            case Ok(_):
                return PlainTextResponse("ready\n")
            case Err(refusal):
                return problem_response(refusal, self._gateway.new_request_id())

    async def _pipeline(self, req: Request) -> Response:
        request_id = self._gateway.new_request_id()
        match await read_request(req, self._gateway.max_body_bytes()):
            case Err(refusal):
                return problem_response(refusal, request_id)
            case Ok(received):
                pass
        match from_json(received.body, PipelineBody):
            case Err(detail):
                refusal = not_run(Reason.INVALID_REQUEST, f"the body is {detail}")
                return problem_response(refusal, request_id)
            case Ok(body):
                return await self._run_pipeline(req, request_id, received.headers, body)

    async def _run_pipeline(
        self, req: Request, request_id: str, headers: Headers, body: PipelineBody
    ) -> Response:
        """Run a pipeline; stream the answer if the ``accept`` header asks for it."""
        name = req.path_params["name"]
        events = self._gateway.run_pipeline(request_id, name, headers, body)
        first = await anext(events)
        if isinstance(first, Refused):
            await events.aclose()
            return problem_response(first.refusal, request_id)
        if const.STREAM_TYPE in req.headers.get("accept", ""):
            return _LineStream(
                stream_lines(request_id, first, events),
                headers={const.REQUEST_HEADER: request_id},
                media_type=const.STREAM_TYPE,
            )
        return await collect_answer(request_id, first, events)

    async def _service(self, req: Request) -> Response:
        request_id = self._gateway.new_request_id()
        match await read_request(req, self._gateway.max_body_bytes()):
            case Err(refusal):
                return problem_response(refusal, request_id)
            case Ok(received):
                headers, body = received.headers, received.body
        name = req.path_params["name"]
        match await self._gateway.call_service(request_id, name, headers, body):
            case Err(refusal):
                return problem_response(refusal, request_id)
            case Ok(answer):
                content = {
                    "request": request_id,
                    "output": answer.output,
                    "replayed": answer.replayed,
                }
                return JSONResponse(content, headers={const.REQUEST_HEADER: request_id})


class _LineStream(StreamingResponse):
    """Streamed answer whose generator is closed with it, also after an error."""

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Send the answer."""
        generator: Any = self.body_iterator
        async with aclosing(generator):
            await super().__call__(scope, receive, send)


async def collect_answer(
    request_id: str, first: PipelineEvent, events: AsyncGenerator[PipelineEvent, None]
) -> Response:
    """Return a response with the complete answer, or with the final refusal.

    :param first: first event, already read from ``events``
    """
    tokens: list[str] = []
    event = first
    while isinstance(event, TokenLines):
        lines = (json.loads(line) for line in event.content.splitlines())
        tokens.extend(token for line in lines for token in line["tokens"])
        event = await anext(events)
    await events.aclose()
    if isinstance(event, Refused):
        return problem_response(event.refusal, request_id)
    output = " ".join(tokens) if tokens else event.output
    content = {"request": request_id, "output": output, "tokens": event.tokens}
    return JSONResponse(content, headers={const.REQUEST_HEADER: request_id})


async def stream_lines(
    request_id: str, first: PipelineEvent, events: AsyncGenerator[PipelineEvent, None]
) -> AsyncGenerator[bytes, None]:
    """Relay token lines, and end with a line that marks success or the refusal.

    :param first: first event, already read from ``events``
    """
    event = first
    try:
        while isinstance(event, TokenLines):
            yield event.content
            event = await anext(events)
        yield json.dumps(final_line(request_id, event)).encode() + b"\n"
    finally:
        await events.aclose()


def final_line(request_id: str, event: Finished | Refused) -> dict[str, object]:
    """Return the final line of a streamed answer, before encoding."""
    if isinstance(event, Refused):
        return {"error": problem_details(event.refusal, request_id)}
    line: dict[str, object] = {
        "end": True,
        "tokens": event.tokens,
        "request": request_id,
    }
    return line | ({"output": event.output} if event.output else {})


async def _unknown_route(_req: Request, _exc: Exception) -> Response:
    refusal: Refusal = not_run(Reason.UNKNOWN_ROUTE, "there is no such path or method")
    return problem_response(refusal, "00000000-0000-0000-0000-000000000000")
