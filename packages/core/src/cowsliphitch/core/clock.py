"""The one clock type of the project, in milliseconds."""

import time
from collections.abc import Callable
from typing import Final

MS_PER_SECOND: Final = 1_000
NS_PER_MS: Final = 1_000_000


class Clock:
    """Read monotonic and wall time in whole milliseconds.

    :param monotonic_ns: source of monotonic time, in nanoseconds
    :param wall_ns: source of time since the Unix epoch, in nanoseconds
    """

    def __init__(
        self,
        monotonic_ns: Callable[[], int] = time.monotonic_ns,
        wall_ns: Callable[[], int] = time.time_ns,
    ) -> None:
        """Remember the two time sources."""
        self._monotonic_ns = monotonic_ns
        self._wall_ns = wall_ns

    def now_ms(self) -> int:
        """Return monotonic time in ms, for durations and deadlines."""
        return self._monotonic_ns() // NS_PER_MS

    def wall_ms(self) -> int:
        """Return ms since the Unix epoch, for times that leave the process."""
        return self._wall_ns() // NS_PER_MS


class ManualClock(Clock):
    """A clock that a test moves by hand."""

    def __init__(self, start_ms: int = 0) -> None:
        """Start both times at ``start_ms``."""
        self._ms = start_ms
        super().__init__(lambda: self._ms * NS_PER_MS, lambda: self._ms * NS_PER_MS)

    def advance(self, ms: int) -> None:
        """Move both times forward by ``ms``."""
        self._ms += ms


def seconds(ms: float) -> float:
    """Convert ms to the seconds that the standard library expects."""
    return ms / MS_PER_SECOND
