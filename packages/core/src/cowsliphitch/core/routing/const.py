"""Constants of upstream selection and of the circuit breaker.

Costs and bonuses are in units of an upstream's load: 1 is one request per slot.
"""

from typing import Final

# Cost of an upstream in another failure domain than this daemon's, and bonus of one
# that was sent the same prompt prefix.
CROSS_DOMAIN_COST: Final = 0.25
PREFIX_BONUS: Final = 0.4

LATENCY_EWMA_WEIGHT: Final = 0.2

# Number of prompt prefixes that are recorded for each upstream.
MAX_PREFIXES: Final = 64

# Consecutive failures that open the circuit, and the time until its first trial call,
# which doubles with each reopening up to a maximum.
OPEN_AFTER_FAILURES: Final = 3
INITIAL_OPEN_MS: Final = 1_000
MAX_OPEN_MS: Final = 10_000

# Time in which the load of an upstream that was listed or recovered is ramped up.
SLOW_START_MS: Final = 3_000

# Time for which an upstream that refused a call gets no new calls.
REFUSAL_BACKOFF_MS: Final = 500
