"""Signals that stop a daemon.

Fault: signals come in series, and while the daemon starts or exits.  With the default
action of a signal, the daemon would end at once.  Therefore the handlers are installed
before the modules of the daemon are imported, and are in place until the process ends.
"""

import signal
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from types import FrameType


class StopSignals:
    """Handlers of the signals that stop this daemon, and of those without effect."""

    def __init__(
        self, stopping: Sequence[signal.Signals], ignored: Sequence[signal.Signals] = ()
    ) -> None:
        """Install the handlers.  Only the main thread may do that.

        :param stopping: signals of which the first stops the daemon
        :param ignored: signals without effect
        """
        self._stopping = stopping
        self._is_received = False
        self._on_stop: Callable[[], object] | None = None
        for number in ignored:
            signal.signal(number, signal.SIG_IGN)
        for number in stopping:
            signal.signal(number, self._handle)

    def _handle(self, _number: int, _frame: FrameType | None) -> None:
        # The interpreter removes handlers when it exits, but ignored signals stay so.
        for number in self._stopping:
            signal.signal(number, signal.SIG_IGN)
        self._is_received = True
        if self._on_stop is not None:
            self._on_stop()

    @contextmanager
    def notify(self, on_stop: Callable[[], object]) -> Iterator[None]:
        """Call a function when a signal arrives, or at once if one has arrived."""
        self._on_stop = on_stop
        if self._is_received:
            on_stop()
        try:
            yield
        finally:
            self._on_stop = None
