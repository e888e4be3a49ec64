"""Timings and limits of storing and reading the configuration."""

from typing import Final

from .models import Author

SUBMIT_TIMEOUT_MS: Final = 10_000
RETRY_DELAY_MS: Final = 100
# How often a daemon that is not a watcher reads the root, in case its peers did not
# pass on a newer revision.
FALLBACK_POLL_INTERVAL_MS: Final = 4_000
# Entries of the audit trail that one call may read.
MAX_HISTORY_ENTRIES: Final = 1_000

# Author of a change that stores settings in force again, after the store has come back
# from an older copy.
RECOVERY_AUTHOR: Final = Author("cowsliphitch", "lost by the store and stored again")
