"""Steps on heartbeats, with real sockets on the loopback address."""

import socket
from typing import Any

import anyio
from anyio.lowlevel import checkpoint
from behave import given, then, when

from cowsliphitch.peers.fleet import convert
from cowsliphitch.peers.fleet.heartbeats import HeartbeatSocket
from cowsliphitch.peers.fleet.models import Heartbeat
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
