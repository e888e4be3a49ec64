"""Stand-ins of a stage pool's server and of a plain service."""

import hashlib
import json

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from .upstream import KEY_HEADER, Upstream


def stage_output(stage: str, text: str) -> str:
    """Return the result that the stand-in of a stage gives for an input."""
    digest = hashlib.sha256(f"{stage}:{text}".encode()).hexdigest()[:16]
    return f"{stage}({digest})"


def stage_app(upstream: Upstream) -> Starlette:
    """Return an encoder, retriever or reranker."""

    async def run(req: Request) -> Response:
        text = (await req.body()).decode()
        if (refused := await upstream.admit(req, text)) is not None:
            return refused
        upstream.start(req, text)
        await upstream.work()
        if upstream.faults.garbage:
            return Response(b"\x00garbage")
        body = json.loads(text)
        output = stage_output(body["stage"], body["input"])
        return JSONResponse({"attempt": upstream.attempt_of(req), "output": output})

    return Starlette(
        routes=[Route("/v1/run", run, methods=["POST"]), *upstream.routes()]
    )


def service_app(upstream: Upstream, *, honours_keys: bool) -> Starlette:
    """Return a plain service; if it honours keys, a repeat gets the first answer."""
    answers: dict[str, str] = {}

    async def call(req: Request) -> Response:
        text = (await req.body()).decode()
        if (refused := await upstream.admit(req, text)) is not None:
            return refused
        key = req.headers.get(KEY_HEADER, "")
        if honours_keys and key in answers:
            body = {"attempt": upstream.attempt_of(req), "output": answers[key]}
            return JSONResponse(body)
        upstream.start(req, text)
        answers[key] = stage_output("service", text)
        await upstream.work()
        if upstream.faults.garbage:
            return Response(b"\x00garbage")
        body = {"attempt": upstream.attempt_of(req), "output": answers[key]}
        return JSONResponse(body)

    return Starlette(
        routes=[Route("/v1/call", call, methods=["POST"]), *upstream.routes()]
    )
