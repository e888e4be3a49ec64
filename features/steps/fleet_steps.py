"""Steps on daemons that act together, without a network."""

from typing import Any

from behave import given, then, when

from cowsliphitch.core.fleet.members import Member, MemberTable, duty_number
from cowsliphitch.core.fleet.reachability import Reachability

DUTY = "stages/encode"
NUMBER = duty_number(DUTY)
OWN, OTHER = "own", "other"


def member(name: str, domain: str = OWN, lifetime: int = 1_000) -> Member:
    return Member(f"{name}:1", name, domain, lifetime)


def hear(context: Any, name: str, **fields: Any) -> None:
    context.number += 1
    options = {"leaving": False} | fields
    lifetime = options.pop("lifetime", 1_000)
    domain = options.pop("domain", OWN)
    context.daemons.hear(
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
    ranked = [m.name for m in context.daemons.owners(DUTY, context.now)]
    others = [name for name in ranked if name != "self"]
    context.first, context.second = others[:2]
    hear(context, context.first, claims={NUMBER: 1})
    assert context.daemons.owners(DUTY, context.now)[0].name == context.first
    hear(context, context.first, leaving=True)
    hear(context, context.second, claims={NUMBER: 2})


@when("the first daemon comes back")
def comes_back(context: Any) -> None:
    hear(context, context.first, lifetime=20_000)


@then("the second daemon still holds the duty")
def still_holds(context: Any) -> None:
    owners = [m.name for m in context.daemons.owners(DUTY, context.now)]
    assert owners[0] == context.second, owners
    assert not context.daemons.take(DUTY, context.now)


@then("the first daemon is not among the owners")
def not_owner(context: Any) -> None:
    owners = [m.name for m in context.daemons.owners(DUTY, context.now)]
    assert context.first not in owners, owners


@given("a holder with term {own:d} that hears another holder with term {other:d}")
def two_holders(context: Any, own: int, other: int) -> None:
    new_table(context)
    context.daemons.claims[NUMBER] = own
    hear(context, "a", claims={NUMBER: other})


@then("it has given up the duty")
def given_up(context: Any) -> None:
    assert NUMBER not in context.daemons.claims
    assert context.daemons.owners(DUTY, context.now)[0].name == "a"


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
    assert context.daemons.counted(context.now) == count


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
    context.reach.timed_out(OTHER, context.now)
    context.reach.update(context.daemons, context.now)


@when("a server of the other domain answers")
def answers(context: Any) -> None:
    context.reach.answered(OTHER)


@then("no domain is suspect")
def no_suspect(context: Any) -> None:
    assert not context.reach.suspects(context.daemons, context.now)


@then("the other domain is suspect but not cut off")
def suspect(context: Any) -> None:
    assert context.reach.suspects(context.daemons, context.now) == {OTHER}
    assert not context.reach.cut


@then("the other domain is cut off")
def is_cut(context: Any) -> None:
    assert context.reach.cut == {OTHER}


@then("the other domain is not cut off")
def is_not_cut(context: Any) -> None:
    assert not context.reach.cut
