"""Commands on the configuration: check, store, read and compare."""

import difflib
import time
from pathlib import Path
from typing import cast

from cleo.helpers import argument, option
from result import Err, Ok, Result

from cowsliphitch.core.clock import Clock, seconds
from cowsliphitch.core.codec import to_builtins, to_json
from cowsliphitch.core.config.build import build_settings
from cowsliphitch.core.config.models import Snapshot
from cowsliphitch.core.settings.models import Settings
from cowsliphitch.core.settings.schema import dump_yaml, load_settings
from cowsliphitch.core.settings.units import parse_duration

from ..api.models import DaemonStatus, SubmitReply, SubmitRequest
from . import const
from .base import COMMON_OPTIONS, BaseCommand
from .client import Failed, OperatorClient, dump

OUTCOME_EXIT = {
    "stored": const.EXIT_OK,
    "unchanged": const.EXIT_OK,
    "conflict": const.EXIT_CONFLICT,
    "unknown": const.EXIT_UNAVAILABLE,
    "unavailable": const.EXIT_UNAVAILABLE,
    "invalid": const.EXIT_INVALID,
}


def read_file(path: str) -> Result[str, Failed]:
    """Read a settings file."""
    try:
        return Ok(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as exc:
        return Err(Failed(f"{path}: {exc}", const.EXIT_INVALID))


def read_settings(path: str) -> Result[Settings, Failed]:
    """Read and check a settings file."""
    match read_file(path):
        case Err(failed):
            return Err(failed)
        case Ok(text):
            checked = load_settings(text)
    return checked.map_err(
        lambda problems: Failed(
            "\n".join(f"{path}: {problem}" for problem in problems),
            const.EXIT_INVALID,
        )
    )


def current(client: OperatorClient) -> Result[tuple[int, Settings], Failed]:
    """Read the revision and the settings in force in a daemon."""
    match client.get("/v1/config", Snapshot):
        case Err(failed):
            return Err(failed)
        case Ok(snapshot):
            revision = snapshot.manifest.revision
            return (
                build_settings(snapshot)
                .map(lambda settings: (revision, settings))
                .map_err(lambda problems: Failed(str(problems[0]), const.EXIT_FAILED))
            )


class ConfigCheckCommand(BaseCommand):
    """Check a settings file without a daemon."""

    name = "config check"
    description = "Check a settings file without a daemon."
    arguments = [argument("file", "YAML file with the whole settings tree.")]

    def handle(self) -> int:
        """Check the file."""
        path = cast(str, self.argument("file"))
        match read_settings(path):
            case Err(failed):
                return self.fail(failed)
            case Ok(_):
                self.line(f"{path}: valid")
                return const.EXIT_OK


class ConfigReadCommand(BaseCommand):
    """Write the settings in force."""

    name = "config read"
    description = "Write the settings in force in a daemon."

    def handle(self) -> int:
        """Read the settings and write them as YAML."""
        match current(self.client()):
            case Err(failed):
                return self.fail(failed)
            case Ok((revision, settings)):
                pass
        if self.option("json"):
            self.line(dump({"revision": revision, "document": dump_yaml(settings)}))
        else:
            self.line(f"# revision {revision}")
            self.line(dump_yaml(settings).rstrip())
        return const.EXIT_OK


class ConfigDiffCommand(BaseCommand):
    """Compare a settings file with the settings in force."""

    name = "config diff"
    description = "Compare a settings file with the settings in force."
    arguments = [argument("file", "YAML file with the whole settings tree.")]

    def handle(self) -> int:
        """Write the differences, one line each."""
        path = cast(str, self.argument("file"))
        wanted = read_settings(path)
        if isinstance(wanted, Err):
            return self.fail(wanted.err_value)
        match current(self.client()):
            case Err(failed):
                return self.fail(failed)
            case Ok((revision, settings)):
                pass
        old = dump_yaml(settings).splitlines()
        new = dump_yaml(wanted.ok_value).splitlines()
        for line in difflib.unified_diff(
            old, new, f"revision {revision}", path, "", "", 1, ""
        ):
            self.line(line)
        return const.EXIT_OK


class ConfigStoreCommand(BaseCommand):
    """Store a settings file and wait until it is in force everywhere."""

    name = "config store"
    description = "Store a settings file and wait until it is in force everywhere."
    arguments = [argument("file", "YAML file with the whole settings tree.")]
    options = [
        *COMMON_OPTIONS,
        option("base", "b", "Revision that was edited; default: in force.", flag=False),
        option("note", "m", "Why, for the audit trail.", flag=False, default=""),
        option("wait", "w", "How long to wait, such as 6s.", flag=False, default="6s"),
    ]

    def handle(self) -> int:
        """Store the file, then ask every daemon."""
        text = read_file(cast(str, self.argument("file")))
        if isinstance(text, Err):
            return self.fail(text.err_value)
        client = self.client()
        base = self.option("base")
        if base is None:
            known = current(client).map(lambda found: found[0])
            base = known.unwrap_or(0)
        note = cast(str, self.option("note"))
        request = SubmitRequest(int(base), text.ok_value, note)
        match client.post("/v1/config", to_json(request), SubmitReply):
            case Err(failed):
                return self.fail(failed)
            case Ok(reply) if reply.outcome == "stored":
                return self._wait(client, reply)
            case Ok(reply):
                return self._report(reply, ())

    def _wait(self, client: OperatorClient, reply: SubmitReply) -> int:
        """Wait until every live daemon has the revision in force."""
        clock = Clock()
        end_ms = clock.now_ms() + parse_duration(self.option("wait"))
        while True:
            pending = pending_daemons(client, reply.revision)
            if not pending or clock.now_ms() >= end_ms:
                return self._report(reply, pending)
            time.sleep(seconds(const.POLL_INTERVAL_MS))

    def _report(self, reply: SubmitReply, pending: tuple[str, ...]) -> int:
        if self.option("json"):
            self.line(dump(to_builtins(reply) | {"pending": list(pending)}))
        elif reply.outcome == "stored" and not pending:
            self.line(f"revision {reply.revision} is in force in every live daemon")
        elif reply.outcome == "stored":
            names = ", ".join(pending)
            self.line(f"revision {reply.revision} is stored, not confirmed by: {names}")
        else:
            self.line_error(f"{reply.outcome}: {reply.detail}")
            for problem in reply.problems:
                self.line_error(problem)
        if pending:
            return const.EXIT_PENDING
        return OUTCOME_EXIT[reply.outcome]


def pending_daemons(client: OperatorClient, revision: int) -> tuple[str, ...]:
    """Return the live daemons that did not confirm a revision.

    Each daemon is asked itself: what others know of it may be old.
    """
    match client.get("/v1/daemons", tuple[DaemonStatus, ...]):
        case Err(_):
            return ("unknown",)
        case Ok(daemons):
            pass
    live = [daemon for daemon in daemons if daemon.state != "dead"]
    return tuple(
        daemon.name for daemon in live if _revision_of(client, daemon) < revision
    )


def _revision_of(client: OperatorClient, daemon: DaemonStatus) -> int:
    found = client.at(daemon.operators_address).get("/v1/config", Snapshot)
    return found.map(lambda snapshot: snapshot.manifest.revision).unwrap_or(-1)
