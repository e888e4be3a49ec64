"""Commands for daemons on the platform: explain, state, deployment check."""

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, Final, cast

import httpx
from cleo.commands.command import Command
from cleo.helpers import argument, option
from result import Err, Ok

from cowsliphitch.core.clock import seconds
from cowsliphitch.platform.operator_document import decode_document

from . import const
from .base import BaseCommand
from .client import Failed

_JSON_OPTION = option("json", None, "Write JSON for programs.")
_PLAIN_FIELDS: Final = ("timestamp", "daemon", "event", "level", "request", "requests")


def decisions(request: str, lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yield the log lines that touch a request.

    Text before the JSON object of a line, such as a collector's time, is passed over.
    """
    for line in lines:
        start = line.find("{")
        if start < 0 or request not in line:
            continue
        try:
            row = json.loads(line[start:])
        except ValueError:
            continue
        if row.get("request") == request or request in row.get("requests", ()):
            yield row


class ExplainCommand(Command):
    """Print the decisions on one request, in order, from the daemons' logs."""

    name = "explain"
    description = "Print the decisions on one request from the daemons' logs."
    arguments = [
        argument("request", "Identifier of the request."),
        argument("files", "Log files of one or more daemons.", multiple=True),
    ]
    options = [_JSON_OPTION]

    def handle(self) -> int:
        """Read the files and print what touches the request."""
        request = cast(str, self.argument("request"))
        found: list[dict[str, Any]] = []
        for name in cast(list[str], self.argument("files")):
            try:
                with Path(name).open(encoding="utf-8", errors="replace") as file:
                    found.extend(decisions(request, file))
            except OSError as exc:
                self.line_error(f"{name}: {exc.strerror}")
                return const.EXIT_INVALID
        found.sort(key=lambda row: str(row.get("timestamp", "")))
        if not found:
            self.line_error(f"no line of these files names the request {request}")
            return const.EXIT_FAILED
        for row in found:
            self.line(json.dumps(row) if self.option("json") else _as_text(row))
        return const.EXIT_OK


def _as_text(row: dict[str, Any]) -> str:
    inputs = " ".join(f"{k}={v}" for k, v in row.items() if k not in _PLAIN_FIELDS)
    return f"{row.get('timestamp')} {row.get('daemon')} {row.get('event')}: {inputs}"


class DeploymentCheckCommand(Command):
    """Check a document of settings in the platform's format."""

    name = "deployment check"
    description = "Check a document of settings in the platform's format."
    arguments = [argument("file", "The document, as the operator would write it.")]

    def handle(self) -> int:
        """Decode the file and say what is wrong, or what it holds."""
        name = cast(str, self.argument("file"))
        try:
            content = Path(name).read_bytes()
        except OSError as exc:
            self.line_error(f"{name}: {exc.strerror}")
            return const.EXIT_INVALID
        match decode_document(content):
            case Err(detail):
                self.line_error(f"{name}: {detail}")
                return const.EXIT_INVALID
            case Ok(found):
                self.line(
                    f"{name}: version {found.version}, {len(found.all_routes())} "
                    f"routes, {len(found.services)} services, "
                    f"{len(set(found.team_by_key.values()))} teams"
                )
        return const.EXIT_OK


class StateCommand(BaseCommand):
    """Show what a daemon on the platform believes."""

    name = "state"
    description = "Show what a daemon on the platform believes."
    arguments = [argument("address", "Host and port of the daemon's metrics.")]
    options = [_JSON_OPTION]

    def handle(self) -> int:
        """Read the daemon's state and write it as tables."""
        url = f"http://{self.argument('address')}/state"
        try:
            resp = httpx.get(url, timeout=seconds(const.CALL_TIMEOUT_MS))
            found = resp.json()
        except (httpx.HTTPError, httpx.InvalidURL, ValueError) as exc:
            detail = f"the daemon's state can't be read: {type(exc).__name__}"
            return self.fail(Failed(detail, const.EXIT_UNAVAILABLE))
        if self.option("json"):
            self.line(json.dumps(found))
            return const.EXIT_OK
        self.show(("BELIEF", "VALUE"), found["beliefs"].items(), found)
        for name in ("servers", "members", "pools"):
            rows = found[name]
            if rows:
                headers = [header.upper() for header in rows[0]]
                self.show(headers, (list(row.values()) for row in rows), found)
        return const.EXIT_OK
