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
    :param boot_ns: source of monotonic time that includes suspensions of the VM, in
        nanoseconds
    """

    def __init__(
        self,
        monotonic_ns: Callable[[], int] = time.monotonic_ns,
        wall_ns: Callable[[], int] = time.time_ns,
        boot_ns: Callable[[], int] = lambda: time.clock_gettime_ns(time.CLOCK_BOOTTIME),
    ) -> None:
        """Initialize the clock, by default with the system's time."""
        self._monotonic_ns = monotonic_ns
        self._wall_ns = wall_ns
        self._boot_ns = boot_ns

    def now_ms(self) -> int:
        """Return the monotonic time in ms, for durations and deadlines."""
        return self._monotonic_ns() // NS_PER_MS

    def boot_ms(self) -> int:
        """Return the time since boot in ms, which counts while the VM is suspended."""
        return self._boot_ns() // NS_PER_MS

    def wall_ms(self) -> int:
        """Return the Unix time in ms, for times that leave the process."""
        return self._wall_ns() // NS_PER_MS


class ManualClock(Clock):
    """A clock for tests, which moves only when it is advanced."""

    def __init__(self, start_ms: int = 0) -> None:
        """Initialize all times to ``start_ms``."""
        self._ms = start_ms
        source = self._now_ns
        super().__init__(source, source, source)

    def _now_ns(self) -> int:
        return self._ms * NS_PER_MS

    def advance(self, ms: int) -> None:
        """Advance all times by ``ms``."""
        self._ms += ms


def seconds(ms: float) -> float:
    """Convert milliseconds to seconds, as timeout parameters expect them."""
    return ms / MS_PER_SECOND
