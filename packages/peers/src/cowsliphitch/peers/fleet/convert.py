"""Between the types of this package and the messages on the wire."""

import zlib

from cowsliphitch.core.engines.models import EngineShare
from cowsliphitch.core.verdict import Reason, Refusal, Verdict

from ..wire import fleet_pb2 as pb
from .models import Heartbeat, StageMade, StageOrder, StageRefused, StageReply


def server_checksum(server_id: str) -> int:
    """Return the short form of a server's identifier."""
    return zlib.crc32(server_id.encode())


def heartbeat_to_wire(beat: Heartbeat) -> bytes:
    """Encode a heartbeat; the address is the datagram's own."""
    message = pb.Heartbeat(
        name=beat.name,
        lifetime=beat.lifetime,
        number=beat.number,
        failure_domain=beat.failure_domain,
        version=beat.version,
        leaving=beat.leaving,
        draining=beat.draining,
        engines=[
            pb.EngineShare(
                server=server,
                running=share.running,
                waiting_tokens=share.waiting_tokens,
            )
            for server, share in beat.engines.items()
        ],
        suspects=[
            pb.Suspect(fingerprint=bytes.fromhex(name), crashes=crashes)
            for name, crashes in beat.suspects.items()
        ],
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
        number=message.number,
        failure_domain=message.failure_domain,
        version=message.version,
        leaving=message.leaving,
        draining=tuple(message.draining),
        engines={
            row.server: EngineShare(row.running, row.waiting_tokens)
            for row in message.engines
        },
        suspects={row.fingerprint.hex(): row.crashes for row in message.suspects},
    )


def order_to_wire(order: StageOrder) -> pb.StageJob:
    """Encode a stage's order."""
    return pb.StageJob(
        service=order.service,
        request=order.request,
        stage=order.stage,
        pieces=order.pieces,
        key=order.key,
        inputs=order.inputs,
        result_bytes=order.result_bytes,
        left_ms=max(0, order.left_ms),
        objective_left_ms=order.objective_left_ms,
        rest_ms=order.rest_ms,
        rank=order.rank,
        team=order.team,
        reader_domain=order.reader_domain,
    )


def order_from_wire(message: pb.StageJob) -> StageOrder:
    """Decode a stage's order."""
    return StageOrder(
        service=message.service,
        request=message.request,
        stage=message.stage,
        pieces=message.pieces,
        key=message.key,
        inputs=tuple(message.inputs),
        result_bytes=message.result_bytes,
        left_ms=message.left_ms,
        objective_left_ms=message.objective_left_ms,
        rest_ms=message.rest_ms,
        rank=message.rank,
        team=message.team,
        reader_domain=message.reader_domain,
    )


def reply_to_wire(reply: StageReply) -> pb.StageResult:
    """Encode the outcome of an order."""
    match reply:
        case StageMade(handles):
            return pb.StageResult(handles=handles)
        case StageRefused(refusal):
            return pb.StageResult(
                reason=refusal.reason.value,
                detail=refusal.detail,
                retry_after_ms=refusal.retry_after_ms or 0,
            )


def reply_from_wire(message: pb.StageResult) -> StageReply:
    """Decode the outcome of an order.

    :raises ValueError: the reason is not known here
    """
    if not message.reason:
        return StageMade(tuple(message.handles))
    return StageRefused(
        Refusal(
            Verdict.NOT_RUN,
            Reason(message.reason),
            message.detail,
            retry_after_ms=message.retry_after_ms or None,
        )
    )
