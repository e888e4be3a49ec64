"""A request's stages as the planner takes them, and what it decides on them."""

import itertools

import attrs

from cowsliphitch.core.deployment.models import StageSpec
from cowsliphitch.core.verdict import Refusal


@attrs.frozen
class StageRequest:
    """What a request needs of its stages.

    :param pieces: by stage, 0 where a stage is left out
    :param deadline_ms: monotonic time after which nobody wants the answer
    :param objective_ms: monotonic time until which the answer earns full credit
    :param engine_ms: expected time from the last result to the first token
    """

    request: str
    stages: tuple[StageSpec, ...]
    pieces: tuple[int, ...]
    key: str
    deadline_ms: int
    objective_ms: int
    engine_ms: int
    rank: int
    team: str
    engine_domain: str

    def count(self, stage: int) -> int:
        """Return the pieces of a stage."""
        return self.pieces[stage] if stage < len(self.pieces) else 0

    @property
    def final(self) -> tuple[int, ...]:
        """Return the stages that no other stage follows."""
        read = set(itertools.chain.from_iterable(s.after for s in self.stages))
        return tuple(n for n in range(len(self.stages)) if n not in read)


@attrs.frozen
class Admission:
    """A request was taken.

    :param best_effort: it is expected to miss its objective
    :param expected_ms: time to its first token
    """

    execution_id: int
    best_effort: bool
    expected_ms: int


@attrs.frozen
class StagesDone:
    """All stages of a request are done.

    :param results: service and handles, in the order of the final stages
    """

    execution_id: int
    results: tuple[tuple[str, tuple[str, ...]], ...]


@attrs.frozen
class StagesFailed:
    """A request's stages won't be done."""

    execution_id: int
    stage: int
    refusal: Refusal


@attrs.frozen
class FreeResults:
    """Results that nobody needs any more."""

    service: str
    handles: tuple[str, ...]


Command = StagesDone | StagesFailed | FreeResults


@attrs.define
class Run:
    """A request on its way through its stages.

    :param jobs: job of each stage that is being made
    :param fetched: stages that are being made and have fetched their inputs
    """

    id: int
    request: StageRequest
    jobs: dict[int, int] = attrs.Factory(dict)
    handles: dict[int, tuple[str, ...]] = attrs.Factory(dict)
    domains: dict[int, tuple[str, ...]] = attrs.Factory(dict)
    late: bool = False
    restarts: int = 0
    fetched: set[int] = attrs.Factory(set)

    def restart(self) -> None:
        """Begin with the first stages again."""
        self.restarts += 1
        self.jobs.clear()
        self.handles.clear()
        self.domains.clear()
        self.fetched.clear()

    def done(self, stage: int) -> bool:
        """Tell whether a stage is done or left out."""
        return stage in self.handles or self.request.count(stage) == 0

    def waits(self, stage: int) -> bool:
        """Tell whether a stage is neither submitted nor done."""
        return not self.done(stage) and stage not in self.jobs

    def ready(self, stage: int) -> bool:
        """Tell whether everything that a stage reads is there."""
        return all(self.done(before) for before in self.request.stages[stage].after)
