"""Author and outcomes of a change, and the root as read from the store."""

import attrs

from cowsliphitch.core.config.models import Conflict, Manifest
from cowsliphitch.core.revisions import Revision


@attrs.frozen
class Author:
    """The author of a change, as recorded in the audit trail.

    :param who: name of the operator whose token was used
    :param note: the operator's comment
    """

    who: str
    note: str


@attrs.frozen
class Stored:
    """Result: the change was stored; only a later change can undo it.

    :param manifest: the root that the change created
    """

    manifest: Manifest

    @property
    def revision(self) -> int:
        """Return the revision that the change created."""
        return self.manifest.revision

    @property
    def change(self) -> str:
        """Return the identifier of the change."""
        return self.manifest.change


@attrs.frozen
class Unchanged:
    """Result: nothing was stored, since the settings equal those in force."""

    revision: int


@attrs.frozen
class SubmitConflict:
    """Result: another change was stored first; this one was rejected.

    :param winner: the operator who made the current change, or ``unknown``
    """

    conflict: Conflict
    winner: str


@attrs.frozen
class OutcomeUnknown:
    """Result: the write of the root was not confirmed in time.

    The change may have been stored, or may still be.

    :param change: identifier of the change
    """

    change: str
    detail: str


@attrs.frozen
class StoreUnavailable:
    """Result: the change was not stored and will not be.

    The root could not be read, or a value could not be written in time.
    """

    detail: str


SubmitResult = Stored | Unchanged | SubmitConflict | OutcomeUnknown | StoreUnavailable


@attrs.frozen
class Root:
    """The root key, which references the values in force, as read from the store.

    :param manifest: an empty one if the key is absent
    :param key_revision: revision of the root's key in the store, ``NO_REVISION`` if
        absent
    """

    manifest: Manifest
    key_revision: Revision


@attrs.frozen
class RootUpdate:
    """Result of waiting for a change of the root.

    :param root: ``None`` if it did not change
    :param at: revision of the store after which to continue the watch
    """

    root: Root | None
    at: Revision
