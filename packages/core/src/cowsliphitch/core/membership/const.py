"""Timings of the membership, with their units."""

from typing import Final

SUSPECT_AFTER_MS: Final = 3_000
DEAD_AFTER_MS: Final = 8_000
TOMBSTONE_FOR_MS: Final = 10 * 60_000
PAUSE_MS: Final = 1_500
