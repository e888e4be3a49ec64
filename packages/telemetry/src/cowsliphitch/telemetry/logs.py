"""Structured log lines on standard output, bounded and never blocking."""

import logging
import os
import sys
from collections import deque
from typing import Any, Final

import anyio
from pythonjsonlogger.json import JsonFormatter

from cowsliphitch.core.clock import Clock, seconds

# Lines that wait for the reader of standard output; at 300 bytes a line this is 1 MB.
MAX_WAITING_LINES: Final = 3_000

# Lines a second that a process writes on average, and the burst on top of it.
LINES_PER_S: Final = 400
BURST_LINES: Final = 2_000

FLUSH_INTERVAL_MS: Final = 100

_QUIET: Final = ("httpx", "httpcore", "hpack", "h2", "hypercorn.access", "grpclib")


class BoundedHandler(logging.Handler):
    """Keep formatted lines until the loop writes them; count what is dropped."""

    def __init__(self, clock: Clock, descriptor: int) -> None:
        """Write to an open descriptor, which must not block."""
        super().__init__()
        self._clock = clock
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._allowed = float(BURST_LINES)
        self._counted_ms = clock.now_ms()
        self.dropped = 0
        self._reported = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Take a line, or count it as dropped."""
        if not self._take() or len(self._lines) >= MAX_WAITING_LINES:
            self.dropped += 1
            return
        try:
            self._lines.append(self.format(record).encode() + b"\n")
        except Exception:
            self.handleError(record)

    def _take(self) -> bool:
        now = self._clock.now_ms()
        earned = seconds(now - self._counted_ms) * LINES_PER_S
        self._counted_ms = now
        self._allowed = min(float(BURST_LINES), self._allowed + earned)
        if self._allowed < 1:
            return False
        self._allowed -= 1
        return True

    def write_pending(self) -> None:
        """Write what the reader takes, and leave the rest."""
        while self._lines:
            content = b"".join(self._lines)
            try:
                written = os.write(self._descriptor, content)
            except BlockingIOError:
                return
            self._lines.clear()
            if written < len(content):
                self._lines.append(content[written:])
                return

    async def run(self) -> None:
        """Write lines now and then until cancelled."""
        logger = logging.getLogger(__name__)
        while True:
            self.write_pending()
            if self.dropped > self._reported:
                lines, self._reported = self.dropped, self.dropped
                event(logger, "log.dropped", lines=lines)
            await anyio.sleep(seconds(FLUSH_INTERVAL_MS))


def set_up_logs(daemon: str, clock: Clock) -> BoundedHandler:
    """Send all log lines to standard output as JSON."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    handler = BoundedHandler(clock, descriptor)
    handler.setFormatter(
        JsonFormatter(
            "{message}{levelname}",
            style="{",
            rename_fields={"message": "event", "levelname": "level"},
            static_fields={"daemon": daemon},
            timestamp=True,
        )
    )
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)
    for name in _QUIET:
        logging.getLogger(name).setLevel(logging.WARNING)
    return handler


def event(
    logger: logging.Logger, name: str, level: int = logging.INFO, **fields: Any
) -> None:
    """Write one line: what happened, and the inputs that decided it."""
    logger.log(level, name, extra=fields)
