"""Timeouts of failure detection by gossip."""

from typing import Final

# Time since a member's heartbeat last increased, from which it is suspect or dead.
SUSPECT_AFTER_MS: Final = 3_000
DEAD_AFTER_MS: Final = 8_000

# How long stale records of a dead member are rejected.
TOMBSTONE_TTL_MS: Final = 10 * 60_000

# Heartbeats further apart than this mean that this process was paused.
PROCESS_PAUSE_THRESHOLD_MS: Final = 1_500
