"""Stand-ins of a stage server and of a plain service.

Their answers depend only on the request, so that a caller can compute the expected
answer and detect one that belongs to another request.
"""

import hashlib
import json

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from .upstream import KEY_HEADER, Upstream


def stage_output(stage: str, text: str) -> str:
    """Return the output of a stage, or of a service, for an input."""
    digest = hashlib.sha256(f"{stage}:{text}".encode()).hexdigest()[:16]
    return f"{stage}({digest})"


def stage_app(upstream: Upstream) -> Starlette:
    """Return the HTTP application of an encoder, retriever or reranker."""

    async def run(req: Request) -> Response:
        text = (await req.body()).decode()
        if (refusal := await upstream.admit(req, text)) is not None:
            return refusal
        upstream.record_run(req, text)
        await upstream.simulate_work()
        if upstream.faults.garbage:
            return Response(b"\x00garbage")
        body = json.loads(text)
        output = stage_output(body["stage"], body["input"])
        return JSONResponse(
            {"attempt": upstream.response_attempt(req), "output": output}
        )

    return Starlette(
        routes=[Route("/v1/run", run, methods=["POST"]), *upstream.routes()]
    )


def service_app(upstream: Upstream, *, honours_keys: bool) -> Starlette:
    """Return the HTTP application of a plain service.

    :param honours_keys: a repeated idempotency key gets the first answer and runs
        nothing
    """
    answers: dict[str, str] = {}

    async def call(req: Request) -> Response:
        text = (await req.body()).decode()
        if (refusal := await upstream.admit(req, text)) is not None:
            return refusal
        key = req.headers.get(KEY_HEADER, "")
        if honours_keys and key in answers:
            body = {"attempt": upstream.response_attempt(req), "output": answers[key]}
            return JSONResponse(body)
        upstream.record_run(req, text)
        answers[key] = stage_output("service", text)
        await upstream.simulate_work()
        if upstream.faults.garbage:
            return Response(b"\x00garbage")
        body = {"attempt": upstream.response_attempt(req), "output": answers[key]}
        return JSONResponse(body)

    return Starlette(
        routes=[Route("/v1/call", call, methods=["POST"]), *upstream.routes()]
    )
