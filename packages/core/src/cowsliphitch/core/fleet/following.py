"""Following of a daemon that reads the store for its failure domain.

Load pattern: hundreds of daemons that watch every key call the store once each for each
change of any key, and again whenever a quiet watch ends.  In a large fleet, one daemon
of each failure domain reads the store and passes the changes on; the others read it
themselves only when they miss some.

Fault: the reader is lost, cut off, frozen or refused by the store.  Its messages stop,
or tell of an old view, and its followers read the store themselves again.

Every message names the revision that it continues from, so a follower applies the
changes only if it has all before them.
"""

from typing import Final

import attrs

from cowsliphitch.core.membership.ranking import rank
from cowsliphitch.core.revisions import Revision

from .members import MemberTable

# Time between two messages of a reader without changes, and after the last one until
# its followers read the store themselves.
BEACON_INTERVAL_MS: Final = 500
BEACON_TIMEOUT_MS: Final = 1_600

# Age of a reader's view from which its followers read the store themselves: a reader's
# quiet watch ends sooner.
MAX_READER_VIEW_AGE_MS: Final = 3_000

_DUTY: Final = "store-reader/"


def reader_of(members: MemberTable, now_ms: int) -> str:
    """Return the address of the daemon that reads the store for the own domain."""
    domain = members.own.failure_domain
    neighbours = [m.address for m in members.live(now_ms) if m.failure_domain == domain]
    return rank(_DUTY + domain, neighbours)[0]


@attrs.frozen
class _Beacon:
    """Latest message of a reader.

    :param view_ms: monotonic time of the store's last answer to the reader
    """

    heard_ms: int
    view_ms: int


class StoreFollowing:
    """Decide whether a daemon may leave reading the store to another one."""

    def __init__(self) -> None:
        """Initialize without a reader."""
        self._beacon: _Beacon | None = None
        # Revision of changes that were missed; they are read from the store.
        self._missed: Revision | None = None

    def hear(
        self,
        after: Revision,
        at: Revision,
        view_age_ms: int,
        known: Revision,
        now_ms: int,
    ) -> bool:
        """Record a reader's message.

        :param after: revision that its changes continue from
        :param at: revision that they lead to
        :param view_age_ms: time since the store's last answer to the reader
        :param known: revision that this daemon knows
        :returns: whether the changes continue what this daemon knows
        """
        if at.era < known.era:
            return False
        self._beacon = _Beacon(now_ms, now_ms - view_age_ms)
        if at <= known:
            return False
        if at.era == known.era and after <= known:
            return True
        self._missed = at
        return False

    def miss(self, at: Revision) -> None:
        """Record that changes up to a revision have to be read from the store."""
        self._missed = at

    def is_following(self, known: Revision, now_ms: int) -> bool:
        """Return whether a reader tells this daemon of all changes.

        :param known: revision that this daemon knows
        """
        has_missed = self._missed is not None and self._missed > known
        return not has_missed and self.has_reader(now_ms)

    def has_reader(self, now_ms: int) -> bool:
        """Return whether a reader was heard of late that the store serves."""
        beacon = self._beacon
        return (
            beacon is not None
            and now_ms - beacon.heard_ms <= BEACON_TIMEOUT_MS
            and now_ms - beacon.view_ms <= MAX_READER_VIEW_AGE_MS
        )
