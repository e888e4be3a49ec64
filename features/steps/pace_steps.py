"""Steps on reports of servers, and a replay of servers that become slow for a time."""

import heapq
import itertools
import random
from collections import Counter
from typing import Any

import attrs
from behave import given, then, when
from heartbeat_steps import heartbeat

from cowsliphitch.core.fleet.heartbeat_schedule import HOLDER_ROUNDS
from cowsliphitch.core.fleet.members import HEARTBEAT_INTERVAL_MS
from cowsliphitch.core.requests.models import Load
from cowsliphitch.core.servers.load import ServerLoad, ServerReport
from cowsliphitch.core.servers.models import Server, ServerState
from cowsliphitch.core.servers.placement import ServerPlacement
from cowsliphitch.peers.fleet import convert
from cowsliphitch.peers.fleet.models import Exchange
from cowsliphitch.platform import servers as wire
from cowsliphitch.upstreams.http1.models import AnswerHead

CHOICES = 200


def make_servers(names: list[str], slots: int) -> list[Server]:
    return [Server(n, "service", n, "domain", ServerState.READY, slots) for n in names]


@when('a server reports the load "{header}"')
def report_load(context: Any, header: str) -> None:
    head = AnswerHead(200, ((b"cowsliphitch-server-load", header.encode()),))
    context.load = wire.decode_head(head).load


@then("the load is read as {load}")
def check_load(context: Any, load: str) -> None:
    expected = None
    if load != "nothing":
        *figures, pace = load.split()
        running, waiting, slots = map(int, figures)
        known = None if pace == "unknown" else float(pace)
        expected = Load(running, waiting, slots, known)
    assert context.load == expected, context.load


@given('servers "{first}" and "{second}" with {slots:d} slots')
def given_servers(context: Any, first: str, second: str, slots: int) -> None:
    context.servers = make_servers([first, second], slots)
    context.placement, context.now_ms = ServerPlacement(), 10_000


@when(
    '"{first}" reports {count:d} requests and the pace {pace:f},'
    ' and "{second}" {others:d} and {other_pace:f}'
)
def reports(
    context: Any,
    first: str,
    count: int,
    pace: float,
    second: str,
    others: int,
    other_pace: float,
) -> None:
    for name, load in (
        (first, Load(count, 0, 2, pace)),
        (second, Load(others, 0, 2, other_pace)),
    ):
        context.placement.record_load(name, load, context.now_ms)


@when('{count:d} requests are sent to "{name}" and {ms:d} ms pass')
@when('{count:d} requests are sent to "{name}", and {ms:d} ms pass')
def are_sent(context: Any, count: int, name: str, ms: int) -> None:
    for _ in range(count):
        context.placement.record_sent(name, context.now_ms + 1)
    context.now_ms += ms


@when('{count:d} requests end at "{name}" after {ms:d} ms')
def end(context: Any, count: int, name: str, ms: int) -> None:
    context.now_ms += ms
    for _ in range(count):
        context.placement.record_end(name, context.now_ms)


@when('a peer passes on the pace {pace:f} of "{name}" from {age_ms:d} ms before')
def passes_on(context: Any, pace: float, name: str, age_ms: int) -> None:
    loads = {name: ServerLoad(0, ServerReport(0, pace, age_ms))}
    context.placement.set_peer_loads("peer", loads, context.now_ms)


@when(
    "{ms:d} ms pass and a peer passes on the pace {pace:f} of"
    ' "{name}" from {age_ms:d} ms before'
)
def passes_on_later(context: Any, ms: int, pace: float, name: str, age_ms: int) -> None:
    context.now_ms += ms
    passes_on(context, pace, name, age_ms)


def count_choices(context: Any) -> Counter[str]:
    return Counter(
        context.placement.choose(context.servers, context.now_ms).id
        for _ in range(CHOICES)
    )


