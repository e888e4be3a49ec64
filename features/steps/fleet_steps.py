"""Steps on the member table and on reachability, without a network."""

import itertools
import random
from typing import Any

import attrs
from behave import given, then, when

from cowsliphitch.core.fleet.heartbeat_schedule import HeartbeatSchedule
from cowsliphitch.core.fleet.members import (
    HEARTBEAT_INTERVAL_MS,
    Member,
    MemberTable,
    hash_duty,
)
from cowsliphitch.core.fleet.reachability import Reachability

DUTY = "stages/encode"
DUTY_HASH = hash_duty(DUTY)
OWN, OTHER = "own", "other"


def member(name: str, domain: str = OWN, lifetime: int = 1_000) -> Member:
    return Member(f"{name}:1", name, domain, lifetime)


def receive_heartbeat(context: Any, name: str, **fields: Any) -> None:
    context.sequence_number += 1
    options = {"leaving": False} | fields
    lifetime = options.pop("lifetime", 1_000)
    domain = options.pop("domain", OWN)
    capacity = options.pop("capacity", 1.0)
    context.members.record_heartbeat(
        attrs.evolve(member(name, domain, lifetime), capacity=capacity),
        context.sequence_number,
        now_ms=context.now_ms,
        **options,
    )


def create_table(context: Any) -> None:
    context.now_ms, context.sequence_number = 10_000, 0
    context.members = MemberTable(member("self"), context.now_ms)


@given("the first-ranked daemon for a duty leaves and the second acquires the duty")
def first_leaves_second_acquires(context: Any) -> None:
    create_table(context)
    for name in ("a", "b", "c"):
        receive_heartbeat(context, name)
    ranked = [m.name for m in context.members.owner_candidates(DUTY, context.now_ms)]
    others = [name for name in ranked if name != "self"]
    context.first, context.second = others[:2]
    receive_heartbeat(context, context.first, claims={DUTY_HASH: 1})
    assert (
        context.members.owner_candidates(DUTY, context.now_ms)[0].name == context.first
    )
    receive_heartbeat(context, context.first, leaving=True)
    receive_heartbeat(context, context.second, claims={DUTY_HASH: 2})


@when("the first daemon restarts")
def first_restarts(context: Any) -> None:
    receive_heartbeat(context, context.first, lifetime=20_000)


@then("the second daemon still holds the duty")
def assert_second_holds(context: Any) -> None:
    candidates = [
        m.name for m in context.members.owner_candidates(DUTY, context.now_ms)
    ]
    assert candidates[0] == context.second, candidates
    assert not context.members.acquire_duty(DUTY, context.now_ms)


@then("the first daemon is not among the candidates")
def assert_first_not_candidate(context: Any) -> None:
    candidates = [
        m.name for m in context.members.owner_candidates(DUTY, context.now_ms)
    ]
    assert context.first not in candidates, candidates


@given(
    "a holder with term {own:d} that receives a heartbeat of another holder "
    "with term {other:d}"
)
def receive_other_holders_heartbeat(context: Any, own: int, other: int) -> None:
    create_table(context)
    context.members.claims[DUTY_HASH] = own
    receive_heartbeat(context, "a", claims={DUTY_HASH: other})


@then("it has released the duty")
def assert_duty_released(context: Any) -> None:
    assert DUTY_HASH not in context.members.claims
    assert context.members.owner_candidates(DUTY, context.now_ms)[0].name == "a"


@given("a daemon that sent a heartbeat with lifetime {lifetime:d}")
def receive_first_heartbeat(context: Any, lifetime: int) -> None:
    create_table(context)
    receive_heartbeat(context, "a", lifetime=lifetime)


@when("it is silent for {ms:d} ms and sends a heartbeat with lifetime {lifetime:d}")
def receive_heartbeat_after_silence(context: Any, ms: int, lifetime: int) -> None:
    context.now_ms += ms
    receive_heartbeat(context, "a", lifetime=lifetime)


@then("it is live")
def assert_live(context: Any) -> None:
    assert context.members.is_live("a:1", context.now_ms)


@given(
    "a daemon that listed {count:d} members and receives no heartbeat of the "
    "others for {ms:d} ms"
)
def list_members_without_heartbeats(context: Any, count: int, ms: int) -> None:
    create_table(context)
    names = [f"m{n}" for n in range(count - 1)]
    context.members.set_listed([member(name) for name in names], context.now_ms)
    for name in names:
        receive_heartbeat(context, name)
    context.now_ms += ms
    context.members.set_listed([], context.now_ms)


