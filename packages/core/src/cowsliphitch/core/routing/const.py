"""Constants of upstream selection and of the circuit breaker.

Costs and bonuses are in units of an upstream's load: 1 is one request for each slot.
"""

from typing import Final

CROSS_DOMAIN_COST: Final = 0.25
PREFIX_BONUS: Final = 0.4
LATENCY_EWMA_WEIGHT: Final = 0.2
MAX_PREFIXES: Final = 64
OPEN_AFTER_FAILURES: Final = 3
INITIAL_OPEN_MS: Final = 1_000
MAX_OPEN_MS: Final = 10_000
SLOW_START_MS: Final = 3_000
REFUSAL_BACKOFF_MS: Final = 500
