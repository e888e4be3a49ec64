"""Steps for orders to engines with a fencing token."""

import base64
import signal
from typing import Any

import httpx
from behave import given, then, when
from operator_steps import read_document, store_document

from cowsliphitch.standins.processes import UpstreamSpec, wait_for
from cowsliphitch.standins.scenario import DOMAINS


def executed_orders(context: Any, name: str) -> list[dict[str, Any]]:
    """Return the orders that an engine executed, oldest first."""
    url = f"{context.fleet.processes[name].url}/v1/orders"
    executed: list[dict[str, Any]] = context.fleet.http.get(url).json()["orders"]
    return executed


@given('the engine "{name}" checks fencing tokens')
def start_fencing_engine(context: Any, name: str) -> None:
    if name in context.fleet.processes:
        return
    options = ("--checks-fencing", "--work-ms", "5", "--token-ms", "2")
    spec = UpstreamSpec(name, "engine", "engines", DOMAINS[0], options)
    context.fleet.start_upstream(spec)
    context.fleet.wait_until_up()
    context.fleet.publish_vms()
    context.fleet.wait_until_ready()


def configure_adapters(context: Any, adapters: str, daemon: str) -> None:
    document = read_document(context, daemon)
    document["fleet"]["pools"]["engines"]["adapters"] = adapters.split(", ")
    store_document(context, "alice", daemon, document, None)
    assert context.done.returncode in (0, 3), context.done.stdout + context.done.stderr


@when('alice sets the engines\' adapters to "{adapters}" through entry-1')
def configure_adapters_on_entry_1(context: Any, adapters: str) -> None:
    configure_adapters(context, adapters, "entry-1")


@when('alice sets the engines\' adapters to "{adapters}" through another daemon')
def configure_adapters_on_other_daemon(context: Any, adapters: str) -> None:
    other = next(n for n in sorted(context.fleet.daemons) if n != context.holder)
    configure_adapters(context, adapters, other)


@when('"{name}" holds "{adapters}" within {ms:d} ms')
@then('"{name}" holds "{adapters}" within {ms:d} ms')
def wait_for_adapters(context: Any, name: str, adapters: str, ms: int) -> None:
    expected = adapters.split(", ")

    def has_adapters() -> bool:
        executed = executed_orders(context, name)
        return bool(executed) and executed[-1]["adapters"] == expected

    wait_for(f"{name} holds {adapters}", has_adapters, ms)


@when("the holder of the engines' duty is paused")
def pause_holder(context: Any) -> None:
    url = f"{context.fleet.processes['kv'].url}/kv-key?key=duties/engines/engines"
    item = context.fleet.http.get(url).json()
    value = base64.b64decode(item["value"]).decode()
    context.holder = value.split('"daemon":"')[1].split('"')[0]
    context.fleet.daemons[context.holder].signal(signal.SIGSTOP)


@when("the holder resumes")
def resume_holder(context: Any) -> None:
    context.fleet.daemons[context.holder].signal(signal.SIGCONT)


@then('the fencing tokens of "{name}" never decreased')
def assert_fences_increase(context: Any, name: str) -> None:
    fences = [order["fence"] for order in executed_orders(context, name)]
    assert fences == sorted(fences) and len(set(fences)) > 1, fences


@when('a late order for "{adapter}" arrives at "{name}"')
def send_late_order(context: Any, adapter: str, name: str) -> None:
    url = f"{context.fleet.processes[name].url}/v1/orders"
    body = {"fence": 0, "adapters": [adapter]}
    context.late_response = context.fleet.http.post(url, json=body)


@then("the late order is rejected")
def assert_late_order_rejected(context: Any) -> None:
    assert context.late_response.status_code == httpx.codes.PRECONDITION_FAILED
