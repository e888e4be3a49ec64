"""What daemons tell each other."""

from collections.abc import Awaitable, Callable

import attrs

from cowsliphitch.core.engines.models import EngineShare
from cowsliphitch.core.verdict import Refusal


@attrs.frozen
class Heartbeat:
    """A daemon's sign of life, with what its peers should know at once.

    :param number: grows with each heartbeat of a lifetime
    :param version: of the settings in force there
    :param draining: servers that it knows to be leaving
    :param engines: what it has sent to servers, by checksum of their identifiers
    :param suspects: crashes by fingerprint of the requests that caused them
    """

    name: str
    address: str
    lifetime: int
    number: int
    failure_domain: str
    version: int
    leaving: bool
    draining: tuple[str, ...]
    engines: dict[int, EngineShare]
    suspects: dict[str, int]


@attrs.frozen
class StageOrder:
    """Pieces of one stage that a daemon asks an owner for; times are durations."""

    service: str
    request: str
    stage: int
    pieces: int
    key: str
    inputs: tuple[str, ...]
    result_bytes: int
    left_ms: int
    objective_left_ms: int
    rest_ms: int
    rank: int
    team: str
    reader_domain: str


@attrs.frozen
class StageMade:
    """All pieces were made."""

    handles: tuple[str, ...]


@attrs.frozen
class StageRefused:
    """The owner won't make the pieces."""

    refusal: Refusal


@attrs.frozen
class PeerLost:
    """The peer gave no answer."""

    detail: str


StageReply = StageMade | StageRefused


@attrs.frozen
class Services:
    """What a daemon does for its peers.

    :param run_stage: make the pieces of a stage
    :param free: give up results
    :param document: return the operator's document above a version
    """

    run_stage: Callable[[StageOrder], Awaitable[StageReply]]
    free: Callable[[str, tuple[str, ...]], None]
    document: Callable[[int], tuple[int, bytes]]
