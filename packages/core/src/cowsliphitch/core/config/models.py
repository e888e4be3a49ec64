"""The stored configuration: immutable values, and one root that references them.

Values are stored under their digest and never change.  A change takes effect when the
root is replaced by compare-and-swap, so readers see all of it or none.
"""

import hashlib
from typing import Final

import attrs
from result import Err, Ok, Result

from cowsliphitch.core.revisions import FIRST_ERA
from cowsliphitch.core.settings.models import Settings
from cowsliphitch.core.settings.schema import dump_json

# Revisions that the first change of a later era of the store skips for each era since
# the change before.  In each, the store may have lost changes, fewer than these, whose
# revisions are in force somewhere.
REVISIONS_SKIPPED_PER_ERA: Final = 100_000


@attrs.frozen
class Manifest:
    """The root, which references the values in force.

    :param revision: number of the configuration, counted from 1; 0 if none is stored
    :param change: identifier of the change that created this manifest
    :param branches: digest of the stored value by branch path
    :param era: era of the store in which it was stored
    """

    revision: int = 0
    change: str = ""
    branches: dict[str, str] = attrs.Factory(dict)
    era: int = 0


@attrs.frozen
class BranchChange:
    """The effect of a change on one branch.

    :param before: digest of the old value, ``None`` if the branch was absent
    :param after: digest of the new value, ``None`` if the branch was removed
    """

    path: str
    before: str | None
    after: str | None


@attrs.frozen
class Change:
    """An entry of the audit trail.

    :param change: identifier of the change
    :param revision: the revision that the change created
    :param previous: identifier of the preceding change, which links the trail
    :param who: the operator whose token was used
    :param wall_ms: Unix time of the submission in ms
    :param note: the operator's comment
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
    """A change that was rejected because a concurrent one was stored first.

    :param change: identifier of the rejected change
    :param who: the operator whose token was used
    :param wall_ms: Unix time of the submission in ms
    :param note: the operator's comment
    :param base_revision: the revision that the operator edited
    :param lost_to: identifier of the change that was stored
    """

    change: str
    who: str
    wall_ms: int
    note: str
    base_revision: int
    lost_to: str


@attrs.frozen
class Snapshot:
    """A complete configuration: the manifest and the value of every branch."""

    manifest: Manifest
    values: dict[str, str]


def branch_values(settings: Settings) -> dict[str, str]:
    """Split a settings tree into branches.

    :returns: canonical JSON text by branch path
    """
    fixed = {
        "fleet": dump_json(settings.fleet),
        "pipelines": dump_json(settings.pipelines),
        "services": dump_json(settings.services),
    }
    teams = {f"teams/{name}": dump_json(team) for name, team in settings.teams.items()}
    return fixed | teams


def digest(value: str) -> str:
    """Return the digest under which a value is stored."""
    return hashlib.sha256(value.encode()).hexdigest()


@attrs.frozen
class Conflict:
    """A change was rejected: its base revision is no longer in force."""

    base_revision: int
    current: Manifest


@attrs.frozen
class PlannedChange:
    """The writes of one change, to be made in this order: values, entry, root.

    :param manifest: the new root
    :param values: text of the changed branches by path
    :param entry: the entry of the audit trail
    """

    manifest: Manifest
    values: dict[str, str]
    entry: Change


def plan_change(
    current: Manifest,
    base_revision: int,
    settings: Settings,
    entry: Change,
    era: int,
) -> Result[PlannedChange, Conflict]:
    """Plan the writes that replace the configuration in force.

    :param current: the manifest in force
    :param base_revision: the revision that the operator edited
    :param entry: change identifier, operator, time and note; the other fields are set
        here
    :param era: era of the store that has the current manifest
    """
    if current.revision != base_revision:
        return Err(Conflict(base_revision, current))
    values = branch_values(settings)
    branches = {path: digest(value) for path, value in values.items()}
    branch_changes = tuple(
        BranchChange(path, current.branches.get(path), branches.get(path))
        for path in sorted(current.branches.keys() | branches.keys())
        if current.branches.get(path) != branches.get(path)
    )
    known_era = current.era if current.revision else FIRST_ERA
    skipped = max(0, era - known_era) * REVISIONS_SKIPPED_PER_ERA
    revision = current.revision + 1 + skipped
    manifest = Manifest(revision, entry.change, branches, era)
    entry = attrs.evolve(
        entry, revision=revision, previous=current.change, branches=branch_changes
    )
    changed_values = {
        c.path: values[c.path] for c in branch_changes if c.after is not None
    }
    return Ok(PlannedChange(manifest, changed_values, entry))


def is_newer(current: Snapshot | None, offered: Manifest) -> bool:
    """Return whether an offered manifest may replace the one in force."""
    return current is None or offered.revision > current.manifest.revision
