"""Steps that inject faults into the fleet, the platform and the upstreams."""

import signal
import time
from typing import Any

import httpx
from behave import given, then, when

from cowsliphitch.core.clock import Clock, seconds
from cowsliphitch.standins.processes import wait_for

DESKS = ("order-desk-1", "order-desk-2")


@given("the key-value service is down")
@when("the key-value service is down")
def kv_down(context: Any) -> None:
    context.fleet.faults("kv", down=True)


@when("the key-value service is back")
def kv_back(context: Any) -> None:
    context.fleet.faults("kv", down=False)


@given("the key-value service loses the answers of the next {count:d} writes")
def kv_loses_answers(context: Any, count: int) -> None:
    context.fleet.faults("kv", lose_answers=count)


@given("the key-value service answers after {ms:d} ms")
def kv_slow(context: Any, ms: int) -> None:
    context.fleet.faults("kv", delay_ms=ms)


@given("the VM list is down")
def vm_list_down(context: Any) -> None:
    context.fleet.faults("vm-list", down=True)


def set_pool_faults(context: Any, pool: str, **switches: Any) -> None:
    """Set fault switches on every upstream of a pool."""
    for name in context.fleet.processes:
        if name.startswith(f"{pool}-"):
            context.fleet.faults(name, **switches)


@given('the upstreams of "{pool}" take {ms:d} ms more')
def pool_slows_down(context: Any, pool: str, ms: int) -> None:
    set_pool_faults(context, pool, slow_factor=ms / 5)


@given('the upstreams of "{pool}" refuse')
def pool_refuses(context: Any, pool: str) -> None:
    set_pool_faults(context, pool, refuse=True)


@when('the upstreams of "{pool}" no longer refuse')
def pool_accepts(context: Any, pool: str) -> None:
    set_pool_faults(context, pool, refuse=False)
    time.sleep(seconds(700))


@given('the upstreams of "{pool:Word}" crash on the text "{marker}"')
def pool_crashes(context: Any, pool: str, marker: str) -> None:
    set_pool_faults(context, pool, crash_marker=marker)


@given('the upstreams of "{pool}" answer garbage')
def pool_answers_garbage(context: Any, pool: str) -> None:
    set_pool_faults(context, pool, garbage=True)


@given('the upstreams of "{pool}" answer for another attempt')
def pool_answers_for_another_attempt(context: Any, pool: str) -> None:
    set_pool_faults(context, pool, wrong_attempt=True)


@given("{name:Word} cuts each stream after {count:d} tokens")
def cut_streams(context: Any, name: str, count: int) -> None:
    context.fleet.faults(name, cut_after_tokens=count)


@given("{name:Word} stalls each stream after {count:d} tokens")
def stall_streams(context: Any, name: str, count: int) -> None:
    context.fleet.faults(name, stall_after_tokens=count)


@when("{daemon:Word} is frozen")
def freeze(context: Any, daemon: str) -> None:
    context.fleet.daemons[daemon].signal(signal.SIGSTOP)


@when("{daemon:Word} wakes up")
def resume(context: Any, daemon: str) -> None:
    context.fleet.daemons[daemon].signal(signal.SIGCONT)


@when("{daemon:Word} is killed")
def kill(context: Any, daemon: str) -> None:
    context.fleet.daemons[daemon].kill()


@when("{daemon:Word} is told to stop")
def send_sigterm(context: Any, daemon: str) -> None:
    context.fleet.daemons[daemon].popen.terminate()


@then("{daemon:Word} exits with {code:d}")
def exits_with(context: Any, daemon: str, code: int) -> None:
    exit_code = context.fleet.daemons[daemon].popen.wait(20)
    assert exit_code == code, exit_code


@when("{ms:d} ms pass")
def pass_time(context: Any, ms: int) -> None:
    time.sleep(seconds(ms))


@then('{count:d} upstreams of "{pool}" crashed')
def count_crashed(context: Any, count: int, pool: str) -> None:
    processes = context.fleet.processes.items()
    crashed = [
        name
        for name, process in processes
        if name.startswith(f"{pool}-") and not process.alive
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


@when('{daemon:Word} knows within {ms:d} ms that "{name}" is {state:Word}')
@then('{daemon:Word} knows within {ms:d} ms that "{name}" is {state:Word}')
def sees_upstream_state(
    context: Any, daemon: str, ms: int, name: str, state: str
) -> None:
    def is_seen() -> bool:
        listed = context.fleet.ask(daemon, "/v1/upstreams")
        return any(u["name"] == name and u["state"] == state for u in listed)

    wait_for(f"{daemon} knows that {name} is {state}", is_seen, ms)


@when('the runs of "{name}" are noted')
def record_run_count(context: Any, name: str) -> None:
    context.run_count = len(context.fleet.record(name))
    context.recorded_ms = Clock().now_ms()


@then('"{name}" got nothing new')
def has_no_new_runs(context: Any, name: str) -> None:
    assert len(context.fleet.record(name)) == context.run_count


RELAY = "relay-"
PEERS_DEAD_TIMEOUT_MS = 12_000


@when("the network between all daemons is partitioned")
def partition_all(context: Any) -> None:
    for name in context.fleet.processes:
        if name.startswith(RELAY):
            context.fleet.faults(name, hang=True)


@when("the network partition heals")
def heal_partition(context: Any) -> None:
    for name in context.fleet.processes:
        if name.startswith(RELAY):
            context.fleet.faults(name, hang=False)


@when("every daemon sees only itself as alive")
def sees_only_itself(context: Any) -> None:
    def all_alone() -> bool:
        listed = [
            context.fleet.ask(name, "/v1/daemons") for name in context.fleet.daemons
        ]
        return all(sum(d["state"] == "alive" for d in known) == 1 for known in listed)

    wait_for("every daemon sees only itself as alive", all_alone, PEERS_DEAD_TIMEOUT_MS)