@given("a daemon that knows no other member")
def create_single_member(context: Any) -> None:
    create_table(context)


@then("it divides fleet-wide allowances by {count:d}")
def assert_allowance_divisor(context: Any, count: int) -> None:
    assert context.members.allowance_divisor(context.now_ms) == count


def create_two_domains(context: Any) -> None:
    create_table(context)
    context.reachability = Reachability(OWN)
    receive_heartbeat(context, "near")
    for name in ("far1", "far2"):
        receive_heartbeat(context, name, domain=OTHER)


@given("a daemon that is told by all daemons of another domain that they are leaving")
def receive_leaving_domain(context: Any) -> None:
    create_two_domains(context)
    for name in ("far1", "far2"):
        receive_heartbeat(context, name, domain=OTHER, leaving=True)


@given("a daemon that no longer receives heartbeats from another domain")
@given("a daemon that receives heartbeats from another domain")
def receive_other_domain_heartbeats(context: Any) -> None:
    create_two_domains(context)


@when("{ms:d} ms elapse")
def advance_time(context: Any, ms: int) -> None:
    context.now_ms += ms
    receive_heartbeat(context, "near")
    context.reachability.update(context.members, context.now_ms)


@when("a connection to the other domain times out")
def record_connection_timeout(context: Any) -> None:
    context.reachability.record_connection_timeout(OTHER, context.now_ms)
    context.reachability.update(context.members, context.now_ms)


@when("a server of the other domain answers")
def record_answer(context: Any) -> None:
    context.reachability.record_answer(OTHER)


@then("no domain is suspect")
def assert_no_suspect_domain(context: Any) -> None:
    assert not context.reachability.suspect_domains(context.members, context.now_ms)


@then("the other domain is suspect but reachable")
def assert_suspect_but_reachable(context: Any) -> None:
    assert context.reachability.suspect_domains(context.members, context.now_ms) == {
        OTHER
    }
    assert not context.reachability.unreachable


@then("the other domain is unreachable")
def assert_unreachable(context: Any) -> None:
    assert context.reachability.unreachable == {OTHER}


@then("the other domain is reachable")
def assert_reachable(context: Any) -> None:
    assert not context.reachability.unreachable


@when('server "{name}" of the other domain refuses a connection')
def record_connection_refused(context: Any, name: str) -> None:
    context.reachability.record_connection_refused(OTHER, name, context.now_ms)
    context.reachability.update(context.members, context.now_ms)


def build_tables(
    names: tuple[str, ...], live: tuple[str, ...], now_ms: int
) -> "Tables":
    """Return tables that list all names, with heartbeats of the live ones just now."""
    return {
        own: Table(own, names, tuple(n for n in live if n != own), now_ms)
        for own in names
    }


class Table:
    """One daemon's table, with the sequence numbers of the heartbeats it receives."""

    def __init__(
        self, own: str, known: tuple[str, ...], live: tuple[str, ...], now_ms: int
    ) -> None:
        self.own, self.now_ms, self.sequence_number = own, now_ms, 0
        self.table = MemberTable(member(own), now_ms)
        self.table.set_listed([member(name) for name in known], now_ms)
        for name in live:
            self.receive_heartbeat(name, {}, now_ms)

    def receive_heartbeat(self, name: str, claims: dict[int, int], now_ms: int) -> None:
        self.sequence_number += 1
        self.table.record_heartbeat(
            member(name), self.sequence_number, False, now_ms, claims
        )

    @property
    def term(self) -> int | None:
        return self.table.claims.get(DUTY_HASH)


Tables = dict[str, Table]


def exchange(daemons: Tables, names: tuple[str, ...], now_ms: int) -> None:
    """Exchange heartbeats between the named daemons twice, so that claims converge."""
    for _ in range(2):
        for receiver, sender in itertools.permutations(names, 2):
            claims = dict(daemons[sender].table.claims)
            daemons[receiver].receive_heartbeat(sender, claims, now_ms)


def partition_and_heal(context: Any, sides: tuple[tuple[str, ...], ...]) -> None:
    """Let both sides of a partition try to acquire the duty, then reconnect them."""
    daemons: Tables = context.tables
    for name in daemons:
        daemons[name].table.tick(context.now_ms)
    for step in range(8):
        context.now_ms += 250
        for side in sides:
            exchange(daemons, side, context.now_ms)
            for name in side:
                daemons[name].table.tick(context.now_ms)
                if step > 4:
                    daemons[name].table.acquire_duty(DUTY, context.now_ms)
    exchange(daemons, tuple(daemons), context.now_ms + 10)
    context.now_ms += 10


