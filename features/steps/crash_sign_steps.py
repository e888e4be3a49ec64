"""Steps on the signs by which daemons learn of a crash."""

from contextlib import suppress
from typing import Any
from unittest import mock

import anyio
import attrs
from behave import given, then, when
from containment_steps import SERVER, new_state

from cowsliphitch.core.clock import Clock
from cowsliphitch.core.quarantine.exposures import Exposure
from cowsliphitch.core.revisions import Revision
from cowsliphitch.core.servers.models import Server
from cowsliphitch.core.verdict import Reason, may_have_run
from cowsliphitch.gateway import engine_quarantine
from cowsliphitch.gateway.engine_quarantine import EngineQuarantine
from cowsliphitch.telemetry.tasks import BackgroundTasks
from cowsliphitch.upstreams.http1.models import UpstreamError

DIGEST, ANSWERED = "digest", "answered"
FIRST = attrs.evolve(SERVER, started_ms=100)


class Daemon:
    """A daemon's knowledge of suspects; probes run within ``lose_connection``."""

    def __init__(self) -> None:
        unused: Any = None
        self.state = new_state()
        self.exposures: list[Exposure] = []
        self.quarantined: list[str] = []
        self.quarantine = EngineQuarantine(self.state, unused)
        self.quarantine.add_listener(
            lambda: self.quarantined.extend(self.state.suspect_requests.quarantined)
        )

    def list_server(self, server: Server) -> None:
        self.state.servers.put(
            server, Revision(1, server.started_ms), self.state.clock.now_ms()
        )

    def send(self, digest: str, server: Server, connected_ms: int = 0) -> None:
        self.exposures.append(self.quarantine.expose(digest, (), server, connected_ms))

    def start_again(self, server: Server) -> None:
        self.list_server(server)
        self.quarantine.observe_servers()

    async def lose_connections(self, exposures: list[Exposure]) -> None:
        async with anyio.create_task_group() as group:
            self.quarantine._tasks = BackgroundTasks(group, Clock())
            lost = may_have_run(Reason.CONNECTION_LOST, "lost")
            for exposure in exposures:
                with suppress(UpstreamError), self.quarantine.observe([exposure]):
                    raise UpstreamError(lost)
            await self.quarantine.wait_until_judged(FIRST)

    def lose(self, exposures: list[Exposure]) -> None:
        refused = mock.AsyncMock(return_value=True)
        with mock.patch.object(engine_quarantine, "refuses_connections", refused):
            anyio.run(self.lose_connections, exposures)


@given('two daemons that each sent the same request to the server "s1"')
def two_daemons(context: Any) -> None:
    context.daemons = [Daemon(), Daemon()]
    for daemon in context.daemons:
        daemon.list_server(FIRST)
        daemon.send(DIGEST, FIRST)


@given("the first has another copy of it there, which hangs")
def another_copy(context: Any) -> None:
    context.daemons[0].send(DIGEST, FIRST)


@when("the connection of the first is lost, and the address refuses connections")
def lose_connection(context: Any) -> None:
    daemon = context.daemons[0]
    context.detected_ms = daemon.state.clock.now_ms()
    daemon.lose(daemon.exposures[:1])


@when("{count:d} copies on {connections} are lost within the same second")
def lose_copies(context: Any, count: int, connections: str) -> None:
    daemon = context.daemons[0]
    connected_ms = {
        "connections that were open before": context.detected_ms - 1,
        "connections that were opened since": daemon.state.clock.now_ms() + 1,
    }[connections]
    for _ in range(count):
        daemon.send(DIGEST, FIRST, connected_ms)
    daemon.lose(daemon.exposures[-count:])
    assert daemon.state.clock.now_ms() - context.detected_ms < 1_000


@when("a copy on an old connection and one on a new connection are lost together")
def lose_both(context: Any) -> None:
    daemon = context.daemons[0]
    for connected_ms in (context.detected_ms - 1, daemon.state.clock.now_ms() + 1):
        daemon.send(DIGEST, FIRST, connected_ms)
    daemon.lose(daemon.exposures[-2:])


@then("the first daemon knows {count:d} of the request's crashes")
def first_knows(context: Any, count: int) -> None:
    state = context.daemons[0].state
    report = state.suspect_requests.report_of(DIGEST, state.clock.now_ms())
    assert report.crash_count == len(report.crashes) == count, report


@when('the entry of "s1" shows a later start at both')
def later_start(context: Any) -> None:
    for daemon in context.daemons:
        daemon.start_again(attrs.evolve(FIRST, started_ms=200))


@when("each sends the request again, and the entry shows a still later start")
def still_later_start(context: Any) -> None:
    for daemon in context.daemons:
        daemon.send(DIGEST, attrs.evolve(FIRST, started_ms=200))
        daemon.start_again(attrs.evolve(FIRST, started_ms=300))


@when("the daemons tell each other what they know")
def exchange(context: Any) -> None:
    reports = [
        daemon.state.suspect_requests.next_reports(daemon.state.clock.now_ms())
        for daemon in context.daemons
    ]
    for daemon, others in zip(context.daemons, reversed(reports), strict=True):
        daemon.quarantine.merge((), others, "peer")


@then("both know {count:d} crash of the request")
@then("both know {count:d} crashes of the request")
def know_crashes(context: Any, count: int) -> None:
    for daemon in context.daemons:
        now = daemon.state.clock.now_ms()
        report = daemon.state.suspect_requests.report_of(DIGEST, now)
        assert report.crash_count == len(report.crashes) == count, report


@given("an answered request hangs there, too, and has crashed servers twice")
def answered_hangs(context: Any) -> None:
    for daemon in context.daemons:
        requests = daemon.state.suspect_requests
        requests.record_answer((ANSWERED,), 0)
        for crash in (1, 2):
            requests.record_crash(crash, (ANSWERED,), crash * 1_000)
        # It was sent before the request that crashes the server.
        daemon.state.exposures.resolve(daemon.exposures[0])
        daemon.send(ANSWERED, FIRST)
        daemon.send(DIGEST, FIRST)


@then("the answered request is never refused")
def is_never_refused(context: Any) -> None:
    for daemon in context.daemons:
        assert ANSWERED not in daemon.quarantined, daemon.quarantined
        now = daemon.state.clock.now_ms()
        report = daemon.state.suspect_requests.report_of(ANSWERED, now)
        assert not report.quarantine_left_ms, report
