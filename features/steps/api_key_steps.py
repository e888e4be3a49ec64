"""Steps on the API keys of the version in force."""

import itertools
import json
from concurrent.futures import ThreadPoolExecutor
from typing import Any, Final

from behave import given, then, when
from platform_steps import PROMPT_HEADERS, wait_within

from cowsliphitch.standins.processes import wait_for
from cowsliphitch.standins.site import document, put

API_KEYS: Final[dict[str, str | None]] = {
    "the former key": "key-red",
    "the new key": "key-new",
    "another key": "key-of-nobody",
    "an empty key": "",
    "no key": None,
}
GENERATION_HEADERS: Final = PROMPT_HEADERS | {"cowsliphitch-pieces": "1,1"}
# Path and headers of one request of each kind.
REQUESTS: Final[tuple[tuple[str, dict[str, str]], ...]] = (
    ("/lookup/1", {}),
    ("/order/1", {}),
    ("/generation/1", GENERATION_HEADERS),
    ("/generation/1", GENERATION_HEADERS | {"last-event-id": "2"}),
)


def write_version(context: Any, **fields: Any) -> None:
    """Write the next version of the document, with teams only if a field sets them."""
    context.version = getattr(context, "version", 1) + 1
    content = json.loads(document(context.version, {}, context.site.resumable))
    del content["tenants"]
    put(context.site.store, "op/config", json.dumps(content | fields))


def refused_versions(log: str) -> list[dict[str, Any]]:
    """Return the lines of a daemon's log on documents that it could not decode."""
    lines = (line for line in log.splitlines() if "settings.unreadable" in line)
    return [json.loads(line) for line in lines]


def call_with_key(
    context: Any, daemon: int, key: str, path: str, headers: dict[str, str]
) -> int:
    """Return the status of the answer to a request with one of ``API_KEYS``."""
    credential = {"cowsliphitch-credential": API_KEYS[key]}
    return context.site.call(path, headers | credential, daemon).status_code


@given("plain servers that take {ms:d} ms to answer")
def slow_plain_servers(context: Any, ms: int) -> None:
    for server in context.site.servers.values():
        server.answer_delay_ms = ms


@when("the operator writes a version without teams")
def write_without_teams(context: Any) -> None:
    write_version(context)


@when("the operator writes a version with the teams {teams}")
def write_teams(context: Any, teams: str) -> None:
    write_version(context, tenants=json.loads(teams))


@when("the teams become {teams} while a lookup waits for its answer")
def write_teams_beside_lookup(context: Any, teams: str) -> None:
    pool = ThreadPoolExecutor(1)
    context.add_cleanup(pool.shutdown)
    context.lookup = pool.submit(context.site.call, "/lookup/1")
    wait_for("the lookup runs", lambda: len(context.site.executed()) == 1)
    write_teams(context, teams)


@when("a daemon restarts")
def restart(context: Any) -> None:
    context.site.restart_daemon(1)


@then("within {ms:d} ms both daemons answer {status:d} to {keys}")
def check_answers(context: Any, ms: int, status: int, keys: str) -> None:
    cases = list(itertools.product((0, 1), keys.replace(" and ", ", ").split(", ")))
    for daemon, key in cases:
        wait_within(
            context,
            f"daemon {daemon} answers {status} to a lookup with {key}",
            lambda d=daemon, k=key: (
                call_with_key(context, d, k, *REQUESTS[0]) == status
            ),
            ms,
        )
    executed = len(context.site.executed())
    for (daemon, key), request in itertools.product(cases, REQUESTS):
        answered = call_with_key(context, daemon, key, *request)
        assert answered == status, (daemon, key, request, answered)
    assert status == 200 or len(context.site.executed()) == executed


@then(
    'within {ms:d} ms both daemons report version {version:d} as kept, with "{cause}"'
)
def check_kept(context: Any, ms: int, version: int, cause: str) -> None:
    for daemon in (0, 1):
        wait_within(
            context,
            f"daemon {daemon} logs the refused version",
            lambda d=daemon: any(
                row["in_force"] == version and row["cause"].startswith(cause)
                for row in refused_versions(context.site.daemon_log(d))
            ),
            ms,
        )


@then("the lookup is answered {status:d}")
def check_lookup(context: Any, status: int) -> None:
    assert context.lookup.result().status_code == status, context.lookup.result()