def holders(context: Any) -> list[str]:
    return [name for name, t in context.tables.items() if t.term is not None]


def start_tables(context: Any, names: tuple[str, ...], holder: str, term: int) -> None:
    context.now_ms = 10_000
    context.tables = build_tables(names, names, context.now_ms)
    context.tables[holder].table.claims[DUTY_HASH] = term
    exchange(context.tables, names, context.now_ms)


@given(
    "a holder with term {term:d} among {count:d} daemons that receive each "
    "other's heartbeats"
)
def create_majority_with_holder(context: Any, term: int, count: int) -> None:
    context.majority = tuple(f"many{n}" for n in range(count))
    context.term = term


@given("one more daemon that received the holder's heartbeats and is now isolated")
def add_isolated_daemon(context: Any) -> None:
    names = (*context.majority, "lonely")
    start_tables(context, names, context.majority[0], context.term)


@when("the isolated daemon acquires the duty and the partition ends")
def isolated_daemon_acquires(context: Any) -> None:
    partition_and_heal(context, (context.majority, ("lonely",)))


@then("the isolated daemon has released the duty")
def assert_isolated_released(context: Any) -> None:
    assert "lonely" not in holders(context), holders(context)


@then("the holder among the {count:d} daemons still holds the duty")
def assert_majority_holder_holds(context: Any, count: int) -> None:
    assert holders(context) == [context.majority[0]], (count, holders(context))


@given(
    "{count:d} daemons of which {minority_size:d}, with the holder of a duty at term "
    "{term:d}, are partitioned off"
)
def create_partition_with_holder(
    context: Any, count: int, minority_size: int, term: int
) -> None:
    names = tuple(f"daemon{n}" for n in range(count))
    context.minority, context.majority = names[:minority_size], names[minority_size:]
    start_tables(context, names, names[0], term)


@when("the larger side acquires the duty and the partition ends")
def larger_side_acquires(context: Any) -> None:
    partition_and_heal(context, (context.minority, context.majority))


@then("the holder on the smaller side has released the duty")
def assert_smaller_side_released(context: Any) -> None:
    current_holders = holders(context)
    assert len(current_holders) == 1 and current_holders[0] in context.majority, (
        current_holders
    )


@given("two isolated daemons that each acquire the duty")
def two_isolated_daemons_acquire(context: Any) -> None:
    names = ("one", "two")
    context.now_ms = 10_000
    context.tables = build_tables(names, (), context.now_ms)
    for name in names:
        assert context.tables[name].table.acquire_duty(DUTY, context.now_ms)


@when("they receive each other's heartbeats")
def exchange_heartbeats(context: Any) -> None:
    exchange(context.tables, ("one", "two"), context.now_ms + 10)


@then("exactly one of them holds the duty")
def assert_one_holder(context: Any) -> None:
    assert len(holders(context)) == 1, holders(context)


@given(
    "a daemon that is second for a duty whose holder sent its last heartbeat "
    "{ms:d} ms ago"
)
def create_second_candidate(context: Any, ms: int) -> None:
    create_table(context)
    receive_heartbeat(context, "a", claims={DUTY_HASH: 3})
    context.holder = "a"
    context.now_ms += ms


@when("another daemon reports that the holder did not answer")
def report_holder_unresponsive(context: Any) -> None:
    unresponsive = (member(context.holder).address,)
    context.acquired = context.members.acquire_duty(DUTY, context.now_ms, unresponsive)


@then("it acquires the duty, and the holder that restarts does not regain it")
def assert_duty_acquired(context: Any) -> None:
    assert context.acquired
    context.now_ms += 300
    receive_heartbeat(context, context.holder, lifetime=20_000, claims={DUTY_HASH: 1})
    assert context.members.owner_candidates(DUTY, context.now_ms)[0].name == "self"
    assert DUTY_HASH in context.members.claims


@then("it does not acquire the duty")
def assert_duty_not_acquired(context: Any) -> None:
    assert not context.acquired
    assert DUTY_HASH not in context.members.claims


@given(
    'a daemon that receives heartbeat number {number:d} of "{name}" with a duty '
    "held at term {term:d}"
)
def receive_holders_heartbeat(context: Any, name: str, term: int, number: int) -> None:
    create_table(context)
    context.lifetime = 5_000
    holder = member(name, lifetime=context.lifetime)
    context.members.record_heartbeat(
        holder, number, False, context.now_ms, {DUTY_HASH: term}
    )


