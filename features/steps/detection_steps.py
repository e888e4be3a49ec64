"""Steps on failure detection in large fleets, over a simulated network."""

import itertools
import random
from collections import Counter
from typing import Any

import attrs
from behave import given, then, when

from cowsliphitch.core.fleet.detector import (
    AskRelay,
    Command,
    FailureDetector,
    MemberReport,
    SendAnswer,
    SendProbe,
    TellSilence,
)
from cowsliphitch.core.fleet.members import HEARTBEAT_INTERVAL_MS, Member, MemberTable

STEP_MS = 25
LATENCY_STEPS = 1
HOLDER_INTERVAL_MS = 2 * HEARTBEAT_INTERVAL_MS


@attrs.frozen
class Message:
    sender: Member
    number: int
    reports: tuple[MemberReport, ...]
    silent: tuple[str, ...]
    probe: int = 0
    answer: int = 0
    target: str = ""
    is_holder: bool = False


class Node:
    """A daemon: its member table and its detector, as the coordinator runs them."""

    def __init__(self, member: Member, known: list[Member], now_ms: int) -> None:
        self.member, self.number = member, 1
        self.table = MemberTable(member, now_ms)
        self.table.set_listed(known, now_ms)
        self.detector = FailureDetector(self.table, random.Random(member.address))
        self.next_round_ms, self.last_round_ms = now_ms, now_ms
        self.frozen_until_ms = 0
        self.is_holder = False
        self.inbox: list[Message] = []


