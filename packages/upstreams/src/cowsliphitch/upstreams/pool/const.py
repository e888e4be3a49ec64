"""Timings of pools, with their units."""

from typing import Final

LOAD_POLL_INTERVAL_MS: Final = 1_000
LOAD_TIMEOUT_MS: Final = 400
PROBE_TIMEOUT_MS: Final = 250
CHOICE_RETRY_MS: Final = 20
RETRY_AFTER_MS: Final = 1_000
PATIENCE_FACTOR: Final = 3
LEAST_PATIENCE_MS: Final = 300
