"""Work that teams offered lately, as a decaying rate."""

import math
from typing import Final

import attrs

MEMORY_MS: Final = 1_500


@attrs.define
class _Decaying:
    """A sum of work that fades with time."""

    work: float = 0.0
    at_ms: int = 0

    def read(self, now_ms: int) -> float:
        """Return what is left of the sum."""
        return self.work * math.exp((self.at_ms - now_ms) / MEMORY_MS)

    def add(self, work: int, now_ms: int) -> None:
        """Add to the sum."""
        self.work = self.read(now_ms) + work
        self.at_ms = now_ms


class OfferedLoad:
    """The rate at which each team offers work to one pool."""

    def __init__(self) -> None:
        """Start with nothing offered."""
        self._teams: dict[str, _Decaying] = {}

    def record(self, team: str, work: int, now_ms: int) -> None:
        """Count offered work, also of requests that are refused."""
        self._teams.setdefault(team, _Decaying(at_ms=now_ms)).add(work, now_ms)

    def rates(self, now_ms: int) -> dict[str, float]:
        """Return the work offered by each team, in tokens a ms."""
        return {
            team: decaying.read(now_ms) / MEMORY_MS
            for team, decaying in self._teams.items()
        }
