"""Steps on the limits that servers name, with a site of processes."""

import threading
import time
from typing import Any

from behave import given, then, when
from platform_steps import PROMPT_HEADERS

WINDOW_MS = 4_000
PATHS = {"lookups": "/lookup/1", "orders": "/order/1", "generations": "/generation/1"}


@given('{names} name a limit of "{limit}" requests a second')
@when('{names} name a limit of "{limit}" requests a second')
def name_limit(context: Any, names: str, limit: str) -> None:
    for name in names.split(", "):
        context.site.servers[name].limit = limit


def send(context: Any, kind: str, daemon: int) -> None:
    headers = PROMPT_HEADERS | {"cowsliphitch-pieces": "1,1"}
    started_s = time.monotonic()
    answer = context.site.call(PATHS[kind], headers, daemon)
    context.load_answers.append((answer, time.monotonic() - started_s))


@when("both daemons get {count:d} {kind} a second for {s:d} s")
def send_load(context: Any, count: int, kind: str, s: int) -> None:
    context.load_answers = []
    context.load_started_ms = time.monotonic() * 1_000
    threads = []
    for number in range(count * s):
        wait_s = context.load_started_ms / 1_000 + number / count - time.monotonic()
        time.sleep(max(0.0, wait_s))
        thread = threading.Thread(target=send, args=(context, kind, number % 2))
        thread.start()
        threads.append(thread)
    for thread in threads:
        thread.join()


@then(
    "from {s:d} s on, {names} each got at most {count:d} requests in any {window:d} s"
)
def at_most_in_window(
    context: Any, s: int, names: str, count: int, window: int
) -> None:
    for name in names.split(", "):
        from_ms = context.load_started_ms + s * 1_000
        times = [ms for ms in context.site.servers[name].arrivals_ms if ms >= from_ms]
        most = max(
            (sum(t <= u < t + window * 1_000 for u in times) for t in times), default=0
        )
        assert most <= count, f"{name} got {most} requests"
