"""Timings of the exchange between daemons, with their units."""

from typing import Final

HEARTBEAT_INTERVAL_MS: Final = 125

# A connection without traffic during a call is probed after this time, and given up
# when the probe is not answered as long again: it may have fallen silent for good.
PROBE_AFTER_S: Final = 1.0
PROBE_TIMEOUT_S: Final = 1.0

NOTE_TIMEOUT_S: Final = 1.0
FETCH_TIMEOUT_S: Final = 1.0

# What a peer may need beyond the time that a job has left before its caller gives up.
CALL_MARGIN_S: Final = 0.1

MAX_DATAGRAM_BYTES: Final = 8_192
