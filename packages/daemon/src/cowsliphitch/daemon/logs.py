"""Logging setup: text or JSON lines on standard error.

Only changes of state are logged, so the libraries' lines per request are suppressed.
"""

import json
import logging
import sys
from datetime import UTC, datetime

from .settings import LogFormat

_TEXT_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
_WARNING_ONLY_LOGGERS = (
    "httpx",
    "httpcore",
    "hpack",
    "h2",
    "cowsliphitch.callers.edge.connection",
)


class JsonFormatter(logging.Formatter):
    """Formats each record as a JSON object on one line."""

    def __init__(self, daemon: str) -> None:
        """Add the daemon's name to every line."""
        super().__init__()
        self._daemon = daemon

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as a JSON object, with the traceback of an exception."""
        fields = {
            "time": datetime.fromtimestamp(record.created, UTC).isoformat(),
            "level": record.levelname.lower(),
            "logger": record.name,
            "daemon": self._daemon,
            "message": record.getMessage(),
        }
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)
        return json.dumps(fields)


def configure_logging(log_format: LogFormat, daemon: str) -> None:
    """Configure the root logger to write to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    match log_format:
        case LogFormat.JSON:
            handler.setFormatter(JsonFormatter(daemon))
        case LogFormat.TEXT:
            handler.setFormatter(logging.Formatter(_TEXT_FORMAT))
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)
    for name in _WARNING_ONLY_LOGGERS:
        logging.getLogger(name).setLevel(logging.WARNING)
