"""Steps on what is sent to servers, with the gateway's client and scripted servers."""

from typing import Any
from unittest import mock

import anyio
from anyio.abc import SocketStream, TaskGroup
from behave import given, then, when

from cowsliphitch.core.budgets.sliding_window import RetryAllowance
from cowsliphitch.core.clock import Clock
from cowsliphitch.core.deployment.models import Route, RouteKind
from cowsliphitch.core.fleet.members import Member, MemberTable
from cowsliphitch.core.requests.models import CallerRequest
from cowsliphitch.core.servers.models import Server, ServerState
from cowsliphitch.gateway.engine_quarantine import EngineQuarantine
from cowsliphitch.gateway.forwarding import Forwarder, RequestContext
from cowsliphitch.gateway.server_client import Purpose, ServerClient
from cowsliphitch.gateway.state import GatewayState
from cowsliphitch.standins.processes import free_port
from cowsliphitch.upstreams.http1 import pool as pool_module
from cowsliphitch.upstreams.http1.models import OutgoingRequest, UpstreamError
from cowsliphitch.upstreams.http1.pool import ConnectionPool

ANSWER = (
    b"HTTP/1.1 200 OK\r\nCowsliphitch-Request-Id: r1\r\n"
    b"Cowsliphitch-Response-Seal: seal\r\nContent-Length: 2\r\n\r\n"
)


class RecordedReply:
    """Reply that keeps what the caller would receive."""

    def __init__(self) -> None:
        self.status: int | None = None
        self.body = b""

    @property
    def started(self) -> bool:
        return self.status is not None

    async def start(self, status: int, _headers: Any, length: int | None) -> None:
        self.status = status

    async def send(self, content: bytes) -> None:
        self.body += content

    async def end(self) -> None:
        pass


class Sender:
    """The gateway's client, and servers that answer with their own name."""

    def __init__(self, names: list[str]) -> None:
        self.ports = {name: free_port() for name in names}
        self.received: dict[str, bytes] = dict.fromkeys(names, b"")
        clock = Clock()
        own = Member("127.0.0.1:1", "daemon", "domain", 1)
        self.state = GatewayState(clock, 1, MemberTable(own, clock.now_ms()))
        self.state.servers.replace(
            ((self.server(name), 1) for name in names), 1, clock.now_ms()
        )

    def server(self, name: str) -> Server:
        address = f"127.0.0.1:{self.ports[name]}"
        return Server(name, "service", address, "domain", ServerState.READY, 4)

    def leave(self, name: str) -> None:
        self.state.servers.mark_leaving(name, 5, self.state.clock.now_ms(), "peer")

    async def serve(self, name: str, stream: SocketStream) -> None:
        try:
            while True:
                self.received[name] += await stream.receive()
                await stream.send(ANSWER + name.encode())
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            await stream.aclose()

    async def run(self, action: Any) -> None:
        async with anyio.create_task_group() as group:
            for name, port in self.ports.items():
                listener = await anyio.create_tcp_listener(
                    local_host="127.0.0.1", local_port=port
                )

                async def serve(stream: SocketStream, name: str = name) -> None:
                    await self.serve(name, stream)

                group.start_soon(listener.serve, serve)
            pool = ConnectionPool(b"cowsliphitch-request-id", group, self.state.clock)
            with anyio.fail_after(5):
                await action(ServerClient(self.state, pool), group)
            group.cancel_scope.cancel()

    async def send(self, client: ServerClient, name: str, purpose: Purpose) -> None:
        request = OutgoingRequest(b"GET", b"/", ((b"host", b"x"),), b"", b"r1")
        async with client.exchange(self.server(name), request, 4, purpose) as answer:
            await answer.read(100)

    def leaving_on_connect(self, name: str) -> Any:
        """Make a server leave while the first connection is opened."""
        connect = pool_module.connect

        async def connect_then_leave(*args: Any) -> Any:
            connection = await connect(*args)
            self.leave(name)
            return connection

        return mock.patch.object(pool_module, "connect", connect_then_leave)


@given('servers "{names}" that listen')
def given_servers(context: Any, names: str) -> None:
    context.sender = Sender(names.split(", "))


@when('a {purpose} is sent to "{name}", which leaves while the connection is opened')
def send_to_leaving(context: Any, purpose: str, name: str) -> None:
    sender = context.sender
    context.left = name

    async def action(client: ServerClient, _group: TaskGroup) -> None:
        try:
            await sender.send(client, name, Purpose(purpose))
        except UpstreamError as exc:
            context.refusal = exc.refusal

    with sender.leaving_on_connect(name):
        anyio.run(sender.run, action)


@then('nothing was sent to "{name}", and the sender knows it')
def nothing_was_sent(context: Any, name: str) -> None:
    assert context.sender.received[name] == b"", context.sender.received
    assert context.refusal.verdict.value == "not-run", context.refusal


def forward(context: Any, choices: list[str]) -> None:
    """Forward an order; its servers are chosen in the given order."""
    sender = context.sender
    remaining = iter(choices)

    async def choose() -> Server | None:
        name = next(remaining, None)
        return sender.server(name) if name else None

    async def action(client: ServerClient, group: TaskGroup) -> None:
        context.allowance = RetryAllowance(0.0, 0, 10_000)
        quarantine = EngineQuarantine(sender.state, group)
        forwarder = Forwarder(sender.state, client, context.allowance, quarantine)
        now = sender.state.clock.now_ms()
        request = CallerRequest(
            "r1", b"POST", b"/", "a.example", "/", ((b"host", b"x"),), b"", now
        )
        route = Route(
            name="order",
            host="a.example",
            prefix="/",
            kind=RouteKind.ONCE,
            targets=(),
            timeout_ms=2_000,
            objective_ms=500,
            max_attempts=1,
            priority=1,
            public=True,
        )
        ctx = RequestContext(
            request, route, "service", None, 1, now + 2_000, choose_server=choose
        )
        context.reply = RecordedReply()
        context.refusal = await forwarder.run(ctx, context.reply)

    anyio.run(sender.run, action)


@when('a request is forwarded to "{name}", which leaves while the connection is opened')
def forward_to_leaving(context: Any, name: str) -> None:
    with context.sender.leaving_on_connect(name):
        forward(context, [name, "s2"])


@when('"{name}" leaves and a request is forwarded with the choices "{names}"')
def forward_after_leaving(context: Any, name: str, names: str) -> None:
    context.sender.leave(name)
    forward(context, names.split(", "))


@then('the request was answered by "{name}", and no retry was spent')
def answered_by(context: Any, name: str) -> None:
    # The allowance is 0, so a retry would have been refused.
    assert context.refusal is None, context.refusal
    assert context.reply.body == name.encode(), context.reply.body
    assert [n for n, data in context.sender.received.items() if data] == [name]
