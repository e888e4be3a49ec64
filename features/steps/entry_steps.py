"""Steps on decoders of the platform's formats, with odd and generated input."""

import json
from collections.abc import Callable, Sequence
from typing import Any

import anyio
import httpx
from behave import then, when
from fuzz_steps import SEED, any_input
from hypothesis import HealthCheck, example, given, seed, settings, strategies as st

from cowsliphitch.callers.edge.models import EdgeRequest
from cowsliphitch.core.clock import Clock
from cowsliphitch.core.kv.models import Entry
from cowsliphitch.core.revisions import Revision
from cowsliphitch.gateway import store_coordinator, stream_records, suspect_records
from cowsliphitch.peers.fleet import convert
from cowsliphitch.platform import (
    callers,
    evacuations,
    operator_document,
    server_entries,
    servers,
)
from cowsliphitch.platform.store.client import KeyValueClient
from cowsliphitch.standins.site import document, put
from cowsliphitch.upstreams.http1 import connection
from cowsliphitch.upstreams.http1.models import AnswerHead

NESTED = "[" * 100_000 + "]" * 100_000
MANY_DIGITS = "9" * 5_000
ENTRY: dict[str, Any] = {
    "service": "desk",
    "address": "127.0.0.1:1",
    "zone": "domain",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_left_ms": 0,
    "born": 1,
}
KEY = "servers/odd"
# Fields of an entry that replace valid ones, as JSON.
ODD_FIELDS: dict[str, dict[str, str]] = {
    "a field with 100000 nested lists": {"more": NESTED},
    "slots of 10**30": {"slots": str(10**30)},
    "slots of -1": {"slots": "-1"},
    "slots of 2.5": {"slots": "2.5"},
    "slots of true": {"slots": "true"},
    "born of 10**40": {"born": str(10**40)},
    "born of -1": {"born": "-1"},
    "born of 1e400": {"born": "1e400"},
    "cold_left_ms of Infinity": {"cold_left_ms": "Infinity"},
    "cold_left_ms of 1e400": {"cold_left_ms": "1e400"},
    "cold_left_ms of -5": {"cold_left_ms": "-5"},
    "cold_left_ms of 10**40": {"cold_left_ms": str(10**40)},
    'cold_left_ms of "soon"': {"cold_left_ms": '"soon"'},
    "cold_left_ms of null": {"cold_left_ms": "null"},
    "cold_left_ms of false": {"cold_left_ms": "false"},
    "cold_left_ms of an empty text": {"cold_left_ms": '""'},
    "cold_left_ms of an empty list": {"cold_left_ms": "[]"},
    "a number of 5000 digits": {"slots": MANY_DIGITS},
    "port 99999": {"address": '"127.0.0.1:99999"'},
    "port 0": {"address": '"127.0.0.1:0"'},
    "a port of 5000 digits": {"address": f'"127.0.0.1:{MANY_DIGITS}"'},
    "a port of non-ASCII digits": {"address": '"127.0.0.1:\u0661\u0662"'},
    "a line break in the host": {"address": '"127.0.0.1\\n:80"'},
    "a space in the host": {"address": '"127.0 .0.1:80"'},
    "a lone surrogate in the zone": {"zone": '"\\ud800"'},
    "a line break in the version": {"version": '"v1\\r\\nx"'},
    "a version that is a number": {"version": "1"},
    "a service of 5000 characters": {"service": f'"{MANY_DIGITS}"'},
    "an unknown state": {"state": '"resting"'},
}
ODD_VALUES = {
    "100000 nested lists": NESTED,
    "no content": "",
    "a list instead of an object": "[]",
}
ODD_KEYS = {
    "an identifier with a line break": "servers/odd\r\nx",
    "an identifier beyond Latin-1": "servers/odd\u0444",
}


