"""Steps on heartbeats, with real sockets on the loopback address."""

import socket
from typing import Any

import anyio
import attrs
from anyio.lowlevel import checkpoint
from behave import given, then, when

from cowsliphitch.core.quarantine.prompt_parts import PartReport
from cowsliphitch.core.requests.models import Generation
from cowsliphitch.core.revisions import Revision
from cowsliphitch.core.servers.registry import LeavingReport
from cowsliphitch.core.streams.models import StreamOrigin, StreamRecords
from cowsliphitch.peers.fleet import convert
from cowsliphitch.peers.fleet.heartbeats import HeartbeatSocket
from cowsliphitch.peers.fleet.models import (
    BeginTrial,
    EndTrial,
    Heartbeat,
    RunStagesRequest,
    TrialReply,
)
from cowsliphitch.standins.processes import free_port


def heartbeat(name: str, number: int) -> Heartbeat:
    return Heartbeat(
        name=name,
        address="",
        started_ms=1,
        sequence_number=number,
        failure_domain="domain",
        settings_version=1,
        leaving=False,
        leaving_servers=(),
        servers={},
        duties={},
    )


@given("a daemon that was busy while {peers:d} peers sent {count:d} heartbeats each")
def busy_daemon(context: Any, peers: int, count: int) -> None:
    context.peers, context.count = peers, count


@when("its event loop runs for {passes:d} passes")
def run_loop(context: Any, passes: int) -> None:
    context.applied = []

    async def apply(received: Heartbeat) -> None:
        context.applied.append((received.name, received.sequence_number))

    async def main() -> None:
        port = free_port()
        sock = HeartbeatSocket(f"127.0.0.1:{port}", apply)
        async with anyio.create_task_group() as group:
            await group.start(sock.run)
            senders = [
                socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                for _ in range(context.peers)
            ]
            # Sending does not yield, so nothing is read meanwhile.
            for number in range(1, context.count + 1):
                for peer, sender in enumerate(senders):
                    content = convert.heartbeat_to_wire(heartbeat(f"p{peer}", number))
                    sender.sendto(content, ("127.0.0.1", port))
            for _ in range(passes):
                await checkpoint()
            for sender in senders:
                sender.close()
            group.cancel_scope.cancel()

    anyio.run(main)


@then("it has applied the last heartbeat of each of the {peers:d} peers")
def applied_last(context: Any, peers: int) -> None:
    last = {name for name, number in context.applied if number == context.count}
    assert len(last) == peers, f"{len(last)} of {peers} peers"


@then("it has applied no more than {count:d} heartbeats")
def applied_at_most(context: Any, count: int) -> None:
    assert len(context.applied) <= count, len(context.applied)


@when(
    "a heartbeat with a confirmed removal, a server's own word, streams and suspects is"
    " sent"
)
def send_full_heartbeat(context: Any) -> None:
    crashes, company = frozenset({1, 2}), frozenset({"p"})
    suspects = (PartReport("p", crashes, frozenset({2}), 2, company, 5),)
    context.sent = attrs.evolve(
        heartbeat("p1", 1),
        address="127.0.0.1:1",
        leaving_servers=(
            LeavingReport("s1", Revision(1, 5), True, 7, is_confirmed=True),
            LeavingReport("s2", Revision(1, 6), False, 8, is_from_server=True),
        ),
        streams=(StreamRecords(StreamOrigin("engine", "v1"), (1, 2**64 - 1)),),
        suspect_parts=suspects,
        suspect_requests=suspects,
        versions=(StreamOrigin("engine", "v1"), StreamOrigin("engine", "v2")),
        view_age_ms=0,
    )


@then("the peer receives the same heartbeat")
def receives_same(context: Any) -> None:
    content = convert.heartbeat_to_wire(context.sent)
    assert convert.heartbeat_from_wire(content, "127.0.0.1:1") == context.sent


@when("a copy of a suspect is tried")
def try_suspect(context: Any) -> None:
    crashes, digests = frozenset({1, 2}), frozenset({"d"})
    suspect = PartReport("d", crashes, frozenset({2}), 2, digests, 5)
    context.messages = (
        BeginTrial("stages/engine", "127.0.0.1:1", "s1", 500, suspect),
        TrialReply(True, suspect),
        EndTrial("127.0.0.1:1", suspect),
    )


@then("the deciding daemon and the sender receive the same messages")
def receive_same_messages(context: Any) -> None:
    request, reply, end = context.messages
    message = convert.begin_trial_to_wire(request)
    assert convert.begin_trial_from_wire(message) == request
    assert convert.trial_reply_from_wire(convert.trial_reply_to_wire(reply)) == reply
    assert convert.end_trial_from_wire(convert.end_trial_to_wire(end)) == end


@when("an engine of {version} is requested, and two engines are paused")
def request_engine(context: Any, version: str) -> None:
    versions = {"any version": None, "no version": "", "version v1": "v1"}
    context.request = RunStagesRequest(
        request_id="r1",
        stages=(),
        piece_counts=(),
        piece_key="",
        remaining_ms=1,
        objective_remaining_ms=1,
        priority=1,
        team="red",
        generation=Generation("m", 1, 1, ()),
        engine_service="engine",
        paused_engines=("e1", "e2"),
        version=versions[version],
    )


@then("the owner receives the same request")
def receives_same_request(context: Any) -> None:
    message = convert.request_to_wire(context.request)
    received = type(message).FromString(message.SerializeToString())
    assert convert.request_from_wire(received) == context.request
