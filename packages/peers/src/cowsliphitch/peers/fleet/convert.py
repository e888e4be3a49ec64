"""Conversion between this package's types and the protobuf messages of fleet.proto.

The field names in fleet.proto are part of the protocol and may differ from the
attributes here; the comments there say what each field holds.
"""

import functools
import math
import zlib
from collections.abc import Iterable
from typing import Final

from cowsliphitch.core.deployment.models import StageSpec
from cowsliphitch.core.fleet.detector import MemberReport
from cowsliphitch.core.fleet.members import DEFAULT_CAPACITY, HEARTBEAT_INTERVAL_MS
from cowsliphitch.core.limits.models import (
    Decision,
    Denied,
    Granted,
    LimitedServer,
    LimitReport,
    PermitRequest,
)
from cowsliphitch.core.quarantine.prompt_parts import PartReport
from cowsliphitch.core.requests.models import Generation, PromptPart
from cowsliphitch.core.revisions import Revision
from cowsliphitch.core.servers.load import ServerLoad, ServerReport
from cowsliphitch.core.servers.registry import LeavingReport
from cowsliphitch.core.streams.models import StreamOrigin, StreamRecords
from cowsliphitch.core.verdict import Reason, Refusal, Verdict

from ..wire import fleet_pb2 as pb
from .models import (
    BeginTrial,
    EndTrial,
    EngineProgress,
    EngineProgressReport,
    Exchange,
    Heartbeat,
    RunStagesReply,
    RunStagesRequest,
    StageResults,
    StagesCompleted,
    StagesRefused,
    StoreChange,
    StoreNews,
    TrialReply,
    ValueChange,
)

# Unit of a pace on the wire.
_PACE_UNIT: Final = 100

# Time from sending a heartbeat to applying it, unless the receiver is busy.  The
# latency between failure domains is about 1 ms.
_TRANSIT_MS: Final = 10


@functools.lru_cache(maxsize=4_096)
def server_checksum(server_id: str) -> int:
    """Return the CRC-32 of a server's identifier, which heartbeats carry instead."""
    return zlib.crc32(server_id.encode())


def heartbeat_to_wire(heartbeat: Heartbeat) -> bytes:
    """Encode a heartbeat, except for its address.

    The receiver takes the address from the datagram.
    """
    message = pb.Heartbeat(
        name=heartbeat.name,
        lifetime=heartbeat.started_ms,
        number=heartbeat.sequence_number,
        failure_domain=heartbeat.failure_domain,
        version=heartbeat.settings_version,
        leaving=heartbeat.leaving,
        leaving_servers=[
            pb.LeavingServer(
                server=report.server_id,
                revision=report.revision.number,
                era=report.revision.era,
                started_ms=report.started_ms,
                removed=report.was_removed,
                confirmed=report.is_confirmed,
                said=report.is_from_server,
            )
            for report in heartbeat.leaving_servers
        ],
        servers=[
            _load_to_wire(server, load) for server, load in heartbeat.servers.items()
        ],
        duties=[
            pb.Duty(duty=duty, term=term, delay_ms=heartbeat.delays_ms.get(duty, 0))
            for duty, term in heartbeat.duties.items()
        ],
        interval_ms=heartbeat.interval_ms,
        capacity=heartbeat.capacity,
        suspect_parts=_suspects_to_wire(heartbeat.suspect_parts),
        suspect_requests=_suspects_to_wire(heartbeat.suspect_requests),
        limits=[
            pb.ServerLimit(
                server=server,
                per_s=report.per_s or 0.0,
                age_ms=report.age_ms,
                sent=report.sent,
            )
            for server, report in heartbeat.limits.items()
        ],
        store_era=heartbeat.store_era,
        streams=[
            pb.StreamGroup(
                service=group.origin.service,
                version=group.origin.version,
                streams=group.streams,
            )
            for group in heartbeat.streams
        ],
        versions=[
            pb.ServiceVersion(service=origin.service, version=origin.version)
            for origin in heartbeat.versions
        ],
        view_age_ms=heartbeat.view_age_ms,
        probed=heartbeat.is_probed,
        reports=[
            pb.MemberReport(
                member=report.address,
                suspect=report.is_suspect,
                age_ms=report.age_ms,
            )
            for report in heartbeat.reports
        ],
        silent_domains=heartbeat.silent_domains,
        probe=heartbeat.exchange.probe,
        answer=heartbeat.exchange.answer,
        target=heartbeat.exchange.target,
        store_news=_news_to_wire(heartbeat.exchange.store_news),
    )
    return bytes(message.SerializeToString())


def _load_to_wire(server: int, load: ServerLoad) -> pb.ServerShare:
    if load.report is None:
        return pb.ServerShare(server=server, running=load.running)
    return pb.ServerShare(
        server=server,
        running=load.running,
        requests=load.report.requests,
        pace=round(load.report.pace * _PACE_UNIT),
        age_ms=load.report.age_ms,
    )


