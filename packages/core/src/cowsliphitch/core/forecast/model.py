"""Forecast of whether the remaining stages of a pipeline can meet its deadline."""

from collections.abc import Sequence
from typing import Final

import attrs

LATENCY_EWMA_WEIGHT: Final = 0.1

# Weights of a sample below and above the service time estimate.
SERVICE_WEIGHT_DOWN: Final = 0.3
SERVICE_WEIGHT_UP: Final = 0.01

MIN_SAMPLES: Final = 5


@attrs.define
class StageLatency:
    """Measured latency of one pool, in ms per unit of work.

    :param ms_per_unit: moving average of the samples
    :param service_ms_per_unit: latency without the wait at the upstream, estimated as
        the lower envelope of the samples: it falls fast and rises slowly
    """

    samples: int = 0
    ms_per_unit: float = 0.0
    service_ms_per_unit: float = 0.0

    def record(self, latency_ms: float, work: int) -> None:
        """Record the latency of one finished call.

        :param work: work of the call, in tokens
        """
        sample = latency_ms / max(1, work)
        is_below = sample < self.service_ms_per_unit or not self.samples
        service_weight = SERVICE_WEIGHT_DOWN if is_below else SERVICE_WEIGHT_UP
        service_weight = service_weight if self.samples else 1.0
        self.service_ms_per_unit += service_weight * (sample - self.service_ms_per_unit)
        weight = max(LATENCY_EWMA_WEIGHT, 1 / (self.samples + 1))
        self.samples += 1
        self.ms_per_unit += weight * (sample - self.ms_per_unit)

    def estimate_ms(self, work: int) -> float:
        """Return the expected latency in ms; 0 below ``MIN_SAMPLES`` samples."""
        if self.samples < MIN_SAMPLES:
            return 0.0
        return self.ms_per_unit * max(1, work)


@attrs.frozen
class StageForecast:
    """Inputs for the expected duration of one remaining stage.

    :param work: estimated work of the stage's call, in tokens
    :param slots: slots that this daemon may use in the stage's pool
    :param waiting_work: work queued there ahead of this request, in tokens
    """

    latency: StageLatency
    work: int
    slots: float
    waiting_work: int

    def expected_ms(self) -> float:
        """Return the expected time in the queue and at the upstream, in ms."""
        run_ms = self.latency.estimate_ms(self.work)
        wait_ms = self.latency.estimate_ms(1) * self.waiting_work / max(1.0, self.slots)
        return run_ms + wait_ms


def total_expected_ms(stages: Sequence[StageForecast]) -> float:
    """Return the expected duration of all remaining stages, in ms."""
    return sum(stage.expected_ms() for stage in stages)


def can_finish(stages: Sequence[StageForecast], remaining_ms: int) -> bool:
    """Return whether the remaining stages are expected to end in time.

    :param remaining_ms: time until the deadline
    """
    return total_expected_ms(stages) <= remaining_ms
