"""Steps that inject faults into the fleet, the platform and the upstreams."""

import itertools
import signal
import subprocess
import time
from collections.abc import Sequence
from typing import Any

import httpx
from behave import given, then, when

from cowsliphitch.core.clock import Clock, seconds
from cowsliphitch.standins.processes import wait_for

ORDER_DESKS = ("order-desk-1", "order-desk-2")


@given("the key-value service is down")
@when("the key-value service is down")
def stop_kv(context: Any) -> None:
    context.fleet.set_faults("kv", down=True)


@when("the key-value service is available again")
def restore_kv(context: Any) -> None:
    context.fleet.set_faults("kv", down=False)


@given("the key-value service loses the answers of the next {count:d} writes")
def lose_kv_answers(context: Any, count: int) -> None:
    context.fleet.set_faults("kv", lose_answers=count)


@given("the key-value service answers after {ms:d} ms")
def delay_kv_answers(context: Any, ms: int) -> None:
    context.fleet.set_faults("kv", delay_ms=ms)


@given("the VM list is down")
def stop_vm_list(context: Any) -> None:
    context.fleet.set_faults("vm-list", down=True)


def set_pool_faults(context: Any, pool: str, **switches: Any) -> None:
    """Set fault switches on every upstream of a pool."""
    for name in context.fleet.processes:
        if name.startswith(f"{pool}-"):
            context.fleet.set_faults(name, **switches)


@given('the upstreams of "{pool}" take {ms:d} ms more')
def slow_down_pool(context: Any, pool: str, ms: int) -> None:
    # Requests take 5 ms at the stand-ins by default.
    set_pool_faults(context, pool, slow_factor=ms / 5)


@given('the upstreams of "{pool}" refuse all requests')
def make_pool_refuse(context: Any, pool: str) -> None:
    set_pool_faults(context, pool, refuse=True)


@when('the upstreams of "{pool}" accept requests again')
def make_pool_accept(context: Any, pool: str) -> None:
    set_pool_faults(context, pool, refuse=False)
    # Longer than daemons avoid an upstream that refused (500 ms).
    time.sleep(seconds(700))


@given('the upstreams of "{pool:Word}" crash on the text "{marker}"')
def make_pool_crash(context: Any, pool: str, marker: str) -> None:
    set_pool_faults(context, pool, crash_marker=marker)


@given('the upstreams of "{pool}" answer with invalid bodies')
def make_pool_return_invalid_bodies(context: Any, pool: str) -> None:
    set_pool_faults(context, pool, garbage=True)


@given('the upstreams of "{pool}" answer for another attempt')
def make_pool_answer_for_another_attempt(context: Any, pool: str) -> None:
    set_pool_faults(context, pool, wrong_attempt=True)


@given("{name:Word} cuts each stream after {count:d} tokens")
def cut_streams(context: Any, name: str, count: int) -> None:
    context.fleet.set_faults(name, cut_after_tokens=count)


@given("{name:Word} stalls each stream after {count:d} tokens")
def stall_streams(context: Any, name: str, count: int) -> None:
    context.fleet.set_faults(name, stall_after_tokens=count)


@when("{daemon:Word} is paused")
def pause(context: Any, daemon: str) -> None:
    context.fleet.daemons[daemon].signal(signal.SIGSTOP)


@when("{daemon:Word} resumes")
def resume(context: Any, daemon: str) -> None:
    context.fleet.daemons[daemon].signal(signal.SIGCONT)


@when("{daemon:Word} is killed")
def kill(context: Any, daemon: str) -> None:
    context.fleet.daemons[daemon].kill()


@when("{daemon:Word} receives SIGTERM")
def send_sigterm(context: Any, daemon: str) -> None:
    context.fleet.daemons[daemon].popen.terminate()


@when("{daemon:Word} receives SIGTERM every {ms:d} ms until it has ended")
def send_sigterm_until_ended(context: Any, daemon: str, ms: int) -> None:
    process = context.fleet.daemons[daemon].popen
    send_signals(process, [signal.SIGTERM], ms)


