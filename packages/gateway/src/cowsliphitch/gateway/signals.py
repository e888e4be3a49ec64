"""Signals that stop a daemon.

Fault: signals come in series, and while the daemon starts or exits.  With the default
action of a signal, the daemon would end at once.  Therefore the handlers are installed
before the modules of the daemon are imported, and are in place until the process ends.
A process that is still importing them serves nothing, and ends at the first signal.

Fault: something holds a stopping daemon beyond its grace period, which then ends by
SIGKILL.  A timer of the system ends it before, even while the event loop is busy.
"""

import os
import signal
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from types import FrameType

# Exit status of a process that did not end in time by itself.
EXIT_FORCED = 3


class StopSignals:
    """Handlers of the signals that stop this daemon, and of those without effect.

    :ivar received_ms: time since boot in ms, including suspensions, at which the first
        signal that stops the daemon arrived, ``None`` before
    """

    def __init__(
        self, stopping: Sequence[signal.Signals], ignored: Sequence[signal.Signals] = ()
    ) -> None:
        """Install the handlers.  Only the main thread may do that.

        :param stopping: signals of which the first stops the daemon
        :param ignored: signals without effect
        """
        self._stopping = stopping
        self.received_ms: int | None = None
        self._is_starting = True
        self._exit_after_ms: int | None = None
        self._on_late: Callable[[], object] = lambda: None
        self._on_stop: Callable[[], object] | None = None
        for number in ignored:
            signal.signal(number, signal.SIG_IGN)
        for number in stopping:
            signal.signal(number, self._handle)

    def _handle(self, _number: int, _frame: FrameType | None) -> None:
        if self._is_starting:
            os._exit(0)
        # The interpreter removes handlers when it exits, but ignored signals stay so.
        for number in self._stopping:
            signal.signal(number, signal.SIG_IGN)
        self.received_ms = _boot_ms()
        self._set_timer()
        if self._on_stop is not None:
            self._on_stop()

    @contextmanager
    def notify(self, on_stop: Callable[[], object]) -> Iterator[None]:
        """Call a function when a signal arrives, or at once if one has arrived."""
        self._is_starting = False
        self._on_stop = on_stop
        if self.received_ms is not None:
            on_stop()
        try:
            yield
        finally:
            self._on_stop = None

    def limit_exit(self, after_ms: int, on_late: Callable[[], object]) -> None:
        """End the process some time after a signal, unless it has ended by itself.

        :param after_ms: time between the signal and the end
        :param on_late: called before the process ends
        """
        self._is_starting = False
        self._exit_after_ms, self._on_late = after_ms, on_late
        signal.signal(signal.SIGALRM, self._end_process)
        self._set_timer()

    def _set_timer(self) -> None:
        if self.received_ms is None or self._exit_after_ms is None:
            return
        left_ms = self.received_ms + self._exit_after_ms - _boot_ms()
        # A timer of 0 would never fire.
        signal.setitimer(signal.ITIMER_REAL, max(1, left_ms) / 1_000)

    def _end_process(self, _number: int, _frame: FrameType | None) -> None:
        try:
            self._on_late()
        finally:
            os._exit(EXIT_FORCED)


def _boot_ms() -> int:
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000
