"""What daemons tell each other."""

import enum
import itertools
from collections.abc import Awaitable, Callable

import attrs

from cowsliphitch.core.deployment.models import StageSpec
from cowsliphitch.core.requests.models import Generation
from cowsliphitch.core.servers.load import ServerLoad
from cowsliphitch.core.verdict import Refusal


@attrs.frozen
class Heartbeat:
    """A daemon's sign of life, with what its peers should know at once.

    :param sequence_number: grows with each heartbeat of a lifetime
    :param config_version: of the settings in force there
    :param draining: servers that it knows to be leaving
    :param servers: what it has at servers, by checksum of their identifiers
    :param duties: term by checksum of the duties that it holds
    """

    name: str
    address: str
    lifetime: int
    sequence_number: int
    failure_domain: str
    config_version: int
    leaving: bool
    draining: tuple[str, ...]
    servers: dict[int, ServerLoad]
    duties: dict[int, int]


@attrs.frozen
class RunStagesRequest:
    """All stages of a request, as a daemon asks an owner for them.

    Times are durations, since clocks differ.

    :param piece_counts: by stage
    :param remaining_ms: until the deadline
    :param objective_remaining_ms: until the objective is missed
    :param generation: what the request asks of a model engine
    :param engine_service: service of the engines
    :param excluded_engines: engines that already failed the request
    :param unreachable_owners: addresses of daemons that gave no answer to this order
    """

    request_id: str
    stages: tuple[StageSpec, ...]
    piece_counts: tuple[int, ...]
    piece_key: str
    remaining_ms: int
    objective_remaining_ms: int
    rank: int
    team: str
    generation: Generation
    engine_service: str
    excluded_engines: tuple[str, ...] = ()
    unreachable_owners: tuple[str, ...] = ()


StageResults = tuple[tuple[str, tuple[str, ...]], ...]


@attrs.frozen
class StagesCompleted:
    """All stages are done.

    :param results: service and handles of each final stage
    :param engine_id: identifier of the engine that is to run the request
    """

    results: StageResults
    engine_id: str

    @property
    def handles(self) -> tuple[str, ...]:
        """Return the handles of all results, in the order of the final stages."""
        return tuple(itertools.chain.from_iterable(h for _, h in self.results))


@attrs.frozen
class StagesRefused:
    """The owner won't do the stages."""

    refusal: Refusal


class EngineProgress(enum.Enum):
    """How far a request got at its engine."""

    BEGAN = 0
    ENDED = 1
    FAILED = 2
    FETCHED = 3


@attrs.frozen
class EngineProgressReport:
    """What became of a request at its engine.

    :param released_results: of stages, which are given up
    """

    request_id: str
    progress: EngineProgress
    released_results: StageResults = ()


@attrs.frozen
class PeerCallFailed:
    """The peer gave no answer."""

    detail: str


RunStagesReply = StagesCompleted | StagesRefused


@attrs.frozen
class PeerRequestHandlers:
    """What a daemon does for its peers.

    :param run_stages: do the stages of a request
    :param record_progress: take over what became of a request at its engine
    :param get_document: return the operator's document above a version
    """

    run_stages: Callable[[RunStagesRequest], Awaitable[RunStagesReply]]
    record_progress: Callable[[EngineProgressReport], None]
    get_document: Callable[[int], tuple[int, bytes]]
