"""Overload of a daemon, seen from the delay of its event loop.

Load pattern: one daemon gets more work than its processor can do, such as the owner of
the stage pools on a small VM.  Each pass of its loop takes longer, and what it receives
in between, such as the news that a server leaves, is applied several passes late.  New
work is refused until the loop is on time again, which bounds the age of that news.
"""

from typing import Final

# Interval of the ticks by which the delay is measured.
TICK_INTERVAL_MS: Final = 100

# Delay from which new work is refused.  News passes three to five passes of the loop
# before it is applied, and has to be applied within 2 s.
OVERLOAD_DELAY_MS: Final = 300


class LoopDelayMonitor:
    """Measure how late the event loop runs a periodic tick."""

    def __init__(self) -> None:
        """Initialize the monitor without a tick."""
        self._last_tick_ms: int | None = None
        self._last_delay_ms = 0

    def record_tick(self, now_ms: int) -> int:
        """Record that the tick runs; return by how many ms it is late."""
        self._last_delay_ms = self._overdue_ms(now_ms)
        self._last_tick_ms = now_ms
        return self._last_delay_ms

    def delay_ms(self, now_ms: int) -> int:
        """Return the delay of the last tick, or of the next one if it is later."""
        return max(self._last_delay_ms, self._overdue_ms(now_ms))

    def is_overloaded(self, now_ms: int) -> bool:
        """Return whether new work should be refused."""
        return self.delay_ms(now_ms) >= OVERLOAD_DELAY_MS

    def _overdue_ms(self, now_ms: int) -> int:
        if self._last_tick_ms is None:
            return 0
        return max(0, now_ms - self._last_tick_ms - TICK_INTERVAL_MS)
