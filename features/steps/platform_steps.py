"""Steps on the whole path: real daemons and a store as processes, stand-in servers."""

import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
import anyio.from_thread
import httpx
from behave import given, then, when

from cowsliphitch.standins.processes import free_port, wait_for
from cowsliphitch.standins.site import SiteServer, document, put

KEYS = {"key-red": "red", "key-blue": "blue"}
PROMPT = {
    "cowsliphitch-model": "m",
    "cowsliphitch-token-usage": "100,40",
    "cowsliphitch-prompt-prefix": "aa:60,bb:40",
    "cowsliphitch-piece-key": "piece-key",
}
FORBIDDEN = {
    "cowsliphitch-hold": "h",
    "cowsliphitch-pin-ms": "5",
    "cowsliphitch-kv-backup": "10.0.0.1:1",
    "kv-from": "10.0.0.1:1/x",
    "cowsliphitch-tenant": "other",
    "cowsliphitch-request-priority": "0",
}


class Site:
    """Stand-in servers in a loop of their own, and processes beside them."""

    def __init__(self, resumable: bool) -> None:
        gone: set[str] = set()
        self.servers = {
            name: SiteServer(name, name.rpartition("-")[0], gone=gone)
            for name in (
                "desk-1",
                "desk-2",
                "encode-1",
                "rerank-1",
                "engine-1",
                "engine-2",
            )
        }
        self.resumable = resumable
        self.folder = Path(tempfile.mkdtemp())
        self.processes: list[subprocess.Popen[bytes]] = []
        self.numbers = iter(range(1, 1_000))
        self.store = f"http://127.0.0.1:{self._start_store()}"
        self.portal_context = anyio.from_thread.start_blocking_portal()
        self.portal = self.portal_context.__enter__()
        self.listeners = [
            self.portal.start_task_soon(server.edge().run)
            for server in self.servers.values()
        ]
        wait_for("the store is up", self._store_answers)
        put(self.store, "op/config", document(1, KEYS, resumable))
        for server in self.servers.values():
            put(self.store, f"servers/{server.id}", server.entry())
        self.daemons = [self._start_daemon(n) for n in range(2)]
        for daemon in self.daemons:
            wait_for("a daemon is ready", lambda d=daemon: self.status(d) == 200)

    def _start(self, arguments: list[str], **env: str) -> subprocess.Popen[bytes]:
        log = (self.folder / f"{len(self.processes)}.log").open("wb")
        process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=log,
            stderr=log,
            env=os.environ | env,
        )
        self.processes.append(process)
        return process

    def _start_store(self) -> int:
        port = free_port()
        self._start(["cowsliphitch.standins", "kv", "--port", str(port)])
        return port

    def _store_answers(self) -> bool:
        try:
            return httpx.get(f"{self.store}/stats").status_code == 200
        except httpx.HTTPError:
            return False

    def _start_daemon(self, number: int) -> dict[str, Any]:
        ports = {n: free_port() for n in ("callers", "ready", "peers", "metrics")}
        listen = "\n".join(f'  {n}: "127.0.0.1:{p}"' for n, p in ports.items())
        path = self.folder / f"daemon-{number}.yaml"
        path.write_text(
            f'name: "vm-{number}"\nfailure_domain: "domain-a"\nlisten:\n{listen}\n'
            f'store:\n  address: "{self.store.removeprefix("http://")}"\n'
            'shutdown:\n  grace: "5s"\n'
        )
        process = self._start(["cowsliphitch.gateway"], COWSLIPHITCH_CONFIG=str(path))
        return ports | {"process": process}

    def status(self, daemon: dict[str, Any]) -> int:
        try:
            url = f"http://127.0.0.1:{daemon['ready']}/readyz"
            return httpx.get(url, timeout=1.0).status_code
        except httpx.HTTPError:
            return 0

    def call(
        self, path: str, headers: dict[str, str] | None = None, daemon: int = 0
    ) -> httpx.Response:
        number = next(self.numbers)
        defaults = {
            "host": "a.example",
            "cowsliphitch-request-id": f"request-{number}",
            "cowsliphitch-credential": "key-red",
            "cowsliphitch-deadline-ms": "3000",
        }
        url = f"http://127.0.0.1:{self.daemons[daemon]['callers']}{path}"
        return httpx.post(url, headers=defaults | (headers or {}), timeout=8.0)

    def ran(self) -> list[str]:
        return [r for server in self.servers.values() for r in server.ran]

    def close(self) -> None:
        for process in self.processes:
            process.kill()
            process.wait()
        for listener in self.listeners:
            listener.cancel()
        self.portal_context.__exit__(None, None, None)


def site(context: Any, resumable: bool) -> None:
    context.site = Site(resumable)
    context.add_cleanup(context.site.close)


@given("a site with two daemons")
def plain_site(context: Any) -> None:
    site(context, resumable=False)


