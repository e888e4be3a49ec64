"""Steps on a store that comes back from an older copy, with a site of processes."""

import json
import signal
import time
from typing import Any

import httpx
from behave import given, then, when
from platform_steps import (
    REVOKED_VERSION,
    TEAM_BY_KEY,
    check_key_refused,
    check_only_server,
    drain_server,
)

from cowsliphitch.standins.processes import wait_for
from cowsliphitch.standins.site import document, put

COPY_VERSION = 1


def change(context: Any, count: int) -> None:
    """Write settings again, which raises the store's revision."""
    for _ in range(count):
        put(context.site.store, "op/config", document(COPY_VERSION, TEAM_BY_KEY))


def call_store(context: Any, path: str) -> None:
    httpx.post(f"{context.site.store}{path}").raise_for_status()


def set_down(context: Any, down: bool) -> None:
    url = f"{context.site.store}/faults"
    httpx.post(url, json={"down": down}).raise_for_status()


@given("the store is copied, {count:d} changes follow, and the servers register again")
def copy_store(context: Any, count: int) -> None:
    call_store(context, "/copy")
    change(context, count)
    for server in context.site.servers.values():
        put(context.site.store, f"servers/{server.id}", server.entry())


@when("the store comes back from the copy, and the others write again {moment}")
def restore_store(context: Any, moment: str) -> None:
    set_down(context, True)
    time.sleep(0.5)
    call_store(context, "/restore")
    if moment == "early":
        call_store(context, "/rewrite")
    set_down(context, False)
    time.sleep(0.6)
    if moment == "late":
        call_store(context, "/rewrite")


@when(
    'a daemon is frozen while the store comes back, "{name}" drains and {count:d}'
    " changes follow"
)
def freeze_over_drill(context: Any, name: str, count: int) -> None:
    context.site.daemons[1]["process"].send_signal(signal.SIGSTOP)
    restore_store(context, "never")
    drain_server(context, name)
    call_store(context, "/rewrite")
    change(context, count)


@when("the daemon goes on after {ms:d} ms")
def unfreeze(context: Any, ms: int) -> None:
    time.sleep(ms / 1_000)
    context.site.daemons[1]["process"].send_signal(signal.SIGCONT)


@when('within {ms:d} ms only "{name}" receives requests')
def only_server(context: Any, ms: int, name: str) -> None:
    check_only_server(context, ms, name)


@when("within {ms:d} ms both daemons refuse the key with {status:d}")
def key_is_refused(context: Any, ms: int, status: int) -> None:
    check_key_refused(context, ms, status)


@then("for {ms:d} ms both daemons refuse the key with {status:d}")
def key_stays_refused(context: Any, ms: int, status: int) -> None:
    end_s = time.monotonic() + ms / 1_000
    while time.monotonic() < end_s:
        for daemon in range(2):
            answer = context.site.call("/lookup/1", daemon=daemon)
            assert answer.status_code == status, answer
        time.sleep(0.05)


@when("a daemon restarts after the drill")
def restart(context: Any) -> None:
    context.site.restart_daemon(1)


@when("the other daemon is frozen while a daemon restarts")
def restart_beside_frozen(context: Any) -> None:
    context.site.daemons[0]["process"].send_signal(signal.SIGSTOP)
    restart(context)


@then("within {ms:d} ms it has the settings of the copy in force")
def settings_of_copy(context: Any, ms: int) -> None:
    wait_for("settings", lambda: versions_in_force(context) == {COPY_VERSION}, ms)


def versions_in_force(context: Any) -> set[int]:
    """Return the versions of the settings that the latest process has logged."""
    lines = [json.loads(line) for line in context.site.latest_log().splitlines()]
    return {e["version"] for e in lines if e["event"] == "settings.in_force"}


@then("it has had only settings without the key in force")
def only_newer_settings(context: Any) -> None:
    def has_newer() -> bool:
        return REVOKED_VERSION in versions_in_force(context)

    wait_for("the settings of the peer are in force", has_newer)
    assert versions_in_force(context) == {REVOKED_VERSION}, versions_in_force(context)


def registered(context: Any) -> int:
    params = {"prefix": "members/"}
    answer = httpx.get(f"{context.site.store}/kv-range", params=params).json()
    return sum(item["lease"] != 0 for item in answer["items"])


@when("a daemon restarts and registers")
def restart_and_register(context: Any) -> None:
    context.site.restart_daemon(1)
    wait_for("both daemons are registered", lambda: registered(context) == 2)


@then("within {ms:d} ms both daemons are registered again")
def both_are_registered(context: Any, ms: int) -> None:
    def has_renewed() -> bool:
        stats = httpx.get(f"{context.site.store}/leases").json()
        return registered(context) == 2 and stats["era_granted"] >= 2

    wait_for("both daemons have leases of the new era", has_renewed, ms)
