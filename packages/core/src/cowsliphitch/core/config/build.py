"""Build the settings tree of a stored configuration, branch by branch.

A change touches few branches, and a daemon must not stop for long to take it: branches
whose values are known are not read again.
"""

from typing import Any, Final

import attrs
from result import Err, Ok, Result

from cowsliphitch.core.settings.models import Fleet, Pipeline, Service, Settings, Team
from cowsliphitch.core.settings.references import check_references
from cowsliphitch.core.settings.schema import Problem, load_branch
from cowsliphitch.core.settings.units import Name

from .models import Snapshot

TEAM_PREFIX: Final = "teams/"
FIXED: Final[dict[str, Any]] = {
    "fleet": Fleet,
    "pipelines": dict[Name, Pipeline],
    "services": dict[Name, Service],
}


class SettingsBuilder:
    """Build settings trees, remembering the branches of the last one."""

    def __init__(self) -> None:
        """Start without branches."""
        self._known: dict[tuple[str, str], Any] = {}

    def build(self, snapshot: Snapshot) -> Result[Settings, tuple[Problem, ...]]:
        """Check and build the settings tree of a snapshot."""
        branches: dict[str, Any] = {}
        known: dict[tuple[str, str], Any] = {}
        for path, text in snapshot.values.items():
            found = self._known.get((path, text))
            if found is None:
                match load_branch(path, text, _kind_of(path)):
                    case Err(problems):
                        return Err(problems)
                    case Ok(value):
                        found = value
            branches[path] = known[path, text] = found
        self._known = known
        return _check(_assemble(branches))


def _kind_of(path: str) -> Any:
    return Team if path.startswith(TEAM_PREFIX) else FIXED[path]


def _assemble(branches: dict[str, Any]) -> Settings:
    fixed = {path: branches[path] for path in FIXED if path in branches}
    teams = {
        Name(path.removeprefix(TEAM_PREFIX)): team
        for path, team in branches.items()
        if path.startswith(TEAM_PREFIX)
    }
    return attrs.evolve(Settings(**fixed), teams=teams)


def _check(settings: Settings) -> Result[Settings, tuple[Problem, ...]]:
    problems = tuple(
        Problem(".".join(path), 1, expected)
        for path, expected in check_references(settings)
    )
    return Err(problems) if problems else Ok(settings)


def build_settings(snapshot: Snapshot) -> Result[Settings, tuple[Problem, ...]]:
    """Check and build the settings tree of a snapshot, without remembering it."""
    return SettingsBuilder().build(snapshot)
