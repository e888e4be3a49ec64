"""Weights of the routing score, with their units."""

from typing import Final

CROSS_DOMAIN_COST: Final = 0.25
PREFIX_BONUS: Final = 0.4
EWMA_WEIGHT: Final = 0.2
MAX_PREFIXES: Final = 64
OPEN_AFTER_FAILURES: Final = 3
OPEN_FOR_MS: Final = 1_000
MAX_OPEN_FOR_MS: Final = 10_000
SLOW_START_MS: Final = 3_000
REFUSED_FOR_MS: Final = 500
