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

    :param number: grows with each heartbeat of a lifetime
    :param version: of the settings in force there
    :param draining: servers that it knows to be leaving
    :param servers: what it has at servers, by checksum of their identifiers
    :param duties: term by checksum of the duties that it holds
    """

    name: str
    address: str
    lifetime: int
    number: int
    failure_domain: str
    version: int
    leaving: bool
    draining: tuple[str, ...]
    servers: dict[int, ServerLoad]
    duties: dict[int, int]


@attrs.frozen
class StagesOrder:
    """All stages of a request, as a daemon asks an owner for them.

    Times are durations, since clocks differ.

    :param pieces: by stage
    :param left_ms: until the deadline
    :param objective_left_ms: until the objective is missed
    :param generation: what the request asks of a model engine
    :param engines: service of the engines
    :param avoid: engines that already failed the request
    :param lost_owners: addresses of daemons that gave no answer to this order
    """

    request: str
    stages: tuple[StageSpec, ...]
    pieces: tuple[int, ...]
    key: str
    left_ms: int
    objective_left_ms: int
    rank: int
    team: str
    generation: Generation
    engines: str
    avoid: tuple[str, ...] = ()
    lost_owners: tuple[str, ...] = ()


Results = tuple[tuple[str, tuple[str, ...]], ...]


@attrs.frozen
class StagesMade:
    """All stages are done.

    :param results: service and handles of each final stage
    :param engine: identifier of the engine that is to run the request
    """

    results: Results
    engine: str

    @property
    def handles(self) -> tuple[str, ...]:
        """Return the handles of all results, in the order of the final stages."""
        return tuple(itertools.chain.from_iterable(h for _, h in self.results))


@attrs.frozen
class StagesRefused:
    """The owner won't do the stages."""

    refusal: Refusal


class Progress(enum.Enum):
    """How far a request got at its engine."""

    BEGAN = 0
    ENDED = 1
    FAILED = 2
    FETCHED = 3


@attrs.frozen
class ProgressNote:
    """What became of a request at its engine.

    :param results: of stages, which are given up
    """

    request: str
    progress: Progress
    results: Results = ()


@attrs.frozen
class PeerLost:
    """The peer gave no answer."""

    detail: str


StagesReply = StagesMade | StagesRefused


@attrs.frozen
class Services:
    """What a daemon does for its peers.

    :param run_stages: do the stages of a request
    :param note: take over what became of a request at its engine
    :param document: return the operator's document above a version
    """

    run_stages: Callable[[StagesOrder], Awaitable[StagesReply]]
    note: Callable[[ProgressNote], None]
    document: Callable[[int], tuple[int, bytes]]
