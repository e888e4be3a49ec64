"""Timings and bounds of stage batches, with their units."""

from typing import Final

# Weight of the newest call in a server's speed estimate: three calls show a server
# that turned slow.
SPEED_WEIGHT: Final = 0.4

# A server that failed a call is left alone for so long; crashes last some seconds, and
# one piece is risked on it then.
PENALTY_MS: Final = 1_500

# A server without room is asked again after this time, or once a result is freed.
FULL_FOR_MS: Final = 150

# A server that could not be reached gets nothing for so long; trying it more often
# would only use up the time of what waits.
UNREACHABLE_MS: Final = 400

# The pieces of a call that takes this many times as long as expected are made again
# elsewhere; whichever result comes first is used.
HEDGE_FACTOR: Final = 1.8
HEDGE_LEAST_MS: Final = 150

# A server that is slower than this gets no piece that misses its objective for it.
SLOW_SERVER: Final = 1.6

# A piece is made at most this many times before its job fails.
MAX_MAKES: Final = 3

# A piece that moves this much between failure domains is worth a wait for a near
# server, if the objective is still met with this margin.
LARGE_BYTES: Final = 200_000
NEAR_MARGIN_MS: Final = 250

# No piece waits for a near server while more than this share of the servers' next calls
# is asked for: capacity is scarcer than the links then.
LOADED_SHARE: Final = 0.4

# A job waits this long for a server near its reader while others are idle or busy.
NEAR_WAIT_MS: Final = 60

# A late request is admitted if it is expected within this share of its time.
LATE_ADMISSION_SHARE: Final = 0.7

# Time over which the demand of requests that can be on time is smoothed.
DEMAND_WINDOW_MS: Final = 1_500.0

# Late requests are taken to get at least this share of a pool, and any pool to make at
# least this many pieces a ms.
LEAST_LEFT_OVER: Final = 0.05
LEAST_RATE: Final = 0.0001

# A stage whose results would only wait is begun when the rest takes less than its own
# time, times this factor and plus this margin.
EARLY_START_FACTOR: Final = 1.3
EARLY_START_MS: Final = 80

# A request whose intermediate results were lost begins again at most this often.
MAX_RESTARTS: Final = 2

# Stands for "no server" where a time is expected.
NO_SERVER_MS: Final = 60_000.0

# Shortest and longest pause that a refused caller is told to make.
MIN_RETRY_AFTER_MS: Final = 100
MAX_RETRY_AFTER_MS: Final = 4_000

# A server has fetched the inputs of a call that it was sent so long ago: some MB over
# its link, and the message there.
INPUTS_FETCHED_MS: Final = 100

# A server begins its calls at once if so many in a row took at most this time against
# the usual; one that waits behind another owner's call takes about twice its time.
STEADY_CALLS: Final = 3
STEADY_SLOWNESS: Final = 1.15
