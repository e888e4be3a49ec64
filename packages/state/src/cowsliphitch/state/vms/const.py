"""Timings of reading the VM list."""

from typing import Final

POLL_INTERVAL_MS: Final = 1_000
# A daemon that is not a watcher reads the list itself if the latest listing from its
# peers is older.
MAX_LISTING_AGE_MS: Final = 3_000
CALL_TIMEOUT_MS: Final = 1_000
