"""Steps that send concurrent requests, and requests that crash upstreams."""

import itertools
import threading
import time
from typing import Any

import attrs
import httpx
from behave import given, then, when
from caller_steps import TLS_CONTEXT, Answer, in_background, stream

from cowsliphitch.core.clock import Clock, seconds
from cowsliphitch.standins.fleet import DRAIN_DELAY_MS
from cowsliphitch.standins.load import expected_tokens
from cowsliphitch.standins.processes import UpstreamSpec, wait_for
from cowsliphitch.standins.scenario import FAILURE_DOMAINS
from cowsliphitch.standins.stage import stage_output

STAGES = ["encode", "retrieve", "rerank"]
TOKENS = 32
POISON = "poison"
# Time from a daemon's readiness until a caller connects, less than the drain delay.
MAX_CONNECT_MS = DRAIN_DELAY_MS - 100


def start_diagnoses(context: Any, count: int) -> None:
    """Start diagnoses in the background, distributed over the daemons in turn."""
    daemons = itertools.cycle(sorted(context.fleet.daemons))
    context.diagnoses = {}
    for index, daemon in zip(range(count), daemons, strict=False):
        text = f"diagnosis {index}"

        def call(text: str = text, daemon: str = daemon) -> Answer:
            answer, lines = stream(context, text, daemon)
            context.diagnoses[text] = (answer, lines)
            return answer

        in_background(context, text, call)


@when("{count:d} diagnoses are streamed through all daemons in the background")
def start_diagnoses_in_background(context: Any, count: int) -> None:
    start_diagnoses(context, count)


@when("{count:d} diagnoses are streamed through all daemons at once")
def run_diagnoses_concurrently(context: Any, count: int) -> None:
    start_diagnoses(context, count)
    join_jobs(context)


@when("every diagnosis has started")
def wait_for_diagnoses_to_start(context: Any) -> None:
    def has_started() -> bool:
        return len(context.started_streams) >= len(context.jobs)

    wait_for("every diagnosis has started", has_started)


@when("all diagnoses have ended")
def join_jobs(context: Any) -> None:
    for job in context.jobs.values():
        job.join(seconds(30_000))


@then("every diagnosis is complete")
def assert_diagnoses_complete(context: Any) -> None:
    incomplete = {
        text: answer
        for text, (answer, lines) in context.diagnoses.items()
        if not is_complete_answer(text, lines)
    }
    assert context.diagnoses and not incomplete, incomplete


def is_complete_answer(text: str, lines: list[dict[str, Any]]) -> bool:
    """Return whether a streamed answer has ended and has the expected tokens."""
    received = [t for line in lines if "index" in line for t in line["tokens"]]
    has_ended = bool(lines) and lines[-1].get("end") is True
    return has_ended and received == expected_tokens(text, STAGES, TOKENS)


@given("only entry-1 can read the VM list")
def cut_off_vm_list(context: Any) -> None:
    for name in ("entry-2", "entry-3"):
        context.fleet.daemons[name].kill()
        context.fleet.restart_daemon(name, vm_list="http://127.0.0.1:9")
    context.fleet.wait_until_up()
    context.fleet.wait_until_ready()


@attrs.define
class _LoadRequest:
    """A request of the load and its answer.

    :param asked_ms: monotonic time at which its daemon was asked if it is ready
    :param connect_ms: time from then until the connection was opened
    """

    text: str
    daemon: str
    asked_ms: int
    connect_ms: int | None = None
    answer: Answer | None = None
    lines: list[dict[str, Any]] = attrs.Factory(list)

    def start_connecting(self) -> None:
        """Record the time of the connection.

        :raises _ConnectedLate: the daemon may have stopped taking connections by then
        """
        self.connect_ms = Clock().now_ms() - self.asked_ms
        if self.connect_ms > MAX_CONNECT_MS:
            raise _ConnectedLate


@when("load is sent to the ready daemons")
def start_load(context: Any) -> None:
    context.stop_load = threading.Event()
    context.load = []
    context.load_threads = [
        threading.Thread(target=_send_load, args=(context, index), daemon=True)
        for index in range(6)
    ]
    for thread in context.load_threads:
        thread.start()