def odd_entry(oddity: str) -> tuple[str, str]:
    """Return key and value of an entry."""
    fields = {name: json.dumps(value) for name, value in ENTRY.items()}
    fields |= ODD_FIELDS.get(oddity, {})
    value = ",".join(f'"{name}":{text}' for name, text in fields.items())
    return ODD_KEYS.get(oddity, KEY), ODD_VALUES.get(oddity, f"{{{value}}}")


@when("the entry of a server has {oddity}")
def decode_odd_entry(context: Any, oddity: str) -> None:
    assert server_entries.decode_entry(KEY, json.dumps(ENTRY)) is not None
    context.server = server_entries.decode_entry(*odd_entry(oddity))


@then("it names no server")
def names_no_server(context: Any) -> None:
    assert context.server is None, str(context.server)[:200]


def text_of(raw: bytes) -> str:
    return raw.decode("utf-8", "replace")


def answer_with(raw: bytes) -> AnswerHead:
    names = ("server-limit", "server-leaving", "retry-after", "keep-alive")
    names += ("cowsliphitch-server-load", "cowsliphitch-not-executed")
    return AnswerHead(503, tuple((name.encode(), raw) for name in names))


def decode_answer_headers(raw: bytes) -> None:
    head = answer_with(raw)
    servers.decode_head(head)
    servers.decode_limit(head)
    servers.decode_retry_after(head)
    connection._keep_alive_ms(raw)


def decode_caller_headers(raw: bytes) -> None:
    names = ("deadline-ms", "token-usage", "prompt-prefix", "pieces")
    headers = [(f"cowsliphitch-{name}".encode(), raw) for name in names]
    for header in headers:
        fields = ((b"cowsliphitch-request-id", b"r1"), header)
        callers.decode_request(
            EdgeRequest(
                method=b"POST",
                target=b"/",
                headers=fields,
                body=b"",
                received_ms=0,
                host="a.example",
            )
        )


def decode_heartbeat(raw: bytes) -> None:
    try:
        heartbeat = convert.heartbeat_from_wire(raw, "127.0.0.1:1")
    except ValueError:
        return
    assert heartbeat.name


def read_store(raw: bytes, headers: Sequence[tuple[bytes, bytes]] = ()) -> None:
    """Have a client of the store read an answer with a body."""

    async def main() -> None:
        kv = KeyValueClient("http://127.0.0.1:1", Clock())
        transport = httpx.MockTransport(
            lambda _req: httpx.Response(200, content=raw, headers=list(headers))
        )
        await kv.close()
        kv._http = httpx.AsyncClient(base_url="http://x", transport=transport)
        await kv.get("key")
        await kv.scan("")
        await kv.watch("", Revision(0, 1), 1)
        await kv.put("key", "value", None)
        await kv.grant_lease(1_000)
        await kv.close()

    anyio.run(main)


