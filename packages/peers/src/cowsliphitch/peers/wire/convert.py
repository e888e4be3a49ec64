"""Conversion between the core's types and the protobuf messages of peers.proto."""

from result import Err, Ok, Result

from cowsliphitch.core.config.models import Manifest, Snapshot
from cowsliphitch.core.membership.models import MemberRecord, PoolDemand, Summary
from cowsliphitch.core.orders.log import ClaimStatus, Done, Owned
from cowsliphitch.core.orders.models import Answer, Record, State
from cowsliphitch.core.verdict import Reason, Refusal, Verdict
from cowsliphitch.core.vms.models import Vm, VmListing, VmState

from . import peers_pb2 as pb


def summary_from_digest(digest: pb.Digest) -> Summary:
    """Decode the membership summary of a digest.

    :raises ValueError: the lists of the digest differ in length
    """
    heartbeats = (digest.newest - age for age in digest.heartbeat_ages)
    versions = (digest.newest - age for age in digest.version_ages)
    return Summary(
        dict(zip(digest.ids, heartbeats, strict=True)),
        dict(zip(digest.ids, versions, strict=True)),
    )


def write_summary(digest: pb.Digest, summary: Summary) -> None:
    """Encode a membership summary into a digest."""
    heartbeats, versions = summary.heartbeats.values(), summary.versions.values()
    digest.newest = max((*heartbeats, *versions), default=0)
    digest.ids.extend(summary.heartbeats)
    digest.heartbeat_ages.extend(digest.newest - value for value in heartbeats)
    digest.version_ages.extend(digest.newest - value for value in versions)


def member_to_wire(record: MemberRecord) -> pb.MemberRecord:
    """Encode a member's record."""
    return pb.MemberRecord(
        name=record.name,
        failure_domain=record.failure_domain,
        address=record.address,
        operators_address=record.operators_address,
        version=record.version,
        leaving=record.leaving,
        config_revision=record.config_revision,
        demands=[
            pb.Demand(pool=d.pool, team=d.team, slots=d.slots) for d in record.demands
        ],
    )


def member_from_wire(record: pb.MemberRecord) -> MemberRecord:
    """Decode a member's record."""
    return MemberRecord(
        name=record.name,
        failure_domain=record.failure_domain,
        address=record.address,
        operators_address=record.operators_address,
        version=record.version,
        leaving=record.leaving,
        config_revision=record.config_revision,
        demands=tuple(PoolDemand(d.pool, d.team, d.slots) for d in record.demands),
    )


def order_to_wire(record: Record) -> pb.OrderRecord:
    """Encode a record of an order log."""
    answer = record.answer
    body = answer.body if answer is not None else None
    return pb.OrderRecord(
        key=record.key,
        created_ms=record.created_ms,
        attempt=record.attempt,
        fingerprint=record.fingerprint,
        state=record.state.value,
        has_answer=answer is not None,
        answer_status=answer.status if answer is not None else 0,
        has_body=body is not None,
        answer_body=body or "",
    )


def order_from_wire(record: pb.OrderRecord) -> Record:
    """Decode a record of an order log.

    :raises ValueError: the state is unknown
    """
    body = record.answer_body if record.has_body else None
    answer = Answer(record.answer_status, body) if record.has_answer else None
    return Record(
        key=record.key,
        created_ms=record.created_ms,
        attempt=record.attempt,
        fingerprint=record.fingerprint,
        state=State(record.state),
        answer=answer,
    )


def outcome_to_wire(outcome: Result[ClaimStatus, Refusal]) -> pb.AppendReply:
    """Encode the outcome of an append to an order log."""
    match outcome:
        case Ok(Owned(record)):
            return pb.AppendReply(owned=order_to_wire(record))
        case Ok(Done(record)):
            return pb.AppendReply(done=order_to_wire(record))
        case Err(refusal):
            message = pb.Refusal(
                verdict=refusal.verdict.value,
                reason=refusal.reason.value,
                detail=refusal.detail,
            )
            return pb.AppendReply(refused=message)
        case _:
            raise AssertionError(
                "append outcome is neither owned, done nor refused: an appended record "
                "cannot be free"
            )


def outcome_from_wire(reply: pb.AppendReply) -> Result[ClaimStatus, Refusal]:
    """Decode the outcome of an append to an order log.

    :raises ValueError: the reply has no outcome or an unknown state, verdict or reason
    """
    match reply.WhichOneof("outcome"):
        case "owned":
            return Ok(Owned(order_from_wire(reply.owned)))
        case "done":
            return Ok(Done(order_from_wire(reply.done)))
        case "refused":
            refusal = reply.refused
            verdict, reason = Verdict(refusal.verdict), Reason(refusal.reason)
            return Err(Refusal(verdict, reason, refusal.detail))
        case _:
            raise ValueError("append reply has no outcome")


def state_to_wire(
    snapshot: Snapshot | None, listing: VmListing | None
) -> pb.StateReply:
    """Encode a configuration snapshot, a VM list, or both."""
    reply = pb.StateReply()
    if snapshot is not None:
        reply.revision = snapshot.manifest.revision
        reply.change = snapshot.manifest.change
        reply.branches.update(snapshot.manifest.branches)
        reply.values.update(snapshot.values)
    if listing is not None:
        reply.listing_ms = listing.seen_ms
        reply.vms.extend(vm_to_wire(vm) for vm in listing.vms)
    return reply


def snapshot_from_wire(reply: pb.StateReply) -> Snapshot:
    """Decode a configuration snapshot."""
    manifest = Manifest(reply.revision, reply.change, dict(reply.branches))
    return Snapshot(manifest, dict(reply.values))


def vm_to_wire(vm: Vm) -> pb.Vm:
    """Encode a VM."""
    return pb.Vm(
        name=vm.name,
        pool=vm.pool,
        address=vm.address,
        failure_domain=vm.failure_domain,
        leaving=vm.state is VmState.LEAVING,
    )


def listing_from_wire(reply: pb.StateReply) -> VmListing:
    """Decode a peer's VM list."""
    return VmListing(
        tuple(
            Vm(
                name=vm.name,
                pool=vm.pool,
                address=vm.address,
                failure_domain=vm.failure_domain,
                state=VmState.LEAVING if vm.leaving else VmState.LIVE,
            )
            for vm in reply.vms
        ),
        seen_ms=reply.listing_ms,
    )
