"""How far behind the owners of cells are, as their heartbeats tell."""

from collections.abc import Mapping
from typing import Final

import attrs

# Time for which a report counts: an owner sends several in it.
REPORT_TTL_MS: Final = 1_500


@attrs.frozen
class _Report:
    delay_ms: int
    heard_ms: int


class DelayTable:
    """Latest delay of each duty's holder, by hash of the duty."""

    def __init__(self) -> None:
        """Initialize without reports."""
        self._reports: dict[int, _Report] = {}

    def learn(self, delays_ms: Mapping[int, int], now_ms: int) -> None:
        """Record the delays that a daemon reports of its duties."""
        for duty, delay_ms in delays_ms.items():
            self._reports[duty] = _Report(delay_ms, now_ms)

    def delay_ms(self, duty: int, now_ms: int) -> int:
        """Return how far behind a duty's holder is, 0 if nothing is known."""
        report = self._reports.get(duty)
        if report is None or now_ms - report.heard_ms > REPORT_TTL_MS:
            return 0
        return report.delay_ms
