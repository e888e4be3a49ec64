"""Between the types of this package and the messages on the wire."""

import zlib
from collections.abc import Iterable

from cowsliphitch.core.deployment.models import StageSpec
from cowsliphitch.core.requests.models import Generation, PromptPart
from cowsliphitch.core.servers.load import ServerLoad
from cowsliphitch.core.verdict import Reason, Refusal, Verdict

from ..wire import fleet_pb2 as pb
from .models import (
    EngineProgress,
    EngineProgressReport,
    Heartbeat,
    RunStagesReply,
    RunStagesRequest,
    StageResults,
    StagesCompleted,
    StagesRefused,
)


def server_checksum(server_id: str) -> int:
    """Return the short form of a server's identifier."""
    return zlib.crc32(server_id.encode())


def heartbeat_to_wire(beat: Heartbeat) -> bytes:
    """Encode a heartbeat; the address is the datagram's own."""
    message = pb.Heartbeat(
        name=beat.name,
        lifetime=beat.lifetime,
        number=beat.sequence_number,
        failure_domain=beat.failure_domain,
        version=beat.config_version,
        leaving=beat.leaving,
        draining=beat.draining,
        servers=[
            pb.ServerShare(server=server, running=share.running)
            for server, share in beat.servers.items()
        ],
        duties=[pb.Duty(duty=duty, term=term) for duty, term in beat.duties.items()],
    )
    return bytes(message.SerializeToString())


def heartbeat_from_wire(content: bytes, address: str) -> Heartbeat:
    """Decode a heartbeat.

    :raises ValueError: the datagram is no heartbeat
    """
    message = pb.Heartbeat()
    try:
        message.ParseFromString(content)
    except Exception as exc:
        raise ValueError("the datagram is no heartbeat") from exc
    if not message.name or not message.lifetime:
        raise ValueError("the heartbeat has no sender")
    return Heartbeat(
        name=message.name,
        address=address,
        lifetime=message.lifetime,
        sequence_number=message.number,
        failure_domain=message.failure_domain,
        config_version=message.version,
        leaving=message.leaving,
        draining=tuple(message.draining),
        servers={row.server: ServerLoad(row.running) for row in message.servers},
        duties={row.duty: row.term for row in message.duties},
    )


def progress_to_wire(note: EngineProgressReport) -> pb.ProgressNote:
    """Encode what became of a request."""
    return pb.ProgressNote(
        request=note.request_id,
        progress=pb.Progress.Name(note.progress.value),
        results=_results_to_wire(note.released_results),
    )


def progress_from_wire(message: pb.ProgressNote) -> EngineProgressReport:
    """Decode what became of a request."""
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


def request_to_wire(order: RunStagesRequest) -> pb.StagesOrder:
    """Encode an order."""
    return pb.StagesOrder(
        request=order.request_id,
        stages=[
            pb.Stage(
                service=stage.service,
                after=stage.after,
                result_bytes=stage.result_bytes,
                pieces=order.piece_counts[n] if n < len(order.piece_counts) else 0,
            )
            for n, stage in enumerate(order.stages)
        ],
        key=order.piece_key,
        left_ms=max(0, order.remaining_ms),
        objective_left_ms=order.objective_remaining_ms,
        rank=order.rank,
        team=order.team,
        prompt=pb.Prompt(
            model=order.generation.model,
            tokens=order.generation.prompt_tokens,
            output_tokens=order.generation.output_tokens,
            parts=[
                pb.PromptPart(id=part.id, tokens=part.tokens)
                for part in order.generation.prompt
            ],
        ),
        engines=order.engine_service,
        avoid=order.excluded_engines,
        lost_owners=order.unreachable_owners,
    )


def request_from_wire(message: pb.StagesOrder) -> RunStagesRequest:
    """Decode an order.

    :raises ValueError: a stage follows one that does not exist
    """
    stages = tuple(
        StageSpec(row.service, tuple(row.after), row.result_bytes)
        for row in message.stages
    )
    if any(n >= number for number, s in enumerate(stages) for n in s.after):
        raise ValueError("a stage follows one that does not come before it")
    return RunStagesRequest(
        request_id=message.request,
        stages=stages,
        piece_counts=tuple(row.pieces for row in message.stages),
        piece_key=message.key,
        remaining_ms=message.left_ms,
        objective_remaining_ms=message.objective_left_ms,
        rank=message.rank,
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
    )


def reply_to_wire(reply: RunStagesReply) -> pb.StagesReply:
    """Encode the outcome of an order."""
    match reply:
        case StagesCompleted(results, engine):
            return pb.StagesReply(results=_results_to_wire(results), engine=engine)
        case StagesRefused(refusal):
            return pb.StagesReply(
                reason=refusal.reason.value,
                detail=refusal.detail,
                retry_after_ms=refusal.retry_after_ms or 0,
                stage=refusal.stage or "",
            )


def reply_from_wire(message: pb.StagesReply) -> RunStagesReply:
    """Decode the outcome of an order.

    :raises ValueError: the reason is not known here
    """
    if not message.reason:
        return StagesCompleted(_results_from_wire(message.results), message.engine)
    return StagesRefused(
        Refusal(
            Verdict.NOT_RUN,
            Reason(message.reason),
            message.detail,
            stage=message.stage or None,
            retry_after_ms=message.retry_after_ms or None,
        )
    )
