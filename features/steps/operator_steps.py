"""Steps that use the command line as operators."""

import json
from typing import Any

from behave import given, then, when

from cowsliphitch.core import tokens
from cowsliphitch.core.codec import from_json
from cowsliphitch.core.config.build import build_settings
from cowsliphitch.core.config.models import Snapshot
from cowsliphitch.core.settings.models import Settings
from cowsliphitch.core.settings.schema import dump_json
from cowsliphitch.standins.processes import wait_for

APPLY_TIMEOUT_MS = 6_000


def read_settings_in_force(context: Any, daemon: str) -> tuple[int, Settings]:
    """Return the revision and the settings in force in a daemon."""
    data = context.fleet.query_daemon(daemon, "/v1/config")
    snapshot = from_json(json.dumps(data), Snapshot).unwrap()
    return snapshot.manifest.revision, build_settings(snapshot).unwrap()


def read_share_in_force(context: Any, daemon: str, team: str) -> int | None:
    """Return a team's share in force in a daemon.

    :returns: ``None`` if the daemon has started and has no settings yet
    """
    data = context.fleet.query_daemon(daemon, "/v1/config")
    if data is None:
        return None
    settings = build_settings(from_json(json.dumps(data), Snapshot).unwrap()).unwrap()
    return {str(name): t for name, t in settings.teams.items()}[team].share


def store_document(
    context: Any, who: str, daemon: str, document: dict[str, Any], base: int | None
) -> None:
    """Store a document with ``config store`` as an operator.

    :param base: revision that was edited; ``None`` for the revision in force
    """
    path = context.fleet.folder / f"{who}.yaml"
    path.write_text(json.dumps(document))
    args = ["config", "store", str(path), "--note", f"by {who}"]
    if base is not None:
        args += ["--base", str(base)]
    context.command_result = context.fleet.cli(
        daemon, *args, token=context.fleet.operator_token_of(who)
    )


def read_document(context: Any, daemon: str) -> dict[str, Any]:
    """Return the settings in force as a document, for a step to modify."""
    document: dict[str, Any] = json.loads(
        dump_json(read_settings_in_force(context, daemon)[1])
    )
    return document


@given("the revision in force is recorded")
def record_revision(context: Any) -> None:
    context.revision = read_settings_in_force(context, "entry-1")[0]


@when('{who:Word} changes the share of "{team}" to {share:d} through {daemon:Word}')
def change_share(context: Any, who: str, team: str, share: int, daemon: str) -> None:
    document = read_document(context, "entry-1")
    document["teams"][team]["share"] = share
    store_document(context, who, daemon, document, None)


@when(
    '{who:Word} changes the share of "{team}" to {share:d} through {daemon:Word} '
    "on the recorded revision"
)
def change_share_on_recorded_revision(
    context: Any, who: str, team: str, share: int, daemon: str
) -> None:
    document = read_document(context, "entry-1")
    document["teams"][team]["share"] = share
    store_document(context, who, daemon, document, context.revision)


@when(
    'someone with an unknown token changes the share of "{team}" to {share:d} '
    "through {daemon:Word}"
)
def change_share_with_unknown_token(
    context: Any, team: str, share: int, daemon: str
) -> None:
    document = read_document(context, "entry-1")
    document["teams"][team]["share"] = share
    path = context.fleet.folder / "unknown-token.yaml"
    path.write_text(json.dumps(document))
    token = tokens.new_token("alice")
    context.command_result = context.fleet.cli(
        daemon, "config", "store", str(path), token=token
    )


@when("{who:Word} changes the number of order logs to {shards:d} through {daemon:Word}")
def change_order_log_count(context: Any, who: str, shards: int, daemon: str) -> None:
    document = read_document(context, "entry-1")
    document["fleet"]["orders"]["shards"] = shards
    store_document(context, who, daemon, document, None)


@then('the command exits with {code:d} and says "{text}"')
def assert_command_result(context: Any, code: int, text: str) -> None:
    output = context.command_result.stdout + context.command_result.stderr
    assert context.command_result.returncode == code, (
        context.command_result.returncode,
        output,
    )
    assert text in output, output


@then('every daemon has the share of "{team}" at {share:d}')
def assert_share_everywhere(context: Any, team: str, share: int) -> None:
    def is_everywhere() -> bool:
        return all(
            read_share_in_force(context, daemon, team) == share
            for daemon in context.fleet.daemons
        )

    wait_for("the change is in force", is_everywhere, APPLY_TIMEOUT_MS)


@then("the revision in force is the recorded one")
def assert_revision_unchanged(context: Any) -> None:
    assert read_settings_in_force(context, "entry-1")[0] == context.revision


def read_audit(context: Any) -> dict[str, Any]:
    """Read the audit trail through the command line."""
    done = context.fleet.cli("entry-1", "audit", "--json")
    audit: dict[str, Any] = json.loads(done.stdout)
    return audit


@then('the audit trail has "{who}" for the last change')
def assert_last_author(context: Any, who: str) -> None:
    last = read_audit(context)["changes"][0]
    assert (last["who"], last["note"]) == (who, f"by {who}"), last
    assert last["branches"], last


@then('the audit trail has "{who}" as rejected')
def assert_rejected_author(context: Any, who: str) -> None:
    rejected = read_audit(context)["rejected"]
    assert any(entry["who"] == who and entry["lost_to"] for entry in rejected), rejected


@then("the audit trail holds each revision once")
def assert_unbroken_audit(context: Any) -> None:
    revisions = [entry["revision"] for entry in read_audit(context)["changes"]]
    assert revisions == list(range(len(revisions), 0, -1)), revisions


@when("{daemon:Word} is started again")
def restart_daemon(context: Any, daemon: str) -> None:
    context.fleet.restart_daemon(daemon)
    url = context.fleet.daemons[daemon].url
    wait_for(
        f"{daemon} answers", lambda: context.fleet.http_status(f"{url}/healthz") == 200
    )
