"""Steps for requests on the platform.

Daemons and the key-value store run as processes; stand-ins replace the servers.
"""

import itertools
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import anyio
import anyio.from_thread
import httpx
from behave import given, then, when
from fault_steps import send_signals

from cowsliphitch.core.clock import seconds
from cowsliphitch.standins.processes import free_port, wait_for
from cowsliphitch.standins.site import SiteServer, document, put

# Version of the settings without the key that a test revokes.
REVOKED_VERSION = 5
TEAM_BY_KEY = {"key-red": "red", "key-blue": "blue"}
PROMPT_HEADERS = {
    "cowsliphitch-model": "m",
    "cowsliphitch-token-usage": "100,40",
    "cowsliphitch-prompt-prefix": "aa:60,bb:40",
    "cowsliphitch-piece-key": "piece-key",
}
RESERVED_HEADERS = {
    "cowsliphitch-hold": "h",
    "cowsliphitch-pin-ms": "5",
    "cowsliphitch-kv-backup": "10.0.0.1:1",
    "kv-from": "10.0.0.1:1/x",
    "cowsliphitch-tenant": "other",
    "cowsliphitch-request-priority": "0",
}


class Site:
    """Stand-in servers in an event loop thread, and processes for daemons and store."""

    def __init__(
        self,
        resumable: bool,
        engine_versions: Sequence[str],
        daemon_count: int = 2,
        desk_count: int = 2,
    ) -> None:
        freed: set[str] = set()
        desks = [f"desk-{number}" for number in range(1, desk_count + 1)]
        self.servers = {
            name: SiteServer(name, name.rpartition("-")[0], all_freed=freed)
            for name in (*desks, "encode-1", "rerank-1")
        }
        self.daemon_count = daemon_count
        self.grace = "5s"
        self.memory_mb = 256
        self.max_descriptors = 4_096
        for number, version in enumerate(engine_versions, 1):
            name = f"engine-{number}"
            self.servers[name] = SiteServer(
                name, "engine", version=version, all_freed=freed
            )
        self.resumable = resumable
        self.directory = Path(tempfile.mkdtemp())
        self.processes: list[subprocess.Popen[bytes]] = []
        self.request_numbers = iter(range(1, 1_000))
        self.store = f"http://127.0.0.1:{self._start_store()}"
        self.portal_context = anyio.from_thread.start_blocking_portal()
        self.portal = self.portal_context.__enter__()
        for server in self.servers.values():
            self.portal.start_task_soon(server.run)
        self.daemons: list[dict[str, Any]] = []

    def start(self) -> None:
        """Fill the store and start the daemons."""
        wait_for("the store is up", self._is_store_ready)
        put(self.store, "op/config", document(1, TEAM_BY_KEY, self.resumable))
        for server in self.servers.values():
            put(self.store, f"servers/{server.id}", server.entry())
        self.daemons += [self._start_daemon(n) for n in range(self.daemon_count)]
        for daemon in self.daemons:
            wait_for("a daemon is ready", lambda d=daemon: self.status(d) == 200)

    def _start(self, arguments: list[str], **env: str) -> subprocess.Popen[bytes]:
        log = (self.directory / f"{len(self.processes)}.log").open("wb")
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

    def _is_store_ready(self) -> bool:
        try:
            return httpx.get(f"{self.store}/stats").status_code == 200
        except httpx.HTTPError:
            return False

    def _start_daemon(self, number: int) -> dict[str, Any]:
        ports = {n: free_port() for n in ("callers", "ready", "peers", "metrics")}
        listen = "\n".join(f'  {n}: "127.0.0.1:{p}"' for n, p in ports.items())
        path = self.directory / f"daemon-{number}.yaml"
        path.write_text(
            f'name: "vm-{number}"\nfailure_domain: "domain-a"\nlisten:\n{listen}\n'
            f'store:\n  address: "{self.store.removeprefix("http://")}"\n'
            f'shutdown:\n  grace: "{self.grace}"\n'
            f"vm:\n  memory_mb: {self.memory_mb}\n"
            f"  max_descriptors: {self.max_descriptors}\n"
        )
        process = self._start(["cowsliphitch.gateway"], COWSLIPHITCH_CONFIG=str(path))
        return ports | {"process": process, "path": path}

    def restart_daemon(self, number: int) -> None:
        """Kill a daemon and start it again with the same settings."""
        daemon = self.daemons[number]
        daemon["process"].kill()
        daemon["process"].wait()
        daemon["process"] = self._start(
            ["cowsliphitch.gateway"], COWSLIPHITCH_CONFIG=str(daemon["path"])
        )
        wait_for("the daemon is ready again", lambda: self.status(daemon) == 200)

    def latest_log(self) -> str:
        """Return what the process that was started last has logged."""
        return (self.directory / f"{len(self.processes) - 1}.log").read_text()

    def daemon_log(self, number: int) -> str:
        """Return what a daemon has logged since its last start."""
        index = self.processes.index(self.daemons[number]["process"])
        return (self.directory / f"{index}.log").read_text()

    def status(self, daemon: dict[str, Any]) -> int:
        try:
            url = f"http://127.0.0.1:{daemon['ready']}/readyz"
            return httpx.get(url, timeout=1.0).status_code
        except httpx.HTTPError:
            return 0

    def call(
        self,
        path: str,
        headers: Mapping[str, str | None] | None = None,
        daemon: int = 0,
        body: str = "",
    ) -> httpx.Response:
        """Send a request; a header of ``None`` is left out."""
        number = next(self.request_numbers)
        defaults = {
            "host": "a.example",
            "cowsliphitch-request-id": f"request-{number}",
            "cowsliphitch-credential": "key-red",
            "cowsliphitch-deadline-ms": "3000",
        }
        url = f"http://127.0.0.1:{self.daemons[daemon]['callers']}{path}"
        merged = {
            k: v for k, v in (defaults | (headers or {})).items() if v is not None
        }
        return httpx.post(url, headers=merged, content=body, timeout=8.0)

    def executed(self) -> list[str]:
        return [
            request for server in self.servers.values() for request in server.executed
        ]

    def close(self) -> None:
        for process in self.processes:
            process.kill()
            process.wait()
        self.portal.call(self.portal.stop, True)
        self.portal_context.__exit__(None, None, None)


