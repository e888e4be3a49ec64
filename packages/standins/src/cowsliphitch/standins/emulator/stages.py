"""A deterministic model of stage servers that replays a load against a planner.

Time is simulated, in ms; nothing waits.  Servers take as long as their pool's figures
say, times their own slowness, and may be dark for a while.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from typing import Final

import attrs

from cowsliphitch.core.batching.models import Call, Piece, PieceDone
from cowsliphitch.core.batching.pipeline import StagePlanner
from cowsliphitch.core.batching.requests import (
    Command,
    FreeResults,
    StageRequest,
    StagesDone,
    StagesFailed,
)
from cowsliphitch.core.deployment.models import StagePool, StageSpec
from cowsliphitch.core.servers.models import Server, ServerState
from cowsliphitch.core.verdict import Refusal

TICK_MS: Final = 100
CALL_TIMEOUT_MS: Final = 2_000
FETCHED_MS: Final = 100


@attrs.frozen
class Kind:
    """Requests of one kind.

    :param per_s: requests a second
    :param pieces: draws the pieces of each stage
    :param patience_ms: how long a caller waits for its first event
    :param worth: credit of an answer within the objective
    :param late_worth: credit of a later one
    """

    name: str
    stages: tuple[StageSpec, ...]
    per_s: float
    pieces: Callable[[random.Random], tuple[int, ...]]
    objective_ms: int
    patience_ms: int
    engine_ms: int
    worth: float
    late_worth: float


@attrs.frozen
class Burst:
    """A kind comes more often for a while."""

    kind: str
    factor: float
    from_ms: int
    to_ms: int


@attrs.frozen
class Trouble:
    """A server works more slowly for a while, or is dark.

    :param slowness: time of its calls against the usual, 0 if it gives no answer
    """

    server: str
    slowness: float
    from_ms: int
    to_ms: int


@attrs.frozen
class Scenario:
    """A load on some pools.

    :param servers: number of servers of each pool
    :param speeds: least and most time of a server's calls against its pool's figures
    """

    pools: dict[str, StagePool]
    servers: dict[str, int]
    kinds: tuple[Kind, ...]
    length_ms: int
    bursts: tuple[Burst, ...] = ()
    troubles: tuple[Trouble, ...] = ()
    domains: int = 3
    speeds: tuple[float, float] = (0.9, 1.25)


@attrs.define
class Outcome:
    """What became of the requests of one kind.

    :param held_ms: time that requests were held and then refused
    """

    asked: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    held_ms: int = 0


@attrs.define
class Report:
    """The outcomes of a replay.

    :param earned: credit earned, as a share of what was owed
    :param moved_mb: results that crossed failure domains; each piece reads its inputs
    """

    kinds: dict[str, Outcome]
    earned: float = 0.0
    moved_mb: float = 0.0
    calls: int = 0
    pieces: int = 0


class StageEmulator:
    """Replay a scenario against a planner of the product."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        """Draw the load; the same seed draws the same load."""
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._servers = {
            service: tuple(
                Server(
                    id=f"{service}-{n}",
                    service=service,
                    address=f"{service}-{n}:1",
                    failure_domain=f"domain-{n % scenario.domains}",
                    state=ServerState.READY,
                    slots=1,
                )
                for n in range(count)
            )
            for service, count in scenario.servers.items()
        }
        low, high = scenario.speeds
        self._speeds = {
            server.id: self._rng.uniform(low, high)
            for servers in self._servers.values()
            for server in servers
        }
        self.planner = StagePlanner(self._servers.__getitem__)
        self.planner.set_pools(scenario.pools)
        self._events: list[tuple[int, int, Callable[[int], None]]] = []
        self._order = itertools.count()
        self._handles = itertools.count()
        self._arrived: dict[int, tuple[Kind, int]] = {}
        self._readers: dict[int, str] = {}
        self._results: dict[str, tuple[str, int]] = {}
        self._owed = 0.0
        self._credit = 0.0
        self.report = Report({kind.name: Outcome() for kind in scenario.kinds})

    def run(self) -> Report:
        """Play the scenario to its end."""
        for kind in self._scenario.kinds:
            self._draw_arrivals(kind)
        for at_ms in range(0, self._scenario.length_ms + 20_000, TICK_MS):
            self._at(at_ms, self._tick)
        while self._events:
            now, _, act = heapq.heappop(self._events)
            act(now)
        self.report.earned = self._credit / max(1e-9, self._owed)
        return self.report

    def _draw_arrivals(self, kind: Kind) -> None:
        now = 0.0
        while now < self._scenario.length_ms:
            rate = kind.per_s * self._factor(kind.name, now)
            now += self._rng.expovariate(rate) * 1_000
            pieces = kind.pieces(self._rng)
            domain = f"domain-{self._rng.randrange(self._scenario.domains)}"
            self._at(round(now), self._arrival(kind, pieces, domain))

    def _factor(self, kind: str, now: float) -> float:
        factors = [
            burst.factor
            for burst in self._scenario.bursts
            if burst.kind in (kind, "") and burst.from_ms <= now < burst.to_ms
        ]
        return max(factors, default=1.0)

    def _arrival(
        self, kind: Kind, pieces: tuple[int, ...], domain: str
    ) -> Callable[[int], None]:
        def arrive(now: int) -> None:
            outcome = self.report.kinds[kind.name]
            outcome.asked += 1
            self._owed += kind.worth
            if not any(pieces):
                self._count(kind, kind.engine_ms)
                return
            request = StageRequest(
                request=f"request-{next(self._handles)}",
                stages=kind.stages,
                pieces=pieces,
                key="key",
                deadline_ms=now + kind.patience_ms,
                objective_ms=now + kind.objective_ms,
                engine_ms=kind.engine_ms,
                rank=1,
                team="team",
                engine_domain=domain,
            )
            admitted = self.planner.admit(request, now)
            if isinstance(admitted, Refusal):
                outcome.refused += 1
                return
            self._arrived[admitted.execution_id] = (kind, now)
            self._readers[admitted.execution_id] = domain
            self._start(now)

        return arrive

    def _start(self, now: int) -> None:
        for call in self.planner.plan_calls(now):
            self.report.calls += 1
            self.report.pieces += len(call.pieces)
            slowness = self._slowness(call.server.id, now)
            if slowness == 0:
                self._at(now + CALL_TIMEOUT_MS, self._lose(call))
                continue
            pool = self._scenario.pools[call.server.service]
            usual = pool.call_ms + pool.piece_ms * len(call.pieces)
            needed = usual * slowness * self._speeds[call.server.id]
            self._at(now + round(needed), self._answer(call))

    def _slowness(self, server: str, now: int) -> float:
        found = (
            trouble.slowness
            for trouble in self._scenario.troubles
            if trouble.server == server and trouble.from_ms <= now < trouble.to_ms
        )
        return next(found, 1.0)

    def _answer(self, call: Call) -> Callable[[int], None]:
        def answer(now: int) -> None:
            outcomes = tuple(self._make(call.server, piece) for piece in call.pieces)
            self._carry_out(self.planner.complete_call(call, outcomes, now), now)
            self._start(now)

        return answer

    def _make(self, server: Server, piece: Piece) -> PieceDone:
        for handle in piece.job.inputs:
            self._read(handle, server.failure_domain)
        handle = f"{server.address}/{next(self._handles)}"
        self._results[handle] = (server.failure_domain, piece.job.result_bytes)
        return PieceDone(handle)

    def _read(self, handle: str, domain: str) -> None:
        made_in, size = self._results[handle]
        if made_in != domain:
            self.report.moved_mb += size / 1_000_000

    def _lose(self, call: Call) -> Callable[[int], None]:
        def lose(now: int) -> None:
            self._carry_out(self.planner.fail_call(call, now, may_have_run=True), now)
            self._start(now)

        return lose

    def _tick(self, now: int) -> None:
        self._carry_out(self.planner.tick(now), now)
        self._start(now)

    def _carry_out(self, commands: Sequence[Command], now: int) -> None:
        for command in commands:
            match command:
                case StagesDone(run, results):
                    kind, arrived_ms = self._arrived.pop(run)
                    begins_ms = now + kind.engine_ms
                    self._count(kind, begins_ms - arrived_ms)
                    for service, handles in results:
                        for handle in handles:
                            self._read(handle, self._readers[run])
                        self._at(now + FETCHED_MS, self._free(service, handles))
                case StagesFailed(run):
                    kind, arrived_ms = self._arrived.pop(run)
                    outcome = self.report.kinds[kind.name]
                    outcome.failed += 1
                    outcome.held_ms += now - arrived_ms
                case FreeResults(service, handles):
                    self.planner.record_freed(service, handles)

    def _free(self, service: str, handles: tuple[str, ...]) -> Callable[[int], None]:
        def free(now: int) -> None:
            self.planner.record_freed(service, handles)
            self._start(now)

        return free

    def _count(self, kind: Kind, took_ms: int) -> None:
        outcome = self.report.kinds[kind.name]
        if took_ms <= kind.objective_ms:
            outcome.on_time += 1
            self._credit += kind.worth
        else:
            outcome.late += 1
            self._credit += kind.late_worth

    def _at(self, at_ms: int, act: Callable[[int], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._order), act))
