"""Mutable state of jobs in progress and of the servers that run their calls."""

from collections import Counter

import attrs

from .models import Job


@attrs.define
class JobProgress:
    """State of a job that is not done.

    :param waiting_pieces: numbers of the pieces that are in no call, in queue order
    :param handles: results by piece number
    :param domains: failure domains of the results, by piece number
    :param failures: failed attempts by piece number
    :param last_called_ms: monotonic time at which a piece was last put into a call
    :param inputs_freed: the inputs are gone, so that no piece can be retried
    """

    job: Job
    waiting_pieces: list[int]
    handles: dict[int, str] = attrs.Factory(dict)
    domains: dict[int, str] = attrs.Factory(dict)
    failures: Counter[int] = attrs.Factory(Counter)
    last_called_ms: int = 0
    inputs_freed: bool = False

    def record_result(self, number: int, handle: str, domain: str) -> bool:
        """Store a piece's result.

        :returns: ``False`` if the piece already had a result, which is kept
        """
        if number in self.handles:
            return False
        self.handles[number] = handle
        self.domains[number] = domain
        if number in self.waiting_pieces:
            self.waiting_pieces.remove(number)
        return True

    def requeue(self, number: int) -> None:
        """Put a piece without a result at the head of the queue.

        Nothing happens if the job's inputs were freed.
        """
        if self.inputs_freed:
            return
        if number not in self.waiting_pieces and number not in self.handles:
            self.waiting_pieces.insert(0, number)

    @property
    def is_started(self) -> bool:
        """Return whether any piece is done or in a call."""
        return bool(self.handles) or len(self.waiting_pieces) < self.job.pieces


@attrs.define
class ServerHealth:
    """Observed speed and failures of a server; times are monotonic.

    :param slowdown: moving average of its calls' actual to expected duration
    :param steady_calls: consecutive calls of about the expected duration
    :param backoff_until_ms: other servers are preferred until then
    :param unreachable_until_ms: it receives no calls until then
    :param full_until_ms: it is assumed to be out of result memory until then, unless
        one of its results is freed
    """

    slowdown: float = 1.0
    steady_calls: int = 0
    backoff_until_ms: int = 0
    unreachable_until_ms: int = 0
    full_until_ms: int = 0
