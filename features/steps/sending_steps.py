"""Steps on what is sent to servers, with the gateway's client and scripted servers."""

import itertools
import re
import socket
import struct
import time
from collections.abc import Callable
from typing import Any
from unittest import mock

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup
from behave import given, then, when

from cowsliphitch.core.budgets.sliding_window import RetryAllowance
from cowsliphitch.core.clock import Clock
from cowsliphitch.core.deployment.models import Route, RouteKind, Team
from cowsliphitch.core.fleet.members import Member, MemberTable
from cowsliphitch.core.requests.models import CallerRequest
from cowsliphitch.core.revisions import Revision
from cowsliphitch.core.servers.models import Server, ServerState
from cowsliphitch.core.servers.registry import LeavingReport
from cowsliphitch.core.verdict import Reason, Verdict
from cowsliphitch.gateway import engine_quarantine
from cowsliphitch.gateway.engine_quarantine import EngineQuarantine
from cowsliphitch.gateway.forwarding import Forwarder, RequestContext
from cowsliphitch.gateway.permits import PermitBroker
from cowsliphitch.gateway.server_client import Purpose, ServerClient
from cowsliphitch.gateway.state import GatewayState
from cowsliphitch.gateway.trials import TrialBroker
from cowsliphitch.peers.fleet.rpc import PeerConnections
from cowsliphitch.standins.processes import free_port
from cowsliphitch.upstreams.http1 import pool as pool_module
from cowsliphitch.upstreams.http1.models import OutgoingRequest, UpstreamError
from cowsliphitch.upstreams.http1.pool import ConnectionPool

ANSWER = (
    b"HTTP/1.1 200 OK\r\nCowsliphitch-Request-Id: r1\r\n"
    b"Cowsliphitch-Response-Seal: seal\r\nContent-Length: 2\r\n\r\n"
)


