"""Timings and limits of storing and reading the configuration."""

from typing import Final

SUBMIT_TIMEOUT_MS: Final = 10_000
RETRY_DELAY_MS: Final = 100
# How often a daemon that is not a watcher reads the root, in case its peers did not
# pass on a newer revision.
FALLBACK_POLL_INTERVAL_MS: Final = 4_000
# Entries of the audit trail that one call may read.
MAX_HISTORY_ENTRIES: Final = 1_000
