"""Emulation of daemons that share servers which limit their requests.

Each daemon has the real table of limits, member table, permits and client; servers,
heartbeats and callers are emulated on one clock.  Daemons restart, freeze and are cut
off from each other, and all of them reach the servers throughout.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Coroutine, Iterable
from functools import partial
from typing import Any, Final, cast

import attrs

from cowsliphitch.core.clock import MS_PER_SECOND, ManualClock
from cowsliphitch.core.fleet.detector import (
    AskRelay,
    Command,
    FailureDetector,
    MemberReport,
    SendAnswer,
    SendProbe,
    TellSilence,
)
from cowsliphitch.core.fleet.heartbeat_schedule import (
    MAX_RECIPIENTS,
    HeartbeatSchedule,
    Recipients,
)
from cowsliphitch.core.fleet.members import HEARTBEAT_INTERVAL_MS, Member, MemberTable
from cowsliphitch.core.limits.models import (
    Decision,
    LimitReport,
    NamedLimit,
    PermitRequest,
)
from cowsliphitch.core.servers.models import Server, ServerState
from cowsliphitch.gateway.permits import PermitBroker
from cowsliphitch.gateway.server_client import ServerClient
from cowsliphitch.gateway.state import GatewayState
from cowsliphitch.peers.fleet.models import Exchange, PeerCallFailed
from cowsliphitch.upstreams.http1.models import UpstreamError

SERVICE: Final = "desk"
DOMAINS: Final = 3
HEARTBEAT_DELAY_MS: Final = 2
ANSWER_MS: Final = 120
RESTART_MS: Final = 700
MAX_WAIT_MS: Final = 200

# Time after a disturbance in which a daemon is not held to the limit.
EXCUSE_MS: Final = 3_000

# A daemon is held to the limit from this long after the first answer that named it.
TOLD_MS: Final = 500


@attrs.define
class EmulatedServer:
    """A server, the limits that it names over time, and its arrivals.

    :param limits: what its answers name from a time on, in ms
    :param arrivals: time and daemon of each request
    """

    server: Server
    limits: list[tuple[int, NamedLimit]]
    arrivals: list[tuple[int, "EmulatedDaemon"]] = attrs.Factory(list)

    def named(self, now_ms: int) -> NamedLimit:
        """Return what an answer names now."""
        return [named for from_ms, named in self.limits if from_ms <= now_ms][-1]


@attrs.define(eq=False)
class EmulatedDaemon:
    """A daemon with its real components.

    :param recipients: how its latest heartbeat was sent
    :param limit_reports: what that heartbeat says of limits
    :param told_ms: time of its first answer that named a limit, by server
    :param excused_ms: time until which it is not held to the limits
    :param frozen_ms: time until which it neither sends nor receives
    :param is_cut: it reaches no daemon outside of its failure domain
    """

    member: Member
    state: GatewayState
    office: PermitBroker
    client: ServerClient
    detector: FailureDetector
    schedule: HeartbeatSchedule = attrs.Factory(HeartbeatSchedule)
    sequence: int = 1
    recipients: Recipients = Recipients((), HEARTBEAT_INTERVAL_MS)
    limit_reports: dict[str, LimitReport] = attrs.Factory(dict)
    told_ms: dict[str, int] = attrs.Factory(dict)
    excused_ms: int = 0
    frozen_ms: int = 0
    is_cut: bool = False


@attrs.define
class Outcomes:
    """What became of the callers' requests.

    :param denied_ms: times of the denials
    """

    sent: int = 0
    denied: int = 0
    returned: int = 0
    returned_sent: int = 0
    denied_ms: list[int] = attrs.Factory(list)


class _Peers:
    """Calls between emulated daemons."""

    def __init__(self, fleet: "LimitedFleet", number: int) -> None:
        self._fleet = fleet
        self._number = number

    async def acquire_permit(
        self, address: str, request: PermitRequest
    ) -> Decision | PeerCallFailed:
        target = self._fleet.by_address(address)
        own = self._fleet.daemons[self._number]
        if not self._fleet.is_connected(own, target):
            return PeerCallFailed(f"{address} gave no answer")
        return target.office.grant(request)


class LimitedFleet:
    """Daemons that share limited servers, on one emulated clock."""

    def __init__(
        self, daemon_count: int, limits: list[list[tuple[int, NamedLimit]]], seed: int
    ) -> None:
        """Start all daemons.

        :param limits: what each server names over time
        """
        self.clock = ManualClock(100_000)
        self.start_ms = self.clock.now_ms()
        self.rng = random.Random(seed)
        self.servers = [
            EmulatedServer(
                Server(f"s{n}", SERVICE, f"s{n}:1", "d0", ServerState.READY, 4),
                [(self.start_ms + ms, named) for ms, named in rows],
            )
            for n, rows in enumerate(limits)
        ]
        self.members = [
            Member(f"10.0.0.{n}:1", f"vm-{n}", f"d{n % DOMAINS}", self.start_ms)
            for n in range(daemon_count)
        ]
        self.cold: dict[str, float] = {}
        self.daemons = [self._start(n) for n in range(daemon_count)]
        self.outcomes = Outcomes()
        self.heartbeat_delay_ms = HEARTBEAT_DELAY_MS
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        for n in range(daemon_count):
            self.at(self.rng.randrange(HEARTBEAT_INTERVAL_MS), partial(self._beat, n))

    def _start(self, number: int) -> EmulatedDaemon:
        now = self.clock.now_ms()
        member = attrs.evolve(self.members[number], started_ms=now)
        state = GatewayState(self.clock, now, MemberTable(member, now))
        state.members.set_listed(self.members, now)
        state.server_limits.set_cold(self.cold, now)
        office = PermitBroker(state, cast(Any, _Peers(self, number)))
        client = ServerClient(state, cast(Any, None), office)
        detector = FailureDetector(state.members, random.Random(number))
        return EmulatedDaemon(member, state, office, client, detector)

    def set_cold(self, rates: dict[str, float]) -> None:
        """Have all daemons read which servers are cold, and their rates."""
        self.cold = rates
        for daemon in self.daemons:
            daemon.state.server_limits.set_cold(rates, self.clock.now_ms())

    def at(self, after_ms: float, action: Callable[[], None]) -> None:
        """Run an action after a time."""
        due_ms = self.clock.now_ms() + round(after_ms)
        heapq.heappush(self._events, (due_ms, next(self._numbers), action))

    def run(self, ms: int) -> None:
        """Run all actions that are due within a time."""
        end_ms = self.clock.now_ms() + ms
        while self._events and self._events[0][0] <= end_ms:
            due_ms, _, action = heapq.heappop(self._events)
            self.clock.advance(max(0, due_ms - self.clock.now_ms()))
            action()
        self.clock.advance(max(0, end_ms - self.clock.now_ms()))

    def by_address(self, address: str) -> EmulatedDaemon:
        """Return the daemon at an address."""
        return next(d for d in self.daemons if d.member.address == address)

    def is_connected(self, one: EmulatedDaemon, other: EmulatedDaemon) -> bool:
        """Return whether two daemons reach each other."""
        now = self.clock.now_ms()
        if one.frozen_ms > now or other.frozen_ms > now:
            return False
        same_domain = one.member.failure_domain == other.member.failure_domain
        return same_domain or not (one.is_cut or other.is_cut)

    def _beat(self, number: int) -> None:
        daemon, now = self.daemons[number], self.clock.now_ms()
        self.at(HEARTBEAT_INTERVAL_MS, partial(self._beat, number))
        if daemon.frozen_ms > now:
            return
        members = daemon.state.members
        members.tick(now)
        daemon.state.server_limits.retain_servers(
            [server.server for server in self.servers], now
        )
        daemon.sequence += 1
        daemon.limit_reports = daemon.state.server_limits.next_reports(now)
        peers = [m.address for m in members.peers()]
        daemon.recipients = daemon.schedule.next_recipients(
            peers, bool(members.claims), bool(daemon.limit_reports)
        )
        for address in daemon.recipients.addresses:
            self._send_heartbeat(daemon, address, Exchange())
        if len(peers) > MAX_RECIPIENTS:
            self._execute(daemon, daemon.detector.run_round(now))

    def _send_heartbeat(
        self, daemon: EmulatedDaemon, address: str, exchange: Exchange
    ) -> None:
        """Send the latest heartbeat of a daemon, with a probe or an answer."""
        now, claims = self.clock.now_ms(), dict(daemon.state.members.claims)
        sequence, recipients = daemon.sequence, daemon.recipients
        limit_reports = daemon.limit_reports
        reports = daemon.detector.next_reports(now)

        def receive() -> None:
            peer = self.by_address(address)
            if not self.is_connected(daemon, peer):
                return
            arrived_ms = self.clock.now_ms()
            peer.state.members.record_heartbeat(
                daemon.member,
                sequence,
                False,
                arrived_ms,
                claims,
                recipients.interval_ms,
                recipients.is_probed,
            )
            peer.state.server_limits.merge(
                limit_reports, daemon.member.name, arrived_ms
            )
            self._receive_exchange(peer, daemon.member, reports, exchange)

        delay_ms = self.heartbeat_delay_ms + self.rng.randrange(3)
        self.at(delay_ms, receive)

    def _receive_exchange(
        self,
        daemon: EmulatedDaemon,
        sender: Member,
        reports: tuple[MemberReport, ...],
        exchange: Exchange,
    ) -> None:
        now, detector = self.clock.now_ms(), daemon.detector
        detector.record_message(sender.address, sender.failure_domain, now)
        detector.learn(reports, now)
        detector.record_answer(exchange.answer, now)
        forwarded = detector.forward_answer(exchange.answer)
        commands: list[Command] = [forwarded] if forwarded is not None else []
        if exchange.target:
            number, target = exchange.probe, exchange.target
            commands.append(detector.relay(sender.address, number, target, now))
        elif exchange.probe:
            commands.append(SendAnswer(sender.address, exchange.probe))
        self._execute(daemon, commands)

    def _execute(self, daemon: EmulatedDaemon, commands: Iterable[Command]) -> None:
        for command in commands:
            match command:
                case SendProbe(address, number):
                    exchange = Exchange(probe=number)
                case SendAnswer(address, number):
                    exchange = Exchange(answer=number)
                case AskRelay(address, number, target):
                    exchange = Exchange(probe=number, target=target)
                case TellSilence():
                    # Others notice a cut by themselves a little later.
                    continue
            self._send_heartbeat(daemon, address, exchange)

    def restart(self, number: int) -> None:
        """Kill a daemon; another process takes its place after ``RESTART_MS``."""
        daemon, now = self.daemons[number], self.clock.now_ms()
        daemon.frozen_ms = now + RESTART_MS

        def start() -> None:
            self.daemons[number] = self._start(number)
            self.daemons[number].excused_ms = self.clock.now_ms() + EXCUSE_MS

        self.at(RESTART_MS, start)

    def freeze(self, number: int, ms: int) -> None:
        """Freeze a daemon for a time."""
        daemon = self.daemons[number]
        daemon.frozen_ms = self.clock.now_ms() + ms
        daemon.excused_ms = daemon.frozen_ms + EXCUSE_MS

    def cut(self, domain: str, ms: int) -> None:
        """Cut the daemons of a failure domain off from the others."""
        for daemon in self.daemons:
            if daemon.member.failure_domain == domain:
                daemon.is_cut = True
                daemon.excused_ms = self.clock.now_ms() + ms + EXCUSE_MS
                self.at(ms, partial(setattr, daemon, "is_cut", False))

    def granting_daemon(self) -> int:
        """Return the number of the daemon that grants permits, 0 if none does yet."""
        return next(
            (n for n, d in enumerate(self.daemons) if d.state.members.claims), 0
        )

    def send_load(self, per_s: float, weights: list[float], ms: int) -> None:
        """Have callers send requests at random times, to daemons by weight.

        A caller that is denied returns once, to a random daemon, when it was told to.
        """
        at_ms = 0.0
        while (at_ms := at_ms + self.rng.expovariate(per_s / MS_PER_SECOND)) < ms:
            (number,) = self.rng.choices(range(len(self.daemons)), weights)
            self.at(at_ms, partial(self._request, number, is_return=False))

    def _request(self, number: int, is_return: bool) -> None:
        daemon = self.daemons[number]
        if daemon.frozen_ms > self.clock.now_ms():
            return
        self.outcomes.returned += is_return
        servers = [server.server for server in self.servers]
        self.rng.shuffle(servers)
        try:
            server, permit = result_of(
                daemon.client.choose_permitted(servers, MAX_WAIT_MS, "r")
            )
        except UpstreamError as exc:
            self.outcomes.denied += 1
            retry_after_ms = exc.refusal.retry_after_ms or 0
            self.outcomes.denied_ms.append(self.clock.now_ms())
            if not is_return:
                other = self.rng.randrange(len(self.daemons))
                self.at(retry_after_ms, partial(self._request, other, is_return=True))
            return
        self.outcomes.returned_sent += is_return
        wait_ms = permit.send_ms - self.clock.now_ms() if permit else 0
        target = next(s for s in self.servers if s.server is server)
        self.at(wait_ms, partial(self._send, daemon, target))

    def _send(self, daemon: EmulatedDaemon, target: EmulatedServer) -> None:
        now = self.clock.now_ms()
        if daemon.frozen_ms > now:
            return
        self.outcomes.sent += 1
        daemon.state.server_limits.record_sent(target.server.id, now)
        target.arrivals.append((now, daemon))
        self.at(ANSWER_MS, partial(self._answer, daemon, target))

    def _answer(self, daemon: EmulatedDaemon, target: EmulatedServer) -> None:
        now = self.clock.now_ms()
        daemon.state.server_limits.observe(target.server.id, target.named(now), now)
        if daemon.state.server_limits.rate_of(target.server.id) is not None:
            daemon.told_ms.setdefault(target.server.id, now)

    def most_in_window(self, target: EmulatedServer, from_ms: int, to_ms: int) -> int:
        """Return the most requests in 4 s of daemons that are held to the limit.

        :param from_ms: start of the arrivals that count, since the start
        """
        first_ms, last_ms = self.start_ms + from_ms, self.start_ms + to_ms
        times = [
            ms
            for ms, daemon in target.arrivals
            if first_ms <= ms < last_ms
            and ms >= daemon.told_ms.get(target.server.id, ms) + TOLD_MS
            and ms >= daemon.excused_ms
        ]
        return max((sum(t <= u < t + 4_000 for u in times) for t in times), default=0)


def result_of(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine that waits for nothing outside of the emulation."""
    try:
        coroutine.send(None)
    except StopIteration as exc:
        return exc.value
    raise AssertionError("the emulated call waited for an event")