def set_up_site(
    context: Any,
    resumable: bool,
    engine_versions: Sequence[str] = ("v1", "v1"),
    daemon_count: int = 2,
    desk_count: int = 2,
) -> None:
    context.site = Site(resumable, engine_versions, daemon_count, desk_count)
    # The thread of the event loop would keep behave from exiting if the start fails.
    context.add_cleanup(context.site.close)
    context.site.start()


@given("a site with two daemons")
def start_site(context: Any) -> None:
    set_up_site(context, resumable=False)


@given("a site with two daemons whose streams may be resumed")
def start_resumable_site(context: Any) -> None:
    set_up_site(context, resumable=True)


@when('a caller requests a generation with pieces "{pieces}"')
def request_generation(context: Any, pieces: str) -> None:
    headers = PROMPT_HEADERS | {"cowsliphitch-pieces": pieces}
    context.answer = context.site.call("/generation/1", headers)


@then("the caller receives {status:d} with {count:d} events and the seal")
def check_stream(context: Any, status: int, count: int) -> None:
    assert context.answer.status_code == status, context.answer
    assert context.answer.text.count("data: event") == count
    assert context.answer.headers["cowsliphitch-response-seal"] == "seal"


@then("the engine received the results of the last stage, and all results are freed")
def check_results(context: Any) -> None:
    servers = context.site.servers
    engine = next(s for s in servers.values() if s.service == "engine" and s.executed)
    inputs = engine.received[0].get(b"cowsliphitch-inputs").split(",")
    assert len(inputs) == 3
    assert all(i.startswith(servers["rerank-1"].address) for i in inputs), inputs
    assert servers["encode-1"].piece_count == 2 and servers["rerank-1"].piece_count == 3
    wait_for("rerank results are freed", lambda: len(servers["rerank-1"].freed) == 3)
    wait_for("encode results are freed", lambda: len(servers["encode-1"].freed) == 2)


def received_requests(context: Any) -> list[Any]:
    return [req for s in context.site.servers.values() for req in s.received]


