"""Steps on daemons that act together, without a network."""

import itertools
from typing import Any

from behave import given, then, when

from cowsliphitch.core.fleet.members import Member, MemberTable, hash_duty
from cowsliphitch.core.fleet.reachability import Reachability

DUTY = "stages/encode"
NUMBER = hash_duty(DUTY)
OWN, OTHER = "own", "other"


def member(name: str, domain: str = OWN, lifetime: int = 1_000) -> Member:
    return Member(f"{name}:1", name, domain, lifetime)


def hear(context: Any, name: str, **fields: Any) -> None:
    context.number += 1
    options = {"leaving": False} | fields
    lifetime = options.pop("lifetime", 1_000)
    domain = options.pop("domain", OWN)
    context.daemons.record_heartbeat(
        member(name, domain, lifetime), context.number, now_ms=context.now, **options
    )


def new_table(context: Any) -> None:
    context.now, context.number = 10_000, 0
    context.daemons = MemberTable(member("self"), context.now)


@given("the first daemon in rank for a duty leaves and the second takes it")
def first_leaves(context: Any) -> None:
    new_table(context)
    for name in ("a", "b", "c"):
        hear(context, name)
    ranked = [m.name for m in context.daemons.owner_candidates(DUTY, context.now)]
    others = [name for name in ranked if name != "self"]
    context.first, context.second = others[:2]
    hear(context, context.first, claims={NUMBER: 1})
    assert context.daemons.owner_candidates(DUTY, context.now)[0].name == context.first
    hear(context, context.first, leaving=True)
    hear(context, context.second, claims={NUMBER: 2})


@when("the first daemon comes back")
def comes_back(context: Any) -> None:
    hear(context, context.first, lifetime=20_000)


@then("the second daemon still holds the duty")
def still_holds(context: Any) -> None:
    owners = [m.name for m in context.daemons.owner_candidates(DUTY, context.now)]
    assert owners[0] == context.second, owners
    assert not context.daemons.acquire_duty(DUTY, context.now)


@then("the first daemon is not among the owners")
def not_owner(context: Any) -> None:
    owners = [m.name for m in context.daemons.owner_candidates(DUTY, context.now)]
    assert context.first not in owners, owners


@given("a holder with term {own:d} that hears another holder with term {other:d}")
def two_holders(context: Any, own: int, other: int) -> None:
    new_table(context)
    context.daemons.claims[NUMBER] = own
    hear(context, "a", claims={NUMBER: other})


@then("it has given up the duty")
def given_up(context: Any) -> None:
    assert NUMBER not in context.daemons.claims
    assert context.daemons.owner_candidates(DUTY, context.now)[0].name == "a"


@given("a daemon that was heard with lifetime {lifetime:d}")
def heard(context: Any, lifetime: int) -> None:
    new_table(context)
    hear(context, "a", lifetime=lifetime)


@when("it is silent for {ms:d} ms and heard with lifetime {lifetime:d}")
def heard_again(context: Any, ms: int, lifetime: int) -> None:
    context.now += ms
    hear(context, "a", lifetime=lifetime)


@then("it is live")
def is_live(context: Any) -> None:
    assert context.daemons.is_live("a:1", context.now)


@given("a daemon that listed {count:d} members and hears none of them for {ms:d} ms")
def listed(context: Any, count: int, ms: int) -> None:
    new_table(context)
    names = [f"m{n}" for n in range(count - 1)]
    context.daemons.set_listed([member(name) for name in names], context.now)
    for name in names:
        hear(context, name)
    context.now += ms
    context.daemons.set_listed([], context.now)


@given("a daemon that knows nobody")
def knows_nobody(context: Any) -> None:
    new_table(context)


@then("it divides fleet-wide allowances by {count:d}")
def divides(context: Any, count: int) -> None:
    assert context.daemons.allowance_divisor(context.now) == count


def two_domains(context: Any) -> None:
    new_table(context)
    context.reach = Reachability(OWN)
    hear(context, "near")
    for name in ("far1", "far2"):
        hear(context, name, domain=OTHER)


@given("a daemon that hears the daemons of another domain leave")
def leave(context: Any) -> None:
    two_domains(context)
    for name in ("far1", "far2"):
        hear(context, name, domain=OTHER, leaving=True)


@given("a daemon that stops hearing another domain")
@given("a daemon that hears another domain")
def stops_hearing(context: Any) -> None:
    two_domains(context)


