"""Timings of leases, with their units."""

from typing import Final

TTL_MS: Final = 3_000
RETRY_DELAY_MS: Final = 300
DUTY_KEY: Final = "duties/{duty}"
