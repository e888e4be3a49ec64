"""Order waiting requests: weighted fair turns over teams, by work done.

Start-time fair queueing (Goyal, Vin, Cheng 1996): each team has a virtual time that
advances by work divided by share, and the team with the lowest one is next.  Within
a team the earliest deadline is next.
"""

import heapq
from typing import Protocol

import attrs

from ..settings.models import QueuePolicy
from .models import QueuedRequest


class WaitingQueue(Protocol):
    """What every queue policy offers."""

    def push(self, ticket: QueuedRequest) -> None:
        """Add a waiting request."""

    def pop(self, now_ms: int, capped: frozenset[str]) -> QueuedRequest | None:
        """Remove and return the next request whose deadline is not past.

        :param capped: teams that have to wait for a slot of their own
        """

    def remove(self, ticket: QueuedRequest) -> None:
        """Forget a request that stopped waiting."""

    def charge(self, team: str, work: int) -> None:
        """Correct a team's account by work that the estimate missed."""

    def set_shares(self, shares: dict[str, int]) -> None:
        """Use new shares from now on."""

    def waiting_work(self) -> dict[str, int]:
        """Return the waiting work by team, in tokens."""

    def __len__(self) -> int:
        """Return how many requests wait."""


@attrs.define
class _TeamQueue:
    """One team's waiting requests and its virtual time."""

    virtual: float = 0.0
    heap: list[tuple[int, int, QueuedRequest]] = attrs.Factory(list)
    work: int = 0


class FairQueue:
    """Weighted fair turns over teams."""

    def __init__(self) -> None:
        """Start empty."""
        self._teams: dict[str, _TeamQueue] = {}
        self._shares: dict[str, int] = {}
        self._virtual = 0.0
        self._present: set[int] = set()

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._present)

    def set_shares(self, shares: dict[str, int]) -> None:
        """Use new shares from now on."""
        self._shares = dict(shares)

    def push(self, ticket: QueuedRequest) -> None:
        """Add a waiting request.

        A team that was idle joins at the present virtual time: it can't save turns.
        """
        team = self._teams.setdefault(ticket.team, _TeamQueue())
        if not team.work:
            team.virtual = max(team.virtual, self._virtual)
        heapq.heappush(team.heap, (ticket.deadline_ms, ticket.sequence, ticket))
        team.work += ticket.work
        self._present.add(ticket.sequence)

    def remove(self, ticket: QueuedRequest) -> None:
        """Forget a request that stopped waiting."""
        if ticket.sequence in self._present:
            self._forget(ticket)

    def pop(self, now_ms: int, capped: frozenset[str]) -> QueuedRequest | None:
        """Remove and return the next request whose deadline is not past."""
        while (name := self._next_team(capped)) is not None:
            team = self._teams[name]
            _, number, ticket = heapq.heappop(team.heap)
            if number not in self._present:
                continue
            self._forget(ticket)
            if ticket.deadline_ms <= now_ms:
                continue
            self._virtual = max(self._virtual, team.virtual)
            self.charge(name, ticket.work)
            return ticket
        return None

    def charge(self, team: str, work: int) -> None:
        """Correct a team's account by work that the estimate missed."""
        account = self._teams.setdefault(team, _TeamQueue())
        account.virtual += work / self._shares.get(team, 1)

    def waiting_work(self) -> dict[str, int]:
        """Return the waiting work by team, in tokens."""
        return {name: team.work for name, team in self._teams.items() if team.work}

    def _next_team(self, capped: frozenset[str]) -> str | None:
        ready = (
            (team.virtual, name)
            for name, team in self._teams.items()
            if team.heap and name not in capped
        )
        return min(ready, default=(0.0, None))[1]

    def _forget(self, ticket: QueuedRequest) -> None:
        self._teams[ticket.team].work -= ticket.work
        self._present.discard(ticket.sequence)


class FifoQueue:
    """The baseline: first come, first served."""

    def __init__(self) -> None:
        """Start empty."""
        self._tickets: dict[int, QueuedRequest] = {}

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._tickets)

    def set_shares(self, shares: dict[str, int]) -> None:
        """Ignore shares."""

    def push(self, ticket: QueuedRequest) -> None:
        """Add a waiting request."""
        self._tickets[ticket.sequence] = ticket

    def remove(self, ticket: QueuedRequest) -> None:
        """Forget a request that stopped waiting."""
        self._tickets.pop(ticket.sequence, None)

    def pop(self, now_ms: int, capped: frozenset[str]) -> QueuedRequest | None:
        """Remove and return the next request; caps of teams have no effect."""
        while self._tickets:
            ticket = self._tickets.pop(next(iter(self._tickets)))
            if ticket.deadline_ms > now_ms:
                return ticket
        return None

    def charge(self, team: str, work: int) -> None:
        """Ignore accounts."""

    def waiting_work(self) -> dict[str, int]:
        """Return the waiting work by team, in tokens."""
        teams = {ticket.team for ticket in self._tickets.values()}
        return {
            team: sum(t.work for t in self._tickets.values() if t.team == team)
            for team in teams
        }


def make_queue(policy: QueuePolicy) -> WaitingQueue:
    """Return an empty queue of the wanted policy."""
    match policy:
        case QueuePolicy.FAIR:
            return FairQueue()
        case QueuePolicy.FIFO:
            return FifoQueue()
