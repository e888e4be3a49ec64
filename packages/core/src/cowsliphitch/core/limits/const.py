"""Windows, bounds and intervals of the limits on requests to servers."""

from typing import Final

# Source of a limit that this daemon read from a server's answer itself.
ANSWER_SOURCE: Final = "answer"

# Window over which requests to limited servers are counted.
WINDOW_MS: Final = 4_000

# A server that names a lower limit, down to 0, still gets a request each 10 s: only an
# answer can end its limit.
MIN_RATE_PER_S: Final = 0.1

# Reports in one heartbeat, some 20 bytes each.  With more limits than these, the ones
# that changed go first, and the others follow in turn.
MAX_REPORTS_PER_HEARTBEAT: Final = 12

# Heartbeats that carry a change before it takes its turn with the others.
CHANGE_ANNOUNCEMENTS: Final = 3

# The end of a limit is remembered for this long, so that an older report of the limit
# does not bring it back.
ENDED_RETENTION_MS: Final = 60_000

# Source of the limit of a server that is cold, derived from its entry in the store.
COLD_SOURCE: Final = "cold"

# Age of a report on a server that named nothing to the reporting daemon: it only counts
# requests.  It fits into the 32 bits of the wire format, so that older daemons take it
# for the oldest report of all, which changes nothing.
UNHEARD_AGE_MS: Final = 2**31

# A daemon that can't read a server's entry treats it as cold for this long after a peer
# asked it for a permit; such requests repeat while the server is cold.
LEARNED_COLD_MS: Final = 1_000

# Share of a cold server's rate that a daemon grants in the first time after it took
# over the duty.  The holder before may grant at the full rate until it notices that it
# is cut off, and a cold server tolerates half as much again: with two full rates,
# emulated fleets of 72 daemons exceeded that.
TAKEOVER_COLD_SHARE: Final = 0.5
TAKEOVER_MS: Final = 3_000

# Longest wait for a permit of a cold server.  Permits that wait still hold when another
# daemon takes over, which grants at the full rate as well; with 500 ms they end before.
MAX_COLD_WAIT_MS: Final = 500

# Requests that a limited server may get at once after it had none for a while.
BURST: Final = 2.0

# Requests that a daemon may grant at once when it begins to grant those to a server.
INITIAL_LEVEL: Final = 1.0

# Longest time after which a caller is told to return to a limited server.
MAX_RETRY_AFTER_MS: Final = 10_000
