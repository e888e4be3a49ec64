"""Steps that act as callers, in sequence or in the background."""

import json
import re
import socket
import ssl
import threading
from collections.abc import Callable
from typing import Any

import attrs
import httpx
from behave import given, then, when

from cowsliphitch.core import ids
from cowsliphitch.core.clock import Clock
from cowsliphitch.standins.load import expected_tokens
from cowsliphitch.standins.processes import wait_for
from cowsliphitch.standins.stage import stage_output

STAGES = ["encode", "retrieve", "rerank"]
TOKENS = 32
TIMEOUT_S = 20.0
# A new one for each request would take longer than many bounds of the tests.
TLS_CONTEXT = ssl.create_default_context()
ORDER_DESKS = ("order-desk-1", "order-desk-2")


@attrs.frozen
class Answer:
    """A caller's result: HTTP status, 0 if there is none, and the decoded body."""

    status: int
    body: dict[str, Any]

    @property
    def verdict(self) -> str:
        return str(self.body.get("verdict", ""))

    @property
    def reason(self) -> str:
        return str(self.body.get("type", "")).rpartition(":")[2]


def send(
    context: Any, daemon: str, path: str, content: bytes | str, **headers: str
) -> Answer:
    """Send one request as the team ``warehouse`` and return its result."""
    url = context.fleet.daemons[daemon].url + path
    token = headers.pop("token", context.fleet.team_token("warehouse"))
    fields = {name.replace("_", "-"): value for name, value in headers.items()}
    if token:
        fields["authorization"] = f"Bearer {token}"
    try:
        resp = httpx.post(
            url,
            content=content,
            headers=fields,
            timeout=TIMEOUT_S,
            verify=TLS_CONTEXT,
        )
    except httpx.HTTPError as exc:
        return Answer(0, {"error": type(exc).__name__})
    try:
        return Answer(resp.status_code, resp.json())
    except ValueError:
        return Answer(resp.status_code, {"text": resp.text})


def idempotency_key_of(context: Any, name: str) -> str:
    """Return the idempotency key of an order; create it on first use."""
    if name not in context.keys:
        context.keys[name] = ids.new_id(Clock().wall_ms())
    return str(context.keys[name])


def post_order(context: Any, name: str, daemon: str, body: str | None = None) -> Answer:
    """Send an order and return its result."""
    key = idempotency_key_of(context, name)
    content = body or f"body of {name}"
    path = "/v1/services/part-order"
    return send(context, daemon, path, content, idempotency_key=key)


def in_background(context: Any, name: str, call: Callable[[], Answer]) -> None:
    """Run a call in a thread, which stores its result in ``context.answers``."""

    def run() -> None:
        context.answers[name] = call()

    thread = threading.Thread(target=run, daemon=True)
    context.jobs[name] = thread
    thread.start()


def count_runs(context: Any, name: str) -> int:
    """Count how often an order ran, according to the upstreams' records."""
    key = idempotency_key_of(context, name)
    desks = [desk for desk in ORDER_DESKS if context.fleet.processes[desk].is_alive]
    runs = [run for desk in desks for run in context.fleet.fetch_runs(desk)]
    return sum(1 for run in runs if run["key"] == key)


@given("a fleet")
def fleet(context: Any) -> None:
    assert context.fleet is not None, "the feature needs the tag of a fleet"


@when('order "{name}" is sent through {daemon:Word}')
def send_order(context: Any, name: str, daemon: str) -> None:
    context.answer = post_order(context, name, daemon)


@when('order "{name}" is sent through {daemon:Word} with the body "{body}"')
def send_order_with_body(context: Any, name: str, daemon: str, body: str) -> None:
    context.answer = post_order(context, name, daemon, body)


@when('order "{name}" is sent through {daemon:Word} in the background')
def send_order_in_background(context: Any, name: str, daemon: str) -> None:
    in_background(context, name, lambda: post_order(context, name, daemon))


@when('{count:d} copies of order "{name}" are sent through all daemons at once')
def send_copies(context: Any, count: int, name: str) -> None:
    idempotency_key_of(context, name)
    daemons = sorted(context.fleet.daemons)
    for index in range(count):
        daemon = daemons[index % len(daemons)]
        job = f"{name}/{index}"
        in_background(context, job, lambda d=daemon: post_order(context, name, d))
    for job in list(context.jobs.values()):
        job.join(TIMEOUT_S)


@when('the answer to order "{name}" has arrived')
def join_order(context: Any, name: str) -> None:
    context.jobs[name].join(TIMEOUT_S)
    context.answer = context.answers[name]


@when('order "{name}" is running')
@given('order "{name}" is running')
def wait_until_order_runs(context: Any, name: str) -> None:
    wait_for("the order is running", lambda: count_runs(context, name) > 0, 5_000)


@when('order "{name}" is sent through {daemon:Word} until it is answered')
def send_order_until_answered(context: Any, name: str, daemon: str) -> None:
    def answered() -> bool:
        context.answer = post_order(context, name, daemon)
        return bool(context.answer.status == 200)

    wait_for("the order is answered", answered, 15_000)