def _load_from_wire(row: pb.ServerShare, delay_ms: int) -> ServerLoad:
    """Decode what a peer knows of a server.

    With an age that is too low, a report that peers pass on in a circle would never
    become old.

    :param delay_ms: time from encoding the heartbeat to sending it
    """
    if not row.pace:
        return ServerLoad(row.running)
    age_ms = row.age_ms + delay_ms + _TRANSIT_MS
    report = ServerReport(row.requests, row.pace / _PACE_UNIT, age_ms)
    return ServerLoad(row.running, report)


def exchange_to_wire(exchange: Exchange) -> bytes:
    """Encode what goes with a heartbeat, to be appended to the encoded heartbeat."""
    message = pb.Heartbeat(
        probe=exchange.probe,
        answer=exchange.answer,
        target=exchange.target,
        store_news=_news_to_wire(exchange.store_news),
        delay_ms=exchange.delay_ms,
    )
    return bytes(message.SerializeToString())


def exchange_from_wire(content: bytes) -> Exchange:
    """Decode what came with the heartbeat of a datagram.

    :raises ValueError: the datagram is not a heartbeat
    """
    return _exchange_of(_parse_heartbeat(content))


def _exchange_of(message: pb.Heartbeat) -> Exchange:
    news = message.store_news if message.HasField("store_news") else None
    return Exchange(
        message.probe,
        message.answer,
        message.target,
        _news_from_wire(news),
        message.delay_ms,
    )


def _news_to_wire(news: StoreNews | None) -> pb.StoreNews | None:
    if news is None:
        return None
    return pb.StoreNews(
        era=news.at.era,
        after=(news.at if news.has_digests else news.after).number,
        continues=news.after.number if news.has_digests else None,
        at=news.at.number,
        changes=[_change_to_wire(change) for change in news.changes],
        view_age_ms=news.view_age_ms,
        unsettled=news.is_unsettled,
    )


def _change_to_wire(change: StoreChange) -> pb.StoreChange:
    row = pb.StoreChange(key=change.key, revision=change.revision.number)
    match change.value:
        case None:
            row.deleted = True
        case ValueChange(digest, difference):
            row.digest, row.difference = digest, difference
        case value:
            row.value = value
    return row


def _change_from_wire(row: pb.StoreChange, era: int) -> StoreChange:
    value: str | ValueChange | None = row.value
    if row.digest:
        value = ValueChange(row.digest, row.difference)
    elif row.deleted:
        value = None
    return StoreChange(row.key, Revision(era, row.revision), value)


def _news_from_wire(message: pb.StoreNews | None) -> StoreNews | None:
    if message is None:
        return None
    return StoreNews(
        Revision(
            message.era,
            message.continues if message.HasField("continues") else message.after,
        ),
        Revision(message.era, message.at),
        tuple(_change_from_wire(row, message.era) for row in message.changes),
        message.view_age_ms,
        message.unsettled,
    )


def _parse_heartbeat(content: bytes) -> pb.Heartbeat:
    message = pb.Heartbeat()
    try:
        message.ParseFromString(content)
    except Exception as exc:
        raise ValueError("datagram is not a valid heartbeat message") from exc
    if not message.name or not message.lifetime:
        raise ValueError("heartbeat lacks the name or start time of its sender")
    return message


def heartbeat_from_wire(content: bytes, address: str) -> Heartbeat:
    """Decode a heartbeat.

    :param address: host and port that the datagram came from
    :raises ValueError: the datagram is not a heartbeat or does not name its sender
    """
    message = _parse_heartbeat(content)
    return Heartbeat(
        name=message.name,
        address=address,
        started_ms=message.lifetime,
        sequence_number=message.number,
        failure_domain=message.failure_domain,
        settings_version=message.version,
        leaving=message.leaving,
        leaving_servers=tuple(
            LeavingReport(
                row.server,
                Revision(row.era, row.revision),
                row.removed,
                row.started_ms,
                row.confirmed,
                row.said,
            )
            for row in message.leaving_servers
        ),
        servers={
            row.server: _load_from_wire(row, message.delay_ms)
            for row in message.servers
        },
        duties={row.duty: row.term for row in message.duties},
        delays_ms={row.duty: row.delay_ms for row in message.duties if row.delay_ms},
        interval_ms=message.interval_ms or HEARTBEAT_INTERVAL_MS,
        capacity=message.capacity or DEFAULT_CAPACITY,
        suspect_parts=_suspects_from_wire(message.suspect_parts),
        suspect_requests=_suspects_from_wire(message.suspect_requests),
        limits={
            row.server: LimitReport(row.per_s or None, row.age_ms, row.sent)
            for row in message.limits
        },
        store_era=message.store_era,
        streams=tuple(
            StreamRecords(StreamOrigin(row.service, row.version), tuple(row.streams))
            for row in message.streams
        ),
        versions=tuple(
            StreamOrigin(row.service, row.version) for row in message.versions
        ),
        view_age_ms=message.view_age_ms if message.HasField("view_age_ms") else None,
        is_probed=message.probed,
        reports=tuple(
            MemberReport(row.member, row.suspect, row.age_ms) for row in message.reports
        ),
        silent_domains=tuple(message.silent_domains),
        exchange=_exchange_of(message),
    )