@when("{ms:d} ms go by")
def go_by(context: Any, ms: int) -> None:
    context.now += ms
    hear(context, "near")
    context.reach.update(context.daemons, context.now)


@when("a connection to the other domain times out")
def times_out(context: Any) -> None:
    context.reach.record_connection_timeout(OTHER, context.now)
    context.reach.update(context.daemons, context.now)


@when("a server of the other domain answers")
def answers(context: Any) -> None:
    context.reach.record_answer(OTHER)


@then("no domain is suspect")
def no_suspect(context: Any) -> None:
    assert not context.reach.suspect_domains(context.daemons, context.now)


@then("the other domain is suspect but not cut off")
def suspect(context: Any) -> None:
    assert context.reach.suspect_domains(context.daemons, context.now) == {OTHER}
    assert not context.reach.unreachable


@then("the other domain is cut off")
def is_cut(context: Any) -> None:
    assert context.reach.unreachable == {OTHER}


@then("the other domain is not cut off")
def is_not_cut(context: Any) -> None:
    assert not context.reach.unreachable


@when('server "{name}" of the other domain refuses a connection')
def refuses(context: Any, name: str) -> None:
    context.reach.record_connection_refused(OTHER, name, context.now)
    context.reach.update(context.daemons, context.now)


def tables(names: tuple[str, ...], heard: tuple[str, ...], now: int) -> "Tables":
    """Return the tables of daemons that know all names and heard some just now."""
    return {
        own: Table(own, names, tuple(n for n in heard if n != own), now)
        for own in names
    }


class Table:
    """One daemon's table, and the heartbeats that it sends."""

    def __init__(
        self, own: str, known: tuple[str, ...], heard: tuple[str, ...], now: int
    ) -> None:
        self.own, self.now, self.number = own, now, 0
        self.table = MemberTable(member(own), now)
        self.table.set_listed([member(name) for name in known], now)
        for name in heard:
            self.hear(name, {}, now)

    def hear(self, name: str, claims: dict[int, int], now: int) -> None:
        self.number += 1
        self.table.record_heartbeat(member(name), self.number, False, now, claims)

    @property
    def term(self) -> int | None:
        return self.table.claims.get(NUMBER)


Tables = dict[str, Table]


def exchange(found: Tables, names: tuple[str, ...], now: int) -> None:
    """Let the named daemons hear each other twice, so that claims settle."""
    for _ in range(2):
        for listener, speaker in itertools.permutations(names, 2):
            claims = dict(found[speaker].table.claims)
            found[listener].hear(speaker, claims, now)


def cut_and_heal(context: Any, sides: tuple[tuple[str, ...], ...]) -> None:
    """Let the sides of a cut take the duty, then hear each other again."""
    found: Tables = context.tables
    for name in found:
        found[name].table.tick(context.now)
    for step in range(8):
        context.now += 250
        for side in sides:
            exchange(found, side, context.now)
            for name in side:
                found[name].table.tick(context.now)
                if step > 4:
                    found[name].table.acquire_duty(DUTY, context.now)
    exchange(found, tuple(found), context.now + 10)
    context.now += 10


def holders(context: Any) -> list[str]:
    return [name for name, t in context.tables.items() if t.term is not None]


def start_tables(context: Any, names: tuple[str, ...], holder: str, term: int) -> None:
    context.now = 10_000
    context.tables = tables(names, names, context.now)
    context.tables[holder].table.claims[NUMBER] = term
    exchange(context.tables, names, context.now)


@given("a holder with term {term:d} among {count:d} daemons that hear each other")
def holder_among(context: Any, term: int, count: int) -> None:
    context.many = tuple(f"many{n}" for n in range(count))
    context.term = term


@given("one more daemon that heard the holder and now hears nobody")
def one_more(context: Any) -> None:
    names = (*context.many, "lonely")
    start_tables(context, names, context.many[0], context.term)


@when("the lonely daemon takes the duty and the cut ends")
def lonely_takes(context: Any) -> None:
    cut_and_heal(context, (context.many, ("lonely",)))


@then("the lonely daemon has given up the duty")
def lonely_gave_up(context: Any) -> None:
    assert "lonely" not in holders(context), holders(context)


@then("the holder among the {count:d} daemons still holds the duty")
def holder_holds(context: Any, count: int) -> None:
    assert holders(context) == [context.many[0]], (count, holders(context))


