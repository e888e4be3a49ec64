"""How many repeats this daemon may send to a service.

Load pattern: servers fail or refuse for seconds while callers repeat too, so that every
repeat makes the outage worse.  The bound holds over all daemons in every window: each
spends the ratio on the requests it saw itself, and its part of the fixed count.
"""

from collections import deque

import attrs


@attrs.frozen
class RetryAllowance:
    """The fleet's allowance for one service.

    :param ratio: repeats for each request of the window
    :param fixed: repeats besides, over all daemons
    :param window_ms: length of the sliding window
    """

    ratio: float
    fixed: float
    window_ms: int


class SlidingWindowRetryBudget:
    """Repeats and requests of one service at this daemon, in a sliding window."""

    def __init__(self, allowance: RetryAllowance) -> None:
        """Start with an empty window."""
        self._allowance = allowance
        self._requests: deque[int] = deque()
        self._repeats: deque[int] = deque()

    def record_request(self, now_ms: int) -> None:
        """Count a first attempt."""
        self._requests.append(now_ms)

    def try_acquire(self, daemons: int, now_ms: int) -> bool:
        """Spend one repeat if the allowance has one left.

        :param daemons: members that may spend too, at the most
        """
        self._forget(now_ms)
        allowed = self._allowance.ratio * len(self._requests)
        allowed += self._allowance.fixed / max(1, daemons)
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now_ms)
        return True

    def _forget(self, now_ms: int) -> None:
        before_ms = now_ms - self._allowance.window_ms
        for times in (self._requests, self._repeats):
            while times and times[0] <= before_ms:
                times.popleft()
