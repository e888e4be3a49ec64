"""Steps on the limit of connections."""

from typing import Any

from behave import given, then, when

from cowsliphitch.core.overload.connections import (
    Closing,
    ConnectionUse,
    Idle,
    InUse,
    Stalled,
    Unadmitted,
    caller_connection_limit,
    connections_to_end,
    eviction_rank,
    refusal_delay_ms,
)


def use_of(text: str) -> ConnectionUse:
    kind, _, ms = text.partition(" for ")
    match kind:
        case "closing":
            return Closing(int(ms))
        case "unadmitted":
            return Unadmitted(int(ms))
        case "stalled":
            return Stalled(int(ms))
        case "idle":
            return Idle(int(ms))
        case _:
            kind, _, answers = text.partition(" after ")
            return InUse(int(answers or 0), kind == "ahead", kind == "ending")


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


@when("{count:d} new ones wait")
def when_new_ones_wait(context: Any, count: int) -> None:
    context.ending = connections_to_end(enumerate(context.uses, 1), count)


@then("those that end are {numbers}")
def check_ending(context: Any, numbers: str) -> None:
    ending = ", ".join(str(number) for number in sorted(context.ending))
    assert (ending or "none") == numbers, context.ending


@then("the delays after {counts} refusals are {delays} ms")
def check_delays(context: Any, counts: str, delays: str) -> None:
    actual = [refusal_delay_ms(int(count)) for count in counts.split(", ")]
    assert actual == [int(ms) for ms in delays.split(", ")], actual


@then("{descriptors:d} descriptors and {mb:d} MB allow {count:d} connections")
def check_limit(context: Any, descriptors: int, mb: int, count: int) -> None:
    assert caller_connection_limit(descriptors, mb) == count
