"""The clock that all time-dependent code receives; times are whole milliseconds."""

import time
from collections.abc import Callable
from typing import Final

MS_PER_SECOND: Final = 1_000
NS_PER_MS: Final = 1_000_000


class Clock:
    """A source of monotonic and wall-clock time in whole milliseconds.

    :param monotonic_ns: source of monotonic time, in nanoseconds
    :param wall_ns: source of time since the Unix epoch, in nanoseconds
    """

    def __init__(
        self,
        monotonic_ns: Callable[[], int] = time.monotonic_ns,
        wall_ns: Callable[[], int] = time.time_ns,
    ) -> None:
        """Initialize the clock, by default with the system's time."""
        self._monotonic_ns = monotonic_ns
        self._wall_ns = wall_ns

    def now_ms(self) -> int:
        """Return the monotonic time in ms, for durations and deadlines."""
        return self._monotonic_ns() // NS_PER_MS

    def wall_ms(self) -> int:
        """Return the Unix time in ms, for times that leave the process."""
        return self._wall_ns() // NS_PER_MS


class ManualClock(Clock):
    """A clock for tests, which moves only when it is advanced."""

    def __init__(self, start_ms: int = 0) -> None:
        """Initialize both times to ``start_ms``."""
        self._ms = start_ms
        super().__init__(lambda: self._ms * NS_PER_MS, lambda: self._ms * NS_PER_MS)

    def advance(self, ms: int) -> None:
        """Advance both times by ``ms``."""
        self._ms += ms


def seconds(ms: float) -> float:
    """Convert milliseconds to seconds, as time-out parameters expect them."""
    return ms / MS_PER_SECOND
