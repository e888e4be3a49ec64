"""What all commands share: options, tables and failures."""

from collections.abc import Iterable, Sequence
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import option

from .client import Failed, OperatorClient, client_from, dump

COMMON_OPTIONS = [
    option("daemon", "d", "Address of a daemon's operators' interface.", flag=False),
    option("json", None, "Write JSON for programs."),
]


class BaseCommand(Command):
    """A command that talks to one daemon."""

    options = COMMON_OPTIONS

    def client(self) -> OperatorClient:
        """Return the client for the daemon that was named."""
        return client_from(self.option("daemon"))

    def fail(self, failed: Failed) -> int:
        """Say what went wrong and return the exit code."""
        self.line_error(failed.detail)
        return failed.exit_code

    def show(
        self, headers: Sequence[str], rows: Iterable[Sequence[Any]], plain: Any
    ) -> None:
        """Write a table for a person, or JSON for a program."""
        if self.option("json"):
            self.line(dump(plain))
            return
        table = self.table(style="compact")
        table.set_headers(list(headers))
        table.set_rows([[str(cell) for cell in row] for row in rows])
        table.render()
