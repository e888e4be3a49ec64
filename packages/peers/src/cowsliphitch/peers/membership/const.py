"""Intervals, timeouts and limits of the gossip between daemons."""

from typing import Final

EXCHANGE_INTERVAL_MS: Final = 500
# Exchanges go to a few peers that change from time to time, so that few connections
# are open.
NEIGHBOUR_COUNT: Final = 5
NEIGHBOUR_ROTATION_MS: Final = 60_000
CHANNEL_IDLE_TIMEOUT_MS: Final = 30_000
CALL_TIMEOUT_MS: Final = 400
APPEND_TIMEOUT_MS: Final = 500
# Added to the timeout that the peer applies, so that its answer still arrives.
APPEND_TIMEOUT_MARGIN_MS: Final = 100
# A change of demand above both limits is sent to several peers at once.
MIN_DEMAND_CHANGE_SLOTS: Final = 1.0
MIN_DEMAND_CHANGE_RATIO: Final = 0.4
GOSSIP_FANOUT: Final = 3
# A peer's VM list is fetched only if it is newer than the own by more than this.
LISTING_STALE_MS: Final = 1_500
MAX_DIGEST_BYTES: Final = 256 * 1024
