"""Steps for fleets of test processes that do not start."""

import time
from typing import Any

from behave import given, then, when

from cowsliphitch.core.clock import MS_PER_SECOND
from cowsliphitch.standins.fleet import Fleet, FleetStartError
from cowsliphitch.standins.scenario import settings_document, start_deployment


@given("a fleet with a daemon whose settings can't be read")
def make_fleet_with_bad_settings(context: Any) -> None:
    fleet = context.started_fleet = Fleet()
    context.add_cleanup(fleet.__exit__)
    start = fleet.start_daemon
    fleet.start_daemon = lambda name, domain: start(name, domain, drain_delay="soon")  # type: ignore[method-assign]
    context.document = None


@given("a fleet whose settings have a fault")
def make_fleet_with_bad_document(context: Any) -> None:
    context.started_fleet = Fleet()
    context.add_cleanup(context.started_fleet.__exit__)
    context.document = settings_document(context.started_fleet) | {"services": 7}


@when("the fleet is to start")
def start_fleet(context: Any) -> None:
    started_s = time.monotonic()
    context.error = ""
    try:
        start_deployment(context.started_fleet, 1, document=context.document)
    except FleetStartError as exc:
        context.error = str(exc)
    context.took_ms = (time.monotonic() - started_s) * MS_PER_SECOND


@then(
    'it fails within {ms:d} ms and names "{name}", its status {status:d} and "{text}"'
)
def check_ended(context: Any, ms: int, name: str, status: int, text: str) -> None:
    check_named(context, ms, name, f"ended with status {status}", text)


@then('it fails within {ms:d} ms and names "{name}", that it runs and "{text}"')
def check_running(context: Any, ms: int, name: str, text: str) -> None:
    check_named(context, ms, name, "runs", text)


def check_named(context: Any, ms: int, name: str, state: str, text: str) -> None:
    assert context.took_ms <= ms, context.took_ms
    lines = context.error.splitlines()
    assert any(name in line and state in line for line in lines), context.error
    assert text in context.error, context.error
