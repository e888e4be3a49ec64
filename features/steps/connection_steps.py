"""Steps on the limit of connections."""

from typing import Any

from behave import given, then

from cowsliphitch.core.overload.connections import (
    ConnectionUse,
    Idle,
    InUse,
    Stalled,
    Unadmitted,
    caller_connection_limit,
    eviction_rank,
    refusal_delay_ms,
)


def use_of(text: str) -> ConnectionUse:
    kind, _, ms = text.partition(" for ")
    match kind:
        case "unadmitted":
            return Unadmitted(int(ms))
        case "stalled":
            return Stalled(int(ms))
        case "idle":
            return Idle(int(ms))
        case _:
            return InUse()


@given("connections that are {uses}")
def given_connections(context: Any, uses: str) -> None:
    context.uses = [use_of(text) for text in uses.split(", ")]


@then("{closed} is closed at the limit")
def check_closed(context: Any, closed: str) -> None:
    ranks = {
        rank: number
        for number, use in enumerate(context.uses, 1)
        if (rank := eviction_rank(use)) is not None
    }
    first = f"number {ranks[max(ranks)]}" if ranks else "none"
    assert first == closed, ranks


@then("the delays after {counts} refusals are {delays} ms")
def check_delays(context: Any, counts: str, delays: str) -> None:
    actual = [refusal_delay_ms(int(count)) for count in counts.split(", ")]
    assert actual == [int(ms) for ms in delays.split(", ")], actual


@then("{descriptors:d} descriptors and {mb:d} MB allow {count:d} connections")
def check_limit(context: Any, descriptors: int, mb: int, count: int) -> None:
    assert caller_connection_limit(descriptors, mb) == count
