"""Structured logging as JSON lines on standard output.

Writing never blocks the event loop.  Memory and rate are bounded, so a slow reader or a
burst of events costs log lines, not the service.
"""

import logging
import os
import sys
from collections import deque
from typing import Any, Final

import anyio
from pythonjsonlogger.json import JsonFormatter

from cowsliphitch.core.clock import Clock, seconds

# Lines buffered for a slow reader of standard output; at 300 bytes a line this is 1 MB.
# Lines that name a path of a caller can be as long as a head, so the bytes have a limit
# of their own.
MAX_BUFFERED_LINES: Final = 3_000
MAX_BUFFERED_BYTES: Final = 2_000_000

# Token bucket that limits the log lines of a process: refill rate and size.
MAX_LINES_PER_S: Final = 400
MAX_BURST_LINES: Final = 2_000

FLUSH_INTERVAL_MS: Final = 100

# Libraries of which only warnings and errors are logged.
_VERBOSE_LOGGERS: Final = (
    "httpx",
    "httpcore",
    "hpack",
    "h2",
    "hypercorn.access",
    "grpclib",
)


class BoundedHandler(logging.Handler):
    """Log handler that buffers formatted lines until ``run`` writes them.

    Lines above the rate limit or the size of the buffer are dropped and counted.
    """

    def __init__(self, clock: Clock, descriptor: int) -> None:
        """Initialize an empty buffer.

        :param descriptor: open file descriptor in non-blocking mode
        """
        super().__init__()
        self._clock = clock
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._tokens = float(MAX_BURST_LINES)
        self._refilled_ms = clock.now_ms()
        self.dropped = 0
        self._reported_dropped = 0
        self._has_lines = anyio.Event()

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer a record as a line, or count it as dropped."""
        if not self._acquire_token() or len(self._lines) >= MAX_BUFFERED_LINES:
            self.dropped += 1
            return
        try:
            line = self.format(record).encode() + b"\n"
        except Exception:
            self.handleError(record)
            return
        if self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._lines.append(line)
        self._buffered_bytes += len(line)
        self._has_lines.set()

    def _acquire_token(self) -> bool:
        now = self._clock.now_ms()
        refill = seconds(now - self._refilled_ms) * MAX_LINES_PER_S
        self._refilled_ms = now
        self._tokens = min(float(MAX_BURST_LINES), self._tokens + refill)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def write_pending(self) -> None:
        """Write buffered lines until the descriptor would block; keep the others."""
        while self._lines:
            content = b"".join(self._lines)
            try:
                written = os.write(self._descriptor, content)
            except BlockingIOError:
                return
            self._lines.clear()
            self._buffered_bytes = len(content) - written
            if written < len(content):
                self._lines.append(content[written:])
                return

    async def run(self) -> None:
        """Write buffered lines at regular intervals until cancelled."""
        logger = logging.getLogger(__name__)
        while True:
            await self._has_lines.wait()
            self.write_pending()
            if not self._lines:
                self._has_lines = anyio.Event()
            if self.dropped > self._reported_dropped:
                lines, self._reported_dropped = self.dropped, self.dropped
                event(logger, "log.dropped", lines=lines)
            await anyio.sleep(seconds(FLUSH_INTERVAL_MS))


def set_up_logs(daemon: str, clock: Clock) -> BoundedHandler:
    """Configure the root logger to write JSON lines to standard output.

    :param daemon: name of the daemon, part of each line
    :returns: the handler, whose ``run`` must be running for lines to be written
    """
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
    for name in _VERBOSE_LOGGERS:
        logging.getLogger(name).setLevel(logging.WARNING)
    return handler


def event(
    logger: logging.Logger, name: str, level: int = logging.INFO, **fields: Any
) -> None:
    """Log an event with its data.

    :param name: name of the event
    :param fields: JSON fields of the line; should hold the inputs of a decision
    """
    logger.log(level, name, extra=fields)
