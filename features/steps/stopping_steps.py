"""Steps on requests that come while a daemon stops."""

import http.client
import signal
import threading
import time
import tracemalloc
from typing import Any

from behave import given, then, when
from platform_steps import Site, wait_for

from cowsliphitch.core.clock import MS_PER_SECOND
from cowsliphitch.core.deployment.models import RouteKind
from cowsliphitch.core.serving.shutdown import ShutdownPlan
from cowsliphitch.gateway.relay import EventSplitter

KINDS = {
    "order": RouteKind.ONCE,
    "lookup": RouteKind.IDEMPOTENT,
    "stream": RouteKind.STREAM,
}
PROMISED = frozenset({408, 421, 429, 503})


@given(
    "a site with two daemons that have {grace} to stop, and servers that take"
    " {work:d} ms"
)
def start_site_with_grace(context: Any, grace: str, work: int) -> None:
    site = context.site = Site(False, ("v1",))
    context.add_cleanup(site.close)
    site.grace = grace
    context.work_ms = work
    site.start()
    for server in site.servers.values():
        server.answer_delay_ms = work


def send_order(context: Any, conn: http.client.HTTPConnection, name: str) -> str:
    """Return the status of an order, or how its connection ended."""
    headers = {
        "host": "a.example",
        "cowsliphitch-request-id": name,
        "cowsliphitch-credential": "key-red",
        "cowsliphitch-deadline-ms": "1400",
    }
    try:
        conn.request("POST", "/order/1", headers=headers)
    except OSError:
        return "not sent"
    try:
        answer = conn.getresponse()
        answer.read()
    except (OSError, http.client.HTTPException):
        return "closed"
    return str(answer.status)


@when(
    "orders come every {ms:d} ms on new and open connections to a daemon that is told"
    " to stop"
)
def send_orders(context: Any, ms: int) -> None:
    daemon = context.site.daemons[0]
    process, port = daemon["process"], daemon["callers"]
    outcomes: dict[str, str] = {}
    threads: list[threading.Thread] = []

    def connect() -> http.client.HTTPConnection:
        return http.client.HTTPConnection("127.0.0.1", port, timeout=8)

    def send_one(conn: http.client.HTTPConnection, name: str) -> None:
        outcomes[name] = send_order(context, conn, name)
        conn.close()

    opened = [connect() for _ in range(40)]
    for number, conn in enumerate(opened):
        conn.connect()
        assert send_order(context, conn, f"before-{number}") == "200"
    process.send_signal(signal.SIGTERM)
    started_s = time.monotonic()
    number = 0
    while process.poll() is None and time.monotonic() - started_s < 9:
        conn = opened.pop() if number % 2 and opened else connect()
        name = f"order-{number}"
        thread = threading.Thread(target=send_one, args=(conn, name), daemon=True)
        thread.start()
        threads.append(thread)
        number += 1
        time.sleep(ms / MS_PER_SECOND)
    context.exit_ms = (time.monotonic() - started_s) * MS_PER_SECOND
    for thread in threads:
        thread.join(9)
    context.outcomes = outcomes


@then("every order that ran was answered 200")
def all_ran_answered(context: Any) -> None:
    ran = set(context.site.executed())
    wrong = {n: o for n, o in context.outcomes.items() if n in ran and o != "200"}
    assert not wrong, wrong
    assert any(n in ran for n in context.outcomes), context.outcomes


@then("every order that a daemon has read got an answer, or another daemon may get it")
def all_read_answered(context: Any) -> None:
    ran = set(context.site.executed())
    for name, outcome in context.outcomes.items():
        is_promise = outcome.isdecimal() and int(outcome) in PROMISED
        assert outcome == "200" or (
            name not in ran and (is_promise or outcome in ("closed", "not sent"))
        ), (name, outcome)


@then("the daemon exits within {s:d}s")
def exits_within(context: Any, s: int) -> None:
    assert context.exit_ms <= s * MS_PER_SECOND, context.exit_ms
    wait_for(
        "the daemon has exited", lambda: not context.site.daemons[0]["process"].poll()
    )
    assert context.site.daemons[0]["process"].returncode == 0


@given("a shutdown with a grace period of {ms:d} ms")
def make_plan(context: Any, ms: int) -> None:
    context.plan = ShutdownPlan(ms)


@then(
    "{kind:w} with {left:d} ms to the deadline is {taken} {elapsed:d} ms after SIGTERM"
)
def check_taken(context: Any, kind: str, left: int, taken: str, elapsed: int) -> None:
    is_taken = context.plan.takes(elapsed, left, KINDS[kind])
    assert is_taken == (taken == "taken")


@when("an event of {size:d} bytes arrives in chunks of {chunk:d} bytes")
def feed_event(context: Any, size: int, chunk: int) -> None:
    splitter, content = EventSplitter(), b"x" * chunk
    copied = 0
    tracemalloc.start()
    for _ in range(size // chunk):
        tracemalloc.reset_peak()
        before, _ = tracemalloc.get_traced_memory()
        assert splitter.feed(content) == b""
        _, peak = tracemalloc.get_traced_memory()
        copied += peak - before
    tracemalloc.stop()
    assert splitter.feed(b"\n\n") == b"x" * size + b"\n\n"
    context.size, context.copied = size, copied


@then("splitting it copies each byte at most {count:d} times")
def bounded_copies(context: Any, count: int) -> None:
    assert context.copied <= count * context.size, context.copied / context.size
