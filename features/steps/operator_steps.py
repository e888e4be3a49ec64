"""Steps that act as operators."""

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

IN_FORCE_MS = 6_000


def in_force(context: Any, daemon: str) -> tuple[int, Settings]:
    """Return the revision and the settings in force in a daemon."""
    plain = context.fleet.ask(daemon, "/v1/config")
    snapshot = from_json(json.dumps(plain), Snapshot).unwrap()
    return snapshot.manifest.revision, build_settings(snapshot).unwrap()


def store(
    context: Any, who: str, daemon: str, document: dict[str, Any], base: int | None
) -> None:
    """Store a document through the command line as an operator."""
    path = context.fleet.folder / f"{who}.yaml"
    path.write_text(json.dumps(document))
    args = ["config", "store", str(path), "--note", f"by {who}"]
    if base is not None:
        args += ["--base", str(base)]
    context.done = context.fleet.cli(
        daemon, *args, token=context.fleet.operator_token_of(who)
    )


def changed(context: Any, daemon: str) -> dict[str, Any]:
    """Return the document in force, to be changed."""
    document: dict[str, Any] = json.loads(dump_json(in_force(context, daemon)[1]))
    return document


@given("the revision in force is noted")
def note_revision(context: Any) -> None:
    context.revision = in_force(context, "entry-1")[0]


@when('{who:Word} changes the share of "{team}" to {share:d} through {daemon:Word}')
def change_share(context: Any, who: str, team: str, share: int, daemon: str) -> None:
    document = changed(context, "entry-1")
    document["teams"][team]["share"] = share
    store(context, who, daemon, document, None)


@when(
    '{who:Word} changes the share of "{team}" to {share:d} through {daemon:Word} '
    "on the noted revision"
)
def change_share_on(context: Any, who: str, team: str, share: int, daemon: str) -> None:
    document = changed(context, "entry-1")
    document["teams"][team]["share"] = share
    store(context, who, daemon, document, context.revision)


@when('a stranger changes the share of "{team}" to {share:d} through {daemon:Word}')
def stranger_changes(context: Any, team: str, share: int, daemon: str) -> None:
    document = changed(context, "entry-1")
    document["teams"][team]["share"] = share
    path = context.fleet.folder / "stranger.yaml"
    path.write_text(json.dumps(document))
    token = tokens.new_token("alice")
    context.done = context.fleet.cli(daemon, "config", "store", str(path), token=token)


@when("{who:Word} changes the number of order logs to {shards:d} through {daemon:Word}")
def change_shards(context: Any, who: str, shards: int, daemon: str) -> None:
    document = changed(context, "entry-1")
    document["fleet"]["orders"]["shards"] = shards
    store(context, who, daemon, document, None)


@then('the command exits with {code:d} and says "{text}"')
def command_exits(context: Any, code: int, text: str) -> None:
    said = context.done.stdout + context.done.stderr
    assert context.done.returncode == code, (context.done.returncode, said)
    assert text in said, said


@then('every daemon has the share of "{team}" at {share:d}')
def daemons_have(context: Any, team: str, share: int) -> None:
    def everywhere() -> bool:
        found = [in_force(context, name)[1] for name in context.fleet.daemons]
        return all(
            {str(k): v for k, v in s.teams.items()}[team].share == share for s in found
        )

    wait_for("the change is in force", everywhere, IN_FORCE_MS)


@then("the revision in force is the noted one")
def revision_same(context: Any) -> None:
    assert in_force(context, "entry-1")[0] == context.revision


def audit(context: Any) -> dict[str, Any]:
    """Read the audit trail through the command line."""
    done = context.fleet.cli("entry-1", "audit", "--json")
    found: dict[str, Any] = json.loads(done.stdout)
    return found


@then('the audit trail names "{who}" for the last change')
def audit_last(context: Any, who: str) -> None:
    last = audit(context)["changes"][0]
    assert (last["who"], last["note"]) == (who, f"by {who}"), last
    assert last["branches"], last


@then('the audit trail names "{who}" as the loser of a race')
def audit_loser(context: Any, who: str) -> None:
    rejected = audit(context)["rejected"]
    assert any(entry["who"] == who and entry["lost_to"] for entry in rejected), rejected


@then("the audit trail holds each revision once")
def audit_whole(context: Any) -> None:
    revisions = [entry["revision"] for entry in audit(context)["changes"]]
    assert revisions == list(range(len(revisions), 0, -1)), revisions


@when("{daemon:Word} is started again")
def daemon_again(context: Any, daemon: str) -> None:
    context.fleet.restart_daemon(daemon)
    url = context.fleet.daemons[daemon].url
    wait_for(f"{daemon} answers", lambda: context.fleet.status(f"{url}/healthz") == 200)