@then('each server received the team "{team}" but no key')
def check_team(context: Any, team: str) -> None:
    for req in received_requests(context):
        assert req.get(b"cowsliphitch-tenant") == team
        assert req.get(b"cowsliphitch-credential") is None


@when("a caller sets headers that are reserved for the platform")
def call_with_reserved_headers(context: Any) -> None:
    context.answer = context.site.call("/lookup/1", RESERVED_HEADERS)


@then("no server received these headers")
def check_reserved_headers(context: Any) -> None:
    (req,) = received_requests(context)
    values = {name: req.get(name.encode()) for name in RESERVED_HEADERS}
    assert values.pop("cowsliphitch-tenant") == "red"
    assert not any(values.values()), values


INVALID_LOOKUPS: dict[str, tuple[str, dict[str, str]]] = {
    "an unknown key": ("/lookup/1", {"cowsliphitch-credential": "none"}),
    "an unrouted path": ("/nowhere/1", {}),
    "no identifier": ("/lookup/1", {"cowsliphitch-request-id": ""}),
}


@when("a caller sends a lookup with {fault}")
def send_invalid_lookup(context: Any, fault: str) -> None:
    path, headers = INVALID_LOOKUPS[fault]
    context.answer = context.site.call(path, headers)


@then("the caller receives {status:d}")
def check_status(context: Any, status: int) -> None:
    assert context.answer.status_code == status, context.answer


@then("no server executed a request")
def check_nothing_executed(context: Any) -> None:
    assert not context.site.executed()


def call_in_mode(context: Any, names: str, mode: str, path: str, count: int) -> None:
    for name in names.split(", "):
        context.site.servers[name].mode = mode
    context.answers = [context.site.call(path) for _ in range(count)]


@when('the server "{names}" is full and a caller sends {count:d} orders')
def call_full(context: Any, names: str, count: int) -> None:
    call_in_mode(context, names, "full", "/order/1", count)


@when('the servers "{names}" lose answers and a caller sends {count:d} orders')
def lose_order_answers(context: Any, names: str, count: int) -> None:
    call_in_mode(context, names, "reset", "/order/1", count)


@when('the server "{names}" loses answers and a caller sends {count:d} lookups')
def lose_lookup_answers(context: Any, names: str, count: int) -> None:
    call_in_mode(context, names, "reset", "/lookup/1", count)


@when(
    'the servers "{names}" answer without the seal and a caller sends {count:d} orders'
)
def call_unsealed(context: Any, names: str, count: int) -> None:
    call_in_mode(context, names, "unsealed", "/order/1", count)


@then("every order was answered {status:d} and executed once")
def check_executed_once(context: Any, status: int) -> None:
    statuses = {answer.status_code for answer in context.answers}
    assert statuses == {status}, statuses
    executed = context.site.executed()
    assert len(executed) == len(set(executed)) == len(context.answers), executed


@then("every lookup was answered {status:d}")
def check_statuses(context: Any, status: int) -> None:
    statuses = {answer.status_code for answer in context.answers}
    assert statuses == {status}, statuses


@when("an engine interrupts its streams and a caller requests {count:d} generations")
def interrupt_streams(context: Any, count: int) -> None:
    context.site.servers["engine-1"].mode = "cut"
    headers = PROMPT_HEADERS | {"cowsliphitch-pieces": "1,1"}
    context.answers = [
        context.site.call("/generation/1", headers) for _ in range(count)
    ]


@when("engines take {ms:d} ms to the first event")
def slow_engines(context: Any, ms: int) -> None:
    site = context.site
    for name in ("engine-1", "engine-2"):
        site.servers[name].prefill_ms = ms
    headers = PROMPT_HEADERS | {"cowsliphitch-pieces": "1,3"}
    context.caller_thread = threading.Thread(
        target=lambda: site.call("/generation/1", headers)
    )
    context.caller_thread.start()


@then("the stage results are freed within {ms:d} ms")
def check_freed_early(context: Any, ms: int) -> None:
    rerank = context.site.servers["rerank-1"]
    started_s = time.monotonic()
    wait_for("rerank results are freed", lambda: len(rerank.freed) == 3)
    took_ms = (time.monotonic() - started_s) * 1_000
    context.caller_thread.join()
    assert took_ms < ms, took_ms


