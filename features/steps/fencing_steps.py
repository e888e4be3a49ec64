"""Steps on orders to engines."""

import base64
import signal
from typing import Any

import httpx
from behave import given, then, when
from operator_steps import changed, store

from cowsliphitch.standins.processes import UpstreamSpec, wait_for
from cowsliphitch.standins.scenario import DOMAINS


def orders(context: Any, name: str) -> list[dict[str, Any]]:
    """Return the orders that an engine carried out, oldest first."""
    url = f"{context.fleet.processes[name].url}/v1/orders"
    found: list[dict[str, Any]] = context.fleet.http.get(url).json()["orders"]
    return found


@given('the engine "{name}" checks fencing numbers')
def checking_engine(context: Any, name: str) -> None:
    if name in context.fleet.processes:
        return
    options = ("--checks-fencing", "--work-ms", "5", "--token-ms", "2")
    spec = UpstreamSpec(name, "engine", "engines", DOMAINS[0], options)
    context.fleet.start_upstream(spec)
    context.fleet.wait_until_up()
    context.fleet.publish_vms()
    context.fleet.wait_until_ready()


def let_hold(context: Any, adapters: str, daemon: str) -> None:
    document = changed(context, daemon)
    document["fleet"]["pools"]["engines"]["adapters"] = adapters.split(", ")
    store(context, "alice", daemon, document, None)
    assert context.done.returncode in (0, 3), context.done.stdout + context.done.stderr


@when('alice lets the engines hold the adapters "{adapters}" through entry-1')
def let_hold_first(context: Any, adapters: str) -> None:
    let_hold(context, adapters, "entry-1")


@when('alice lets the engines hold the adapters "{adapters}" through another daemon')
def let_hold_other(context: Any, adapters: str) -> None:
    other = next(n for n in sorted(context.fleet.daemons) if n != context.holder)
    let_hold(context, adapters, other)


@when('"{name}" holds "{adapters}" within {ms:d} ms')
@then('"{name}" holds "{adapters}" within {ms:d} ms')
def holds_adapters(context: Any, name: str, adapters: str, ms: int) -> None:
    wanted = adapters.split(", ")

    def holds() -> bool:
        found = orders(context, name)
        return bool(found) and found[-1]["adapters"] == wanted

    wait_for(f"{name} holds {adapters}", holds, ms)


@when("the holder of the engines' duty is frozen")
def freeze_holder(context: Any) -> None:
    url = f"{context.fleet.processes['kv'].url}/kv-key?key=duties/engines/engines"
    item = context.fleet.http.get(url).json()
    value = base64.b64decode(item["value"]).decode()
    context.holder = value.split('"daemon":"')[1].split('"')[0]
    context.fleet.daemons[context.holder].signal(signal.SIGSTOP)


@when("the holder wakes up")
def wake_holder(context: Any) -> None:
    context.fleet.daemons[context.holder].signal(signal.SIGCONT)


@then('the fencing numbers of "{name}" never fell')
def fences_grow(context: Any, name: str) -> None:
    fences = [order["fence"] for order in orders(context, name)]
    assert fences == sorted(fences) and len(set(fences)) > 1, fences


@when('a late order for "{adapter}" arrives at "{name}"')
def late_order(context: Any, adapter: str, name: str) -> None:
    url = f"{context.fleet.processes[name].url}/v1/orders"
    body = {"fence": 0, "adapters": [adapter]}
    context.late = context.fleet.http.post(url, json=body)


@then("the late order is refused")
def late_refused(context: Any) -> None:
    assert context.late.status_code == httpx.codes.PRECONDITION_FAILED
