"""Fleet-wide limit on the retries that are sent to one service.

Load pattern: servers fail or refuse for seconds while callers retry too, so that every
further retry worsens the outage.  The limit holds over all daemons in every window:
each daemon spends the ratio on the requests that it received itself, and an equal part
of the fixed count.
"""

from collections import deque

import attrs


@attrs.frozen
class RetryAllowance:
    """Retries that all daemons together may send to one service within a window.

    :param ratio: retries for each first attempt in the window
    :param fixed: additional retries in the window, over all daemons
    :param window_ms: length of the sliding window
    """

    ratio: float
    fixed: float
    window_ms: int


class SlidingWindowRetryBudget:
    """This daemon's part of a service's retry allowance."""

    def __init__(self, allowance: RetryAllowance) -> None:
        """Initialize the budget with an empty window."""
        self._allowance = allowance
        self._request_times: deque[int] = deque()
        self._retry_times: deque[int] = deque()

    def record_request(self, now_ms: int) -> None:
        """Record a first attempt, which adds ``ratio`` retries to the budget."""
        self._request_times.append(now_ms)

    def try_acquire(self, daemon_count: int, now_ms: int) -> bool:
        """Spend one retry if the budget has one.

        :param daemon_count: upper bound of the daemons that share the fixed count
        :returns: whether the retry may be sent
        """
        self._remove_expired(now_ms)
        allowed = self._allowance.ratio * len(self._request_times)
        allowed += self._allowance.fixed / max(1, daemon_count)
        if len(self._retry_times) + 1 > allowed:
            return False
        self._retry_times.append(now_ms)
        return True

    def _remove_expired(self, now_ms: int) -> None:
        cutoff_ms = now_ms - self._allowance.window_ms
        for times in (self._request_times, self._retry_times):
            while times and times[0] <= cutoff_ms:
                times.popleft()
