"""Requests to the stage planner, the state of their execution, and its commands."""

import itertools

import attrs

from cowsliphitch.core.deployment.models import StageSpec
from cowsliphitch.core.verdict import Refusal


@attrs.frozen
class StageRequest:
    """The stages that a request needs, and its time limits.

    :param piece_counts: number of pieces by stage, 0 for a stage that is skipped
    :param piece_key: identifies the input of the pieces of stages that read no results
    :param deadline_ms: monotonic time after which the answer is of no use
    :param objective_ms: monotonic time until which the answer counts as on time
    :param engine_ms: expected duration from the last stage result to the first token
    :param priority: 0 is the most urgent
    :param engine_domain: failure domain of the engine that reads the final results
    :param digest: digest of the request's content, empty if unknown
    :param engine_service: name of the service whose engines read the final results
    :param engine_wait_ms: part of ``engine_ms`` that is spent on other requests
    :param is_rerun: it was admitted before, and its engine failed or refused it because
        its stage results were gone
    """

    request_id: str
    stages: tuple[StageSpec, ...]
    piece_counts: tuple[int, ...]
    piece_key: str
    deadline_ms: int
    objective_ms: int
    engine_ms: int
    priority: int
    team: str
    engine_domain: str
    digest: str = ""
    is_rerun: bool = False
    engine_wait_ms: int = 0
    engine_service: str = ""

    def piece_count(self, stage: int) -> int:
        """Return the number of pieces of a stage, 0 if it is skipped."""
        return self.piece_counts[stage] if stage < len(self.piece_counts) else 0

    @property
    def final_stages(self) -> tuple[int, ...]:
        """Return the stages whose results no other stage reads."""
        inputs = set(itertools.chain.from_iterable(s.after for s in self.stages))
        return tuple(n for n in range(len(self.stages)) if n not in inputs)


@attrs.frozen
class Admission:
    """A request was admitted.

    :param execution_id: identifies the execution in commands and cancellations
    :param best_effort: it is expected to miss its objective
    :param expected_ms: expected duration until its first token
    :param is_reserved: it is expected to miss its objective and was admitted because
        its priority was served less than its minimum share
    """

    execution_id: int
    best_effort: bool
    expected_ms: int
    is_reserved: bool = False


@attrs.frozen
class StagesDone:
    """All stages of a request are done.

    :param results: service and handles of each final stage, in stage order
    """

    execution_id: int
    results: tuple[tuple[str, tuple[str, ...]], ...]


@attrs.frozen
class StagesFailed:
    """A request failed in one of its stages.

    :param stage: index of the stage that failed
    """

    execution_id: int
    stage: int
    refusal: Refusal


@attrs.frozen
class FreeResults:
    """Results of a service are no longer needed and have to be freed."""

    service: str
    handles: tuple[str, ...]


Command = StagesDone | StagesFailed | FreeResults


@attrs.define
class Execution:
    """State of an admitted request while its stages run.

    :param job_ids: job identifier of each stage that is queued or running
    :param handles: results of each stage that is done, empty once they were freed
    :param domains: failure domains of these results, by stage
    :param is_reserved: it goes ahead of all others, for the minimum share of its
        priority
    :param restarts: number of restarts after lost results
    :param inputs_fetched: running stages whose servers have fetched their inputs
    """

    id: int
    request: StageRequest
    job_ids: dict[int, int] = attrs.Factory(dict)
    handles: dict[int, tuple[str, ...]] = attrs.Factory(dict)
    domains: dict[int, tuple[str, ...]] = attrs.Factory(dict)
    best_effort: bool = False
    is_reserved: bool = False
    restarts: int = 0
    inputs_fetched: set[int] = attrs.Factory(set)

    @property
    def priority(self) -> int:
        """Return the priority in the queues; a reserved request goes ahead of all."""
        return 0 if self.is_reserved else self.request.priority

    def restart(self) -> None:
        """Discard the progress of all stages and count a restart."""
        self.restarts += 1
        self.job_ids.clear()
        self.handles.clear()
        self.domains.clear()
        self.inputs_fetched.clear()

    def is_done(self, stage: int) -> bool:
        """Return whether a stage is done or skipped."""
        return stage in self.handles or self.request.piece_count(stage) == 0

    def is_pending(self, stage: int) -> bool:
        """Return whether a stage still has to be submitted."""
        return not self.is_done(stage) and stage not in self.job_ids

    def has_inputs(self, stage: int) -> bool:
        """Return whether all stages that a stage reads from are done."""
        return all(self.is_done(n) for n in self.request.stages[stage].after)
