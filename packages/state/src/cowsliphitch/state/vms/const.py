"""Timings of the VM list, with their units."""

from typing import Final

POLL_INTERVAL_MS: Final = 1_000
FOLLOW_PEERS_FOR_MS: Final = 3_000
CALL_TIMEOUT_MS: Final = 1_000
