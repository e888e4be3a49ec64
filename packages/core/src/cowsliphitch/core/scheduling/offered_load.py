"""Load that teams offered recently, as an exponentially decaying rate."""

import math
from typing import Final

import attrs

DECAY_TIME_CONSTANT_MS: Final = 1_500


@attrs.define
class _DecayingSum:
    """A sum of work with exponential decay.

    :param work: value of the sum at ``updated_ms``
    """

    work: float = 0.0
    updated_ms: int = 0

    def value_at(self, now_ms: int) -> float:
        """Return the decayed sum."""
        return self.work * math.exp((self.updated_ms - now_ms) / DECAY_TIME_CONSTANT_MS)

    def add(self, work: int, now_ms: int) -> None:
        """Decay the sum to ``now_ms`` and add work to it."""
        self.work = self.value_at(now_ms) + work
        self.updated_ms = now_ms


class OfferedLoad:
    """The rate at which each team offers work to one pool."""

    def __init__(self) -> None:
        """Initialize the load of every team to zero."""
        self._teams: dict[str, _DecayingSum] = {}

    def record(self, team: str, work: int, now_ms: int) -> None:
        """Record offered work in tokens, whether or not the request is admitted."""
        self._teams.setdefault(team, _DecayingSum(updated_ms=now_ms)).add(work, now_ms)

    def rates(self, now_ms: int) -> dict[str, float]:
        """Return the work that each team offers, in tokens per ms."""
        return {
            team: decaying.value_at(now_ms) / DECAY_TIME_CONSTANT_MS
            for team, decaying in self._teams.items()
        }
