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

# Requests that a limited server may get at once after it had none for a while.
BURST: Final = 2.0

# Requests that a daemon may grant at once when it begins to grant those to a server.
INITIAL_LEVEL: Final = 1.0

# Longest time after which a caller is told to return to a limited server.
MAX_RETRY_AFTER_MS: Final = 10_000