@when('heartbeat number {number:d} of "{name}" without the duty arrives')
def receive_delayed_heartbeat(context: Any, number: int, name: str) -> None:
    old = member(name, lifetime=context.lifetime)
    context.members.record_heartbeat(old, number, False, context.now_ms, {})


@when('heartbeat number {number:d} of an earlier lifetime of "{name}" arrives')
def receive_heartbeat_of_earlier_lifetime(context: Any, number: int, name: str) -> None:
    old = member(name, lifetime=context.lifetime - 1)
    context.members.record_heartbeat(old, number, False, context.now_ms, {})


@then('"{name}" still holds the duty with term {term:d}')
def assert_holds_with_term(context: Any, name: str, term: int) -> None:
    assert context.members.owner_candidates(DUTY, context.now_ms)[0].name == name
    assert not context.members.acquire_duty(DUTY, context.now_ms)
    assert context.members._term(f"{name}:1", DUTY_HASH) == term


@when("its process is paused for {ms:d} ms")
def pause_process(context: Any, ms: int) -> None:
    context.now_ms += ms
    assert context.members.tick(context.now_ms) == ms


@then("all members are live and no domain is suspect")
def assert_all_live(context: Any) -> None:
    live = {m.name for m in context.members.live(context.now_ms)}
    assert live == {"self", "near", "far1", "far2"}, live
    assert not context.reachability.suspect_domains(context.members, context.now_ms)


@when("{count:d} connections to its own domain time out")
def record_own_domain_timeouts(context: Any, count: int) -> None:
    for _ in range(count):
        context.reachability.record_connection_timeout(OWN, context.now_ms)
    context.reachability.update(context.members, context.now_ms)


@then("no domain is unreachable")
def assert_none_unreachable(context: Any) -> None:
    assert not context.reachability.unreachable


@given("{count:d} peers of a daemon that holds {duty} and has {news}")
def peers_of_daemon(context: Any, count: int, duty: str, news: str) -> None:
    context.addresses = [f"10.0.{n // 200}.{n % 200}:1" for n in range(count)]
    context.holds_duty = duty == "a duty"
    context.has_news = news == "news"
    context.schedule = HeartbeatSchedule()
    context.sent = []


