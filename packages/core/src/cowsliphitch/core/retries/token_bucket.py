"""Retry budgets: retries are a bounded part of first attempts."""

from typing import Final

MAX_SAVED_RETRIES: Final = 10.0


class TokenBucketRetryBudget:
    """Allow retries in proportion to first attempts.

    :param ratio: retries allowed for each first attempt
    """

    def __init__(self, ratio: float) -> None:
        """Start with a full account, so that a quiet system may retry."""
        self.ratio = ratio
        self._saved = MAX_SAVED_RETRIES

    def record_first_attempt(self) -> None:
        """Earn a part of a retry."""
        self._saved = min(MAX_SAVED_RETRIES, self._saved + self.ratio)

    def try_acquire(self) -> bool:
        """Spend one retry; ``False`` if the budget is used up."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