@then("the order is answered")
def assert_order_answered(context: Any) -> None:
    assert context.answer.status == 200, context.answer


@then("the order's stored answer is replayed")
def assert_order_replayed(context: Any) -> None:
    assert context.answer.status == 200, context.answer
    assert context.answer.body["replayed"] is True, context.answer


@then('the request is refused as "{verdict}" because of "{reason}"')
def assert_refusal(context: Any, verdict: str, reason: str) -> None:
    actual = (context.answer.verdict, context.answer.reason)
    assert actual == (verdict, reason), context.answer


@then('the request is refused as "{verdict}"')
def assert_verdict(context: Any, verdict: str) -> None:
    assert context.answer.verdict == verdict, context.answer


@then('order "{name}" ran {count:d} times')
@then('order "{name}" ran {count:d} time')
def assert_order_runs(context: Any, name: str, count: int) -> None:
    assert count_runs(context, name) == count, count_runs(context, name)


@then('order "{name}" ran at most once')
def assert_order_ran_at_most_once(context: Any, name: str) -> None:
    assert count_runs(context, name) <= 1, count_runs(context, name)


@then('every copy of order "{name}" has the right answer or may have run')
def assert_copies_correct(context: Any, name: str) -> None:
    expected = stage_output("service", f"body of {name}")
    copies = [v for k, v in context.answers.items() if k.startswith(f"{name}/")]
    complete = [answer for answer in copies if answer.status == 200]
    assert complete, copies
    assert all(answer.body["output"] == expected for answer in complete), copies
    others = [answer for answer in copies if answer.status != 200]
    assert all(answer.verdict == "may-have-run" for answer in others), others


@when("a request is sent with {fault}")
def send_invalid_request(context: Any, fault: str) -> None:
    path, content, headers = INVALID_REQUESTS[fault](context)
    context.answer = send(context, "entry-1", path, content, **headers)


def _uuid(age_ms: int) -> str:
    return ids.new_id(Clock().wall_ms() - age_ms)


PIPELINE = "/v1/pipelines/diagnosis"
SERVICE = "/v1/services/part-order"
VALID_BODY = json.dumps({"input": "text"})
HOUR_MS = 3_600_000

RequestBuilder = Callable[[Any], tuple[str, bytes | str, dict[str, str]]]
INVALID_REQUESTS: dict[str, RequestBuilder] = {
    "no token": lambda c: (PIPELINE, VALID_BODY, {"token": ""}),
    "a wrong token": lambda c: (PIPELINE, VALID_BODY, {"token": "warehouse.guess"}),
    "another team's name": lambda c: (
        PIPELINE,
        VALID_BODY,
        {"token": c.fleet.team_token("warehouse").replace("warehouse", "dispatchers")},
    ),
    "an unknown pipeline": lambda c: ("/v1/pipelines/none", VALID_BODY, {}),
    "an unknown service": lambda c: ("/v1/services/none", "x", {}),
    "an unknown path": lambda c: ("/v2/none", VALID_BODY, {}),
    "a body over the limit": lambda c: (PIPELINE, b"x" * 300_000, {}),
    "a head over the limit": lambda c: (
        PIPELINE,
        VALID_BODY,
        {"x_extra": "x" * 20_000},
    ),
    "a body that is not JSON": lambda c: (PIPELINE, "{", {}),
    "a deeply nested body": lambda c: (PIPELINE, "[" * 100_000, {}),
    "a body without input": lambda c: (PIPELINE, "{}", {}),
    "a body that is not UTF-8": lambda c: (PIPELINE, b"\xff\xfe", {}),
    "a past deadline": lambda c: (PIPELINE, VALID_BODY, {"x_request_timeout_ms": "0"}),
    "a deadline that is not a number": lambda c: (
        PIPELINE,
        VALID_BODY,
        {"x_request_timeout_ms": "soon"},
    ),
    "an order without a key": lambda c: (SERVICE, "x", {}),
    "a key that is not a UUID": lambda c: (
        SERVICE,
        "x",
        {"idempotency_key": "order-7"},
    ),
    "a key of another version": lambda c: (
        SERVICE,
        "x",
        {"idempotency_key": "9f3c5d7e-0000-4000-8000-000000000000"},
    ),
    "a key that is too old": lambda c: (
        SERVICE,
        "x",
        {"idempotency_key": _uuid(2 * HOUR_MS)},
    ),
    "a key from the future": lambda c: (
        SERVICE,
        "x",
        {"idempotency_key": _uuid(-2 * HOUR_MS)},
    ),
    "a key that is too long": lambda c: (SERVICE, "x", {"idempotency_key": "k" * 500}),
}


@then("the status is {status:d}")
def assert_status(context: Any, status: int) -> None:
    assert context.answer.status == status, context.answer


@when('diagnosis "{text}" is streamed through {daemon:Word}')
def stream_diagnosis(context: Any, text: str, daemon: str) -> None:
    context.stream_text = text
    context.answer, context.lines = stream(context, text, daemon)


@when('diagnosis "{text}" is streamed through {daemon:Word} in the background')
def stream_in_background(context: Any, text: str, daemon: str) -> None:
    context.stream_text = text

    def call() -> Answer:
        answer, context.lines = stream(context, text, daemon)
        return answer

    in_background(context, text, call)


