"""Limits and lifetimes of the quarantine."""

from typing import Final

# Crashes of a fingerprint, counted over the fleet, from which it is quarantined.
CRASHES_TO_QUARANTINE: Final = 2

# Time since the last crash after which a suspect or quarantined fingerprint is cleared.
SUSPECT_TTL_MS: Final = 10 * 60_000
QUARANTINE_TTL_MS: Final = 60 * 60_000

# Number of crash records that a daemon keeps.
MAX_FINGERPRINTS: Final = 10_000
