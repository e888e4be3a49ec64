"""The ``cowsliphitch`` command, with which operators manage a fleet of daemons."""

import sys

from cleo.application import Application

from .config import (
    ConfigCheckCommand,
    ConfigDiffCommand,
    ConfigReadCommand,
    ConfigStoreCommand,
)
from .deployment import DeploymentCheckCommand
from .platform import ExplainCommand, StateCommand
from .requests import RequestCommand, TokenCommand
from .status import (
    AuditCommand,
    DaemonsCommand,
    DiagnosticsCommand,
    TeamsCommand,
    UpstreamsCommand,
)

COMMANDS = (
    ConfigCheckCommand,
    ConfigDiffCommand,
    ConfigReadCommand,
    ConfigStoreCommand,
    DaemonsCommand,
    UpstreamsCommand,
    TeamsCommand,
    AuditCommand,
    DiagnosticsCommand,
    RequestCommand,
    TokenCommand,
    ExplainCommand,
    DeploymentCheckCommand,
    StateCommand,
)


def main() -> None:
    """Run the subcommand given on the command line and exit with its code."""
    application = Application("cowsliphitch", "0.1.0")
    for command in COMMANDS:
        application.add(command())
    sys.exit(application.run())
