"""Timings of the exchange between daemons, with their units."""

from typing import Final

EXCHANGE_INTERVAL_MS: Final = 500
NEIGHBOURS: Final = 5
NEIGHBOURS_FOR_MS: Final = 60_000
CHANNEL_IDLE_MS: Final = 30_000
CALL_TIMEOUT_MS: Final = 400
APPEND_TIMEOUT_MS: Final = 500
APPEND_MARGIN_MS: Final = 100
LEAST_JUMP_SLOTS: Final = 1.0
JUMP_RATIO: Final = 0.4
SPREAD_FANOUT: Final = 3
LISTING_STALE_MS: Final = 1_500
MAX_DIGEST_BYTES: Final = 256 * 1024
