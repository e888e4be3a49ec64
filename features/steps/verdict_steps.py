"""Steps for verdicts: a faulty upstream, and the refusal that the client reports."""

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


def http_response(status: str, body: str) -> bytes:
    head = f"HTTP/1.1 {status}\r\ncontent-length: {len(body)}\r\n\r\n"
    return (head + body).encode()


PARTIAL_RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\n{"
WRONG_ATTEMPT = json.dumps({"attempt": "another", "output": "x"})
RESPONSES = {
    "closes in the middle of its answer": PARTIAL_RESPONSE,
    "answers 500": http_response("500 Error", "x"),
    "answers 404": http_response("404 Not Found", "x"),
    "answers 503": http_response("503 Unavailable", "x"),
    "answers 429": http_response("429 Too Many", "x"),
    "answers with invalid JSON": http_response("200 OK", "\0garbage"),
    "answers JSON of another shape": http_response("200 OK", "[1]"),
    "answers for another attempt": http_response("200 OK", WRONG_ATTEMPT),
    "answers with invalid HTTP": b"SSH-2.0-x\r\n\r\n",
}
REFUSES_FIRST_SUFFIX = " and refuses before running"


@then('the verdicts "{parts}" combine to "{whole}"')
def assert_combined_verdict(context: Any, parts: str, whole: str) -> None:
    assert combine_verdicts(map(Verdict, parts.split())) is Verdict(whole)


@when("an upstream {behaviour}")
def call_upstream(context: Any, behaviour: str) -> None:
    context.result = asyncio.run(call_faulty_upstream(behaviour))


async def call_faulty_upstream(behaviour: str) -> Any:
    refuses = behaviour.endswith(REFUSES_FIRST_SUFFIX)
    name = behaviour.removesuffix(REFUSES_FIRST_SUFFIX)
    port = free_port()
    call_ended = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if name != "closes without reading the request":
            await reader.readuntil(b"\r\n\r\n")
        if name == "never answers":
            await call_ended.wait()
        if name == "stalls in the middle of its answer":
            writer.write(PARTIAL_RESPONSE)
            await call_ended.wait()
        writer.write(RESPONSES.get(name, b""))
        writer.close()

    server = None
    if name != "does not listen":
        server = await asyncio.start_server(serve, "127.0.0.1", port)
    client = UpstreamClient(Clock())
    call = Call("request", "attempt", Clock().now_ms() + DEADLINE_MS)
    url = f"http://127.0.0.1:{port}/v1/run"
    try:
        return await client.send_call(url, b"{}", call, refuses)
    finally:
        call_ended.set()
        await client.close()
        if server is not None:
            server.close()


@then('the call fails as "{verdict}" because of "{reason}"')
def assert_call_fails(context: Any, verdict: str, reason: str) -> None:
    assert isinstance(context.result, Err), context.result
    failure = context.result.err_value
    assert (failure.verdict.value, failure.reason.value) == (verdict, reason), failure