@when('the answer to diagnosis "{text}" has arrived')
def join_stream(context: Any, text: str) -> None:
    context.jobs[text].join(TIMEOUT_S)
    context.answer = context.answers[text]


@when(
    'diagnosis "{text}" is streamed through {daemon:Word} with a timeout of {ms:d} ms'
)
def stream_with_timeout(context: Any, text: str, daemon: str, ms: int) -> None:
    started_ms = Clock().now_ms()
    context.answer, context.lines = stream(context, text, daemon, ms)
    context.took_ms = Clock().now_ms() - started_ms


@when('diagnosis "{text}" is streamed through {daemon:Word} and closed after one line')
def close_stream_early(context: Any, text: str, daemon: str) -> None:
    url = f"{context.fleet.daemons[daemon].url}/v1/pipelines/diagnosis"
    headers = {
        "authorization": f"Bearer {context.fleet.team_token('technicians')}",
        "accept": "application/x-ndjson",
    }
    with httpx.stream(
        "POST", url, json={"input": text}, headers=headers, timeout=TIMEOUT_S
    ) as resp:
        # The variable is needed: dropping the iterator would close the connection.
        lines = resp.iter_lines()
        assert next(lines)
        listed = context.fleet.query_daemon(daemon, "/v1/upstreams")
    assert any(upstream["outstanding"] for upstream in listed), "stream ended too early"


@then("{daemon:Word} has no calls in flight within {ms:d} ms")
def assert_no_calls_in_flight(context: Any, daemon: str, ms: int) -> None:
    def idle() -> bool:
        listed = context.fleet.query_daemon(daemon, "/v1/upstreams")
        return not any(upstream["outstanding"] for upstream in listed)

    wait_for(f"{daemon} has no calls in flight", idle, ms)


@then("the answer took at most {ms:d} ms")
def assert_duration(context: Any, ms: int) -> None:
    assert context.took_ms <= ms, context.took_ms


def stream(
    context: Any,
    text: str,
    daemon: str,
    timeout_ms: int = 10_000,
    on_connect: Callable[[], None] = lambda: None,
) -> tuple[Answer, list[dict[str, Any]]]:
    """Stream a diagnosis and return its final result and all its lines.

    :param on_connect: called right before the connection is opened
    """
    url = f"{context.fleet.daemons[daemon].url}/v1/pipelines/diagnosis"
    headers = {
        "authorization": f"Bearer {context.fleet.team_token('technicians')}",
        "accept": "application/x-ndjson",
        "x-request-timeout-ms": str(timeout_ms),
    }
    lines: list[dict[str, Any]] = []

    def trace(event: str, _info: dict[str, Any]) -> None:
        if event == "connection.connect_tcp.started":
            on_connect()

    try:
        with (
            httpx.Client(verify=TLS_CONTEXT, timeout=TIMEOUT_S) as http,
            http.stream(
                "POST",
                url,
                json={"input": text},
                headers=headers,
                extensions={"trace": trace},
            ) as resp,
        ):
            if resp.status_code != httpx.codes.OK:
                return Answer(resp.status_code, json.loads(resp.read())), lines
            for line in resp.iter_lines():
                lines.append(json.loads(line))
                context.started_streams.add(text)
    except httpx.HTTPError as exc:
        return Answer(0, {"error": type(exc).__name__}), lines
    last = lines[-1] if lines else {}
    return Answer(resp.status_code, last.get("error", last)), lines


@then("the stream is complete and has the expected tokens")
def assert_stream_complete(context: Any) -> None:
    token_lines = [line for line in context.lines if "index" in line]
    actual = [token for line in token_lines for token in line["tokens"]]
    expected = expected_tokens(context.stream_text, STAGES, TOKENS)
    assert context.answer.body.get("end") is True, context.answer
    assert actual == expected, (len(actual), len(expected))


@then("the stream ends with a refusal")
def assert_stream_refused(context: Any) -> None:
    assert context.answer.verdict in ("ran", "may-have-run"), context.answer
    assert not any(line.get("end") for line in context.lines)


@then("at most {count:d} tokens were streamed")
def assert_token_limit(context: Any, count: int) -> None:
    actual = sum(len(line["tokens"]) for line in context.lines if "index" in line)
    assert actual <= count, actual


@then('the pool "{pool}" of {daemon:Word} retried {count:d} time')
def assert_retries(context: Any, pool: str, daemon: str, count: int) -> None:
    pools = context.fleet.query_daemon(daemon, "/v1/diagnostics")["pools"]
    assert pools[pool]["retries"] >= count, pools[pool]


@when('a raw request "{text}" is sent to {daemon:Word} and not completed')
def send_incomplete_request(context: Any, text: str, daemon: str) -> None:
    host, port = re.fullmatch(
        r"http://(.*):(\d+)", context.fleet.daemons[daemon].url
    ).groups()
    with socket.create_connection((host, int(port)), timeout=5) as sock:
        sock.sendall(text.replace("\\r\\n", "\r\n").encode())
