"""Schedule of heartbeats: which peers get the next one.

Load pattern: each daemon sends to all others, so the number of datagrams grows with the
square of the fleet and keeps the loops busy.  Beyond a number of peers, a daemon sends
to a part of them at a time, in turn.  A daemon that holds a duty always sends to all,
since its failure has to be noticed at once, and so does one with urgent news.
"""

import itertools
import math
from collections.abc import Sequence
from typing import Final

import attrs

from .members import HEARTBEAT_INTERVAL_MS

# Peers that get a heartbeat at a time.
MAX_RECIPIENTS: Final = 16


@attrs.frozen
class Recipients:
    """Peers that get the next heartbeat.

    :param interval_ms: time until the heartbeat after it to the same peers
    """

    addresses: tuple[str, ...]
    interval_ms: int


class HeartbeatSchedule:
    """Divide the peers into groups that get heartbeats in turn."""

    def __init__(self) -> None:
        """Initialize the schedule; the first heartbeat goes to the first group."""
        self._round = itertools.count()
        self._sent_to_all = False

    def next_recipients(self, addresses: Sequence[str], to_all: bool) -> Recipients:
        """Return the peers that get the next heartbeat.

        :param addresses: addresses of all peers
        :param to_all: this daemon holds a duty or has urgent news
        """
        number = next(self._round)
        ordered = sorted(addresses)
        groups = max(1, math.ceil(len(ordered) / MAX_RECIPIENTS))
        if to_all:
            self._sent_to_all = True
            return Recipients(tuple(ordered), HEARTBEAT_INTERVAL_MS)
        interval_ms = groups * HEARTBEAT_INTERVAL_MS
        if self._sent_to_all:
            # All peers still expect the short interval.
            self._sent_to_all = False
            return Recipients(tuple(ordered), interval_ms)
        return Recipients(tuple(ordered[number % groups :: groups]), interval_ms)