DECODERS: dict[str, Callable[[bytes], object]] = {
    "a server's entry": lambda raw: server_entries.decode_entry(KEY, text_of(raw)),
    "the operator's document": lambda raw: operator_document.decode_document(raw),
    "the key of an evacuation": lambda raw: evacuations.decode_key(text_of(raw)),
    "a member's entry": lambda raw: store_coordinator._decode_member(
        Entry("members/127.0.0.1:1", text_of(raw), Revision(1, 1))
    ),
    "a daemon's streams": lambda raw: stream_records.decode(text_of(raw)),
    "a daemon's suspects": lambda raw: suspect_records.decode(text_of(raw)),
    "stage answers": lambda raw: servers.decode_pieces(raw, 1),
    "a server's headers": decode_answer_headers,
    "a caller's headers": decode_caller_headers,
    "a heartbeat": decode_heartbeat,
    "the store's answers": read_store,
    "the store's era": lambda raw: read_store(b"{}", [(b"store-era", raw)]),
}
SEEDS: dict[str, str] = {
    "a server's entry": json.dumps(ENTRY),
    "the operator's document": document(1, {"key": "red"}),
    "a member's entry": json.dumps(
        {"name": "d", "failure_domain": "f", "lifetime": 1, "capacity": 1.0}
    ),
    "a daemon's streams": '{"versions":[["s","v"]],"streams":[["s","v",["0f"]]]}',
    "a daemon's suspects": '{"parts":[["p",[1],[2],1,["p"],5]],"requests":[]}',
    "stage answers": '{"items":[{"handle":"127.0.0.1:1/x"}]}',
    "the store's answers": (
        '{"items":[{"key":"k","value":"eA==","mod_rev":1}],"at":1,"has_more":false,'
        '"events":[{"key":"k","deleted":true,"mod_rev":1}],"lease":1,"mod_rev":2,'
        '"key":"k","value":"eA=="}'
    ),
}
ODD_VALUES_JSON = (
    "1e400",
    "-1e400",
    "NaN",
    "-5",
    "true",
    "null",
    "[]",
    "{}",
    '""',
    '"\\ud800"',
    '"\\r\\n"',
    str(10**30),
    MANY_DIGITS,
    NESTED,
)
ODD_TEXTS = (
    b"1e400",
    b"nan",
    b"-1",
    b"9" * 5_000,
    b"1" + b"0" * 30,
    b"timeout=" + b"9" * 5_000,
)


def paths_of(value: Any) -> list[tuple[Any, ...]]:
    """Return the paths of all values within a JSON value."""
    if isinstance(value, dict):
        children = list(value.items())
    elif isinstance(value, list):
        children = list(enumerate(value))
    else:
        children = []
    return [(), *((k, *path) for k, child in children for path in paths_of(child))]


def replaced(value: Any, path: tuple[Any, ...], mark: str) -> Any:
    if not path:
        return mark
    first, rest = path[0], path[1:]
    if isinstance(value, dict):
        return {
            k: replaced(v, rest, mark) if k == first else v for k, v in value.items()
        }
    return [replaced(v, rest, mark) if n == first else v for n, v in enumerate(value)]


def mutations(text: str) -> st.SearchStrategy[bytes]:
    """Return valid JSON with one value replaced by an odd one."""
    value, mark = json.loads(text), "the replaced value"

    def mutate(path: tuple[Any, ...], odd: str) -> bytes:
        mutated = json.dumps(replaced(value, path, mark))
        return mutated.replace(json.dumps(mark), odd).encode()

    return st.builds(
        mutate, st.sampled_from(paths_of(value)), st.sampled_from(ODD_VALUES_JSON)
    )


@then(
    "{count:d} generated inputs to the decoder of {decoder} give a value or are refused"
)
def decode_generated(context: Any, count: int, decoder: str) -> None:
    decode = DECODERS[decoder]
    inputs = any_input | st.sampled_from(ODD_TEXTS)
    if decoder in SEEDS:
        decode(SEEDS[decoder].encode())
        inputs |= mutations(SEEDS[decoder])

    @seed(SEED)
    @settings(
        max_examples=count,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(inputs)
    @example(NESTED.encode())
    def run(raw: bytes) -> None:
        decode(raw)

    run()


@when("another writer leaves an entry with {oddity}, and a daemon restarts")
def leave_odd_entry(context: Any, oddity: str) -> None:
    site = context.site
    put(site.store, *odd_entry(oddity))
    context.processes = [daemon["process"] for daemon in site.daemons]
    site.restart_daemon(1)


@then("both daemons serve requests")
def both_serve(context: Any) -> None:
    site = context.site
    for number in (0, 1) * 3:
        assert site.call("/lookup/1", daemon=number).status_code == 200
    assert all(daemon["process"].poll() is None for daemon in site.daemons)


@when('another writer replaces the entry of "{name}" by one that can\'t be read')
def replace_entry(context: Any, name: str) -> None:
    put(context.site.store, f"servers/{name}", "{")
