"""Messages that daemons exchange about requests, servers and duties."""

import enum
import itertools
from collections.abc import Awaitable, Callable

import attrs

from cowsliphitch.core.deployment.models import StageSpec
from cowsliphitch.core.fleet.detector import MemberReport
from cowsliphitch.core.fleet.members import DEFAULT_CAPACITY, HEARTBEAT_INTERVAL_MS
from cowsliphitch.core.limits.models import Decision, LimitReport, PermitRequest
from cowsliphitch.core.quarantine.prompt_parts import PartReport
from cowsliphitch.core.requests.models import Generation
from cowsliphitch.core.revisions import Revision
from cowsliphitch.core.servers.load import ServerLoad
from cowsliphitch.core.servers.registry import LeavingReport
from cowsliphitch.core.streams.models import StreamOrigin, StreamRecords
from cowsliphitch.core.verdict import Refusal


@attrs.frozen
class ValueChange:
    """What is sent of a value that is too large for a datagram.

    :param digest: digest of the new value
    :param difference: its difference to the value before, empty if it has to be fetched
    """

    digest: bytes
    difference: bytes = b""


@attrs.frozen
class StoreChange:
    """Change of one key of the store.

    :param value: its new value, ``None`` if it was deleted
    """

    key: str
    revision: Revision
    value: str | ValueChange | None


@attrs.frozen
class StoreNews:
    """Changes of the store that a daemon passes on to others of its domain.

    :param after: revision that the changes continue from
    :param at: revision that they lead to
    :param view_age_ms: time since the store's last answer to the sender
    :param is_unsettled: entries may have expired in an outage of the store
    """

    after: Revision
    at: Revision
    changes: tuple[StoreChange, ...]
    view_age_ms: int
    is_unsettled: bool = False

    @property
    def has_digests(self) -> bool:
        """Return whether some values are too large to be sent."""
        return any(isinstance(c.value, ValueChange) for c in self.changes)

    def without_differences(self) -> "StoreNews":
        """Return these news with digests of all values that are too large."""
        changes = (
            attrs.evolve(change, value=ValueChange(change.value.digest))
            if isinstance(change.value, ValueChange)
            else change
            for change in self.changes
        )
        return attrs.evolve(self, changes=tuple(changes))


@attrs.frozen
class DocumentQuery:
    """Request for the operator's document if it is newer than the sender's.

    :param above_version: version of the sender's document
    :param is_compressed: the sender can read the compressed forms
    :param base: digest of the sender's document, empty if it has none
    """

    above_version: int
    is_compressed: bool = True
    base: bytes = b""


@attrs.frozen
class DocumentReply:
    """Operator's document, in one of three forms.

    :param version: 0 if there is no newer document
    :param content: the document as it is
    :param compressed: the document in zlib format
    :param difference: its difference to the document that the sender named
    """

    version: int = 0
    content: bytes = b""
    compressed: bytes = b""
    difference: bytes = b""


@attrs.frozen
class Exchange:
    """Probe, answer or news of the store that a daemon adds to its heartbeat.

    :param probe: number of a probe that the receiver answers, 0 for none
    :param answer: number of the receiver's probe that this answers, 0 for none
    :param target: address of the daemon that the receiver probes in the sender's
        place, empty if the probe is for the receiver itself
    :param delay_ms: time from encoding the heartbeat that it is added to
    """

    probe: int = 0
    answer: int = 0
    target: str = ""
    store_news: StoreNews | None = None
    delay_ms: int = 0

    def is_empty(self) -> bool:
        """Return whether a heartbeat came by itself."""
        return not self.probe and not self.answer and self.store_news is None


@attrs.frozen
class Heartbeat:
    """Periodic message by which a daemon shows that it is alive.

    It also carries the state that peers need without delay.

    :param address: host and port that the datagram came from
    :param started_ms: Unix time in ms at which the daemon's process started
    :param sequence_number: increases with each heartbeat of one process
    :param settings_version: version of the settings in force at the daemon
    :param interval_ms: time until the sender's next heartbeat to the same peer
    :param leaving: the daemon is shutting down
    :param leaving_servers: servers that are draining or were removed
    :param servers: requests of the daemon at servers, by checksum of the server's
        identifier
    :param duties: term of each duty that the daemon holds, by checksum of the duty's
        name
    :param capacity: processor capacity of the daemon's VM
    :param suspect_parts: prompt parts that may crash engines
    :param suspect_requests: requests that may crash servers, by digest
    :param limits: limits that servers named to the daemon, by checksum of the server's
        identifier
    :param store_era: era of the store as the daemon knows it
    :param streams: streams that began at the daemon, by their origin
    :param versions: versions that it listed, of services that have several
    :param view_age_ms: time since the store's last answer to it, ``None`` before that
    :param is_probed: it sends no regular heartbeats and answers probes instead
    :param reports: what it reports on other daemons
    :param silent_domains: failure domains in which it hears no daemon
    :param delays_ms: how far behind the servers of its duties are, by checksum of the
        duty's name
    :param exchange: probe, answer or news of the store that came with it
    """

    name: str
    address: str
    started_ms: int
    sequence_number: int
    failure_domain: str
    settings_version: int
    leaving: bool
    leaving_servers: tuple[LeavingReport, ...]
    servers: dict[int, ServerLoad]
    duties: dict[int, int]
    interval_ms: int = HEARTBEAT_INTERVAL_MS
    capacity: float = DEFAULT_CAPACITY
    suspect_parts: tuple[PartReport, ...] = ()
    limits: dict[int, LimitReport] = attrs.Factory(dict)
    store_era: int = 0
    streams: tuple[StreamRecords, ...] = ()
    suspect_requests: tuple[PartReport, ...] = ()
    versions: tuple[StreamOrigin, ...] = ()
    view_age_ms: int | None = None
    is_probed: bool = False
    reports: tuple[MemberReport, ...] = ()
    silent_domains: tuple[str, ...] = ()
    delays_ms: dict[int, int] = attrs.Factory(dict)
    exchange: Exchange = Exchange()


