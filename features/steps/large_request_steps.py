"""Steps on requests with many headers or prompt parts."""

import http.client
import itertools
import string
import threading
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any, Final

from behave import given, then, when
from crowd_steps import MB, Target

REQUEST_TIMEOUT_S: Final = 10.0
BODY: Final = '{"input": "x"}'
LETTERS: Final = string.ascii_lowercase + string.digits


def usual_headers(name: str) -> dict[str, str]:
    return {
        "host": "a.example",
        "cowsliphitch-request-id": name,
        "cowsliphitch-credential": "key-red",
        "cowsliphitch-deadline-ms": "6000",
    }


def generation_headers(name: str, part_ids: Iterator[int], count: int) -> Any:
    parts = (f"{part:08x}:0" for part in itertools.islice(part_ids, count))
    return usual_headers(name) | {
        "cowsliphitch-model": "m",
        "cowsliphitch-token-usage": "100,40",
        "cowsliphitch-prompt-prefix": ",".join(parts),
        "cowsliphitch-piece-key": "k",
        "cowsliphitch-pieces": "1,1",
    }


def lookup_headers(name: str, count: int) -> dict[str, str]:
    names = ("".join(t) for t in itertools.product("jqxyz", LETTERS, LETTERS))
    return usual_headers(name) | dict.fromkeys(itertools.islice(names, count), "1")


def send_in_turn(
    target: Target, path: str, headers: Iterator[dict[str, str]], statuses: Any
) -> None:
    """Send one request after the other on a kept connection."""
    conn = http.client.HTTPConnection(
        "127.0.0.1", target.ports["callers"], timeout=REQUEST_TIMEOUT_S
    )
    for fields in headers:
        try:
            conn.request("POST", path, body=BODY, headers=fields)
            answer = conn.getresponse()
            answer.read()
            statuses[answer.status] += 1
        except (OSError, http.client.HTTPException) as exc:
            statuses[type(exc).__name__] += 1
            conn.close()
    conn.close()


def send_beside(target: Target, callers: int, send: Callable[[int], None]) -> None:
    threads = [
        threading.Thread(target=send, args=(number,), daemon=True)
        for number in range(callers)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        while thread.is_alive():
            thread.join(0.1)
            target.observe()


@given("its servers take {ms:d} ms for each answer")
def set_delay(context: Any, ms: int) -> None:
    for server in context.site.servers.values():
        server.answer_delay_ms = ms


@when(
    "{callers:d} callers send {count:d} generations each, whose prompts have"
    " {parts:d} parts"
)
def send_prompts(context: Any, callers: int, count: int, parts: int) -> None:
    statuses: Counter[Any] = Counter()

    def send(caller: int) -> None:
        ids = itertools.count(caller << 24)
        names = (f"prompt-{caller}-{number}" for number in range(count))
        headers = (generation_headers(name, ids, parts) for name in names)
        send_in_turn(context.target, "/generation/1", headers, statuses)

    send_beside(context.target, callers, send)
    print(f"answers: {statuses}")


@when(
    "{callers:d} callers send {count:d} lookups each, whose heads have {headers:d}"
    " headers"
)
def send_heads(context: Any, callers: int, count: int, headers: int) -> None:
    statuses: Counter[Any] = Counter()

    def send(caller: int) -> None:
        names = (f"head-{caller}-{number}" for number in range(count))
        fields = (lookup_headers(name, headers) for name in names)
        send_in_turn(context.target, "/lookup/1", fields, statuses)

    send_beside(context.target, callers, send)
    print(f"answers: {statuses}")


@when("a caller sends a lookup whose head has {count:d} headers")
def send_one_head(context: Any, count: int) -> None:
    context.statuses = Counter()
    headers = iter([lookup_headers("one-head", count)])
    send_in_turn(context.target, "/lookup/1", headers, context.statuses)


@when("a caller sends a generation whose prompt has {count:d} parts")
def send_one_prompt(context: Any, count: int) -> None:
    headers = iter([generation_headers("one-prompt", itertools.count(), count)])
    send_in_turn(context.target, "/generation/1", headers, context.statuses)


@then("both are answered 200")
def check_both(context: Any) -> None:
    assert context.statuses == {200: 2}, context.statuses


@when(
    "{callers:d} callers send {count:d} requests each with {content} of {size:d}"
    " characters"
)
def send_unknown(
    context: Any, callers: int, count: int, content: str, size: int
) -> None:
    statuses: Counter[Any] = Counter()

    def send(caller: int) -> None:
        for number in range(count):
            text = f"{caller}-{number}-".ljust(size, "x")
            path, token = {
                "names of pipelines": (f"/v1/pipelines/{text}", "none.none"),
                "names of services": (f"/v1/services/{text}", "none.none"),
                "tokens of a team": ("/v1/services/history", f"technicians.{text}"),
            }[content]
            headers = {"authorization": f"Bearer {token}"}
            send_in_turn(context.target, path, iter([headers]), statuses)

    send_beside(context.target, callers, send)
    print(f"answers: {statuses}")


@then("its metrics take at most {mb:d} MB")
def check_metrics(context: Any, mb: int) -> None:
    port = context.target.ports["operators"]
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=REQUEST_TIMEOUT_S)
    conn.request("GET", "/metrics")
    size = len(conn.getresponse().read())
    conn.close()
    print(f"metrics of {size / MB:.1f} MB")
    assert size <= mb * MB, size