@then('"{name}" is chosen by most')
def chosen_by_most(context: Any, name: str) -> None:
    counts = count_choices(context)
    assert counts[name] > CHOICES * 0.9, counts


@then("neither is chosen by most")
def neither_by_most(context: Any) -> None:
    counts = count_choices(context)
    assert max(counts.values()) < CHOICES * 0.7, counts


@then('"{name}" has room for a request')
def has_room(context: Any, name: str) -> None:
    chosen_by_most(context, name)


@then("{count:d} choices are the same with and without reports of three figures")
def same_choices(context: Any, count: int) -> None:
    plain = ServerPlacement()
    for number in range(count):
        now = context.now_ms + 10 * number
        expected = plain.choose(context.servers, now)
        assert context.placement.choose(context.servers, now) is expected
        for placement in (plain, context.placement):
            placement.record_sent(expected.id, now)
            if number % 3:
                placement.record_answer(expected.id, 20 + number)
                placement.record_end(expected.id, now)
        load = Load(number % 5, number % 3, 2)
        context.placement.record_load(expected.id, load, now)


@attrs.frozen
class Replay:
    """Times to the answers, and the number of requests sent to slow servers."""

    times_ms: list[float]
    sent_to_slow: int


SLOW_PACE, SLOW_MS, WORK_MS, END_MS = 2.5, 1_000, 200, 60_000
HOLDERS = 3


@given(
    "{daemons:d} daemons and {count:d} servers with {slots:d} slots that are 2.5 times"
    " slower for a sixth of the time"
)
def given_fleet(context: Any, daemons: int, count: int, slots: int) -> None:
    context.daemon_count = daemons
    context.servers = make_servers([f"s{n}" for n in range(count)], slots)
    rng = random.Random(1)
    context.slow = {}
    for server in context.servers:
        times = context.slow[server.id] = []
        now = 0.0
        while now < 2 * END_MS:
            begin_ms = now + rng.expovariate(1 / (5 * SLOW_MS))
            now = begin_ms + rng.expovariate(1 / SLOW_MS)
            times.append((begin_ms, now))


def replay(context: Any, rate: int, reports_pace: bool) -> Replay:
    """Replay the load; each daemon exchanges heartbeats with one peer in a round.

    Those that hold a duty, one for each failure domain, send to all in every second.
    """
    rng = random.Random(2)
    daemons = [ServerPlacement() for _ in range(context.daemon_count)]
    for daemon in daemons:
        daemon._rng.seed(rng.random())
    numbers, events = itertools.count(), []
    running: Counter[str] = Counter()
    encoded: dict[int, Any] = {}
    waiting: dict[str, list[Any]] = {s.id: [] for s in context.servers}
    result_ms: list[float] = []
    sent_to_slow = 0

    def push(ms: float, kind: str, *values: Any) -> None:
        heapq.heappush(events, (ms, next(numbers), kind, values))

    def pace(name: str, ms: float) -> float:
        is_slow = any(begin <= ms < end for begin, end in context.slow[name])
        return SLOW_PACE if is_slow else 1.0

    def start(ms: float, name: str, daemon: int, sent_ms: float) -> None:
        running[name] += 1
        work_ms = WORK_MS * rng.uniform(0.7, 1.3) * pace(name, ms)
        push(ms + work_ms, "end", name, daemon, sent_ms)

    now = 0.0
    while (now := now + rng.expovariate(rate / 1_000)) < END_MS:
        push(now, "request", rng.randrange(len(daemons)))
    for number in range(len(daemons)):
        push(rng.uniform(0, HEARTBEAT_INTERVAL_MS), "round", number)
    slots = context.servers[0].slots
    while events:
        now, _, kind, values = heapq.heappop(events)
        if kind == "request":
            (daemon,) = values
            name = daemons[daemon].choose(context.servers, int(now)).id
            daemons[daemon].record_sent(name, int(now))
            sent_to_slow += pace(name, now) > 1
            if running[name] < slots:
                start(now, name, daemon, now)
            else:
                waiting[name].append((daemon, now))
        elif kind == "end":
            name, daemon, sent_ms = values
            result_ms.append(now - sent_ms)
            known = pace(name, now) if reports_pace else None
            load = Load(running[name], len(waiting[name]), slots, known)
            daemons[daemon].record_load(name, load, int(now))
            daemons[daemon].record_answer(name, round(now - sent_ms))
            daemons[daemon].record_end(name, int(now))
            running[name] -= 1
            if waiting[name]:
                start(now, name, *waiting[name].pop(0))
        elif now < END_MS:
            (daemon,) = values
            peer = rng.choice([n for n in range(len(daemons)) if n != daemon])
            pairs = [(daemon, peer), (peer, daemon)]
            if daemon < HOLDERS:
                pairs = [(daemon, n) for n in range(len(daemons)) if n != daemon]
            for sender, receiver in pairs:
                send_heartbeat(daemons, encoded, sender, receiver, int(now))
                daemons[receiver].expire_peer_loads(int(now))
            rounds = HOLDER_ROUNDS if daemon < HOLDERS else 1
            push(now + rounds * HEARTBEAT_INTERVAL_MS, "round", daemon)
    return Replay(result_ms, sent_to_slow)