@attrs.frozen
class RunStagesRequest:
    """Request to the owner of the stage pools to run all stages of a request.

    Times are durations, since the clocks of daemons differ.

    :param piece_counts: number of pieces of each stage, in the order of ``stages``
    :param piece_key: input from which the first stages make their pieces
    :param remaining_ms: time until the deadline
    :param objective_remaining_ms: time until the objective is missed, negative after
        that
    :param priority: 0 goes first
    :param generation: model, prompt and output length of the request at its engine
    :param engine_service: name of the service whose engines can run the request
    :param excluded_engines: identifiers of engines that already failed the request
    :param unreachable_owners: addresses of daemons that did not answer this request
    :param paused_engines: identifiers of engines that want no requests from the sender
        for now
    :param version: software version that the engine must have, ``None`` for any
    :param cell: failure domains whose servers run it, empty for all
    :param digest: digest of its content, under which it is suspected of crashing
        servers, empty if unknown
    :param is_rerun: it was admitted before, and keeps its place
    """

    request_id: str
    stages: tuple[StageSpec, ...]
    piece_counts: tuple[int, ...]
    piece_key: str
    remaining_ms: int
    objective_remaining_ms: int
    priority: int
    team: str
    generation: Generation
    engine_service: str
    excluded_engines: tuple[str, ...] = ()
    unreachable_owners: tuple[str, ...] = ()
    paused_engines: tuple[str, ...] = ()
    version: str | None = None
    cell: tuple[str, ...] = ()
    digest: str = ""
    is_rerun: bool = False


# Service and result handles of each final stage.
StageResults = tuple[tuple[str, tuple[str, ...]], ...]


@attrs.frozen
class StagesCompleted:
    """Reply when all stages have run.

    :param results: service and result handles of each final stage
    :param engine_id: identifier of the engine that was chosen for the request
    :param permit_wait_ms: time until the request may be sent to a limited engine,
        ``None`` if no permit was given since the engine is not limited
    :param retention_ms: time from sending for which the results are kept unless the
        engine begins to answer, 0 for the usual time
    """

    results: StageResults
    engine_id: str
    permit_wait_ms: int | None = None
    retention_ms: int = 0

    @property
    def handles(self) -> tuple[str, ...]:
        """Return the handles of all results, in the order of the final stages."""
        return tuple(itertools.chain.from_iterable(h for _, h in self.results))


@attrs.frozen
class StagesRefused:
    """Reply when the owner does not run the stages."""

    refusal: Refusal


class EngineProgress(enum.Enum):
    """State of a request at its engine.

    ``BEGAN``: the engine has begun to answer; ``ENDED``: the request is over;
    ``FAILED``: the engine failed the request; ``FETCHED``: the engine must have read
    the stage results by now.  The values are those of the wire.
    """

    BEGAN = 0
    ENDED = 1
    FAILED = 2
    FETCHED = 3


@attrs.frozen
class EngineProgressReport:
    """Report to the owner on a request that was sent to an engine.

    :param released_results: stage results that may now be freed
    """

    request_id: str
    progress: EngineProgress
    released_results: StageResults = ()


@attrs.frozen
class BeginTrial:
    """Request to send one copy of a suspect request to a server.

    :param duty: name of the duty whose holder decides
    :param holder: address of the daemon that sends the copy
    :param server_id: server that it is sent to
    :param duration_ms: longest time until the copy is judged
    :param suspect: what the sender knows of the request
    """

    duty: str
    holder: str
    server_id: str
    duration_ms: int
    suspect: PartReport


@attrs.frozen
class TrialReply:
    """Reply to a request for a trial.

    :param suspect: what the replying daemon knows of the request
    """

    is_granted: bool
    suspect: PartReport


@attrs.frozen
class EndTrial:
    """Report that a copy was judged.

    :param holder: address of the daemon that sent the copy
    :param suspect: what that daemon knows of the request by now
    """

    holder: str
    suspect: PartReport


@attrs.frozen
class PeerCallFailed:
    """Result of a call that got no usable answer from the peer."""

    detail: str


RunStagesReply = StagesCompleted | StagesRefused


@attrs.frozen
class PeerRequestHandlers:
    """Callbacks that serve the calls of peers.

    :param run_stages: runs the stages of a request
    :param record_progress: records the progress of a request at its engine
    :param grant_permit: grants or denies a request to a limited server
    :param begin_trial: decides whether a copy of a suspect request may be sent
    :param end_trial: records that such a copy was judged
    :param get_document: returns the operator's document if it is newer
    """

    run_stages: Callable[[RunStagesRequest], Awaitable[RunStagesReply]]
    record_progress: Callable[[EngineProgressReport], None]
    grant_permit: Callable[[PermitRequest], Decision]
    begin_trial: Callable[[BeginTrial], TrialReply]
    end_trial: Callable[[EndTrial], None]
    get_document: Callable[[DocumentQuery], DocumentReply]
