"""How far a job is, and what calls to a server have shown."""

from collections import Counter

import attrs

from .models import Job


@attrs.define
class Progress:
    """What is known of a job that is not done.

    :param called_ms: monotonic time at which a piece was last put into a call
    :param inputs_freed: its inputs are gone, so no piece can be made again
    """

    job: Job
    waiting: list[int]
    handles: dict[int, str] = attrs.Factory(dict)
    domains: dict[int, str] = attrs.Factory(dict)
    failures: Counter[int] = attrs.Factory(Counter)
    called_ms: int = 0
    inputs_freed: bool = False

    def take(self, number: int, handle: str, domain: str) -> bool:
        """Keep a piece's result; ``False`` if there is one already."""
        if number in self.handles:
            return False
        self.handles[number] = handle
        self.domains[number] = domain
        if number in self.waiting:
            self.waiting.remove(number)
        return True

    def wait_again(self, number: int) -> None:
        """Put a piece that was not made back, before the others."""
        if self.inputs_freed:
            return
        if number not in self.waiting and number not in self.handles:
            self.waiting.insert(0, number)

    @property
    def half_made(self) -> bool:
        """Tell whether a piece was made or is being made."""
        return bool(self.handles) or len(self.waiting) < self.job.pieces


@attrs.define
class ServerState:
    """What calls to a server have shown.

    :param slowness: time of its calls against the pool's figures
    :param steady_calls: calls in a row that took the usual time
    :param penalty_until_ms: until then others are preferred
    :param unreachable_until_ms: until then it gets nothing at all
    :param full_until_ms: until then it is taken to have no room, unless a result
        is freed there
    """

    slowness: float = 1.0
    steady_calls: int = 0
    penalty_until_ms: int = 0
    unreachable_until_ms: int = 0
    full_until_ms: int = 0