def send_signals(
    process: subprocess.Popen[bytes], numbers: Sequence[signal.Signals], ms: int
) -> None:
    """Send a process signals in turn until it has ended."""
    for number in itertools.cycle(numbers):
        if process.poll() is not None:
            return
        process.send_signal(number)
        time.sleep(seconds(ms))


@then("{daemon:Word} exits with {code:d}")
def check_exit_code(context: Any, daemon: str, code: int) -> None:
    exit_code = context.fleet.daemons[daemon].popen.wait(20)
    assert exit_code == code, exit_code


@when("{ms:d} ms pass")
def pass_time(context: Any, ms: int) -> None:
    time.sleep(seconds(ms))


@then('{count:d} upstreams of "{pool}" crashed')
def check_crashed(context: Any, count: int, pool: str) -> None:
    processes = context.fleet.processes.items()
    crashed = [
        name
        for name, process in processes
        if name.startswith(f"{pool}-") and not process.is_alive
    ]
    assert len(crashed) == count, crashed


@when('"{name}" is started again')
def start_again(context: Any, name: str) -> None:
    context.fleet.restart_standin(name)
    url = f"{context.fleet.processes[name].url}/faults"
    wait_for(f"{name} answers", lambda: _answers(url))


def _answers(url: str) -> bool:
    try:
        return httpx.get(url, timeout=1).status_code == httpx.codes.OK
    except httpx.HTTPError:
        return False


@when('the platform lists "{name}" as {state:Word}')
def set_vm_state(context: Any, name: str, state: str) -> None:
    context.fleet.set_vm_state(name, state)


@when('{daemon:Word} reports within {ms:d} ms that "{name}" is {state:Word}')
@then('{daemon:Word} reports within {ms:d} ms that "{name}" is {state:Word}')
def check_upstream_state(
    context: Any, daemon: str, ms: int, name: str, state: str
) -> None:
    def is_reported() -> bool:
        listed = context.fleet.query_daemon(daemon, "/v1/upstreams")
        return any(u["name"] == name and u["state"] == state for u in listed)

    wait_for(f"{daemon} reports that {name} is {state}", is_reported, ms)


@when('the requests that "{name}" ran are counted')
def record_run_count(context: Any, name: str) -> None:
    context.run_count = len(context.fleet.fetch_runs(name))
    context.recorded_ms = Clock().now_ms()


@then('"{name}" ran no further requests')
def check_no_new_runs(context: Any, name: str) -> None:
    assert len(context.fleet.fetch_runs(name)) == context.run_count


RELAY_PREFIX = "relay-"
PEERS_DEAD_TIMEOUT_MS = 12_000


@when("the network between all daemons is partitioned")
def partition_all(context: Any) -> None:
    for name in context.fleet.processes:
        if name.startswith(RELAY_PREFIX):
            context.fleet.set_faults(name, hang=True)


@when("the network partition heals")
def heal_partition(context: Any) -> None:
    for name in context.fleet.processes:
        if name.startswith(RELAY_PREFIX):
            context.fleet.set_faults(name, hang=False)


@when("every daemon sees only itself as alive")
def check_all_partitioned(context: Any) -> None:
    def is_partitioned() -> bool:
        listed = [
            context.fleet.query_daemon(name, "/v1/daemons")
            for name in context.fleet.daemons
        ]
        return all(
            sum(d["state"] == "alive" for d in daemons) == 1 for daemons in listed
        )

    wait_for(
        "every daemon sees only itself as alive", is_partitioned, PEERS_DEAD_TIMEOUT_MS
    )


@given("the key-value service is copied")
def copy_kv(context: Any) -> None:
    context.fleet.copy_store()


@when("the key-value service comes back from the copy after {ms:d} ms")
def restore_kv_copy(context: Any, ms: int) -> None:
    stop_kv(context)
    time.sleep(seconds(ms))
    context.fleet.restore_store()
    restore_kv(context)
