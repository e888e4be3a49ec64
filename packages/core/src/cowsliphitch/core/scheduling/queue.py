"""Order of the requests that wait for a slot: weighted fair queueing over teams.

Start-time fair queueing (Goyal, Vin, Cheng 1996): each team has a virtual time that
advances by work divided by share, and the team with the lowest one is served next.
Within a team, requests are served by earliest deadline first.
"""

import heapq
from typing import Protocol

import attrs

from ..settings.models import QueuePolicy
from .models import QueuedRequest


class RequestQueue(Protocol):
    """Interface of a queue policy."""

    def push(self, request: QueuedRequest) -> None:
        """Add a waiting request."""

    def pop(self, now_ms: int, capped: frozenset[str]) -> QueuedRequest | None:
        """Remove and return the next request whose deadline has not passed.

        Requests past their deadline are dropped on the way.

        :param capped: teams at their cap, whose requests are passed over
        :returns: ``None`` if no request is eligible
        """

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request that no longer waits; ignore an unknown one."""

    def charge(self, team: str, work: int) -> None:
        """Charge a team for the difference between actual and estimated work.

        :param work: tokens, negative if the estimate was too high
        """

    def set_shares(self, shares: dict[str, int]) -> None:
        """Replace the weights of the teams; a team without one has weight 1."""

    def waiting_work(self) -> dict[str, int]:
        """Return the estimated work of the queued requests by team, in tokens."""

    def __len__(self) -> int:
        """Return the number of queued requests."""


@attrs.define
class _TeamQueue:
    """Queued requests and virtual time of one team.

    :param heap: entries by deadline; those of removed requests stay until popped
    :param work: estimated work of the queued requests, in tokens
    """

    virtual_time: float = 0.0
    heap: list[tuple[int, int, QueuedRequest]] = attrs.Factory(list)
    work: int = 0


class FairQueue:
    """Start-time fair queueing over teams, weighted by their shares."""

    def __init__(self) -> None:
        """Initialize an empty queue without shares."""
        self._teams: dict[str, _TeamQueue] = {}
        self._shares: dict[str, int] = {}
        self._virtual_time = 0.0
        self._queued: set[int] = set()

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._queued)

    def set_shares(self, shares: dict[str, int]) -> None:
        """Replace the weights of the teams; a team without one has weight 1."""
        self._shares = dict(shares)

    def push(self, request: QueuedRequest) -> None:
        """Add a waiting request.

        A team without queued requests joins at the current virtual time, so that it
        can't accumulate credit while it is idle.
        """
        team = self._teams.setdefault(request.team, _TeamQueue())
        if not team.work:
            team.virtual_time = max(team.virtual_time, self._virtual_time)
        heapq.heappush(team.heap, (request.deadline_ms, request.sequence, request))
        team.work += request.work
        self._queued.add(request.sequence)

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request that no longer waits; ignore an unknown one."""
        if request.sequence in self._queued:
            self._discard(request)

    def pop(self, now_ms: int, capped: frozenset[str]) -> QueuedRequest | None:
        """Remove and return the next request whose deadline has not passed."""
        while (name := self._next_team(capped)) is not None:
            team = self._teams[name]
            _, sequence, request = heapq.heappop(team.heap)
            if sequence not in self._queued:
                continue
            self._discard(request)
            if request.deadline_ms <= now_ms:
                continue
            self._virtual_time = max(self._virtual_time, team.virtual_time)
            self.charge(name, request.work)
            return request
        return None

    def charge(self, team: str, work: int) -> None:
        """Advance a team's virtual time by work divided by its share."""
        queue = self._teams.setdefault(team, _TeamQueue())
        queue.virtual_time += work / self._shares.get(team, 1)

    def waiting_work(self) -> dict[str, int]:
        """Return the estimated work of the queued requests by team, in tokens."""
        return {name: team.work for name, team in self._teams.items() if team.work}

    def _next_team(self, capped: frozenset[str]) -> str | None:
        """Return the team with the lowest virtual time that is not capped."""
        eligible = (
            (team.virtual_time, name)
            for name, team in self._teams.items()
            if team.heap and name not in capped
        )
        return min(eligible, default=(0.0, None))[1]

    def _discard(self, request: QueuedRequest) -> None:
        self._teams[request.team].work -= request.work
        self._queued.discard(request.sequence)


class FifoQueue:
    """First in, first out; the baseline policy."""

    def __init__(self) -> None:
        """Initialize an empty queue."""
        self._requests: dict[int, QueuedRequest] = {}

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._requests)

    def set_shares(self, shares: dict[str, int]) -> None:
        """Do nothing; this policy has no weights."""

    def push(self, request: QueuedRequest) -> None:
        """Add a waiting request."""
        self._requests[request.sequence] = request

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request that no longer waits; ignore an unknown one."""
        self._requests.pop(request.sequence, None)

    def pop(self, now_ms: int, capped: frozenset[str]) -> QueuedRequest | None:
        """Remove and return the oldest request; ``capped`` has no effect."""
        while self._requests:
            request = self._requests.pop(next(iter(self._requests)))
            if request.deadline_ms > now_ms:
                return request
        return None

    def charge(self, team: str, work: int) -> None:
        """Do nothing; this policy does not account for work."""

    def waiting_work(self) -> dict[str, int]:
        """Return the estimated work of the queued requests by team, in tokens."""
        teams = {request.team for request in self._requests.values()}
        return {
            team: sum(r.work for r in self._requests.values() if r.team == team)
            for team in teams
        }


def make_queue(policy: QueuePolicy) -> RequestQueue:
    """Return an empty queue for a policy."""
    match policy:
        case QueuePolicy.FAIR:
            return FairQueue()
        case QueuePolicy.FIFO:
            return FifoQueue()
