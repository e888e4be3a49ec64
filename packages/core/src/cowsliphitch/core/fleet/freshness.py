"""Freshness of a daemon's knowledge, which a cut or a standstill makes old.

Fault: a daemon is cut off from the store and its peers, or stands still, and does not
know what happened meanwhile.  Its first messages after that were sent before: what they
say is old, too.  Times include those in which the process or its VM stood still.
"""

from collections.abc import Collection
from typing import Final

import attrs

from .members import HEARTBEAT_TIMEOUT_MARGIN_MS

# Age of a view of the store up to which nobody can have met what is missing in it.
MAX_VIEW_AGE_MS: Final = 1_000

# Time for which a peer has to be heard after a silence until it counts as heard now.
SETTLING_MS: Final = 300


@attrs.frozen
class _Source:
    """What a peer said last.

    :param since_ms: time at which it was heard first after a silence
    :param heard_ms: time at which it was heard last
    :param view_ms: time of its last answer from the store, ``None`` without one
    :param interval_ms: time until its next message
    """

    since_ms: int
    heard_ms: int
    view_ms: int | None
    interval_ms: int

    def is_silent(self, now_ms: int) -> bool:
        """Return whether messages are missing, so that the next one may be old."""
        timeout_ms = 2 * self.interval_ms + HEARTBEAT_TIMEOUT_MARGIN_MS
        return now_ms - self.heard_ms > timeout_ms

    def is_heard(self, now_ms: int) -> bool:
        """Return whether what it said last is current."""
        has_settled = self.heard_ms - self.since_ms >= SETTLING_MS
        return has_settled and not self.is_silent(now_ms)


class FleetFreshness:
    """Track how old the peers' views of the store are.

    Times are boot time, in ms.
    """

    def __init__(self) -> None:
        """Initialize without having heard a peer."""
        self._sources: dict[str, _Source] = {}
        # Time of the latest view of a peer that it answered a probe with.
        self._confirmed_view_ms: int | None = None

    def confirm(self, view_age_ms: int | None, probed_ms: int) -> None:
        """Record that a peer answered a probe of this daemon.

        The answer can't have waited since before the probe.

        :param view_age_ms: time since the peer's last answer from the store when it
            answered the probe, ``None`` if it has none
        :param probed_ms: time at which the probe was sent
        """
        if view_age_ms is None:
            return
        view_ms = probed_ms - view_age_ms
        if self._confirmed_view_ms is None or view_ms > self._confirmed_view_ms:
            self._confirmed_view_ms = view_ms

    def hear(
        self, address: str, view_age_ms: int | None, interval_ms: int, now_ms: int
    ) -> None:
        """Record that a peer was heard.

        One that was never heard before has no message that waited.

        :param view_age_ms: time since its last answer from the store, ``None`` if it
            has none
        :param interval_ms: time until its next message
        """
        view_ms = None if view_age_ms is None else now_ms - view_age_ms
        known = self._sources.get(address)
        if known is None:
            since_ms = now_ms - SETTLING_MS
        elif known.is_silent(now_ms):
            since_ms = now_ms
        else:
            since_ms = known.since_ms
        self._sources[address] = _Source(since_ms, now_ms, view_ms, interval_ms)

    def retain(self, addresses: Collection[str]) -> None:
        """Forget the peers that are not among those known."""
        self._sources = {a: s for a, s in self._sources.items() if a in addresses}

    def is_current(self, peers: Collection[str], now_ms: int) -> bool:
        """Return whether the peers would have told of all that the store had news of.

        They would if one of them has a recent view of the store, or if no daemon is
        out of hearing: then the store serves none of them.

        :param peers: addresses of all other daemons that are not leaving
        """
        confirmed_ms = self._confirmed_view_ms
        if confirmed_ms is not None and now_ms - confirmed_ms <= MAX_VIEW_AGE_MS:
            return True
        heard = {
            address: source
            for address, source in self._sources.items()
            if source.is_heard(now_ms)
        }
        return set(peers) <= heard.keys() or any(
            source.view_ms is not None and now_ms - source.view_ms <= MAX_VIEW_AGE_MS
            for source in heard.values()
        )