class _ConnectedLate(Exception):
    """The caller is about to connect too long after the daemon was ready."""


def _send_load(context: Any, index: int) -> None:
    """Send requests to the ready daemons in turn, as the platform's balancer does.

    A connection that can't be opened soon after its daemon was ready is not opened.
    """
    names = itertools.cycle(sorted(context.fleet.daemons))
    with httpx.Client(verify=TLS_CONTEXT, timeout=2.0) as http:
        for number in itertools.count():
            if context.stop_load.is_set():
                return
            name = next(names)
            asked_ms = Clock().now_ms()
            if not _is_ready(http, context.fleet.daemons[name].url):
                continue
            request = _LoadRequest(f"load {index}.{number}", name, asked_ms)
            try:
                request.answer, request.lines = stream(
                    context, request.text, name, on_connect=request.start_connecting
                )
            except _ConnectedLate:
                continue
            context.load.append(request)


def _is_ready(http: httpx.Client, url: str) -> bool:
    try:
        return http.get(f"{url}/readyz").status_code == httpx.codes.OK
    except httpx.HTTPError:
        return False


@when("every daemon is restarted in turn")
def restart_daemons(context: Any) -> None:
    for name in sorted(context.fleet.daemons):
        assert context.fleet.daemons[name].stop() == 0
        context.fleet.restart_daemon(name)
        context.fleet.wait_until_up()
        context.fleet.wait_until_ready()


@when("the load is stopped")
def stop_load(context: Any) -> None:
    context.stop_load.set()
    for thread in context.load_threads:
        thread.join(seconds(30_000))


@then("every request of the load got a complete answer")
def assert_load_complete(context: Any) -> None:
    incomplete = [
        request
        for request in context.load
        if not is_complete_answer(request.text, request.lines)
    ]
    assert len(context.load) > 20 and not incomplete, (len(context.load), incomplete)


@given("four additional engines")
def start_additional_engines(context: Any) -> None:
    if "engines-3" in context.fleet.processes:
        return
    options = ("--work-ms", "5", "--token-ms", "2")
    for index in range(3, 7):
        domain = FAILURE_DOMAINS[index % len(FAILURE_DOMAINS)]
        spec = UpstreamSpec(f"engines-{index}", "engine", "engines", domain, options)
        context.fleet.start_upstream(spec)
    context.fleet.wait_until_up()
    context.fleet.publish_vms()
    context.fleet.wait_until_ready()


@given('the upstreams of "engines" crash on the poison request')
def crash_on_poison_request(context: Any) -> None:
    """Make engines crash on the prompt that the stages make of the poison input."""
    prompt = POISON
    for stage in STAGES:
        prompt = stage_output(stage, prompt)
    for name in context.fleet.processes:
        if name.startswith("engines-"):
            context.fleet.set_faults(name, crash_marker=prompt)


@when("the poison request is streamed through {daemon:Word}")
def stream_poison_request(context: Any, daemon: str) -> None:
    context.answer, context.lines = stream(context, POISON, daemon)


@then('the request is refused because of "{reason}"')
def assert_refusal_reason(context: Any, reason: str) -> None:
    assert context.answer.reason == reason, context.answer


@then('at most {count:d} upstreams of "{pool}" crashed')
def assert_max_crashes(context: Any, count: int, pool: str) -> None:
    processes = context.fleet.processes.items()
    crashed = [n for n, p in processes if n.startswith(f"{pool}-") and not p.is_alive]
    assert len(crashed) <= count, crashed


@then("{daemon:Word} sees {other:Word} as {state:Word} within {ms:d} ms")
def wait_for_member_state(
    context: Any, daemon: str, other: str, state: str, ms: int
) -> None:
    def has_state() -> bool:
        listed = context.fleet.query_daemon(daemon, "/v1/daemons")
        return any(d["name"] == other and d["state"] == state for d in listed)

    wait_for(f"{daemon} sees {other} as {state}", has_state, ms)


@then("{daemon:Word} lists {count:d} daemons")
def assert_daemon_count(context: Any, daemon: str, count: int) -> None:
    time.sleep(seconds(300))
    listed = context.fleet.query_daemon(daemon, "/v1/daemons")
    assert len(listed) == count, listed
