"""Commands for the configuration: check, compare, read and store."""

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
from .client import CommandError, OperatorClient, format_json

EXIT_CODE_BY_OUTCOME = {
    "stored": const.EXIT_OK,
    "unchanged": const.EXIT_OK,
    "conflict": const.EXIT_CONFLICT,
    "unknown": const.EXIT_UNAVAILABLE,
    "unavailable": const.EXIT_UNAVAILABLE,
    "invalid": const.EXIT_INVALID,
}


def read_file(path: str) -> Result[str, CommandError]:
    """Read a text file."""
    try:
        return Ok(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as exc:
        return Err(CommandError(f"{path}: {exc}", const.EXIT_INVALID))


def read_settings(path: str) -> Result[Settings, CommandError]:
    """Read and validate a settings file."""
    match read_file(path):
        case Err(error):
            return Err(error)
        case Ok(text):
            checked = load_settings(text)
    return checked.map_err(
        lambda problems: CommandError(
            "\n".join(f"{path}: {problem}" for problem in problems),
            const.EXIT_INVALID,
        )
    )


def read_settings_in_force(
    client: OperatorClient,
) -> Result[tuple[int, Settings], CommandError]:
    """Read the revision and the settings that are in force in a daemon."""
    match client.get("/v1/config", Snapshot):
        case Err(error):
            return Err(error)
        case Ok(snapshot):
            revision = snapshot.manifest.revision
            return (
                build_settings(snapshot)
                .map(lambda settings: (revision, settings))
                .map_err(
                    lambda problems: CommandError(str(problems[0]), const.EXIT_FAILED)
                )
            )


class ConfigCheckCommand(BaseCommand):
    """Check a settings file without a daemon."""

    name = "config check"
    description = "Check a settings file without a daemon."
    arguments = [argument("file", "YAML file with the whole settings tree.")]

    def handle(self) -> int:
        """Validate the file and print its problems, one line each."""
        path = cast(str, self.argument("file"))
        match read_settings(path):
            case Err(error):
                return self.report_error(error)
            case Ok(_):
                self.line(f"{path}: valid")
                return const.EXIT_OK


class ConfigReadCommand(BaseCommand):
    """Print the settings in force."""

    name = "config read"
    description = "Print the settings in force in a daemon."

    def handle(self) -> int:
        """Read the settings and print them as YAML."""
        match read_settings_in_force(self.client()):
            case Err(error):
                return self.report_error(error)
            case Ok((revision, settings)):
                pass
        if self.option("json"):
            self.line(
                format_json({"revision": revision, "document": dump_yaml(settings)})
            )
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
        """Print the differences as a unified diff."""
        path = cast(str, self.argument("file"))
        new_settings = read_settings(path)
        if isinstance(new_settings, Err):
            return self.report_error(new_settings.err_value)
        match read_settings_in_force(self.client()):
            case Err(error):
                return self.report_error(error)
            case Ok((revision, settings)):
                pass
        old = dump_yaml(settings).splitlines()
        new = dump_yaml(new_settings.ok_value).splitlines()
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
        option("note", "m", "Reason, for the audit trail.", flag=False, default=""),
        option("wait", "w", "How long to wait, such as 6s.", flag=False, default="6s"),
    ]

    def handle(self) -> int:
        """Store the file, then wait until every live daemon confirms it."""
        text = read_file(cast(str, self.argument("file")))
        if isinstance(text, Err):
            return self.report_error(text.err_value)
        client = self.client()
        base = self.option("base")
        if base is None:
            revision = read_settings_in_force(client).map(lambda result: result[0])
            base = revision.unwrap_or(0)
        note = cast(str, self.option("note"))
        request = SubmitRequest(int(base), text.ok_value, note)
        match client.post("/v1/config", to_json(request), SubmitReply):
            case Err(error):
                return self.report_error(error)
            case Ok(reply) if reply.outcome == "stored":
                return self._wait_until_in_force(client, reply)
            case Ok(reply):
                return self._report_outcome(reply, ())

    def _wait_until_in_force(self, client: OperatorClient, reply: SubmitReply) -> int:
        """Wait until every live daemon has the revision in force."""
        clock = Clock()
        deadline_ms = clock.now_ms() + parse_duration(self.option("wait"))
        while True:
            pending = pending_daemons(client, reply.revision)
            if not pending or clock.now_ms() >= deadline_ms:
                return self._report_outcome(reply, pending)
            time.sleep(seconds(const.POLL_INTERVAL_MS))

    def _report_outcome(self, reply: SubmitReply, pending: tuple[str, ...]) -> int:
        if self.option("json"):
            self.line(format_json(to_builtins(reply) | {"pending": list(pending)}))
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
        return EXIT_CODE_BY_OUTCOME[reply.outcome]


def pending_daemons(client: OperatorClient, revision: int) -> tuple[str, ...]:
    """Return the names of live daemons that did not confirm a revision.

    Each daemon is queried itself, since its peers may know an older revision of it.
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
    result = client.for_daemon(daemon.operators_address).get("/v1/config", Snapshot)
    return result.map(lambda snapshot: snapshot.manifest.revision).unwrap_or(-1)
