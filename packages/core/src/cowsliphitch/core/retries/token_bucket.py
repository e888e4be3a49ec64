"""Retry budget of one pool: a token bucket that is refilled by first attempts."""

from typing import Final

MAX_AVAILABLE_RETRIES: Final = 10.0


class TokenBucketRetryBudget:
    """Limit retries to a ratio of first attempts.

    :param ratio: retries allowed for each first attempt
    """

    def __init__(self, ratio: float) -> None:
        """Initialize a full bucket, so that retries are allowed at low traffic."""
        self.ratio = ratio
        self._available = MAX_AVAILABLE_RETRIES

    def record_first_attempt(self) -> None:
        """Add ``ratio`` retries to the bucket, up to its maximum."""
        self._available = min(MAX_AVAILABLE_RETRIES, self._available + self.ratio)

    def try_acquire(self) -> bool:
        """Spend one retry; return ``False`` if less than one is available."""
        if self._available < 1:
            return False
        self._available -= 1
        return True
