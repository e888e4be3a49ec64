"""Limits and lifetimes of the quarantine."""

from typing import Final

CRASHES_TO_QUARANTINE: Final = 2
SUSPECT_TTL_MS: Final = 10 * 60_000
QUARANTINE_TTL_MS: Final = 60 * 60_000
MAX_FINGERPRINTS: Final = 10_000
