"""Steps on unexpected errors of single calls, probes and messages."""

import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any
from unittest import mock

import anyio
from behave import given, then, when
from heartbeat_steps import heartbeat

from cowsliphitch.core.clock import Clock
from cowsliphitch.core.engines.selector import CostWeights
from cowsliphitch.core.fleet.cells import Cell
from cowsliphitch.core.fleet.members import Member, MemberTable
from cowsliphitch.core.servers.models import Server, ServerState
from cowsliphitch.core.verdict import Reason, may_have_run
from cowsliphitch.gateway import engine_quarantine
from cowsliphitch.gateway.engine_quarantine import EngineQuarantine
from cowsliphitch.gateway.stage_executor import StageExecutor
from cowsliphitch.gateway.stage_owner import StageOwner
from cowsliphitch.gateway.state import GatewayState
from cowsliphitch.peers.fleet import convert
from cowsliphitch.peers.fleet.heartbeats import HeartbeatSocket
from cowsliphitch.peers.fleet.models import Heartbeat
from cowsliphitch.standins.processes import free_port
from cowsliphitch.telemetry.tasks import BackgroundTasks
from cowsliphitch.upstreams.http1.models import UpstreamError

SERVER = Server("s1", "service", "127.0.0.1:1", "domain", ServerState.READY, 4)


def new_state() -> GatewayState:
    clock = Clock()
    own = Member("127.0.0.1:1", "daemon", "domain", 1)
    return GatewayState(clock, 1, MemberTable(own, clock.now_ms()))


def run(context: Any, action: Callable[[BackgroundTasks], Awaitable[None]]) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            context.tasks = BackgroundTasks(group, Clock())
            with anyio.fail_after(5):
                await action(context.tasks)
            group.cancel_scope.cancel()

    anyio.run(main)


@given("a stage owner whose calls raise an unexpected error")
def failing_calls(context: Any) -> None:
    context.planner = mock.Mock()
    context.planner.plan_calls.return_value = []
    context.planner.fail_call.return_value = []


@when("a stage call is run")
def run_call(context: Any) -> None:
    async def action(tasks: BackgroundTasks) -> None:
        unused: Any = None
        state = new_state()
        quarantine = EngineQuarantine(state, tasks)
        executor = StageExecutor(
            state, unused, unused, CostWeights(), tasks, quarantine
        )
        executor.planner = context.planner
        error = mock.AsyncMock(side_effect=KeyError("unexpected"))
        with mock.patch.object(executor, "_send_call", error):
            tasks.start_soon(executor._run_call, mock.sentinel.call)
            await anyio.sleep(0.05)

    run(context, action)


@then("the call has failed and may have run, and the daemon goes on")
def call_has_failed(context: Any) -> None:
    (call,) = context.planner.fail_call.call_args_list
    assert call.args[0] is mock.sentinel.call and call.args[2] is True, call
    assert context.planner.plan_calls.called, "no further calls were planned"
    assert context.tasks.failures == {"StageExecutor._run_call": 1}


@given("a quarantine whose probes raise an unexpected error")
def failing_probes(context: Any) -> None:
    context.probe = mock.AsyncMock(side_effect=KeyError("unexpected"))


@when("a request is lost and its sender waits for the verdict on its server")
def lose_request(context: Any) -> None:
    async def action(tasks: BackgroundTasks) -> None:
        quarantine = EngineQuarantine(new_state(), tasks)
        with mock.patch.object(engine_quarantine, "refuses_connections", context.probe):
            # A later loss is probed again.
            for _ in range(2):
                exposure = quarantine.expose("digest", (), SERVER, 0)
                lost = may_have_run(Reason.CONNECTION_LOST, "lost")
                with (
                    suppress(UpstreamError),
                    quarantine.observe([exposure]),
                ):
                    raise UpstreamError(lost)
                await quarantine.wait_until_judged(SERVER)

    run(context, action)


@then("the sender has gone on, and the daemon goes on")
def has_gone_on(context: Any) -> None:
    assert context.probe.await_count == 2, context.probe.await_count
    assert context.tasks.failures == {"EngineQuarantine._probe": 2}


@given("an owner of two cells of which the first one's maintenance raises an error")
def failing_maintenance(context: Any) -> None:
    context.executors = [mock.Mock(is_idle=False, duty="") for _ in range(2)]
    context.executors[0].run_maintenance.side_effect = KeyError("unexpected")


@when("the maintenance runs {count:d} times")
def maintain(context: Any, count: int) -> None:
    async def action(tasks: BackgroundTasks) -> None:
        executors = iter(context.executors)
        owner = StageOwner(new_state(), lambda _cell: next(executors), tasks)
        for domain in ("a", "b"):
            owner._executor(Cell((domain,)))
        for _ in range(count):
            owner.run_maintenance()

    run(context, action)


@then(
    "the second cell has been maintained {count:d} times, and {failures:d} failures are"
    " counted"
)
def is_maintained(context: Any, count: int, failures: int) -> None:
    assert context.executors[1].run_maintenance.call_count == count
    assert sum(context.tasks.failures.values()) == failures, context.tasks.failures


@given(
    "a daemon to which {peers:d} peers send heartbeats, those of the first raise an"
    " error"
)
def failing_heartbeats(context: Any, peers: int) -> None:
    context.peers, context.applied = peers, []


@when("both send {count:d} heartbeats in turn")
def send_heartbeats(context: Any, count: int) -> None:
    context.count = count

    async def apply(received: Heartbeat) -> None:
        if received.name == "p0":
            raise KeyError("unexpected")
        context.applied.append(received.sequence_number)

    async def action(tasks: BackgroundTasks) -> None:
        port = free_port()
        context.socket = HeartbeatSocket(f"127.0.0.1:{port}", apply)
        tasks.start_soon(context.socket.run)
        await anyio.sleep(0.05)
        senders = [
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            for _ in range(context.peers)
        ]
        for number in range(1, count + 1):
            for peer, sender in enumerate(senders):
                content = convert.heartbeat_to_wire(heartbeat(f"p{peer}", number))
                sender.sendto(content, ("127.0.0.1", port))
            await anyio.sleep(0.05)
        for sender in senders:
            sender.close()

    run(context, action)


@then("those of the second are applied, and the failures are counted")
def are_applied(context: Any) -> None:
    assert context.applied == list(range(1, context.count + 1)), context.applied
    assert context.socket.failed_datagrams == context.count
