"""Estimate of an engine's prefill speed from the first tokens that it produced.

Load pattern: engines of one pool run at 0.6, 1 and 1.6 times the usual speed, and the
speed of each changes.  A time to first token also contains the transfer of stage
results, the prefill of the prompts ahead, and the delay of messages.
"""

import attrs

from . import const

_NOMINAL_TOKEN_MS = 1.0 / const.PREFILL_TOKENS_PER_MS
_MIN_TOKEN_MS = _NOMINAL_TOKEN_MS / const.MAX_SPEED_RATIO
_MAX_TOKEN_MS = _NOMINAL_TOKEN_MS * const.MAX_SPEED_RATIO

# Precisions of the assumed values before any measurement.
_FIRST_STEP_PRECISION = const.FIRST_STEP_DEVIATION_MS**-2
_TOKEN_PRECISION = (const.TOKEN_TIME_DEVIATION * _NOMINAL_TOKEN_MS) ** -2


@attrs.define
class PrefillSpeed:
    """Time from acceptance to the first step, and time per prompt token, of one engine.

    Both result from a Bayesian linear regression whose earlier measurements lose
    weight.  An engine that was idle gives the sum of both.  An engine that was busy
    gives the time since its previous first token, which contains neither the queue nor
    the transfer of stage results.

    :ivar first_step_ms: time from acceptance to the first step
    :ivar token_ms: prefill time of one token
    """

    first_step_ms: float = const.FIRST_STEP_MS
    token_ms: float = _NOMINAL_TOKEN_MS
    # Sums of the regression beyond the assumed values: squares and products.
    _steps: float = 0.0
    _mixed: float = 0.0
    _tokens: float = 0.0
    _step_time: float = 0.0
    _token_time: float = 0.0
    # Time of the latest first token, and tokens that were prefilled in the same step.
    _previous_ms: int | None = None
    _same_step_tokens: int = 0
    # 1 if the latest sample was far above the expected time, -1 if far below, else 0.
    _previous_outlier: int = 0

    @property
    def tokens_per_ms(self) -> float:
        """Return the prompt tokens that the engine prefills in a millisecond."""
        return 1.0 / self.token_ms

    @property
    def ratio(self) -> float:
        """Return the time per token relative to the usual one."""
        return self.token_ms / _NOMINAL_TOKEN_MS

    def record_first_token(
        self, tokens: int, sent_ms: int, now_ms: int, other_ms: float, measures: bool
    ) -> None:
        """Learn from a request's first token.

        :param tokens: prompt tokens that had to be prefilled
        :param sent_ms: time at which the request was sent to the engine
        :param other_ms: expected part of the time that is no prefill
        :param measures: the request did not wait for a slot or for memory
        """
        previous_ms = self._previous_ms
        was_busy = previous_ms is not None and previous_ms > sent_ms
        start_ms = previous_ms if previous_ms is not None and was_busy else sent_ms
        if was_busy and now_ms - start_ms < const.SAME_STEP_MS:
            self._same_step_tokens += tokens
            return
        tokens += self._same_step_tokens if was_busy else 0
        self._same_step_tokens = 0
        self._previous_ms = now_ms
        if measures:
            took_ms = now_ms - start_ms - (0.0 if was_busy else other_ms)
            self._add(0.0 if was_busy else 1.0, tokens, took_ms)

    def _add(self, steps: float, tokens: int, took_ms: float) -> None:
        """Add a measured time of a number of first steps and prompt tokens."""
        expected_ms = max(1.0, steps * self.first_step_ms + tokens * self.token_ms)
        took_ms = expected_ms * self._bounded(took_ms / expected_ms)
        deviation_ms = (
            const.MEASUREMENT_DEVIATION_MS
            + expected_ms * const.MEASUREMENT_DEVIATION_SHARE
        )
        weight = deviation_ms**-2
        self._retain(const.SPEED_RETENTION)
        self._steps += weight * steps * steps
        self._mixed += weight * steps * tokens
        self._tokens += weight * tokens * tokens
        self._step_time += weight * steps * took_ms
        self._token_time += weight * tokens * took_ms
        self._solve()

    def _bounded(self, ratio: float) -> float:
        """Return the ratio of a measured to the expected time within the bounds."""
        bound = const.MAX_SAMPLE_RATIO
        outlier = (ratio > bound) - (ratio < 1.0 / bound)
        if outlier and outlier == self._previous_outlier:
            bound = const.MAX_CHANGE_RATIO
        self._previous_outlier = outlier
        return min(bound, max(1.0 / bound, ratio))

    def forget(self, passed_ms: int) -> None:
        """Reduce the weight of the measurements with the time that has passed."""
        if passed_ms > 0 and (self._tokens or self._steps):
            self._retain(0.5 ** (passed_ms / const.SPEED_HALF_LIFE_MS))
            self._solve()

    def _retain(self, share: float) -> None:
        self._steps *= share
        self._mixed *= share
        self._tokens *= share
        self._step_time *= share
        self._token_time *= share

    def _solve(self) -> None:
        steps = self._steps + _FIRST_STEP_PRECISION
        tokens = self._tokens + _TOKEN_PRECISION
        step_time = self._step_time + _FIRST_STEP_PRECISION * const.FIRST_STEP_MS
        token_time = self._token_time + _TOKEN_PRECISION * _NOMINAL_TOKEN_MS
        determinant = steps * tokens - self._mixed**2
        first_step_ms = (tokens * step_time - self._mixed * token_time) / determinant
        token_ms = (steps * token_time - self._mixed * step_time) / determinant
        # Rounded so that engines with equal measurements have equal estimates.
        self.first_step_ms = round(
            min(const.MAX_FIRST_STEP_MS, max(0.0, first_step_ms)), 3
        )
        self.token_ms = round(min(_MAX_TOKEN_MS, max(_MIN_TOKEN_MS, token_ms)), 7)
