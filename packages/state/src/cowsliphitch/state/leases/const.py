"""Timings of the leases of duties, and the keys of duties in the store."""

from typing import Final

LEASE_TTL_MS: Final = 3_000
RETRY_DELAY_MS: Final = 300
DUTY_KEY: Final = "duties/{duty}"
