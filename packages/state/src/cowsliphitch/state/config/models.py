"""What may come of an operator's change."""

import attrs

from cowsliphitch.core.config.models import Conflict, Manifest


@attrs.frozen
class Stored:
    """The change is in the platform's service and can no longer be undone."""

    revision: int
    change: str


@attrs.frozen
class Unchanged:
    """The settings are the ones in force already."""

    revision: int


@attrs.frozen
class SubmitConflict:
    """Another change came first; this one was not stored."""

    conflict: Conflict
    winner: str


@attrs.frozen
class OutcomeUnknown:
    """The platform gave no answer in time: the change may take effect later."""

    change: str
    detail: str


@attrs.frozen
class StoreUnavailable:
    """Nothing was written: the platform could not be read."""

    detail: str


SubmitResult = Stored | Unchanged | SubmitConflict | OutcomeUnknown | StoreUnavailable


@attrs.frozen
class Root:
    """The manifest that was read, and its revision as a key."""

    manifest: Manifest
    key_revision: int
