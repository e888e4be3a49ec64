"""Timings of pools, with their units."""

from typing import Final

LOAD_POLL_INTERVAL_MS: Final = 1_000
LOAD_TIMEOUT_MS: Final = 400
PROBE_TIMEOUT_MS: Final = 250

# Interval at which a call without a usable upstream selects again.
SELECTION_RETRY_INTERVAL_MS: Final = 20

# Value of Retry-After in refusals of a pool.
RETRY_AFTER_MS: Final = 1_000

# A call that reaches its deadline counts as its upstream's failure only if it ran for
# this multiple of its estimated latency, and for at least the minimum.
STALL_LATENCY_FACTOR: Final = 3
MIN_STALL_TIMEOUT_MS: Final = 300
