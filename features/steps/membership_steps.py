"""Steps on the membership view, without a network."""

from typing import Any

from behave import given, then, when

from cowsliphitch.core.clock import ManualClock
from cowsliphitch.core.membership.models import MemberRecord
from cowsliphitch.core.membership.ranking import rank
from cowsliphitch.core.membership.view import MembershipView

STEP_MS = 500
START_MS = 1_000_000


@given("daemons a, b and c that know each other")
def three_members(context: Any) -> None:
    context.clock = ManualClock(START_MS)
    context.views = {
        name: MembershipView(
            MemberRecord(name, "domain", f"{name}:1"), START_MS, START_MS
        )
        for name in "abc"
    }
    for first, second in ("ab", "bc", "ca", "ab", "bc", "ca"):
        exchange(context, first, second)
    context.stale_record = next(
        r for r in context.views["a"].records() if r.name == "c"
    )
    context.stale_heartbeat = context.views["a"].heartbeat("c")


def exchange(context: Any, first: str, second: str) -> None:
    """Exchange summaries and newer records between two daemons."""
    now = context.clock.now_ms()
    one, other = context.views[first], context.views[second]
    for source, target in ((one, other), (other, one)):
        summary = source.summary()
        for record in source.records_newer_than(target.summary()):
            target.merge_record(record, summary.heartbeats[record.id], now)
        target.merge_summary(summary, now)


def advance_heartbeats(context: Any, names: str) -> None:
    context.clock.advance(STEP_MS)
    for name in names:
        context.views[name].advance_heartbeat(
            context.clock.now_ms(), context.clock.wall_ms()
        )


@when("c stops and a and b exchange gossip for {ms:d} ms")
def c_stops(context: Any, ms: int) -> None:
    for _ in range(ms // STEP_MS):
        advance_heartbeats(context, "ab")
        exchange(context, "a", "b")


@when("a receives a stale record of c")
def receive_stale_record(context: Any) -> None:
    now = context.clock.now_ms()
    context.views["a"].merge_record(context.stale_record, context.stale_heartbeat, now)


@when("c exchanges gossip with b, and b with a")
def c_exchanges_again(context: Any) -> None:
    advance_heartbeats(context, "abc")
    exchange(context, "c", "b")
    advance_heartbeats(context, "abc")
    exchange(context, "c", "b")
    exchange(context, "b", "a")


@when("a is paused for {ms:d} ms while the others exchange gossip")
def a_is_paused(context: Any, ms: int) -> None:
    for _ in range(ms // STEP_MS):
        advance_heartbeats(context, "bc")
        exchange(context, "b", "c")
    context.views["a"].advance_heartbeat(
        context.clock.now_ms(), context.clock.wall_ms()
    )


@then('{daemon:Word} considers {other:Word} "{state}"')
def considers(context: Any, daemon: str, other: str, state: str) -> None:
    found = context.views[daemon].state(other, context.clock.now_ms())
    assert found.value == state, found


@then(
    "of {count:d} duties over {members:d} members only those of a removed member move"
)
def duties_move(context: Any, count: int, members: int) -> None:
    names = [f"entry-{n}" for n in range(members)]
    removed = names[3]
    remaining = [name for name in names if name != removed]
    moved = 0
    for number in range(count):
        before, after = rank(f"{number}", names)[0], rank(f"{number}", remaining)[0]
        assert before in (after, removed)
        moved += before != after
    assert 0 < moved < count / 3, moved
