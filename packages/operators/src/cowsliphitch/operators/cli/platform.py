"""Commands for daemons on the platform: explain and state."""

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, Final, cast

import httpx
from cleo.commands.command import Command
from cleo.helpers import argument, option

from cowsliphitch.core.clock import seconds

from . import const
from .base import BaseCommand
from .client import CommandError

_JSON_OPTION = option("json", None, "Print JSON.")
_COMMON_FIELDS: Final = ("timestamp", "daemon", "event", "level", "request", "requests")


def find_log_records(request: str, lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yield the log records that name a request.

    Text before the JSON object of a line, such as a timestamp added by a log collector,
    is skipped.

    :param request: identifier of the request
    :param lines: log lines with one JSON object each; others are skipped
    """
    for line in lines:
        start = line.find("{")
        if start < 0 or request not in line:
            continue
        try:
            record = json.loads(line[start:])
        except ValueError:
            continue
        if record.get("request") == request or request in record.get("requests", ()):
            yield record


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
        """Read the files and print the records that name the request, oldest first."""
        request = cast(str, self.argument("request"))
        records: list[dict[str, Any]] = []
        for name in cast(list[str], self.argument("files")):
            try:
                with Path(name).open(encoding="utf-8", errors="replace") as file:
                    records.extend(find_log_records(request, file))
            except OSError as exc:
                self.line_error(f"{name}: {exc.strerror}")
                return const.EXIT_INVALID
        records.sort(key=lambda record: str(record.get("timestamp", "")))
        if not records:
            self.line_error(f"no line of these files names the request {request}")
            return const.EXIT_FAILED
        for record in records:
            self.line(
                json.dumps(record) if self.option("json") else _format_record(record)
            )
        return const.EXIT_OK


def _format_record(record: dict[str, Any]) -> str:
    fields = " ".join(f"{k}={v}" for k, v in record.items() if k not in _COMMON_FIELDS)
    return (
        f"{record.get('timestamp')} {record.get('daemon')} "
        f"{record.get('event')}: {fields}"
    )


class StateCommand(BaseCommand):
    """Print the state of a daemon on the platform."""

    name = "state"
    description = "Print the state of a daemon on the platform."
    arguments = [argument("address", "Host and port of the daemon's metrics.")]
    options = [_JSON_OPTION]

    def handle(self) -> int:
        """Read the daemon's state and print it as tables."""
        url = f"http://{self.argument('address')}/state"
        try:
            resp = httpx.get(url, timeout=seconds(const.CALL_TIMEOUT_MS))
            state = resp.json()
        except (httpx.HTTPError, httpx.InvalidURL, ValueError) as exc:
            detail = f"the daemon's state can't be read: {type(exc).__name__}"
            return self.report_error(CommandError(detail, const.EXIT_UNAVAILABLE))
        if self.option("json"):
            self.line(json.dumps(state))
            return const.EXIT_OK
        self.print_result(("BELIEF", "VALUE"), state["beliefs"].items(), state)
        for name in ("servers", "members", "pools"):
            rows = state[name]
            if rows:
                headers = [header.upper() for header in rows[0]]
                self.print_result(headers, (list(row.values()) for row in rows), state)
        return const.EXIT_OK