def _suspects_to_wire(reports: Iterable[PartReport]) -> list[pb.SuspectPart]:
    return [_suspect_to_wire(report) for report in reports]


def _suspects_from_wire(rows: Iterable[pb.SuspectPart]) -> tuple[PartReport, ...]:
    return tuple(_suspect_from_wire(row) for row in rows)


def _suspect_to_wire(report: PartReport) -> pb.SuspectPart:
    return pb.SuspectPart(
        part=report.part,
        crashes=report.crashes,
        cleared=report.cleared,
        crash_count=report.crash_count,
        company=report.company,
        quarantine_left_ms=report.quarantine_left_ms,
    )


def _suspect_from_wire(row: pb.SuspectPart) -> PartReport:
    return PartReport(
        row.part,
        frozenset(row.crashes),
        frozenset(row.cleared),
        row.crash_count,
        frozenset(row.company),
        row.quarantine_left_ms,
    )


def progress_to_wire(report: EngineProgressReport) -> pb.ProgressNote:
    """Encode a progress report."""
    return pb.ProgressNote(
        request=report.request_id,
        progress=pb.Progress.Name(report.progress.value),
        results=_results_to_wire(report.released_results),
    )


def progress_from_wire(message: pb.ProgressNote) -> EngineProgressReport:
    """Decode a progress report.

    :raises ValueError: the kind of progress is unknown
    """
    return EngineProgressReport(
        message.request,
        EngineProgress(message.progress),
        _results_from_wire(message.results),
    )


def _results_to_wire(results: StageResults) -> list[pb.StageResults]:
    return [
        pb.StageResults(service=service, handles=handles)
        for service, handles in results
    ]


def _results_from_wire(rows: Iterable[pb.StageResults]) -> StageResults:
    return tuple((row.service, tuple(row.handles)) for row in rows)


def request_to_wire(request: RunStagesRequest) -> pb.StagesOrder:
    """Encode a request to run stages."""
    return pb.StagesOrder(
        request=request.request_id,
        stages=[
            pb.Stage(
                service=stage.service,
                after=stage.after,
                result_bytes=stage.result_bytes,
                pieces=request.piece_counts[number]
                if number < len(request.piece_counts)
                else 0,
            )
            for number, stage in enumerate(request.stages)
        ],
        key=request.piece_key,
        left_ms=max(0, request.remaining_ms),
        objective_left_ms=request.objective_remaining_ms,
        rank=request.priority,
        team=request.team,
        prompt=pb.Prompt(
            model=request.generation.model,
            tokens=request.generation.prompt_tokens,
            output_tokens=request.generation.output_tokens,
            parts=[
                pb.PromptPart(id=part.id, tokens=part.tokens)
                for part in request.generation.prompt
            ],
        ),
        engines=request.engine_service,
        avoid=request.excluded_engines,
        lost_owners=request.unreachable_owners,
        paused=request.paused_engines,
        version=request.version,
        cell=request.cell,
        digest=request.digest,
        again=request.is_rerun,
    )


def request_from_wire(message: pb.StagesOrder) -> RunStagesRequest:
    """Decode a request to run stages.

    :raises ValueError: a stage depends on itself or on a later stage
    """
    stages = tuple(
        StageSpec(row.service, tuple(row.after), row.result_bytes)
        for row in message.stages
    )
    if any(
        dependency >= number
        for number, stage in enumerate(stages)
        for dependency in stage.after
    ):
        raise ValueError("a stage depends on itself or on a later stage")
    return RunStagesRequest(
        request_id=message.request,
        stages=stages,
        piece_counts=tuple(row.pieces for row in message.stages),
        piece_key=message.key,
        remaining_ms=message.left_ms,
        objective_remaining_ms=message.objective_left_ms,
        priority=message.rank,
        team=message.team,
        generation=Generation(
            model=message.prompt.model,
            prompt_tokens=message.prompt.tokens,
            output_tokens=message.prompt.output_tokens,
            prompt=tuple(PromptPart(p.id, p.tokens) for p in message.prompt.parts),
        ),
        engine_service=message.engines,
        excluded_engines=tuple(message.avoid),
        unreachable_owners=tuple(message.lost_owners),
        paused_engines=tuple(message.paused),
        version=message.version if message.HasField("version") else None,
        cell=tuple(message.cell),
        digest=message.digest,
        is_rerun=message.again,
    )