@given("a site with two daemons whose streams may be resumed")
def resumable_site(context: Any) -> None:
    site(context, resumable=True)


@when('a caller asks for a generation with pieces "{pieces}"')
def generation(context: Any, pieces: str) -> None:
    headers = PROMPT | {"cowsliphitch-pieces": pieces}
    context.answer = context.site.call("/generation/1", headers)


@then("the caller gets {status:d} with {count:d} events, sealed and whole")
def gets_stream(context: Any, status: int, count: int) -> None:
    assert context.answer.status_code == status, context.answer
    assert context.answer.text.count("data: event") == count
    assert context.answer.headers["cowsliphitch-response-seal"] == "seal"


@then("the engine was given the results of the last stage, and all results are freed")
def results(context: Any) -> None:
    servers = context.site.servers
    engine = next(s for s in servers.values() if s.service == "engine" and s.ran)
    inputs = engine.seen[0].get(b"cowsliphitch-inputs").split(",")
    assert len(inputs) == 3
    assert all(i.startswith(servers["rerank-1"].address) for i in inputs), inputs
    assert servers["encode-1"].pieces == 2 and servers["rerank-1"].pieces == 3
    wait_for("rerank results are freed", lambda: len(servers["rerank-1"].freed) == 3)
    wait_for("encode results are freed", lambda: len(servers["encode-1"].freed) == 2)


def all_seen(context: Any) -> list[Any]:
    return [req for s in context.site.servers.values() for req in s.seen]


@then('the server saw the team "{team}" and not the key')
def saw_team(context: Any, team: str) -> None:
    for req in all_seen(context):
        assert req.get(b"cowsliphitch-tenant") == team
        assert req.get(b"cowsliphitch-credential") is None


@when("a caller sets headers that are the system's to set")
def forbidden(context: Any) -> None:
    context.answer = context.site.call("/lookup/1", FORBIDDEN)


@then("none of these headers reached a server")
def none_reached(context: Any) -> None:
    (req,) = all_seen(context)
    values = {name: req.get(name.encode()) for name in FORBIDDEN}
    assert values.pop("cowsliphitch-tenant") == "red"
    assert not any(values.values()), values


FAULTS: dict[str, tuple[str, dict[str, str]]] = {
    "an unknown key": ("/lookup/1", {"cowsliphitch-credential": "none"}),
    "a path of no route": ("/nowhere/1", {}),
    "no identifier": ("/lookup/1", {"cowsliphitch-request-id": ""}),
}


@when("a caller's lookup has {fault}")
def faulty(context: Any, fault: str) -> None:
    path, headers = FAULTS[fault]
    context.answer = context.site.call(path, headers)


@then("the caller gets {status:d}")
def gets_status(context: Any, status: int) -> None:
    assert context.answer.status_code == status, context.answer


@then("no server ran anything")
def nothing_ran(context: Any) -> None:
    assert not context.site.ran()


def calls_in_mode(context: Any, names: str, mode: str, path: str, count: int) -> None:
    for name in names.split(", "):
        context.site.servers[name].mode = mode
    context.answers = [context.site.call(path) for _ in range(count)]


@when('the server "{names}" is full and a caller sends {count:d} orders')
def full(context: Any, names: str, count: int) -> None:
    calls_in_mode(context, names, "full", "/order/1", count)


@when('the servers "{names}" lose answers and a caller sends {count:d} orders')
def lose(context: Any, names: str, count: int) -> None:
    calls_in_mode(context, names, "reset", "/order/1", count)


@when('the server "{names}" loses answers and a caller sends {count:d} lookups')
def lose_lookups(context: Any, names: str, count: int) -> None:
    calls_in_mode(context, names, "reset", "/lookup/1", count)


@when('the servers "{names}" answer without proof and a caller sends {count:d} orders')
def unsealed(context: Any, names: str, count: int) -> None:
    calls_in_mode(context, names, "unsealed", "/order/1", count)


@then("every order was answered {status:d} and ran once")
def ran_once(context: Any, status: int) -> None:
    statuses = {answer.status_code for answer in context.answers}
    assert statuses == {status}, statuses
    ran = context.site.ran()
    assert len(ran) == len(set(ran)) == len(context.answers), ran


@then("every lookup was answered {status:d}")
def answered(context: Any, status: int) -> None:
    statuses = {answer.status_code for answer in context.answers}
    assert statuses == {status}, statuses


@when("an engine breaks its streams off and a caller asks for {count:d} generations")
def engine_breaks(context: Any, count: int) -> None:
    context.site.servers["engine-1"].mode = "cut"
    headers = PROMPT | {"cowsliphitch-pieces": "1,1"}
    context.answers = [
        context.site.call("/generation/1", headers) for _ in range(count)
    ]


