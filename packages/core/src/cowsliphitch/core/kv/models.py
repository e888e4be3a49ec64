"""Entries, events and results of the platform's key-value store."""

import attrs

from cowsliphitch.core.revisions import Revision


@attrs.frozen
class Entry:
    """Value of a key, or the event that it was written.

    :param revision: revision of the last write to the key
    """

    key: str
    value: str
    revision: Revision


@attrs.frozen
class Deleted:
    """Event: a key was deleted."""

    key: str
    revision: Revision


Event = Entry | Deleted


@attrs.frozen
class Listing:
    """All entries under a prefix.

    :param at: revision of the store after which to start a watch
    """

    entries: tuple[Entry, ...]
    at: Revision


@attrs.frozen
class Changes:
    """Events under a prefix after a revision.

    :param at: revision of the store after which to continue the watch
    """

    events: tuple[Event, ...]
    at: Revision


@attrs.frozen
class KeyRead:
    """A watched key as it is now.

    :param entry: ``None`` if the key is absent
    :param at: revision of the store after which to continue the watch
    """

    entry: Entry | None
    at: Revision


@attrs.frozen
class KeyUnchanged:
    """The watched key did not change during the watch.

    :param at: revision of the store after which to continue the watch
    """

    at: Revision


KeyUpdate = KeyRead | KeyUnchanged


@attrs.frozen
class Applied:
    """Result: the write was applied.

    :param revision: revision of the write
    """

    revision: Revision


@attrs.frozen
class Conflict:
    """Result: the write was not applied.

    The key has another revision, or the lease of the write has ended.
    """


@attrs.frozen
class WriteOutcomeUnknown:
    """Result: no usable answer; the write may take effect, now or later."""

    detail: str


@attrs.frozen
class LeaseExpired:
    """Error: the lease has expired or was revoked."""


WriteResult = Applied | Conflict | WriteOutcomeUnknown


@attrs.frozen
class Unavailable:
    """Error: the store gave no usable answer."""

    detail: str


@attrs.frozen
class Compacted:
    """Error: the store no longer has the history after the watch's revision."""


@attrs.frozen
class Restored:
    """Error: the store has come back from a copy since the revision of the watch.

    :param era: era of the store now
    """

    era: int