def reply_to_wire(reply: RunStagesReply) -> pb.StagesReply:
    """Encode the reply to a request to run stages."""
    match reply:
        case StagesCompleted(results, engine_id, permit_wait_ms, retention_ms):
            return pb.StagesReply(
                results=_results_to_wire(results),
                engine=engine_id,
                permitted=permit_wait_ms is not None,
                permit_wait_ms=permit_wait_ms or 0,
                keep_ms=retention_ms,
            )
        case StagesRefused(refusal):
            return pb.StagesReply(
                reason=refusal.reason.value,
                detail=refusal.detail,
                retry_after_ms=refusal.retry_after_ms or 0,
                stage=refusal.stage or "",
            )


def reply_from_wire(message: pb.StagesReply) -> RunStagesReply:
    """Decode the reply to a request to run stages.

    :raises ValueError: the reason of the refusal is unknown
    """
    if not message.reason:
        return StagesCompleted(
            _results_from_wire(message.results),
            message.engine,
            message.permit_wait_ms if message.permitted else None,
            message.keep_ms,
        )
    return StagesRefused(
        Refusal(
            Verdict.NOT_RUN,
            Reason(message.reason),
            message.detail,
            stage=message.stage or None,
            retry_after_ms=message.retry_after_ms or None,
        )
    )


def permit_request_to_wire(request: PermitRequest) -> pb.PermitRequest:
    """Encode a request for a permit."""
    return pb.PermitRequest(
        request=request.request_id,
        service=request.service,
        servers=[
            pb.LimitedServer(
                server=server.server_id, per_s=server.per_s, age_ms=server.age_ms
            )
            for server in request.servers
        ],
        max_wait_ms=max(0, request.max_wait_ms),
    )


def permit_request_from_wire(message: pb.PermitRequest) -> PermitRequest:
    """Decode a request for a permit.

    :raises ValueError: it names no server, or a rate that is not positive
    """
    servers = tuple(
        LimitedServer(row.server, row.per_s, row.age_ms) for row in message.servers
    )
    if not servers or not all(0 < server.per_s < math.inf for server in servers):
        raise ValueError("the request for a permit names no server or no rate")
    return PermitRequest(message.request, message.service, servers, message.max_wait_ms)


def decision_to_wire(decision: Decision) -> pb.PermitReply:
    """Encode the decision on a request for a permit."""
    match decision:
        case Granted(server_id, wait_ms):
            return pb.PermitReply(granted=True, server=server_id, wait_ms=wait_ms)
        case Denied(server_id, retry_after_ms):
            return pb.PermitReply(server=server_id, retry_after_ms=retry_after_ms)


def decision_from_wire(message: pb.PermitReply) -> Decision:
    """Decode the decision on a request for a permit."""
    if message.granted:
        return Granted(message.server, message.wait_ms)
    return Denied(message.server, message.retry_after_ms)


def begin_trial_to_wire(request: BeginTrial) -> pb.TrialRequest:
    """Encode a request for a trial."""
    return pb.TrialRequest(
        duty=request.duty,
        holder=request.holder,
        server=request.server_id,
        duration_ms=max(0, request.duration_ms),
        suspect=_suspect_to_wire(request.suspect),
    )


def begin_trial_from_wire(message: pb.TrialRequest) -> BeginTrial:
    """Decode a request for a trial.

    :raises ValueError: it names no suspect
    """
    if not message.suspect.part:
        raise ValueError("the request for a trial names no suspect")
    return BeginTrial(
        message.duty,
        message.holder,
        message.server,
        message.duration_ms,
        _suspect_from_wire(message.suspect),
    )


def trial_reply_to_wire(reply: TrialReply) -> pb.TrialReply:
    """Encode the reply to a request for a trial."""
    return pb.TrialReply(
        granted=reply.is_granted, suspect=_suspect_to_wire(reply.suspect)
    )


def trial_reply_from_wire(message: pb.TrialReply) -> TrialReply:
    """Decode the reply to a request for a trial."""
    return TrialReply(message.granted, _suspect_from_wire(message.suspect))


def end_trial_to_wire(report: EndTrial) -> pb.TrialEnd:
    """Encode the report that a copy was judged."""
    return pb.TrialEnd(holder=report.holder, suspect=_suspect_to_wire(report.suspect))


def end_trial_from_wire(message: pb.TrialEnd) -> EndTrial:
    """Decode the report that a copy was judged.

    :raises ValueError: it names no suspect
    """
    if not message.suspect.part:
        raise ValueError("the end of a trial names no suspect")
    return EndTrial(message.holder, _suspect_from_wire(message.suspect))
