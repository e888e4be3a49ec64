"""Schedule of heartbeats: which peers get the next one.

Load pattern: each daemon sends to all others, so the number of datagrams grows with the
square of the fleet and keeps the loops busy.  Beyond a number of peers, daemons probe
each other instead, and heartbeats go to a part of the peers at a time, in turn, while
there is news that only they carry.  A daemon that holds a duty always sends to all,
since its failure has to be noticed at once, and so does one with urgent news.
"""

import itertools
import math
from collections.abc import Sequence
from typing import Final

import attrs

from .members import HEARTBEAT_INTERVAL_MS

# Peers that get a heartbeat at a time.  With more of them, daemons probe each other.
MAX_RECIPIENTS: Final = 16

# Interval that a probed daemon states: a peer of an earlier version takes it for the
# time until the next heartbeat.
PROBED_INTERVAL_MS: Final = 30_000

# Rounds between two heartbeats of a daemon that holds a duty, if daemons probe each
# other.
HOLDER_ROUNDS: Final = 2


@attrs.frozen
class Recipients:
    """Peers that get the next heartbeat.

    :param interval_ms: time until the heartbeat after it to the same peers
    :param is_probed: no heartbeat is sent regularly after it
    """

    addresses: tuple[str, ...]
    interval_ms: int
    is_probed: bool = False


class HeartbeatSchedule:
    """Choose the peers that get each heartbeat.

    :ivar has_promised_interval: all peers expect regular heartbeats
    """

    def __init__(self) -> None:
        """Initialize the schedule without a heartbeat."""
        self._round = itertools.count()
        self.has_promised_interval = False

    def next_recipients(
        self, addresses: Sequence[str], to_all: bool, has_news: bool = False
    ) -> Recipients:
        """Return the peers that get the next heartbeat.

        :param addresses: addresses of all peers
        :param to_all: this daemon holds a duty or has urgent news
        :param has_news: it has news that only its own heartbeats carry
        """
        number = next(self._round)
        everyone = tuple(sorted(addresses))
        if len(everyone) <= MAX_RECIPIENTS:
            self.has_promised_interval = True
            return Recipients(everyone, HEARTBEAT_INTERVAL_MS)
        if to_all:
            self.has_promised_interval = True
            interval_ms = HOLDER_ROUNDS * HEARTBEAT_INTERVAL_MS
            is_due = number % HOLDER_ROUNDS == 0
            return Recipients(everyone if is_due else (), interval_ms)
        if self.has_promised_interval:
            # All peers still expect regular heartbeats.
            self.has_promised_interval = False
            return Recipients(everyone, PROBED_INTERVAL_MS, is_probed=True)
        chosen: tuple[str, ...] = ()
        if has_news:
            groups = math.ceil(len(everyone) / MAX_RECIPIENTS)
            chosen = everyone[number % groups :: groups]
        return Recipients(chosen, PROBED_INTERVAL_MS, is_probed=True)
