"""Build the settings tree from a stored configuration, branch by branch.

Building blocks the daemon, so it must stay short however many teams there are.  A
change usually modifies few branches, so branches with unchanged values come from a
cache.
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
FIXED_BRANCH_TYPES: Final[dict[str, Any]] = {
    "fleet": Fleet,
    "pipelines": dict[Name, Pipeline],
    "services": dict[Name, Service],
}


class SettingsBuilder:
    """Builds settings trees, caching the parsed branches of the previous one."""

    def __init__(self) -> None:
        """Initialize an empty cache."""
        self._cache: dict[tuple[str, str], Any] = {}

    def build(self, snapshot: Snapshot) -> Result[Settings, tuple[Problem, ...]]:
        """Validate a snapshot and build its settings tree.

        :returns: the tree, or the problems of the first invalid branch; if all
            branches are valid, the problems of references between them
        """
        branches: dict[str, Any] = {}
        cache: dict[tuple[str, str], Any] = {}
        for path, text in snapshot.values.items():
            branch = self._cache.get((path, text))
            if branch is None:
                match load_branch(path, text, _branch_type(path)):
                    case Err(problems):
                        return Err(problems)
                    case Ok(value):
                        branch = value
            branches[path] = cache[path, text] = branch
        self._cache = cache
        return _validate_references(_assemble(branches))


def _branch_type(path: str) -> Any:
    return Team if path.startswith(TEAM_PREFIX) else FIXED_BRANCH_TYPES[path]


def _assemble(branches: dict[str, Any]) -> Settings:
    fixed = {path: branches[path] for path in FIXED_BRANCH_TYPES if path in branches}
    teams = {
        Name(path.removeprefix(TEAM_PREFIX)): team
        for path, team in branches.items()
        if path.startswith(TEAM_PREFIX)
    }
    return attrs.evolve(Settings(**fixed), teams=teams)


def _validate_references(settings: Settings) -> Result[Settings, tuple[Problem, ...]]:
    problems = tuple(
        Problem(".".join(path), 1, expected)
        for path, expected in check_references(settings)
    )
    return Err(problems) if problems else Ok(settings)


def build_settings(snapshot: Snapshot) -> Result[Settings, tuple[Problem, ...]]:
    """Validate a snapshot and build its settings tree, without a cache."""
    return SettingsBuilder().build(snapshot)
