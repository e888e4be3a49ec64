"""Timings of the VM list, with their units."""

from typing import Final

POLL_INTERVAL_MS: Final = 500
CALL_TIMEOUT_MS: Final = 1_000
