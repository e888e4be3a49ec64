"""Steps for order logs."""

import random
from typing import Any

import attrs
from behave import given, then, when
from result import Err, Ok

from cowsliphitch.core.orders import log
from cowsliphitch.core.orders.models import Head, Record, State
from cowsliphitch.core.revisions import NO_REVISION, Revision

SEED = 5
EXPIRED_MS = 10_000


def next_revision(view: log.LogView) -> Revision:
    return Revision(view.revision.era, view.revision.number + 1)


@given("an empty order log")
def empty_log(context: Any) -> None:
    context.view = log.LogView(Head(), NO_REVISION, {})
    context.time_ms = 1


def record(
    key: str, attempt: str, created_ms: int, state: State = State.CLAIMED
) -> Record:
    return Record(key, created_ms, attempt, f"body of {key}", state)


def write_records(view: log.LogView, floor_ms: int, *records: Record) -> log.LogView:
    """Plan an append and return the view after it, as the key-value service has it."""
    plan = log.plan_append(view, records, f"segment-{view.revision}", floor_ms)
    segments = {n: s for n, s in view.segments.items() if n not in plan.dropped}
    if plan.segment is not None:
        segments[plan.segment[0]] = plan.segment[1]
    return log.LogView(plan.head, next_revision(view), segments)


@when('attempt "{attempt}" of key "{key}" is appended')
def append_claim(context: Any, attempt: str, key: str) -> None:
    context.view = write_records(context.view, 0, record(key, attempt, context.time_ms))


@when('attempt "{attempt}" of key "{key}" is released')
def release_claim(context: Any, attempt: str, key: str) -> None:
    released = record(key, attempt, context.time_ms, State.RELEASED)
    context.view = write_records(context.view, 0, released)


@when('{count:d} other keys are appended around key "{key}"')
def append_other_keys(context: Any, count: int, key: str) -> None:
    for number in range(count):
        name = key if number == count // 4 else f"other-{number}"
        context.view = write_records(
            context.view, 0, record(name, "1", context.time_ms)
        )


@when("all keys so far expire and more keys are appended")
def expire_keys(context: Any) -> None:
    for number in range(2):
        fresh = record(f"fresh-{number}", "1", EXPIRED_MS + number)
        context.view = write_records(context.view, EXPIRED_MS, fresh)


def check_claim(context: Any, attempt: str, key: str) -> Any:
    return log.check_claim(context.view, record(key, attempt, 1))


@then('attempt "{attempt}" of key "{key}" owns it')
def assert_owns(context: Any, attempt: str, key: str) -> None:
    result = check_claim(context, attempt, key)
    assert isinstance(result, Ok) and isinstance(result.ok_value, log.Owned), result


@then('attempt "{attempt}" of key "{key}" may claim it')
def assert_may_claim(context: Any, attempt: str, key: str) -> None:
    result = check_claim(context, attempt, key)
    assert isinstance(result, Ok) and isinstance(result.ok_value, log.Unclaimed), result


@then('attempt "{attempt}" of key "{key}" is refused as "{verdict}"')
def assert_refused(context: Any, attempt: str, key: str, verdict: str) -> None:
    result = check_claim(context, attempt, key)
    assert isinstance(result, Err), result
    assert result.err_value.verdict.value == verdict, result


@then("the log has sealed segments")
def assert_sealed_segments(context: Any) -> None:
    assert context.view.head.sealed
    assert set(context.view.head.sealed) == set(context.view.segments)


@then('the segment of key "{key}" is dropped')
def assert_segment_dropped(context: Any, key: str) -> None:
    assert context.view.find(key) is None
    assert context.view.head.floor_ms > 0


@then("in {count:d} random logs no key ever has two owners")
def assert_single_owner(context: Any, count: int) -> None:
    rng = random.Random(SEED)
    granted = 0
    for _ in range(count):
        granted += run_random_log(rng)
    assert granted > count, granted


def run_random_log(rng: random.Random) -> int:
    """Apply random claims, releases, seals and drops to one log.

    :returns: the number of granted claims
    """
    view = log.LogView(Head(), NO_REVISION, {})
    owners: dict[str, Record] = {}
    now_ms, granted = 1, 0
    for step in range(rng.randint(5, 60)):
        now_ms += rng.randint(0, 40)
        floor_ms = max(0, now_ms - 200)
        key = f"key-{rng.randint(0, 8)}"
        claim = Record(key, int(key[-1]) * 30 + 1, f"{step}", "same")
        result = log.check_claim(view, claim)
        if isinstance(result, Ok) and isinstance(result.ok_value, log.Unclaimed):
            assert key not in owners, (key, owners[key], view)
            owners[key] = claim
            granted += 1
            view = write_records(view, floor_ms, claim)
        elif key in owners and rng.random() < 0.3:
            released = attrs.evolve(owners.pop(key), state=State.RELEASED)
            view = write_records(view, floor_ms, released)
        if rng.random() < 0.2 and view.head.open:
            view = seal_open_records(view, step)
    return granted


def seal_open_records(view: log.LogView, step: int) -> log.LogView:
    """Seal the open records, as an append to a full head does."""
    name = f"sealed-{step}"
    segment = log.Segment(view.head.open)
    head = attrs.evolve(view.head, sealed=(*view.head.sealed, name), open=())
    return log.LogView(head, next_revision(view), view.segments | {name: segment})
