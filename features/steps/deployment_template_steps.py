"""Steps for daemons whose settings are filled in from the deployment's template."""

import copy
import json
import os
import socket
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

from behave import given, then, when
from platform_steps import TEAM_BY_KEY, Site, wait_for
from result import Err, Ok

from cowsliphitch.core.deployment.models import Route, RouteKind, Target
from cowsliphitch.gateway.settings import load_gateway_settings
from cowsliphitch.standins.site import document, put
from cowsliphitch.standins.template import render

TEMPLATE = Path(__file__).parents[2] / "deploy" / "settings.yaml"
# All of 127.0.0.0/8 is loopback; the template names ports by the VM's address.
VM_ADDRESS = f"127.0.{3 + os.getpid() % 250}.7"

FIELDS: dict[str, Any] = {
    "node": "vm-1",
    "zone": "domain-a",
    "ip": VM_ADDRESS,
    "internal_ports": [7740, 7755],
    "listen": {"front": f"{VM_ADDRESS}:8625", "ready_addr": f"{VM_ADDRESS}:8621"},
    "limits": {"cpu_share": 0.5, "cores": 2, "max_fds": 4100},
    "bounds": {
        "grace_s": 8,
        "retry_budget_ratio": 0.2,
        "budget_window_s": 10,
        "budget_min_retries": 58,
    },
    "platform": {"address": "127.0.0.1:1"},
}

# Paths of fields, and their values in a deployment.
VARIATIONS: dict[str, dict[str, Any]] = {
    "a share of a deployment": {
        "limits.cpu_share": 0.12,
        "limits.cores": 1,
        "limits.max_fds": 341.7,
        "bounds.budget_min_retries": 35.833,
        "bounds.budget_window_s": 7.5,
        "bounds.grace_s": 8.0,
    },
    "a deployment without retries": {
        "bounds.budget_min_retries": 0,
        "bounds.retry_budget_ratio": 0,
    },
    "a deployment with large limits": {
        "limits.max_fds": 1_048_576,
        "limits.cores": 96,
        "bounds.budget_min_retries": 1e7,
        "bounds.retry_budget_ratio": 1.5,
        "bounds.budget_window_s": 86_400,
    },
    "a deployment with absent figures": {
        "limits": {},
        "bounds": {},
    },
}
ZONE_COUNTS = {"a deployment of one domain": 1, "a deployment of 15 domains": 15}


def set_field(fields: dict[str, Any], path: str, value: Any) -> None:
    *parents, name = path.split(".")
    for parent in parents:
        fields = fields[parent]
    fields[name] = value


@given("the settings template filled in for {deployment}")
def fill_in_template(context: Any, deployment: str) -> None:
    context.deployment = deployment
    context.fields = copy.deepcopy(FIELDS)
    for path, value in VARIATIONS.get(deployment, {}).items():
        set_field(context.fields, path, value)


def document_without(name: str, **parts: str) -> str:
    """Return an operator's document without some of its routes and services."""
    content = json.loads(document(1, TEAM_BY_KEY))
    content["routes"] = [r for r in content["routes"] if r["name"] != name]
    content["services"] = [
        s for s in content["services"] if not parts.keys() & s.keys()
    ]
    return json.dumps(content)


def fill_store(site: Site, deployment: str) -> None:
    """Add to the store what makes a deployment differ from the stand-ins' own."""
    match deployment:
        case "a deployment without engines":
            content = document_without("generation", engine="", pieces="")
        case "a deployment without stages":
            content = document_without("generation", pieces="")
        case _:
            content = document(1, TEAM_BY_KEY)
    put(site.store, "op/config", content)
    member_count = 400 if deployment == "a deployment of 400 daemons" else 0
    for number in range(member_count):
        member = {
            "name": f"vm-{number}",
            "failure_domain": f"domain-{number % 5}",
            "lifetime": 1,
            "capacity": 0.5,
        }
        put(
            site.store,
            f"members/127.0.4.{number % 250}:{number + 1}",
            json.dumps(member),
        )
    zone_count = ZONE_COUNTS.get(deployment, 0)
    for number in range(zone_count):
        entry = json.loads(site.servers["desk-1"].entry())
        entry |= {"zone": f"domain-{number}"}
        put(
            site.store,
            f"servers/desk-1-{number}",
            json.dumps(entry | {"state": "draining"}),
        )


@when("a daemon starts with them")
def start_with_template(context: Any) -> None:
    site = context.site = Site(False, ("v1",), daemon_count=0)
    context.add_cleanup(site.close)
    site.start()
    fill_store(site, context.deployment)
    context.fields["platform"]["address"] = site.store.removeprefix("http://")
    path = site.directory / "daemon.yaml"
    path.write_text(render(TEMPLATE.read_text(), context.fields))
    context.process = site._start(
        ["cowsliphitch.gateway"], COWSLIPHITCH_CONFIG=str(path)
    )


def answer_of(host: str, port: int, request: str) -> bytes:
    """Return the first bytes of the answer to a request, empty without one."""
    try:
        with socket.create_connection((host, port), timeout=2.0) as sock:
            sock.sendall(request.encode())
            return sock.recv(65_536)
    except OSError:
        return b""


@then("it is ready, and a caller's lookup is answered 200")
def is_ready_and_answers(context: Any) -> None:
    site = context.site

    def is_answered(port: int, request: str) -> Callable[[], bool]:
        def check() -> bool:
            assert context.process.poll() is None, site.latest_log()
            return b" 200 " in answer_of(VM_ADDRESS, port, request)[:20]

        return check

    ready = "GET /readyz HTTP/1.1\r\nhost: a\r\n\r\n"
    wait_for("the daemon is ready", is_answered(8621, ready))
    lookup = (
        "POST /lookup/1 HTTP/1.1\r\nhost: a.example\r\ncontent-length: 0\r\n"
        "cowsliphitch-request-id: r1\r\ncowsliphitch-credential: key-red\r\n\r\n"
    )
    wait_for("a lookup is answered", is_answered(8625, lookup))


@when('"{field}" is filled in with "{value}"')
def fill_in_field(context: Any, field: str, value: str) -> None:
    set_field(context.fields, field, value)
    context.settings_text = render(TEMPLATE.read_text(), context.fields)
    path = Path(tempfile.mkdtemp()) / "daemon.yaml"
    path.write_text(context.settings_text)
    context.loaded = load_gateway_settings(str(path))


@then('the settings are refused on the line of "{key}" with "{expected}"')
def are_refused(context: Any, key: str, expected: str) -> None:
    assert not isinstance(context.loaded, Ok), "the settings were accepted"
    lines = context.settings_text.splitlines()
    line = 1 + next(n for n, text in enumerate(lines) if text.strip().startswith(key))
    match context.loaded:
        case Err(problems):
            found = [str(problem) for problem in problems]
            assert any(
                text.startswith(f"line {line}: ") and expected in text for text in found
            ), found


@when("a route sends {first:f} of its traffic to one service and {second:f} to another")
def split_traffic(context: Any, first: float, second: float) -> None:
    context.route = Route(
        name="split",
        host="a.example",
        prefix="/",
        kind=RouteKind.IDEMPOTENT,
        timeout_ms=1_000,
        objective_ms=400,
        priority=1,
        targets=(Target("first", first), Target("second", second)),
        max_attempts=1,
    )


@then("of {count:d} requests {least:d} to {most:d} go to the first")
def check_split(context: Any, count: int, least: int, most: int) -> None:
    services = [context.route.service_for(f"request-{n}") for n in range(count)]
    assert least <= services.count("first") <= most, services.count("first")
