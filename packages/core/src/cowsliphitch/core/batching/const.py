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

# A piece is made at most this many times before its job fails.
MAX_MAKES: Final = 3

# A job waits this long for a server near its reader while others are idle or busy.
NEAR_WAIT_MS: Final = 120

# A late request is admitted if it is expected within this share of its time: what is
# expected leaves out the requests that will come and go before it.
LATE_ADMISSION_SHARE: Final = 0.5

# A stage whose results would only wait is begun when the rest takes less than its own
# time, times this factor and plus this margin.
EARLY_START_FACTOR: Final = 1.3
EARLY_START_MS: Final = 80

# A request whose intermediate results were lost begins again at most this often.
MAX_RESTARTS: Final = 1

# Stands for "no server" where a time is expected.
NO_SERVER_MS: Final = 60_000.0

# Shortest and longest pause that a refused caller is told to make.
MIN_RETRY_AFTER_MS: Final = 100
MAX_RETRY_AFTER_MS: Final = 4_000