@then("no engine received results that had been freed")
def check_no_freed_results(context: Any) -> None:
    requests = [
        request for s in context.site.servers.values() for request in s.missing_results
    ]
    assert not requests, requests
    assert all(answer.text.endswith("event\n\n") for answer in context.answers)
    assert context.site.servers["engine-1"].executed, (
        "engine-1 executed no request, so no stream was cut"
    )


@then("every stream has the events {first:d} to {last:d}, each once and in order")
def check_streams(context: Any, first: int, last: int) -> None:
    expected = "".join(f"id: {n}\ndata: event\n\n" for n in range(first, last + 1))
    for answer in context.answers:
        assert answer.status_code == 200
        assert answer.text == expected, answer.text
    assert context.site.servers["engine-1"].executed, (
        "engine-1 executed no request, so no stream was cut"
    )


@when("both engines interrupt their streams and a caller requests a generation")
def interrupt_all_streams(context: Any) -> None:
    for name in ("engine-1", "engine-2"):
        context.site.servers[name].mode = "cut"
    headers = PROMPT_HEADERS | {"cowsliphitch-pieces": "1,1"}
    try:
        context.site.call("/generation/1", headers)
    except httpx.RemoteProtocolError as exc:
        context.error = exc
    else:
        context.error = None


@then("the caller detects that the stream is incomplete")
def check_incomplete(context: Any) -> None:
    assert context.error is not None
    assert len(context.site.executed()) == 1, context.site.executed()


@when('the key of the team "{team}" is revoked')
def revoke_key(context: Any, team: str) -> None:
    keys = {key: name for key, name in TEAM_BY_KEY.items() if name != team}
    assert context.site.call("/lookup/1").status_code == 200
    put(context.site.store, "op/config", document(REVOKED_VERSION, keys))
    context.revoked_s = time.monotonic()


def wait_within(
    context: Any, description: str, condition: Callable[[], bool], ms: int
) -> None:
    wait_for(description, condition, ms)


@then("within {ms:d} ms both daemons refuse the key with {status:d}")
def check_key_refused(context: Any, ms: int, status: int) -> None:
    for daemon in range(2):
        wait_within(
            context,
            "the key is refused",
            lambda d=daemon: (
                context.site.call("/lookup/1", daemon=d).status_code == status
            ),
            ms,
        )


@when('the server "{name}" announces that it is draining')
def drain_server(context: Any, name: str) -> None:
    server = context.site.servers[name]
    server.state = "draining"
    put(context.site.store, f"servers/{name}", server.entry())


@when('the server "{name}" says in its answers that it leaves')
def say_leaving(context: Any, name: str) -> None:
    """Have the first daemon receive such an answer; the second one hears of it."""
    server = context.site.servers[name]
    server.says_leaving = True
    wait_for(
        "the server has answered",
        lambda: context.site.call("/lookup/1").is_success and bool(server.executed),
    )


@then('within {ms:d} ms only "{name}" receives requests')
def check_only_server(context: Any, ms: int, name: str) -> None:
    time.sleep(ms / 1_000)
    executed_before = len(context.site.servers["desk-1"].executed)
    for number in range(10):
        assert context.site.call("/lookup/1", daemon=number % 2).status_code == 200
    assert len(context.site.servers["desk-1"].executed) == executed_before
    assert len(context.site.servers[name].executed) >= 10


