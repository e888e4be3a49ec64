"""Jobs of a stage pool, the calls that batch their pieces, and the outcomes."""

import enum

import attrs

from cowsliphitch.core.servers.models import Server
from cowsliphitch.core.verdict import Refusal


@attrs.frozen
class Job:
    """The work of one stage of one request.

    Times are monotonic and in milliseconds.

    :param id: number that is unique within this owner
    :param service: name of the stage pool
    :param stage: index of the stage in the request
    :param piece_count: number of pieces
    :param piece_key: identifies the input of pieces of a stage that reads no results
    :param inputs: handles of the results that each piece reads
    :param result_bytes: size of the result of one piece
    :param deadline_ms: time after which the answer is of no use
    :param objective_ms: time until which the answer counts as on time
    :param downstream_ms: expected duration from the end of this stage to the request's
        first token
    :param priority: priority of the request; 0 is the most urgent
    :param preferred_domain: failure domain in which the pieces transfer the least
    :param cross_domain_bytes: bytes between failure domains for each piece that runs
        outside the preferred domain
    :param queued_ms: time at which the job was queued
    :param best_effort: the request was admitted although it is expected to miss its
        objective
    :param digest: digest of the request's content, empty if unknown
    :param keeps_place: the job goes ahead of others of its priority, also when it is
        late
    """

    id: int
    service: str
    request_id: str
    stage: int
    piece_count: int
    piece_key: str
    inputs: tuple[str, ...]
    result_bytes: int
    deadline_ms: int
    objective_ms: int
    downstream_ms: int
    priority: int
    team: str
    preferred_domain: str
    cross_domain_bytes: int
    queued_ms: int
    best_effort: bool = False
    digest: str = ""
    keeps_place: bool = False


@attrs.frozen
class Piece:
    """One item of a job.

    :param number: index within the job
    """

    job: Job
    number: int


@attrs.frozen
class Call:
    """A batch of pieces that one server runs together.

    :param started_ms: monotonic time at which the call was planned
    :param due_ms: monotonic time at which its answer is expected
    """

    id: int
    server: Server
    pieces: tuple[Piece, ...]
    started_ms: int
    due_ms: int


class PieceFailure(enum.Enum):
    """Reason that a server gives for a failed piece; values are wire names."""

    DEADLINE_EXCEEDED = "late"
    INPUT_MISSING = "gone"
    OUT_OF_MEMORY = "room"
    ERROR = "error"


@attrs.frozen
class PieceDone:
    """A piece succeeded.

    :param handle: reference to its result, which the server stores
    """

    handle: str


@attrs.frozen
class PieceFailed:
    """A piece failed and has no result."""

    failure: PieceFailure


PieceOutcome = PieceDone | PieceFailed


@attrs.frozen
class JobDone:
    """All pieces of a job succeeded.

    :param handles: results by piece number
    :param domains: failure domains of the servers that store them, by piece number
    """

    job: Job
    handles: tuple[str, ...]
    domains: tuple[str, ...]


@attrs.frozen
class JobFailed:
    """A job failed and is not retried.

    :param handles: results of the pieces that succeeded, to be freed by the caller
    """

    job: Job
    refusal: Refusal
    handles: tuple[str, ...]


JobOutcome = JobDone | JobFailed
