"""Forecast whether the rest of a pipeline can meet its deadline."""

from collections.abc import Sequence
from typing import Final

import attrs

EWMA_WEIGHT: Final = 0.1
SERVICE_WEIGHT_DOWN: Final = 0.3
SERVICE_WEIGHT_UP: Final = 0.01
MIN_SAMPLES: Final = 5


@attrs.define
class StageLatency:
    """Observed latency of one pool, in ms for each unit of work.

    :param service_ms_per_unit: the same without waiting at the upstream; it follows
        the lower edge of the samples
    """

    samples: int = 0
    ms_per_unit: float = 0.0
    service_ms_per_unit: float = 0.0

    def record(self, latency_ms: float, work: int) -> None:
        """Take one finished call into account."""
        sample = latency_ms / max(1, work)
        below = sample < self.service_ms_per_unit or not self.samples
        edge_weight = SERVICE_WEIGHT_DOWN if below else SERVICE_WEIGHT_UP
        edge_weight = edge_weight if self.samples else 1.0
        self.service_ms_per_unit += edge_weight * (sample - self.service_ms_per_unit)
        weight = max(EWMA_WEIGHT, 1 / (self.samples + 1))
        self.samples += 1
        self.ms_per_unit += weight * (sample - self.ms_per_unit)

    def estimate_ms(self, work: int) -> float:
        """Return the expected latency in ms; 0 while too little is known."""
        if self.samples < MIN_SAMPLES:
            return 0.0
        return self.ms_per_unit * max(1, work)


@attrs.frozen
class StageForecast:
    """What one remaining stage is expected to take.

    :param slots: slots that this daemon may use, in the stage's pool
    :param waiting_work: work that waits there before this request
    """

    latency: StageLatency
    work: int
    slots: float
    waiting_work: int

    def expected_ms(self) -> float:
        """Return the expected waiting and running time in ms."""
        run_ms = self.latency.estimate_ms(self.work)
        wait_ms = self.latency.estimate_ms(1) * self.waiting_work / max(1.0, self.slots)
        return run_ms + wait_ms


def expected_ms(stages: Sequence[StageForecast]) -> float:
    """Return the expected time of all remaining stages in ms."""
    return sum(stage.expected_ms() for stage in stages)


def can_finish(stages: Sequence[StageForecast], left_ms: int) -> bool:
    """Tell whether the remaining stages are expected to fit."""
    return expected_ms(stages) <= left_ms
