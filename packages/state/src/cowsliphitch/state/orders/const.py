"""Timings of writing to the order logs."""

from typing import Final

RETRY_DELAY_MS: Final = 50