@when("an engine takes {ms:d} ms to its first event")
def slow_prompt(context: Any, ms: int) -> None:
    site = context.site
    for name in ("engine-1", "engine-2"):
        site.servers[name].prompt_ms = ms
    headers = PROMPT | {"cowsliphitch-pieces": "1,3"}
    context.caller = threading.Thread(
        target=lambda: site.call("/generation/1", headers)
    )
    context.caller.start()


@then("the results that it was given are freed within {ms:d} ms")
def freed_early(context: Any, ms: int) -> None:
    rerank = context.site.servers["rerank-1"]
    started = time.monotonic()
    wait_for("rerank results are freed", lambda: len(rerank.freed) == 3)
    took_ms = (time.monotonic() - started) * 1_000
    context.caller.join()
    assert took_ms < ms, took_ms


@then("no engine was given results that were freed before")
def no_lost_results(context: Any) -> None:
    lost = [r for s in context.site.servers.values() for r in s.lost]
    assert not lost, lost
    assert all(answer.text.endswith("event\n\n") for answer in context.answers)
    assert context.site.servers["engine-1"].ran, "the fault was never met"


@then("every stream has the events {first:d} to {last:d}, once and in order")
def whole_streams(context: Any, first: int, last: int) -> None:
    wanted = "".join(f"id: {n}\ndata: event\n\n" for n in range(first, last + 1))
    for answer in context.answers:
        assert answer.status_code == 200
        assert answer.text == wanted, answer.text
    assert context.site.servers["engine-1"].ran, "the fault was never met"


@when("both engines break their streams off and a caller asks for a generation")
def both_break(context: Any) -> None:
    for name in ("engine-1", "engine-2"):
        context.site.servers[name].mode = "cut"
    headers = PROMPT | {"cowsliphitch-pieces": "1,1"}
    try:
        context.site.call("/generation/1", headers)
    except httpx.RemoteProtocolError as exc:
        context.error = exc
    else:
        context.error = None


@then("the caller sees that the stream is not whole")
def not_whole(context: Any) -> None:
    assert context.error is not None
    assert len(context.site.ran()) == 1, context.site.ran()


@when('the key of the team "{team}" is taken away')
def revoke(context: Any, team: str) -> None:
    keys = {key: name for key, name in KEYS.items() if name != team}
    assert context.site.call("/lookup/1").status_code == 200
    put(context.site.store, "op/config", document(5, keys))
    context.changed_s = time.monotonic()


def within(context: Any, what: str, condition: Callable[[], bool], ms: int) -> None:
    wait_for(what, condition, ms)


@then("within {ms:d} ms both daemons refuse it with {status:d}")
def refuse(context: Any, ms: int, status: int) -> None:
    for daemon in range(2):
        within(
            context,
            "the key is refused",
            lambda d=daemon: (
                context.site.call("/lookup/1", daemon=d).status_code == status
            ),
            ms,
        )


@when('the server "{name}" says that it drains')
def drains(context: Any, name: str) -> None:
    server = context.site.servers[name]
    server.state = "draining"
    put(context.site.store, f"servers/{name}", server.entry())


@then('within {ms:d} ms only "{name}" gets requests')
def only(context: Any, ms: int, name: str) -> None:
    time.sleep(ms / 1_000)
    before = len(context.site.servers["desk-1"].ran)
    for number in range(10):
        assert context.site.call("/lookup/1", daemon=number % 2).status_code == 200
    assert len(context.site.servers["desk-1"].ran) == before
    assert len(context.site.servers[name].ran) >= 10


@when("a daemon gets SIGTERM while it passes on a generation")
def stop(context: Any) -> None:
    daemon = context.site.daemons[0]
    headers = PROMPT | {"cowsliphitch-pieces": "1,1"}
    number = "stopping"
    defaults = {
        "host": "a.example",
        "cowsliphitch-request-id": number,
        "cowsliphitch-credential": "key-red",
        "cowsliphitch-deadline-ms": "3000",
    }
    url = f"http://127.0.0.1:{daemon['callers']}/generation/1"
    with httpx.stream("POST", url, headers=defaults | headers, timeout=8.0) as answer:
        parts = answer.iter_text()
        text = next(parts)
        daemon["process"].send_signal(signal.SIGTERM)
        started_s = time.monotonic()
        wait_for("it is unready", lambda: context.site.status(daemon) == 503, 1_000)
        context.unready_ms = (time.monotonic() - started_s) * 1_000
        context.streamed = text + "".join(parts)


@then("it is unready within {ms:d} ms and the stream arrives whole")
def unready(context: Any, ms: int) -> None:
    assert context.unready_ms <= ms, context.unready_ms
    assert context.streamed.count("data: event") == 4, context.streamed


@then("it ends by itself")
def ends(context: Any) -> None:
    process = context.site.daemons[0]["process"]
    assert process.wait(8) == 0
