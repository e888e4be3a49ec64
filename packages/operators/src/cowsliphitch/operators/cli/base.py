"""Common parts of the commands: options, output and errors."""

from collections.abc import Iterable, Sequence
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import option

from .client import CommandError, OperatorClient, create_client, format_json

COMMON_OPTIONS = [
    option("daemon", "d", "Base URL of a daemon's operators' API.", flag=False),
    option("json", None, "Print JSON."),
]


class BaseCommand(Command):
    """Base of the commands that call the operators' API of one daemon."""

    options = COMMON_OPTIONS

    def client(self) -> OperatorClient:
        """Return a client of the daemon given by ``--daemon`` or the environment."""
        return create_client(self.option("daemon"))

    def report_error(self, error: CommandError) -> int:
        """Print an error to stderr and return its exit code."""
        self.line_error(error.detail)
        return error.exit_code

    def print_result(
        self, headers: Sequence[str], rows: Iterable[Sequence[Any]], data: Any
    ) -> None:
        """Print a table, or JSON if ``--json`` is given.

        :param data: what to print as JSON
        """
        if self.option("json"):
            self.line(format_json(data))
            return
        table = self.table(style="compact")
        table.set_headers(list(headers))
        table.set_rows([[str(cell) for cell in row] for row in rows])
        table.render()