@when("it sends heartbeats for {s:d} s")
def sends_heartbeats(context: Any, s: int) -> None:
    for _ in range(s * 1_000 // HEARTBEAT_INTERVAL_MS):
        context.sent.append(
            context.schedule.next_recipients(
                context.addresses, context.holds_duty, context.has_news
            )
        )


@when("it gives its duty up and sends heartbeats for {s:d} s")
def gives_up_duty(context: Any, s: int) -> None:
    context.holds_duty = False
    sends_heartbeats(context, s)


@then("each heartbeat goes to at most {count:d} peers")
def bounded_recipients(context: Any, count: int) -> None:
    assert max(len(r.addresses) for r in context.sent) <= count


@then("each peer gets one within the interval that the one before stated")
def within_stated_interval(context: Any) -> None:
    due_ms = dict.fromkeys(context.addresses, 0)
    first_round_ms = max(r.interval_ms for r in context.sent)
    for number, recipients in enumerate(context.sent):
        now_ms = number * HEARTBEAT_INTERVAL_MS
        late = [a for a, ms in due_ms.items() if max(ms, first_round_ms) < now_ms]
        assert not late, (now_ms, late)
        due_ms |= dict.fromkeys(recipients.addresses, now_ms + recipients.interval_ms)


@then("{part:w} of the peers got one")
def part_got_one(context: Any, part: str) -> None:
    reached = {address for r in context.sent for address in r.addresses}
    expected = set(context.addresses) if part == "all" else set()
    assert reached == expected, len(reached)


@then("the last heartbeat to each peer says that it is probed")
def last_says_probed(context: Any) -> None:
    last = {address: r.is_probed for r in context.sent for address in r.addresses}
    assert last.keys() == set(context.addresses)
    assert all(last.values()), last


@given("a member that states an interval of {ms:d} ms with its heartbeat")
def member_with_interval(context: Any, ms: int) -> None:
    create_table(context)
    receive_heartbeat(context, "a", interval_ms=ms)


@then("it is live {ms:d} ms after it, and not live {later_ms:d} ms after it")
def live_until(context: Any, ms: int, later_ms: int) -> None:
    assert context.members.is_live("a:1", context.now_ms + ms)
    assert not context.members.is_live("a:1", context.now_ms + later_ms)


@given(
    "a domain with {count:d} daemons that state an interval of {ms:d} ms"
    " with their heartbeats"
)
def domain_with_interval(context: Any, count: int, ms: int) -> None:
    create_table(context)
    context.reachability = Reachability(OWN)
    for number in range(count):
        receive_heartbeat(context, f"o{number}", domain=OTHER, interval_ms=ms)


@then(
    "the domain is not suspect {ms:d} ms after them, and suspect {later_ms:d} ms"
    " after them"
)
def suspect_after(context: Any, ms: int, later_ms: int) -> None:
    now = context.now_ms
    suspects = context.reachability.suspect_domains
    assert OTHER not in suspects(context.members, now + ms)
    assert OTHER in suspects(context.members, now + later_ms)


@given("{count:d} small daemons and {large:d} with four times their capacity")
def small_and_large(context: Any, count: int, large: int) -> None:
    create_table(context)
    context.small = [f"s{number}" for number in range(count)]
    context.large = [f"l{number}" for number in range(large)]
    for name in context.small:
        receive_heartbeat(context, name, capacity=1.0)
    for name in context.large:
        receive_heartbeat(context, name, capacity=4.0)


def candidates_of_duties(context: Any, count: int) -> list[list[str]]:
    return [
        [m.name for m in context.members.owner_candidates(f"d{n}", context.now_ms)]
        for n in range(count)
    ]


@then("the candidates for each of {count:d} duties begin with the two large ones")
def large_ones_first(context: Any, count: int) -> None:
    for names in candidates_of_duties(context, count):
        assert set(names[:2]) == set(context.large), names
        assert len(names) == 43, names


@when("the large daemons are silent for {ms:d} ms")
def large_silent(context: Any, ms: int) -> None:
    context.now_ms += ms
    for name in context.small:
        receive_heartbeat(context, name, capacity=1.0)


@then("the candidates for each of {count:d} duties are the small ones")
def small_ones(context: Any, count: int) -> None:
    for names in candidates_of_duties(context, count):
        assert set(names) == {"self", *context.small}, names


@given("a daemon that knows no other daemon")
def lone_daemon(context: Any) -> None:
    create_table(context)


@then("it acquires the duty at once")
def acquires_at_once(context: Any) -> None:
    assert context.members.acquire_duty(DUTY, context.now_ms)
    assert DUTY_HASH in context.members.claims


@given("{count:d} daemons in {domains:d} domains that start {start}")
def daemons_in_domains(context: Any, count: int, domains: int, start: str) -> None:
    context.now_ms = 10_000
    context.fleet_members = [
        member(f"m{number:03}", f"domain-{number % domains}") for number in range(count)
    ]
    rng = random.Random(count)
    first_rounds = {
        "in step": lambda _number: 0,
        "at random": lambda _number: rng.randrange(1_000),
        "in step domain by domain": lambda number: number % domains,
    }
    context.first_rounds = [first_rounds[start](n) for n in range(count)]


@when("they exchange heartbeats for {s:d} s in calm")
def exchange_in_calm(context: Any, s: int) -> None:
    addresses = [m.address for m in context.fleet_members]
    schedules = [HeartbeatSchedule() for _ in addresses]
    for schedule, skipped in zip(schedules, context.first_rounds, strict=True):
        for _ in range(skipped):
            schedule.next_recipients(addresses, to_all=False)
    observed = context.fleet_members[:: max(1, len(addresses) // 4)][:4]
    tables = {m.address: MemberTable(m, context.now_ms) for m in observed}
    reachability = {m.address: Reachability(m.failure_domain) for m in observed}
    context.suspected = dict.fromkeys(tables, 0)
    for number in range(1, s * 1_000 // HEARTBEAT_INTERVAL_MS + 1):
        context.now_ms += HEARTBEAT_INTERVAL_MS
        for sender, schedule in zip(context.fleet_members, schedules, strict=True):
            peers = [a for a in addresses if a != sender.address]
            recipients = schedule.next_recipients(peers, to_all=False)
            for address in recipients.addresses:
                if address in tables:
                    tables[address].record_heartbeat(
                        sender,
                        number,
                        False,
                        context.now_ms,
                        interval_ms=recipients.interval_ms,
                    )
        for address, table in tables.items():
            table.tick(context.now_ms)
            context.suspected[address] += bool(
                reachability[address].suspect_domains(table, context.now_ms)
            )


@then("no domain was suspect at any of {count:d} daemons")
def none_suspected(context: Any, count: int) -> None:
    assert len(context.suspected) == count
    assert not any(context.suspected.values()), context.suspected
