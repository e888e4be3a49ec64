"""Steps on verdicts: a socket that behaves badly, and what is made of it."""

import asyncio
import json
from typing import Any

from behave import then, when
from result import Err

from cowsliphitch.core.clock import Clock
from cowsliphitch.core.verdict import Verdict, combine_verdicts
from cowsliphitch.standins.processes import free_port
from cowsliphitch.upstreams.transport.client import UpstreamClient
from cowsliphitch.upstreams.transport.models import Call

DEADLINE_MS = 400


def answer(status: str, body: str) -> bytes:
    head = f"HTTP/1.1 {status}\r\ncontent-length: {len(body)}\r\n\r\n"
    return (head + body).encode()


PARTIAL = b"HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\n{"
GOOD = json.dumps({"attempt": "another", "output": "x"})
ANSWERS = {
    "closes in the middle of its answer": PARTIAL,
    "answers 500": answer("500 Error", "x"),
    "answers 404": answer("404 Not Found", "x"),
    "answers 503": answer("503 Unavailable", "x"),
    "answers 429": answer("429 Too Many", "x"),
    "answers no JSON": answer("200 OK", "\0garbage"),
    "answers JSON of another shape": answer("200 OK", "[1]"),
    "answers for another attempt": answer("200 OK", GOOD),
    "answers what is no HTTP": b"SSH-2.0-x\r\n\r\n",
}
KNOWN_TO_REFUSE = " and is known to refuse first"


@then('"{parts}" combine to "{whole}"')
def parts_combine(context: Any, parts: str, whole: str) -> None:
    assert combine_verdicts(map(Verdict, parts.split())) is Verdict(whole)


@when("an upstream {behaviour}")
def upstream_behaves(context: Any, behaviour: str) -> None:
    context.failure = asyncio.run(call_bad(behaviour))


async def call_bad(behaviour: str) -> Any:
    refuses = behaviour.endswith(KNOWN_TO_REFUSE)
    name = behaviour.removesuffix(KNOWN_TO_REFUSE)
    port = free_port()
    held = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if name != "closes before it read anything":
            await reader.readuntil(b"\r\n\r\n")
        if name == "never answers":
            await held.wait()
        if name == "stalls in the middle of its answer":
            writer.write(PARTIAL)
            await held.wait()
        writer.write(ANSWERS.get(name, b""))
        writer.close()

    server = None
    if name != "does not listen":
        server = await asyncio.start_server(serve, "127.0.0.1", port)
    client = UpstreamClient(Clock())
    call = Call("request", "attempt", Clock().now_ms() + DEADLINE_MS)
    url = f"http://127.0.0.1:{port}/v1/run"
    try:
        return await client.answer(url, b"{}", call, refuses)
    finally:
        held.set()
        await client.close()
        if server is not None:
            server.close()


@then('the call fails as "{verdict}" because of "{reason}"')
def call_fails(context: Any, verdict: str, reason: str) -> None:
    assert isinstance(context.failure, Err), context.failure
    failure = context.failure.err_value
    assert (failure.verdict.value, failure.reason.value) == (verdict, reason), failure
