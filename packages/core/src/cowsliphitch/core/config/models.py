"""The configuration as it is stored: immutable values under one moving root."""

import hashlib

import attrs
from result import Err, Ok, Result

from cowsliphitch.core.settings.models import Settings
from cowsliphitch.core.settings.schema import dump_json


@attrs.frozen
class Manifest:
    """The root: which values are in force.

    :param revision: number of the configuration, counted from 1
    :param change: the change that made this manifest
    :param branches: digest of the stored value by branch path
    """

    revision: int = 0
    change: str = ""
    branches: dict[str, str] = attrs.Factory(dict)


@attrs.frozen
class BranchChange:
    """What a change did to one branch; ``None`` stands for absent."""

    path: str
    before: str | None
    after: str | None


@attrs.frozen
class Change:
    """An entry of the audit trail.

    :param previous: the change before this one, which makes the trail a chain
    :param who: the operator whose token was used
    :param wall_ms: when, Unix epoch
    :param note: the operator's own words
    """

    change: str
    revision: int
    previous: str
    who: str
    wall_ms: int
    note: str
    branches: tuple[BranchChange, ...]


@attrs.frozen
class Rejected:
    """A change that lost a race: it names the loser and what it conflicted with."""

    change: str
    who: str
    wall_ms: int
    note: str
    base_revision: int
    lost_to: str


@attrs.frozen
class Snapshot:
    """A whole configuration: the manifest and the value of every branch."""

    manifest: Manifest
    values: dict[str, str]


def branch_values(settings: Settings) -> dict[str, str]:
    """Split the settings tree into the canonical text of each branch."""
    fixed = {
        "fleet": dump_json(settings.fleet),
        "pipelines": dump_json(settings.pipelines),
        "services": dump_json(settings.services),
    }
    teams = {f"teams/{name}": dump_json(team) for name, team in settings.teams.items()}
    return fixed | teams


def digest(value: str) -> str:
    """Return the name under which a value is stored."""
    return hashlib.sha256(value.encode()).hexdigest()


@attrs.frozen
class Conflict:
    """A change was planned on a revision that is no longer in force."""

    base_revision: int
    current: Manifest


@attrs.frozen
class PlannedChange:
    """The writes of one change: values first, the audit entry, then the root."""

    manifest: Manifest
    values: dict[str, str]
    entry: Change


def plan_change(
    current: Manifest, base_revision: int, settings: Settings, entry: Change
) -> Result[PlannedChange, Conflict]:
    """Plan the change from the manifest in force to new settings.

    :param base_revision: the revision that the operator edited
    :param entry: who, when and why; its other fields are filled in here
    """
    if current.revision != base_revision:
        return Err(Conflict(base_revision, current))
    values = branch_values(settings)
    branches = {path: digest(value) for path, value in values.items()}
    touched = tuple(
        BranchChange(path, current.branches.get(path), branches.get(path))
        for path in sorted(current.branches.keys() | branches.keys())
        if current.branches.get(path) != branches.get(path)
    )
    revision = current.revision + 1
    manifest = Manifest(revision, entry.change, branches)
    entry = attrs.evolve(
        entry, revision=revision, previous=current.change, branches=touched
    )
    changed = {t.path: values[t.path] for t in touched if t.after is not None}
    return Ok(PlannedChange(manifest, changed, entry))


def is_newer(current: Snapshot | None, offered: Manifest) -> bool:
    """Tell whether an offered manifest may replace the one in force."""
    return current is None or offered.revision > current.manifest.revision