@when("a daemon receives SIGTERM while it relays a generation")
def stop_daemon(context: Any) -> None:
    daemon = context.site.daemons[0]
    headers = PROMPT_HEADERS | {"cowsliphitch-pieces": "1,1"}
    request_id = "stopping"
    defaults = {
        "host": "a.example",
        "cowsliphitch-request-id": request_id,
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
        context.unready_after_ms = (time.monotonic() - started_s) * 1_000
        context.streamed = text + "".join(parts)


@when("a daemon receives SIGTERM and SIGHUP every {ms:d} ms until it has ended")
def send_signals_until_ended(context: Any, ms: int) -> None:
    process = context.site.daemons[0]["process"]
    send_signals(process, [signal.SIGTERM, signal.SIGHUP], ms)


def has_begun_imports(pid: int) -> bool:
    """Return whether a daemon has loaded a library that it needs."""
    try:
        return "google/_upb" in Path(f"/proc/{pid}/maps").read_text()
    except OSError:
        return False


@when("a daemon restarts and receives SIGHUP every {ms:d} ms until it is ready")
def send_signals_while_starting(context: Any, ms: int) -> None:
    stop_sending = threading.Event()

    def send() -> None:
        while not stop_sending.wait(seconds(ms)):
            process = context.site.daemons[0]["process"]
            if process.poll() is None and has_begun_imports(process.pid):
                process.send_signal(signal.SIGHUP)

    sender = threading.Thread(target=send, daemon=True)
    sender.start()
    try:
        context.site.restart_daemon(0)
    finally:
        stop_sending.set()
        sender.join()


@then("it is ready and was not killed")
def check_ready(context: Any) -> None:
    daemon = context.site.daemons[0]
    assert daemon["process"].poll() is None, daemon["process"].poll()
    assert context.site.status(daemon) == 200


@then("the daemon becomes unready within {ms:d} ms and the stream arrives complete")
def check_unready(context: Any, ms: int) -> None:
    assert context.unready_after_ms <= ms, context.unready_after_ms
    assert context.streamed.count("data: event") == 4, context.streamed


@given("{servers} that take longer than the grace period")
def slow_down_servers(context: Any, servers: str) -> None:
    services = {"engines": ["engine"], "stage servers": ["encode"]}[servers]
    context.slow_servers = [
        s for s in context.site.servers.values() if s.service in services
    ]
    for server in context.slow_servers:
        server.prefill_ms, server.call_ms = 20_000, 1_900


@when("a daemon receives SIGTERM while a generation waits for them")
def stop_daemon_with_waiting_request(context: Any) -> None:
    def has_arrived() -> bool:
        return any(s.executed or s.piece_count for s in context.slow_servers)

    headers = PROMPT_HEADERS | {
        "cowsliphitch-pieces": "40,1",
        "cowsliphitch-deadline-ms": "6000",
    }
    with ThreadPoolExecutor() as executor:
        answer = executor.submit(context.site.call, "/generation/1", headers)
        wait_for("the generation waits", has_arrived)
        context.site.daemons[0]["process"].send_signal(signal.SIGTERM)
        context.error = answer.exception()
    context.answer = None if context.error else answer.result()


@then("the caller receives {status:d} before the daemon exits")
def check_answered_before_exit(context: Any, status: int) -> None:
    assert context.error is None, context.error
    assert context.answer.status_code == status, context.answer
    assert context.site.daemons[0]["process"].wait(8) == 0


@then("the daemon exits without being killed")
def check_exited(context: Any) -> None:
    process = context.site.daemons[0]["process"]
    assert process.wait(8) == 0


ENGINES = ("engine-1", "engine-2")
CRASHING_PART, SOUND_PART, FIRST_PART = "dd", "bb", "aa"

# Longer than a crashed engine is down, so that each request finds a running one.
PAUSE_BETWEEN_CRASHES_S = 0.8


def generate_with_part(
    context: Any, part: str, daemon: int, more_headers: dict[str, str] | None = None
) -> httpx.Response:
    """Request a generation whose prompt has a first part in common with all others."""
    number = next(context.part_numbers)
    prompt = f"{FIRST_PART}:50,{part}:30,{number:04x}:20"
    headers = PROMPT_HEADERS | {
        "cowsliphitch-pieces": "1,1",
        "cowsliphitch-prompt-prefix": prompt,
    }
    return context.site.call("/generation/1", headers | (more_headers or {}), daemon)


def crash_count(context: Any) -> int:
    return sum(context.site.servers[name].crashes for name in ENGINES)


@given("engines that crash on one prompt part")
def engines_crash_on_part(context: Any) -> None:
    context.part_numbers = itertools.count(1)
    for name in ENGINES:
        context.site.servers[name].crashing_part = CRASHING_PART


@when(
    "callers send {count:d} generations with the part through both daemons,"
    " and sound ones between them"
)
def send_crashing(context: Any, count: int) -> None:
    context.crashing_answers, context.sound_answers = [], []
    for number in range(count):
        daemon = number % 2
        context.crashing_answers.append(
            generate_with_part(context, CRASHING_PART, daemon)
        )
        time.sleep(PAUSE_BETWEEN_CRASHES_S)
        context.sound_answers.append(generate_with_part(context, SOUND_PART, daemon))


@then("at most {count:d} engines crashed")
def at_most_crashes(context: Any, count: int) -> None:
    assert crash_count(context) <= count, crash_count(context)


@then("the last {count:d} generations with the part were refused as not run")
def refused_as_not_run(context: Any, count: int) -> None:
    statuses = [answer.status_code for answer in context.crashing_answers]
    assert statuses[-count:] == [503] * count, statuses


@then("all sound generations were answered")
def sound_were_answered(context: Any) -> None:
    statuses = [answer.status_code for answer in context.sound_answers]
    assert set(statuses) == {200}, statuses


@when("a daemon restarts and gets {count:d} generations with the part")
def restarted_daemon_gets(context: Any, count: int) -> None:
    context.site.restart_daemon(1)
    context.crashes_before = crash_count(context)
    # Heartbeats bring it the fleet's records.
    time.sleep(PAUSE_BETWEEN_CRASHES_S)
    for _ in range(count):
        generate_with_part(context, CRASHING_PART, 1)


@then("no further engine crashed")
def no_further_crash(context: Any) -> None:
    assert crash_count(context) == context.crashes_before, crash_count(context)


@when(
    "{count:d} generations with the part are sent, and all daemons are killed and start"
    " again after each"
)
def kill_between_crashes(context: Any, count: int) -> None:
    for number in range(count):
        generate_with_part(context, CRASHING_PART, number % 2)
        wait_for_restarts(context)
        for daemon in context.site.daemons:
            daemon["process"].kill()
        for daemon_number in range(len(context.site.daemons)):
            context.site.restart_daemon(daemon_number)


def wait_for_restarts(context: Any) -> None:
    """Wait until crashed servers listen again, and register them with their start."""
    time.sleep(PAUSE_BETWEEN_CRASHES_S)
    for server in context.site.servers.values():
        put(context.site.store, f"servers/{server.id}", server.entry())
    time.sleep(PAUSE_BETWEEN_CRASHES_S / 4)


CRASHING_BODY = "crash"


@given("servers that crash on one request")
def servers_crash_on_request(context: Any) -> None:
    context.part_numbers = itertools.count(1)
    for server in context.site.servers.values():
        server.crashing_bodies = frozenset({CRASHING_BODY.encode()})


def send_one(
    context: Any,
    request: str,
    body: str,
    daemon: int,
    more_headers: dict[str, str] | None = None,
) -> httpx.Response | None:
    """Send a request of a kind; return ``None`` if its answer broke off."""
    path: str = "/order/7"
    headers: dict[str, str] = {}
    if request == "a lookup":
        path = "/lookup/7"
    elif request.startswith("a generation"):
        number = next(context.part_numbers)
        path = "/generation/7"
        headers = PROMPT_HEADERS | {
            "cowsliphitch-pieces": "1,1",
            "cowsliphitch-prompt-prefix": f"{FIRST_PART}:50,{number:04x}:20",
        }
    try:
        return context.site.call(path, headers | (more_headers or {}), daemon, body)
    except httpx.RemoteProtocolError:
        return None


@when("{request} comes {count:d} times through both daemons, and others between them")
def request_comes_again(context: Any, request: str, count: int) -> None:
    context.sound_answers = []
    for number in range(count):
        send_one(context, request, CRASHING_BODY, number % 2)
        wait_for_restarts(context)
        answer = send_one(context, request, f"sound {number}", number % 2)
        assert answer is not None
        context.sound_answers.append(answer)


@then("at most {count:d} servers crashed")
def at_most_servers(context: Any, count: int) -> None:
    crashes = sum(server.crashes for server in context.site.servers.values())
    assert 1 <= crashes <= count, crashes


@then("all others were answered")
def others_were_answered(context: Any) -> None:
    statuses = [answer.status_code for answer in context.sound_answers]
    assert set(statuses) == {200}, statuses