SEALED = (
    b"HTTP/1.1 200 OK\r\nCowsliphitch-Request-Id: r1\r\n"
    b"Cowsliphitch-Response-Seal: seal\r\n"
)
BARE_STREAM = SEALED + b"Content-Type: text/event-stream\r\n\r\n"
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
CHUNKED = SEALED + b"Transfer-Encoding: chunked\r\n\r\n"
STALE = b"HTTP/1.1 200 OK\r\nCowsliphitch-Request-Id: other\r\n\r\n"
REFUSAL = (
    b"HTTP/1.1 503 Busy\r\nCowsliphitch-Request-Id: r1\r\n"
    b"Cowsliphitch-Not-Executed: 1\r\n\r\n"
)
SCRIPTS: dict[str, bytes] = {
    "closes a bare stream after two events": BARE_STREAM + EVENTS,
    "closes a bare stream inside an event": BARE_STREAM + EVENTS[:-4],
    "closes a bare stream before the first one": BARE_STREAM,
    "resets a bare stream after two events": BARE_STREAM + EVENTS,
    "sends a head without end": b"HTTP/1.1 200 OK\r\n",
    "sends a header without end": b"HTTP/1.1 200 OK\r\nX: ",
    "sends a body without end": SEALED + b"\r\n",
    "sends an event without end": BARE_STREAM,
    "sends a stale answer without end": STALE,
    "sends informational heads on and on": b"HTTP/1.1 100 Continue\r\n\r\n",
    "refuses with a body without end": REFUSAL,
    "answers and says that it leaves": SEALED
    + b"Server-Leaving: 1\r\nContent-Length: 2\r\n\r\n{}",
    "refuses and says that it leaves": (
        b"HTTP/1.1 503 Busy\r\nCowsliphitch-Request-Id: r1\r\nServer-Leaving: 1\r\n"
        b"Cowsliphitch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    ),
    "begins a stream as it leaves": SEALED + b"Server-Leaving: 1\r\n\r\n" + EVENTS,
    "is another one and says that it leaves": (
        b"HTTP/1.1 421 Misdirected\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
    ),
}
FAILURE = (
    b"HTTP/1.1 500 Failed\r\nCowsliphitch-Request-Id: r1\r\n"
    b"Cowsliphitch-Response-Seal: seal\r\n"
)
SCRIPTS |= {
    "fails with a text": FAILURE + b"Content-Length: 9\r\n\r\nan error\n",
    "fails without a length": FAILURE + b"\r\nan error\n\n",
    "is busy and may have run it": FAILURE.replace(b"500", b"503")
    + b"Content-Length: 6\r\n\r\nbusy\n\n",
    "answers with no byte": SEALED + b"Content-Length: 0\r\n\r\n",
    "ends its chunks before the first event": CHUNKED + b"0\r\n\r\n",
    "closes inside its head": SEALED[:-4],
    "closes a bare answer before its first byte": SEALED + b"\r\n",
}
FILLER = b"x" * 65_536
ENDLESS: dict[str, bytes] = {
    "sends a head without end": b"X-Filler: filler\r\n" * 1_000,
    "sends a header without end": FILLER,
    "sends a body without end": FILLER,
    "sends an event without end": b"data: " + FILLER + b"\n",
    "sends a stale answer without end": FILLER,
    "sends informational heads on and on": b"HTTP/1.1 100 Continue\r\n\r\n" * 1_000,
    "refuses with a body without end": FILLER,
}
MEGABYTE = 1_048_576

# Shared by the largest number of daemons that may be there.
ALLOWED_RETRIES = 64


def reset_on_close(stream: SocketStream) -> None:
    sock = stream.extra(SocketAttribute.raw_socket)
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


async def receive_request(stream: SocketStream) -> bytes:
    """Return the bytes of a whole request."""
    content = b""
    while True:
        content += await stream.receive()
        head, end, body = content.partition(b"\r\n\r\n")
        length = re.search(rb"(?i)content-length: (\d+)", head)
        if end and len(body) >= int(length[1] if length else 0):
            return content


class RecordedReply:
    """Reply that keeps what the caller would receive."""

    def __init__(self) -> None:
        self.status: int | None = None
        self.body = b""
        self.has_ended = False

    @property
    def started(self) -> bool:
        return self.status is not None

    async def start(self, status: int, _headers: Any, length: int | None) -> None:
        assert not self.started, f"a second head, with {status}"
        self.status = status

    async def send(self, content: bytes) -> None:
        self.body += content

    async def end(self) -> None:
        self.has_ended = True


class Sender:
    """The gateway's client, and servers that answer with their own name."""

    def __init__(
        self, names: list[str], script: str = "answers", **scripts: str
    ) -> None:
        self.script = script
        # Scripts of servers that do something else.
        self.scripts = scripts
        self.sent_bytes = 0
        self.ports = {name: free_port() for name in names}
        self.received: dict[str, bytes] = dict.fromkeys(names, b"")
        clock = Clock()
        own = Member("127.0.0.1:1", "daemon", "domain", 1)
        self.state = GatewayState(clock, 1, MemberTable(own, clock.now_ms()))
        first = Revision(1, 1)
        self.state.servers.replace(
            ((self.server(name), first) for name in names), first, clock.now_ms()
        )

    def server(self, name: str) -> Server:
        address = f"127.0.0.1:{self.ports[name]}"
        return Server(name, "service", address, "domain", ServerState.READY, 4)

    def leave(self, name: str) -> None:
        report = LeavingReport(name, Revision(1, 5), was_removed=False)
        self.state.servers.mark_leaving(report, self.state.clock.now_ms(), "peer")

    def evacuate(self) -> None:
        self.state.servers.set_evacuated_domains(frozenset({"domain"}))

    def chill(self, name: str) -> None:
        self.state.server_limits.set_cold({name: 6.6}, self.state.clock.now_ms())

    async def serve(self, name: str, stream: SocketStream) -> None:
        script = self.scripts.get(name, self.script)
        try:
            while True:
                self.received[name] += await receive_request(stream)
                await stream.send(SCRIPTS.get(script, ANSWER + name.encode()))
                if script in ENDLESS:
                    await self.send_on_and_on(stream, ENDLESS[script])
                elif script in SCRIPTS:
                    break
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            pass
        if script.startswith("resets"):
            await anyio.sleep(0.05)
            reset_on_close(stream)
        await stream.aclose()

    async def send_on_and_on(self, stream: SocketStream, content: bytes) -> None:
        """Send the same bytes until the caller closes the connection."""
        while True:
            await stream.send(content)
            self.sent_bytes += len(content)

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
            permits = PermitBroker(self.state, PeerConnections())
            with anyio.fail_after(8):
                await action(ServerClient(self.state, pool, permits), group)
            group.cancel_scope.cancel()

    async def send(self, client: ServerClient, name: str, purpose: Purpose) -> None:
        request = OutgoingRequest(b"GET", b"/", ((b"host", b"x"),), b"", b"r1")
        async with client.exchange(self.server(name), request, 4, purpose) as answer:
            await answer.read(100)

    def leaving_on_connect(self, name: str) -> Any:
        """Make a server leave while a connection is opened."""
        return self.calling_on_connect(lambda: self.leave(name))

    def calling_on_connect(self, change: Callable[[], object]) -> Any:
        """Call a function while a connection is opened."""
        connect = pool_module.connect

        async def connect_then_change(*args: Any) -> Any:
            connection = await connect(*args)
            change()
            return connection

        return mock.patch.object(pool_module, "connect", connect_then_change)


class HeadCuttingSender(Sender):
    """A server that ends each answer after a part of its head.

    :param answers_before: whole answers on a connection before that
    """

    def __init__(self, resets: bool, answers_before: int) -> None:
        super().__init__(["s1"])
        self.resets, self.answers_before = resets, answers_before
        self.head = ANSWER
        self.cut_at = 0

    async def serve(self, name: str, stream: SocketStream) -> None:
        try:
            for _ in range(self.answers_before):
                await stream.receive()
                await stream.send(ANSWER + b"ok")
            await stream.receive()
            await stream.send(self.head[: self.cut_at])
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            # A probe, or a connection that was kept.
            pass
        if self.resets:
            reset_on_close(stream)
        await stream.aclose()


@given(
    "heads that are cut one byte later each time, as the server {ends}, {connection}"
)
def cuts_heads(context: Any, ends: str, connection: str) -> None:
    answers_before = 1 if connection == "on a kept connection" else 0
    context.sender = HeadCuttingSender(ends == "resets", answers_before)


@when("requests, streams and stage calls are sent until a head is whole")
def send_until_whole(context: Any) -> None:
    sender = context.sender
    context.verdicts = []

    async def action(client: ServerClient, group: TaskGroup) -> None:
        quarantine = EngineQuarantine(sender.state, group)
        trials = TrialBroker(sender.state, PeerConnections(), quarantine, group)
        allowance = RetryAllowance(0.0, 0, 10_000)
        forwarder = Forwarder(sender.state, client, allowance, quarantine, trials)
        for head, sender.cut_at in itertools.chain(
            ((ANSWER, n) for n in range(len(ANSWER))),
            ((BARE_STREAM, n) for n in range(len(BARE_STREAM))),
        ):
            sender.head = head
            kind = RouteKind.ONCE if head == ANSWER else RouteKind.STREAM
            for _ in range(sender.answers_before):
                await sender.send(client, "s1", Purpose.STAGE_CALL)
            reply = RecordedReply()
            ctx = request_context(sender, kind)
            refusal = await forwarder.run(ctx, reply)
            context.verdicts.append((reply.status, refusal.verdict))
            for _ in range(sender.answers_before):
                await sender.send(client, "s1", Purpose.STAGE_CALL)
            try:
                await sender.send(client, "s1", Purpose.STAGE_CALL)
            except UpstreamError as exc:
                context.verdicts.append((None, exc.refusal.verdict))

    async def listens(_address: str, _timeout_ms: int) -> bool:
        return False

    with mock.patch.object(engine_quarantine, "refuses_connections", listens):
        anyio.run(sender.run, action)


@then("none of them was answered, and each may have run")
def none_answered(context: Any) -> None:
    assert len(context.verdicts) == 2 * (len(ANSWER) + len(BARE_STREAM))
    assert set(context.verdicts) == {(None, Verdict.MAY_HAVE_RUN)}


@given('servers "{names}" that listen')
def given_servers(context: Any, names: str) -> None:
    context.sender = Sender(names.split(", "))


@when('a {purpose} is sent to "{name}", which {change} while the connection is opened')
def send_to_changing(context: Any, purpose: str, name: str, change: str) -> None:
    sender = context.sender
    context.left = name
    changes = {"leaves": lambda: sender.leave(name), "is evacuated": sender.evacuate}

    async def action(client: ServerClient, _group: TaskGroup) -> None:
        try:
            await sender.send(client, name, Purpose(purpose))
        except UpstreamError as exc:
            context.refusal = exc.refusal

    with sender.calling_on_connect(changes[change]):
        anyio.run(sender.run, action)


@then('nothing was sent to "{name}", and the sender knows it')
def nothing_was_sent(context: Any, name: str) -> None:
    assert context.sender.received[name] == b"", context.sender.received
    assert context.refusal.verdict.value == "not-run", context.refusal


def caller_request(received_ms: int, body: bytes = b"") -> CallerRequest:
    headers = ((b"host", b"x"),)
    return CallerRequest(
        "r1", b"POST", b"/", "a.example", "/", headers, body, received_ms
    )


def request_context(
    sender: Sender, kind: RouteKind, max_attempts: int = 1, body: bytes = b""
) -> RequestContext:
    now = sender.state.clock.now_ms()
    route = Route(
        name="order",
        host="a.example",
        prefix="/",
        kind=kind,
        targets=(),
        timeout_ms=6_000,
        objective_ms=500,
        max_attempts=max_attempts,
        resumable=max_attempts > 1,
        priority=1,
        public=True,
    )
    request = caller_request(now, body)
    return RequestContext(request, route, "service", None, 1, now + 6_000)


def forward(
    context: Any,
    choices: list[str] | None,
    kind: RouteKind = RouteKind.ONCE,
    max_attempts: int = 1,
    body: bytes = b"",
    team: Team | None = None,
) -> None:
    """Forward an order or a stream, which may be resumed in further attempts.

    Its servers are chosen in the given order, or by the forwarder if there is none.
    """
    sender = context.sender
    remaining = iter(choices or [])

    async def choose() -> Server | None:
        name = next(remaining, None)
        return sender.server(name) if name else None

    async def action(client: ServerClient, group: TaskGroup) -> None:
        context.allowance = RetryAllowance(
            0.0, ALLOWED_RETRIES * (max_attempts - 1), 10_000
        )
        quarantine = EngineQuarantine(sender.state, group)
        trials = TrialBroker(sender.state, PeerConnections(), quarantine, group)
        forwarder = Forwarder(
            sender.state, client, context.allowance, quarantine, trials
        )
        ctx = request_context(sender, kind, max_attempts, body)
        ctx.team = team
        ctx.choose_server = None if choices is None else choose
        context.reply = RecordedReply()
        context.refusal = await forwarder.run(ctx, context.reply)

    anyio.run(sender.run, action)


@when('a request is forwarded to "{name}", which leaves while the connection is opened')
def forward_to_leaving(context: Any, name: str) -> None:
    with context.sender.leaving_on_connect(name):
        forward(context, [name, "s2"])


@when(
    'a request is forwarded to "{name}", which becomes cold while the connection is'
    " opened"
)
def forward_to_cold(context: Any, name: str) -> None:
    with context.sender.calling_on_connect(lambda: context.sender.chill(name)):
        forward(context, [name, "s2"])


@when('"{name}" leaves and a request is forwarded with the choices "{names}"')
def forward_after_leaving(context: Any, name: str, names: str) -> None:
    context.sender.leave(name)
    forward(context, names.split(", "))


@when(
    "a request is forwarded that crashes a server elsewhere while the connection is"
    " opened"
)
def forward_as_suspect(context: Any) -> None:
    state = context.sender.state
    digest = caller_request(0).digest

    def become_suspect() -> None:
        state.suspect_requests.record_crash(1, (digest,), state.clock.now_ms())

    with context.sender.calling_on_connect(become_suspect):
        forward(context, ["s1", "s2"], RouteKind.IDEMPOTENT)


@then("it was refused as suspect, and nothing was sent")
def refused_as_suspect(context: Any) -> None:
    assert context.refusal.reason is Reason.SUSPECT, context.refusal
    assert context.refusal.verdict is Verdict.NOT_RUN, context.refusal
    assert not any(context.sender.received.values()), context.sender.received


@then('the request was answered by "{name}", and no retry was spent')
def answered_by(context: Any, name: str) -> None:
    # The allowance is 0, so a retry would have been refused.
    assert context.refusal is None, context.refusal
    assert context.reply.body == name.encode(), context.reply.body
    assert [n for n, data in context.sender.received.items() if data] == [name]


@given("an upstream that {does}")
def server_that(context: Any, does: str) -> None:
    context.sender = Sender(["s1"], does)


@when("a stream breaks off after its first event and goes on at a server that {does}")
def forward_broken_stream(context: Any, does: str) -> None:
    context.sender = Sender(["s1", "s2"], s1="closes a bare stream inside an event")
    context.sender.scripts["s2"] = does
    forward(context, ["s1", "s2"], RouteKind.STREAM, max_attempts=2)


@then("the caller has received the first event only, of a stream that was broken off")
def received_first_event(context: Any) -> None:
    assert all(context.sender.received.values()), "a server was not asked"
    reply = context.reply
    assert reply.status == 200 and not reply.has_ended, reply.__dict__
    assert reply.body == EVENTS.partition(b"\n\n")[0] + b"\n\n", reply.body


# Identifiers of events that no header can carry, or that a header changes.
ODD_IDENTIFIERS = {
    "has a zero byte": b"2\0",
    "has a form feed": b"2\x0cx",
    "has a vertical tab": b"2\x0bx",
    "has a lone carriage return": b"2\rx",
    "has a control byte": b"2\x7f",
    "is empty": b"",
    "has 5000 bytes": b"2" * 5_000,
}


@when(
    "a stream with a body of {size:d} bytes breaks off after an event whose identifier"
    " {oddity}"
)
def forward_with_odd_identifier(context: Any, size: int, oddity: str) -> None:
    odd = b"id: %s\ndata: odd\n\n" % ODD_IDENTIFIERS[oddity]
    SCRIPTS["spoils an identifier"] = BARE_STREAM + EVENTS[:15] + odd + b"id: 3"
    SCRIPTS["sends the rest"] = BARE_STREAM + EVENTS[15:]
    context.sender = Sender(["s1", "s2"], s1="spoils an identifier")
    context.sender.scripts["s2"] = "sends the rest"
    forward(context, ["s1", "s2"], RouteKind.STREAM, 2, b"x" * size)


@then("the stream goes on after event {number:d}, and the caller has each event once")
def goes_on_after(context: Any, number: int) -> None:
    received = context.sender.received["s2"].lower()
    assert b"\r\nlast-event-id: %d\r\n" % number in received, received[:400]
    assert context.refusal is None and context.reply.has_ended, context.refusal
    assert context.reply.body == EVENTS, context.reply.body


TEAM_NAMES = {"a character beyond Latin-1": "\u017dilina", "a line break": "a\nb"}


@when(
    "a request with a body of {size:d} bytes is forwarded, whose team's name has"
    " {oddity}"
)
def forward_for_team(context: Any, size: int, oddity: str) -> None:
    team = Team(TEAM_NAMES[oddity])
    forward(context, ["s1", "s2"], RouteKind.IDEMPOTENT, 2, b"x" * size, team)


@then("it was refused as not run, with {reason}, and nothing was sent")
def refused_unsent(context: Any, reason: str) -> None:
    assert context.refusal.reason.value == reason, context.refusal
    assert context.refusal.verdict is Verdict.NOT_RUN, context.refusal
    assert not any(context.sender.received.values()), context.sender.received


@then("the request may have run, and its caller has received nothing")
def may_have_run_unanswered(context: Any) -> None:
    assert context.refusal.verdict is Verdict.MAY_HAVE_RUN, context.refusal
    assert not context.reply.started, context.reply.__dict__


@given("a server whose refusals have Retry-After {value}")
def server_that_refuses(context: Any, value: str) -> None:
    script = f"refuses with Retry-After {value}"
    SCRIPTS[script] = (
        b"HTTP/1.1 503 Busy\r\nCowsliphitch-Request-Id: r1\r\n"
        b"Cowsliphitch-Not-Executed: 1\r\nRetry-After: %s\r\n"
        b"Content-Length: 0\r\n\r\n"
    ) % value.encode()
    context.sender = Sender(["s1"], script)


def pause(context: Any, name: str, ms: int) -> None:
    """Have a server want nothing from this daemon for a time."""
    state = context.sender.state
    state.servers.pause(context.sender.server(name), state.clock.now_ms() + ms)


@when("{ms:d} ms have passed")
def time_has_passed(context: Any, ms: int) -> None:
    time.sleep(ms / 1_000)
    state = context.sender.state
    state.servers.expire(state.clock.now_ms())


@then("it takes requests again")
def takes_requests_again(context: Any) -> None:
    sender = context.sender
    assert sender.state.servers.is_usable(sender.server("s1"))


@then("it gets requests again within {s:d} s")
def gets_requests_again(context: Any, s: int) -> None:
    servers, now = context.sender.state.servers, context.sender.state.clock.now_ms()
    assert not servers.ready("service")
    servers.expire(now + s * 1_000)
    assert servers.ready("service")


@when(
    '"{name}" wants nothing for {ms:d} ms and a request is forwarded with the choices'
    ' "{names}"'
)
def forward_after_pause(context: Any, name: str, ms: int, names: str) -> None:
    pause(context, name, ms)
    forward(context, names.split(", "))


@when('"{name}" wants nothing for {ms:d} ms and a request is forwarded')
def forward_to_paused(context: Any, name: str, ms: int) -> None:
    pause(context, name, ms)
    started_s = time.monotonic()
    forward(context, None)
    context.took_s = time.monotonic() - started_s


@then("the request was refused at once, with a Retry-After of {low:d} to {high:d} ms")
def refused_at_once(context: Any, low: int, high: int) -> None:
    assert context.refusal.verdict.value == "not-run", context.refusal
    assert low <= context.refusal.retry_after_ms <= high, context.refusal
    assert context.took_s < 1, context.took_s


@then('"{name}" has received nothing')
def has_received_nothing(context: Any, name: str) -> None:
    assert context.sender.received[name] == b"", context.sender.received


@when('"{name}" wants nothing for {ms:d} ms and its domain is suspect')
def suspect_domain(context: Any, name: str, ms: int) -> None:
    context.probed = []
    sender = context.sender

    async def action(client: ServerClient, group: TaskGroup) -> None:
        async def probe(server: Server) -> None:
            context.probed.append(server.id)

        with (
            mock.patch.object(client, "_probe_server", probe),
            mock.patch.object(
                client._reachability, "suspect_domains", lambda *_: ["domain"]
            ),
        ):
            client.update_reachability()
            with anyio.move_on_after(0.2):
                await client.run_probes()
            assert name in context.probed, context.probed
            pause(context, name, ms)
            context.probed.clear()
            with anyio.move_on_after(0.4):
                await client.run_probes()

    anyio.run(sender.run, action)


@then('"{name}" is not probed')
def is_not_probed(context: Any, name: str) -> None:
    assert name not in context.probed, context.probed


@when("a {kind} is forwarded to it")
def forward_to_it(context: Any, kind: str) -> None:
    started_s = time.monotonic()
    forward(context, ["s1"], RouteKind.STREAM if kind == "stream" else RouteKind.ONCE)
    context.took_s = time.monotonic() - started_s


@then("the caller has received {count:d} events of a stream that {ended}")
def received_events(context: Any, count: int, ended: str) -> None:
    reply = context.reply
    assert reply.body.count(b"\n\n") == count, reply.body
    match ended:
        case "is complete":
            assert context.refusal is None and reply.has_ended
        case "was broken off":
            assert context.refusal is not None and not reply.has_ended
        case "was refused":
            assert context.refusal is not None and not reply.started
            assert context.refusal.verdict.value == "may-have-run", context.refusal


@then(
    "the attempt failed with {reason} within {s:d} s, and at most {mb:d} MB were taken"
)
def failed_bounded(context: Any, reason: str, s: int, mb: int) -> None:
    assert context.refusal is not None
    assert context.refusal.reason.value == reason, context.refusal
    assert context.took_s < s, context.took_s
    assert context.sender.sent_bytes <= mb * MEGABYTE, context.sender.sent_bytes


@when("a {purpose} is answered by it, and its entry is read as ready again")
def answered_and_listed(context: Any, purpose: str) -> None:
    sender = context.sender
    context.refused = []

    async def action(client: ServerClient, _group: TaskGroup) -> None:
        await sender.send(client, "s1", Purpose(purpose))
        now = sender.state.clock.now_ms()
        sender.state.servers.put(sender.server("s1"), Revision(1, 9), now)
        for again in Purpose:
            try:
                await sender.send(client, "s1", again)
            except UpstreamError as exc:
                assert exc.refusal.verdict.value == "not-run", exc.refusal
                context.refused.append(again)

    anyio.run(sender.run, action)


@then("a request, a stage call and a release are not sent to it")
def nothing_is_sent(context: Any) -> None:
    assert context.refused == list(Purpose), context.refused


@then("a request is sent to it")
def is_sent(context: Any) -> None:
    assert not context.refused, context.refused
