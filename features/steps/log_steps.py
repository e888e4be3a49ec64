"""Steps for the decisions on one order log."""

import random
from typing import Any

import attrs
from behave import given, then, when
from result import Err, Ok

from cowsliphitch.core.orders import log
from cowsliphitch.core.orders.models import Head, Record, State

RANDOM_SEED = 5
EXPIRED_MS = 10_000


@given("an empty order log")
def empty_log(context: Any) -> None:
    context.view = log.LogView(Head(), 0, {})
    context.time_ms = 1


def record(
    key: str, attempt: str, created_ms: int, state: State = State.CLAIMED
) -> Record:
    return Record(key, created_ms, attempt, f"body of {key}", state)


def apply_append(view: log.LogView, floor_ms: int, *records: Record) -> log.LogView:
    """Return the view after an append that the key-value service has accepted."""
    plan = log.append(view, records, f"segment-{view.revision}", floor_ms)
    segments = {n: s for n, s in view.segments.items() if n not in plan.dropped}
    if plan.segment is not None:
        segments[plan.segment[0]] = plan.segment[1]
    return log.LogView(plan.head, view.revision + 1, segments)


@when('attempt "{attempt}" of key "{key}" is appended')
def append(context: Any, attempt: str, key: str) -> None:
    context.view = apply_append(context.view, 0, record(key, attempt, context.time_ms))


@when('attempt "{attempt}" of key "{key}" is released')
def release(context: Any, attempt: str, key: str) -> None:
    released = record(key, attempt, context.time_ms, State.RELEASED)
    context.view = apply_append(context.view, 0, released)


@when('{count:d} other keys are appended around key "{key}"')
def append_many(context: Any, count: int, key: str) -> None:
    for number in range(count):
        name = key if number == count // 4 else f"other-{number}"
        context.view = apply_append(context.view, 0, record(name, "1", context.time_ms))


@when("everything up to now expires and more keys are appended")
def expire_all(context: Any) -> None:
    for number in range(2):
        fresh = record(f"fresh-{number}", "1", EXPIRED_MS + number)
        context.view = apply_append(context.view, EXPIRED_MS, fresh)


def position_of(context: Any, attempt: str, key: str) -> Any:
    return log.position(context.view, record(key, attempt, 1))


@then('attempt "{attempt}" of key "{key}" owns it')
def attempt_owns(context: Any, attempt: str, key: str) -> None:
    found = position_of(context, attempt, key)
    assert isinstance(found, Ok) and isinstance(found.ok_value, log.Owned), found


@then('attempt "{attempt}" of key "{key}" may claim it')
def may_claim(context: Any, attempt: str, key: str) -> None:
    found = position_of(context, attempt, key)
    assert isinstance(found, Ok) and isinstance(found.ok_value, log.Free), found


@then('attempt "{attempt}" of key "{key}" is refused as "{verdict}"')
def refused(context: Any, attempt: str, key: str, verdict: str) -> None:
    found = position_of(context, attempt, key)
    assert isinstance(found, Err), found
    assert found.err_value.verdict.value == verdict, found


@then("the log has sealed segments")
def has_sealed(context: Any) -> None:
    assert context.view.head.sealed
    assert set(context.view.head.sealed) == set(context.view.segments)


@then('the segment of key "{key}" is dropped')
def segment_dropped(context: Any, key: str) -> None:
    assert context.view.find(key) is None
    assert context.view.head.floor_ms > 0


@then("in {count:d} random logs no key ever has two owners")
def no_two_owners(context: Any, count: int) -> None:
    rng = random.Random(RANDOM_SEED)
    total_claims = 0
    for _ in range(count):
        total_claims += random_log(rng)
    assert total_claims > count, total_claims


def random_log(rng: random.Random) -> int:
    """Mix random claims, releases, seals and expiry; return the claims granted."""
    view = log.LogView(Head(), 0, {})
    owner: dict[str, Record] = {}
    now_ms, claim_count = 1, 0
    for step in range(rng.randint(5, 60)):
        now_ms += rng.randint(0, 40)
        floor_ms = max(0, now_ms - 200)
        key = f"key-{rng.randint(0, 8)}"
        claim = Record(key, int(key[-1]) * 30 + 1, f"{step}", "same")
        found = log.position(view, claim)
        if isinstance(found, Ok) and isinstance(found.ok_value, log.Free):
            assert key not in owner, (key, owner[key], view)
            owner[key] = claim
            claim_count += 1
            view = apply_append(view, floor_ms, claim)
        elif key in owner and rng.random() < 0.3:
            released = attrs.evolve(owner.pop(key), state=State.RELEASED)
            view = apply_append(view, floor_ms, released)
        if rng.random() < 0.2 and view.head.open:
            view = seal(view, step)
    return claim_count


def seal(view: log.LogView, step: int) -> log.LogView:
    """Seal the open records into a segment, as a log does when its head is full."""
    name = f"sealed-{step}"
    segment = log.Segment(view.head.open)
    head = attrs.evolve(view.head, sealed=(*view.head.sealed, name), open=())
    return log.LogView(head, view.revision + 1, view.segments | {name: segment})
