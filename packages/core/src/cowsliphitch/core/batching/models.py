"""Jobs of a stage pool, and the calls that they are divided over."""

import enum

import attrs

from cowsliphitch.core.servers.models import Server
from cowsliphitch.core.verdict import Refusal


@attrs.frozen
class Job:
    """The pieces that one request needs of one stage.

    :param id: number of the job at this owner
    :param key: what pieces of a first stage are made from
    :param inputs: handles of the results that each piece reads
    :param result_bytes: size of one result
    :param deadline_ms: monotonic time after which nobody wants the answer
    :param objective_ms: monotonic time until which the answer earns full credit
    :param rest_ms: expected time of what follows this stage
    :param rank: urgency of the request, 0 goes first
    :param near_domain: failure domain in which its pieces are best made
    :param far_bytes: what crosses failure domains for each piece made elsewhere
    :param best_effort: the request was admitted although it misses its objective
    """

    id: int
    service: str
    request: str
    stage: int
    pieces: int
    key: str
    inputs: tuple[str, ...]
    result_bytes: int
    deadline_ms: int
    objective_ms: int
    rest_ms: int
    rank: int
    team: str
    near_domain: str
    far_bytes: int
    queued_ms: int
    best_effort: bool = False


@attrs.frozen
class Piece:
    """One piece of a job."""

    job: Job
    number: int


@attrs.frozen
class Call:
    """Pieces that one server makes together.

    :param due_ms: monotonic time at which its answer is expected
    """

    id: int
    server: Server
    pieces: tuple[Piece, ...]
    started_ms: int
    due_ms: int


class PieceFailure(enum.Enum):
    """Why a server did not make a piece."""

    LATE = "late"
    INPUT_GONE = "gone"
    OUT_OF_MEMORY = "room"
    ERROR = "error"


@attrs.frozen
class PieceDone:
    """A piece was made; its result lies under the handle."""

    handle: str


@attrs.frozen
class PieceFailed:
    """A piece was not made."""

    failure: PieceFailure


PieceOutcome = PieceDone | PieceFailed


@attrs.frozen
class Made:
    """A job is done.

    :param handles: of its results, in the order of the pieces
    :param domains: failure domains in which these lie
    """

    job: Job
    handles: tuple[str, ...]
    domains: tuple[str, ...]


@attrs.frozen
class Failed:
    """A job won't be done; its results are to be freed.

    :param handles: of the results that were made
    """

    job: Job
    refusal: Refusal
    handles: tuple[str, ...]


JobOutcome = Made | Failed
