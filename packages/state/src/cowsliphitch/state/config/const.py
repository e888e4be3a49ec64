"""Timings of the configuration, with their units."""

from typing import Final

SUBMIT_TIMEOUT_MS: Final = 10_000
RETRY_DELAY_MS: Final = 100
BACKSTOP_POLL_MS: Final = 4_000
MAX_HISTORY: Final = 1_000
