"""Timings of the order logs, with their units."""

from typing import Final

RETRY_DELAY_MS: Final = 50
