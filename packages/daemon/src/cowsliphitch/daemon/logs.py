"""Structured logs: lines only for changes of state."""

import json
import logging
import sys
from datetime import UTC, datetime

from .settings import LogFormat

_TEXT = "%(asctime)s %(levelname)s %(name)s %(message)s"
_QUIET = ("httpx", "httpcore", "hpack", "h2", "hypercorn.access")


class JsonFormatter(logging.Formatter):
    """Write each record as one JSON object."""

    def __init__(self, daemon: str) -> None:
        """Remember the daemon's name, which every line carries."""
        super().__init__()
        self._daemon = daemon

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line of JSON."""
        line = {
            "time": datetime.fromtimestamp(record.created, UTC).isoformat(),
            "level": record.levelname.lower(),
            "logger": record.name,
            "daemon": self._daemon,
            "message": record.getMessage(),
        }
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line)


def set_up_logs(log_format: LogFormat, daemon: str) -> None:
    """Send log lines to standard error in the wanted format."""
    handler = logging.StreamHandler(sys.stderr)
    match log_format:
        case LogFormat.JSON:
            handler.setFormatter(JsonFormatter(daemon))
        case LogFormat.TEXT:
            handler.setFormatter(logging.Formatter(_TEXT))
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)
    for name in _QUIET:
        logging.getLogger(name).setLevel(logging.WARNING)