class Network:
    """Daemons whose messages arrive some steps later, unless they are lost."""

    def __init__(self, count: int, domains: int) -> None:
        self.rng = random.Random(count)
        self.now_ms = 10_000
        self.members = [
            Member(f"10.0.{n // 250}.{n % 250}:1", f"m{n}", f"d{n % domains}", 1_000)
            for n in range(count)
        ]
        self.nodes = {m.address: Node(m, self.members, 10_000) for m in self.members}
        for node in self.nodes.values():
            node.next_round_ms += self.rng.randrange(HEARTBEAT_INTERVAL_MS)
        self.in_flight: dict[int, list[tuple[str, Message]]] = {}
        self.sent: Counter[str] = Counter()
        self.received: Counter[str] = Counter()
        self.loss, self.max_late_ms = 0.0, 0
        self.blocked: set[tuple[str, str]] = set()
        self.cut_domain = ""
        self.lost: set[tuple[str, str]] = set()
        self.silent: set[tuple[str, str]] = set()
        self.watched = False

    def is_lost(self, sender: Member, receiver: Member) -> bool:
        is_cut = self.cut_domain in (sender.failure_domain, receiver.failure_domain)
        crosses = sender.failure_domain != receiver.failure_domain
        if (is_cut and crosses) or self.rng.random() < self.loss:
            return True
        return (sender.failure_domain, receiver.address) in self.blocked

    def send(self, node: Node, address: str, **fields: Any) -> None:
        self.sent[node.member.address] += 1
        receiver = self.nodes.get(address)
        if receiver is None or self.is_lost(node.member, receiver.member):
            return
        message = Message(
            node.member,
            node.number,
            node.detector.next_reports(self.now_ms),
            node.detector.silent_domains,
            is_holder=node.is_holder,
            **fields,
        )
        arrival = self.now_ms + LATENCY_STEPS * STEP_MS
        self.in_flight.setdefault(arrival, []).append((address, message))

    def execute(self, node: Node, commands: list[Command]) -> None:
        for command in commands:
            match command:
                case SendProbe(address, number):
                    self.send(node, address, probe=number)
                case SendAnswer(address, number):
                    self.send(node, address, answer=number)
                case AskRelay(address, number, target):
                    self.send(node, address, probe=number, target=target)
                case TellSilence(addresses):
                    for address in addresses:
                        self.send(node, address)

    def receive(self, node: Node, message: Message) -> None:
        now, sender, detector = self.now_ms, message.sender, node.detector
        self.received[node.member.address] += 1
        node.table.record_heartbeat(
            sender,
            message.number,
            False,
            now,
            interval_ms=HOLDER_INTERVAL_MS,
            is_probed=not message.is_holder,
        )
        detector.record_message(sender.address, sender.failure_domain, now)
        detector.learn(message.reports, now)
        self.execute(node, detector.check_domains(message.silent, now))
        if message.answer:
            detector.record_answer(message.answer, now)
            forwarded = detector.forward_answer(message.answer)
            self.execute(node, [forwarded] if forwarded else [])
        if message.probe and message.target:
            relayed = detector.relay(sender.address, message.probe, message.target, now)
            self.execute(node, [relayed])
        elif message.probe:
            self.execute(node, [SendAnswer(sender.address, message.probe)])

    def run_round(self, node: Node) -> None:
        now = self.now_ms
        late_ms = now - node.last_round_ms - HEARTBEAT_INTERVAL_MS
        node.last_round_ms = now
        delay_ms = self.rng.randrange(self.max_late_ms + 1)
        node.next_round_ms = now + HEARTBEAT_INTERVAL_MS + delay_ms
        node.table.tick(now)
        node.number += 1
        node.detector.shift(max(0, late_ms))
        self.execute(node, node.detector.run_round(now))
        if node.is_holder and node.number % 2 == 0:
            for member in node.table.peers():
                self.send(node, member.address)

    def step(self) -> None:
        self.now_ms += STEP_MS
        for address, message in self.in_flight.pop(self.now_ms, ()):
            node = self.nodes.get(address)
            if node is not None:
                node.inbox.append(message)
        for node in list(self.nodes.values()):
            if node.frozen_until_ms > self.now_ms:
                continue
            if node.next_round_ms <= self.now_ms:
                self.run_round(node)
            inbox, node.inbox = node.inbox, []
            for message in inbox:
                self.receive(node, message)
        if self.watched and self.now_ms % 200 == 0:
            self.watch()

    def watch(self) -> None:
        running = set(self.nodes)
        for node in self.nodes.values():
            live = {m.address for m in node.table.live(self.now_ms)}
            heard = {a for a in running if node.table.incarnation_of(a) is not None}
            self.lost |= {(node.member.name, a) for a in heard - live}
            self.silent |= {(node.member.name, d) for d in node.table.silent_domains}

    def run(self, ms: int) -> None:
        for _ in range(ms // STEP_MS):
            self.step()

    def live_of(self, node: Node) -> set[str]:
        return {m.address for m in node.table.live(self.now_ms)}


@given("a fleet of {count:d} daemons in {domains:d} failure domains")
def make_network(context: Any, count: int, domains: int) -> None:
    context.network = Network(count, domains)


@given(
    "a fleet of {count:d} daemons in {domains:d} failure domains that know each other"
)
def make_settled_network(context: Any, count: int, domains: int) -> None:
    network = context.network = Network(count, domains)
    for node, other in itertools.permutations(network.nodes.values(), 2):
        node.table.record_heartbeat(
            other.member, 1, False, network.now_ms, is_probed=True
        )
    for node in network.nodes.values():
        node.number = 1
    network.run(2_000)


@when("{s:d} s go by in calm")
def pass_seconds(context: Any, s: int) -> None:
    network = context.network
    # Who starts hears of all others first.
    network.run(8_000)
    network.sent.clear()
    network.received.clear()
    network.watched = True
    network.run(s * 1_000)
    context.seconds = s


@when("{ms:d} ms go by in calm")
@when("{ms:d} ms more go by")
def pass_ms(context: Any, ms: int) -> None:
    context.network.run(ms)


@then(
    "each daemon sent at most {sent:d} and received at most {received:d} messages a"
    " second"
)
def bounded_messages(context: Any, sent: int, received: int) -> None:
    network, s = context.network, context.seconds
    assert max(network.sent.values()) <= sent * s, max(network.sent.values()) / s
    most = max(network.received.values())
    assert most <= received * s, most / s


@then("at no time was a member lost or a domain silent")
def none_lost_or_silent(context: Any) -> None:
    none_lost(context)
    assert not context.network.silent, sorted(context.network.silent)[:10]


@then("at no time was a member lost")
def none_lost(context: Any) -> None:
    assert not context.network.lost, sorted(context.network.lost)[:10]


@then("every daemon holds every other one for live")
def all_live(context: Any) -> None:
    network = context.network
    missing = {
        node.member.name: len(network.nodes.keys() - network.live_of(node))
        for node in network.nodes.values()
    }
    assert not any(missing.values()), Counter(missing.values())


@when("{count:d} daemons end and {ms:d} ms pass")
def end_daemons(context: Any, count: int, ms: int) -> None:
    network = context.network
    context.ended = network.rng.sample(sorted(network.nodes), count)
    for address in context.ended:
        del network.nodes[address]
    network.run(ms)


@then("no daemon holds one of them for live")
@then("no daemon holds it for live")
def none_holds_ended(context: Any) -> None:
    network = context.network
    holders = Counter(
        address
        for node in network.nodes.values()
        for address in network.live_of(node) & set(context.ended)
    )
    assert not holders, holders


@then("every other daemon is held for live by all")
def others_live(context: Any) -> None:
    all_live(context)


@when("one failure domain is cut off and {ms:d} ms pass")
def cut_domain(context: Any, ms: int) -> None:
    network = context.network
    network.cut_domain = context.cut = "d1"
    network.run(ms)


@then("each daemon outside holds just this domain for silent")
def holds_cut_for_silent(context: Any) -> None:
    network = context.network
    found = Counter(
        tuple(sorted(node.table.silent_domains))
        for node in network.nodes.values()
        if node.member.failure_domain != context.cut
    )
    assert set(found) == {(context.cut,)}, found


@then("most daemons outside hold a majority, and none in the domain does")
def majorities(context: Any) -> None:
    network = context.network
    shares = {
        node.member: node.table.fleet_share(network.now_ms)
        for node in network.nodes.values()
    }
    inside = [s for m, s in shares.items() if m.failure_domain == context.cut]
    outside = [s for m, s in shares.items() if m.failure_domain != context.cut]
    assert all(share < 1 for share in inside), inside
    assert all(share == 1 for share in outside), Counter(outside)


@when("the cut ends and {ms:d} ms pass")
def heal(context: Any, ms: int) -> None:
    context.network.cut_domain = ""
    context.network.run(ms)


@then("no daemon holds a domain for silent")
def none_silent(context: Any) -> None:
    silent = [n.table.silent_domains for n in context.network.nodes.values()]
    assert not any(silent), Counter(silent)


@when("1 of 10 messages is lost for {s:d} s")
def lose_messages(context: Any, s: int) -> None:
    context.network.loss = 0.1
    context.network.watched = True
    context.network.run(s * 1_000)


@when("5 daemons stand still for {ms:d} ms, one after another for {s:d} s")
def stand_still(context: Any, ms: int, s: int) -> None:
    network = context.network
    network.watched = True
    chosen = network.rng.sample(sorted(network.nodes), 5)
    for address in chosen:
        network.nodes[address].frozen_until_ms = network.now_ms + ms
        network.run(s * 1_000 // len(chosen))


@when("2 daemons receive nothing from one other domain for {s:d} s")
def block_one_way(context: Any, s: int) -> None:
    network = context.network
    for member in network.members[:2]:
        others = {m.failure_domain for m in network.members} - {member.failure_domain}
        network.blocked.add((min(others), member.address))
    network.watched = True
    network.run(s * 1_000)


@when("the rounds of all daemons are late by up to {ms:d} ms for {s:d} s")
def late_rounds(context: Any, ms: int, s: int) -> None:
    network = context.network
    network.max_late_ms = ms
    network.watched = True
    network.run(s * 1_000)


@when("one daemon stands still for {ms:d} ms and {later_ms:d} ms pass")
def freeze_one(context: Any, ms: int, later_ms: int) -> None:
    network = context.network
    context.node = next(iter(network.nodes.values()))
    context.node.frozen_until_ms = network.now_ms + ms
    network.run(ms + later_ms)


@then("it holds every other daemon for live and no domain for silent")
def holds_all(context: Any) -> None:
    network, node = context.network, context.node
    assert network.live_of(node) == set(network.nodes)
    assert not node.table.silent_domains


@when("one of them starts again and {ms:d} ms pass")
def start_again(context: Any, ms: int) -> None:
    network = context.network
    address = context.ended[0]
    member = next(m for m in network.members if m.address == address)
    restarted = attrs.evolve(member, started_ms=2_000)
    context.node = network.nodes[address] = Node(
        restarted, network.members, network.now_ms
    )
    network.run(ms)


@then("it is held for live by all, and holds just the running ones for live")
def restarted_is_live(context: Any) -> None:
    network, node = context.network, context.node
    own = node.member.address
    holders = sum(own in network.live_of(n) for n in network.nodes.values())
    assert holders == len(network.nodes), holders
    assert network.live_of(node) == set(network.nodes)


@when("a daemon that sends regular heartbeats ends and {ms:d} ms pass")
def end_holder(context: Any, ms: int) -> None:
    network = context.network
    holder = next(iter(network.nodes.values()))
    holder.is_holder = True
    network.run(2_000)
    context.ended = [holder.member.address]
    del network.nodes[holder.member.address]
    network.run(ms)


@when("one daemon holds {count:d} others for lost and {ms:d} ms more go by")
def lose_wrongly(context: Any, count: int, ms: int) -> None:
    network = context.network
    node = next(iter(network.nodes.values()))
    others = [m.address for m in network.members if m is not node.member][:count]
    for address in others:
        node.table._entries[address].heartbeat_ms = network.now_ms - 5_000
        assert node.table.suspect(address, network.now_ms - 4_000)
    assert not network.live_of(node) & set(others)
    network.run(ms)


@when('one daemon is told that the domain "{name}" is silent and {ms:d} ms more go by')
def tell_of_unknown_domain(context: Any, name: str, ms: int) -> None:
    network = context.network
    node = next(iter(network.nodes.values()))
    network.execute(node, node.detector.check_domains((name,), network.now_ms))
    network.run(ms)