def send_heartbeat(
    daemons: list[ServerPlacement],
    encoded: dict[int, Any],
    sender: int,
    receiver: int,
    now_ms: int,
) -> None:
    """Send a heartbeat that was encoded in the last interval, as daemons do."""
    made_ms, loads = encoded.get(sender, (-HEARTBEAT_INTERVAL_MS, {}))
    if now_ms - made_ms >= HEARTBEAT_INTERVAL_MS:
        made_ms, loads = now_ms, daemons[sender].own_loads(now_ms)
        encoded[sender] = made_ms, loads
    received = {}
    for name, load in loads.items():
        report = load.report
        if report is not None:
            age_ms = report.age_ms + now_ms - made_ms + 10
            report = attrs.evolve(report, age_ms=age_ms)
        received[name] = attrs.evolve(load, report=report)
    daemons[receiver].set_peer_loads(str(sender), received, now_ms)


@when(
    "they get {rate:d} requests a second for 60 s with and without reports of the pace"
)
def run_replays(context: Any, rate: int) -> None:
    context.with_pace = replay(context, rate, reports_pace=True)
    context.without = replay(context, rate, reports_pace=False)


@then("at most two thirds as many as without reports are sent to slow servers")
def fewer_at_slow(context: Any) -> None:
    counts = context.with_pace.sent_to_slow, context.without.sent_to_slow
    assert counts[0] <= counts[1] * 2 / 3, counts


@then("the mean time to an answer is not longer than without reports")
def not_longer(context: Any) -> None:
    means = [
        sum(run.times_ms) / len(run.times_ms)
        for run in (context.with_pace, context.without)
    ]
    assert means[0] <= means[1], means


@when(
    "a heartbeat with a report of {age_ms:d} ms before is sent {delay_ms:d} ms after it"
    " was encoded"
)
def send_report(context: Any, age_ms: int, delay_ms: int) -> None:
    context.report = ServerReport(3, 1.4, age_ms)
    sent = attrs.evolve(
        heartbeat("peer", 1), servers={7: ServerLoad(2, context.report)}
    )
    content = convert.heartbeat_to_wire(sent)
    content += convert.exchange_to_wire(Exchange(probe=1, delay_ms=delay_ms))
    context.received = convert.heartbeat_from_wire(content, "a:1").servers[7]


@then(
    "the receiver takes the report to be at least {ms:d} ms old and otherwise the same"
)
def check_received(context: Any, ms: int) -> None:
    report = context.received.report
    assert ms <= report.age_ms <= ms + 20, report
    same = attrs.evolve(report, age_ms=context.report.age_ms)
    assert (context.received.running, same) == (2, context.report), report
