"""Timings and bounds of stage batches, with their units."""

from typing import Final

# Weight of the newest call in a server's speed estimate: three calls show a server
# that turned slow.
SPEED_WEIGHT: Final = 0.4

# A server that failed a call is left alone for so long; crashes last some seconds, and
# one piece is risked on it then.
PENALTY_MS: Final = 1_500

# A piece is made at most this many times before its job fails.
MAX_MAKES: Final = 3

# A job waits this long for a server near its reader while others are idle or busy.
NEAR_WAIT_MS: Final = 120

# Shortest and longest pause that a refused caller is told to make.
MIN_RETRY_AFTER_MS: Final = 100
MAX_RETRY_AFTER_MS: Final = 4_000