@given(
    "{count:d} daemons of which {few:d} are cut off with the holder of a duty "
    "with term {term:d}"
)
def cut_with_holder(context: Any, count: int, few: int, term: int) -> None:
    names = tuple(f"daemon{n}" for n in range(count))
    context.few, context.many = names[:few], names[few:]
    start_tables(context, names, names[0], term)


@when("the larger side takes the duty and the cut ends")
def larger_takes(context: Any) -> None:
    cut_and_heal(context, (context.few, context.many))


@then("the holder of the smaller side has given up the duty")
def smaller_gave_up(context: Any) -> None:
    found = holders(context)
    assert len(found) == 1 and found[0] in context.many, found


@given("two daemons that each hear nobody and take the duty")
def two_lonely(context: Any) -> None:
    names = ("one", "two")
    context.now = 10_000
    context.tables = tables(names, (), context.now)
    for name in names:
        assert context.tables[name].table.acquire_duty(DUTY, context.now)


@when("they hear each other")
def hear_each_other(context: Any) -> None:
    exchange(context.tables, ("one", "two"), context.now + 10)


@then("exactly one of them holds the duty")
def exactly_one(context: Any) -> None:
    assert len(holders(context)) == 1, holders(context)


@given("a daemon that is second for a duty whose holder was heard {ms:d} ms ago")
def second_for(context: Any, ms: int) -> None:
    new_table(context)
    hear(context, "a", claims={NUMBER: 3})
    context.holder = "a"
    context.now += ms


@when("another daemon says that the holder gave no answer")
def holder_lost(context: Any) -> None:
    lost = (member(context.holder).address,)
    context.taken = context.daemons.acquire_duty(DUTY, context.now, lost)


@then("it takes the duty, and the holder that starts again does not get it back")
def takes_it(context: Any) -> None:
    assert context.taken
    context.now += 300
    hear(context, context.holder, lifetime=20_000, claims={NUMBER: 1})
    assert context.daemons.owner_candidates(DUTY, context.now)[0].name == "self"
    assert NUMBER in context.daemons.claims


@then("it does not take the duty")
def takes_not(context: Any) -> None:
    assert not context.taken
    assert NUMBER not in context.daemons.claims


@given(
    'a daemon that hears "{name}" hold a duty with term {term:d} in its heartbeat '
    "number {number:d}"
)
def hears_holder(context: Any, name: str, term: int, number: int) -> None:
    new_table(context)
    context.lifetime = 5_000
    holder = member(name, lifetime=context.lifetime)
    context.daemons.record_heartbeat(holder, number, False, context.now, {NUMBER: term})


@when('heartbeat number {number:d} of "{name}" without the duty arrives')
def overtaken(context: Any, number: int, name: str) -> None:
    old = member(name, lifetime=context.lifetime)
    context.daemons.record_heartbeat(old, number, False, context.now, {})


@when('heartbeat number {number:d} of an earlier lifetime of "{name}" arrives')
def earlier_lifetime(context: Any, number: int, name: str) -> None:
    old = member(name, lifetime=context.lifetime - 1)
    context.daemons.record_heartbeat(old, number, False, context.now, {})


@then('"{name}" still holds the duty with term {term:d}')
def still_term(context: Any, name: str, term: int) -> None:
    assert context.daemons.owner_candidates(DUTY, context.now)[0].name == name
    assert not context.daemons.acquire_duty(DUTY, context.now)
    assert context.daemons._term(f"{name}:1", NUMBER) == term


@when("it stands still for {ms:d} ms")
def stands_still(context: Any, ms: int) -> None:
    context.now += ms
    assert context.daemons.tick(context.now) == ms


@then("it takes all members for live and no domain is suspect")
def all_live(context: Any) -> None:
    live = {m.name for m in context.daemons.live(context.now)}
    assert live == {"self", "near", "far1", "far2"}, live
    assert not context.reach.suspect_domains(context.daemons, context.now)


@when("{count:d} connections to its own domain time out")
def own_times_out(context: Any, count: int) -> None:
    for _ in range(count):
        context.reach.record_connection_timeout(OWN, context.now)
    context.reach.update(context.daemons, context.now)


@then("no domain is cut off")
def none_cut(context: Any) -> None:
    assert not context.reach.unreachable
