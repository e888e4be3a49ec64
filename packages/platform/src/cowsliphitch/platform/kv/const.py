"""Timings of the key-value client, with their units."""

from typing import Final

CALL_TIMEOUT_MS: Final = 1_000
WATCH_WAIT_MS: Final = 20_000
MAX_VALUE_BYTES: Final = 1_000_000
