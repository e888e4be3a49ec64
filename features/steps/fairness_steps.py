"""Steps on queues and on the division of slots."""

import itertools
import random
from typing import Any

from behave import given, then, when

from cowsliphitch.core.scheduling.division import (
    Demand,
    compute_caps,
    max_min_allocation,
)
from cowsliphitch.core.scheduling.models import QueuedRequest
from cowsliphitch.core.scheduling.queue import FairQueue

SEED = 11
LATE_MS = 1_000_000
NO_CAPS: frozenset[str] = frozenset()


@given("a fair queue with shares a={a:d} and b={b:d}")
def fair_queue(context: Any, a: int, b: int) -> None:
    context.queue = FairQueue()
    context.queue.set_shares({"a": a, "b": b})
    context.numbers = itertools.count()


def push(context: Any, team: str, count: int, work: int) -> None:
    for number in itertools.islice(context.numbers, count):
        context.queue.push(QueuedRequest(team, work, LATE_MS, number))


def served(context: Any) -> list[QueuedRequest]:
    return list(iter(lambda: context.queue.pop(0, NO_CAPS), None))


@when("team a queues {n:d} requests of {w:d} tokens and then team b queues {m:d}")
def queue_then(context: Any, n: int, w: int, m: int) -> None:
    push(context, "a", n, w)
    push(context, "b", m, w)


@when("team a queues {n:d} requests of {w:d} tokens and team b queues {m:d} of {v:d}")
def queue_both(context: Any, n: int, w: int, m: int, v: int) -> None:
    push(context, "a", n, w)
    push(context, "b", m, v)


@when("team a is served {n:d} requests of {w:d} tokens alone")
def serve_alone(context: Any, n: int, w: int) -> None:
    push(context, "a", n, w)
    assert len(served(context)) == n


@then("b's {n:d} requests are among the first {m:d} to be served")
def among_first(context: Any, n: int, m: int) -> None:
    first = served(context)[:m]
    assert sum(ticket.team == "b" for ticket in first) == n


def work_of(context: Any, tokens: int) -> dict[str, int]:
    done: dict[str, int] = {"a": 0, "b": 0}
    for ticket in served(context):
        if sum(done.values()) >= tokens:
            break
        done[ticket.team] += ticket.work
    return done


@then(
    "of the first {n:d} tokens that are served, each team got from {low:d} to {high:d}"
)
def each_got(context: Any, n: int, low: int, high: int) -> None:
    done = work_of(context, n)
    assert all(low <= work <= high for work in done.values()), done


@then("of the first {n:d} tokens that are served, team a got from {low:d} to {high:d}")
def a_got(context: Any, n: int, low: int, high: int) -> None:
    done = work_of(context, n)
    assert low <= done["a"] <= high, done


@when("team a queues requests with deadlines at 500, 90, 300 and 200 ms")
def queue_deadlines(context: Any) -> None:
    for number, deadline_ms in enumerate((500, 90, 300, 200)):
        context.queue.push(QueuedRequest("a", 1, deadline_ms, number))


@then("at 100 ms they are served in the order 200, 300, 500")
def deadline_order(context: Any) -> None:
    tickets = iter(lambda: context.queue.pop(100, NO_CAPS), None)
    assert [ticket.deadline_ms for ticket in tickets] == [200, 300, 500]
    assert len(context.queue) == 0 and context.queue.waiting_work() == {}


def numbers(text: str) -> dict[str, float]:
    pairs = (part.split("=") for part in text.split())
    return {name: float(value) for name, value in pairs}


@given("{capacity:d} slots and the demands {demands} with the shares {shares}")
def slots_and_demands(context: Any, capacity: int, demands: str, shares: str) -> None:
    weights = {name: int(value) for name, value in numbers(shares).items()}
    context.given = max_min_allocation(capacity, numbers(demands), weights)


@then("the teams are given {expected}")
def are_given(context: Any, expected: str) -> None:
    wanted = numbers(expected)
    assert all(abs(context.given[t] - v) < 1e-6 for t, v in wanted.items()), (
        context.given
    )


def random_case(rng: random.Random) -> tuple[float, list[Demand], dict[str, int]]:
    teams = [f"team-{n}" for n in range(rng.randint(1, 6))]
    daemons = [f"entry-{n}" for n in range(rng.randint(1, 9))]
    shares = {team: rng.randint(1, 5) for team in teams}
    demands = [
        Demand(daemon, team, rng.choice((0.0, 0.3, rng.uniform(0, 20))))
        for daemon in daemons
        for team in teams
    ]
    return rng.uniform(1, 80), demands, shares


@then("for {count:d} random demands the caps of all daemons add up to the team's part")
def caps_add_up(context: Any, count: int) -> None:
    rng = random.Random(SEED)
    for _ in range(count):
        capacity, demands, shares = random_case(rng)
        daemons = {demand.daemon for demand in demands}
        found = {d: compute_caps(capacity, demands, shares, d) for d in daemons}
        wants: dict[str, float] = {}
        for demand in demands:
            wants[demand.team] = wants.get(demand.team, 0.0) + demand.slots
        given = max_min_allocation(capacity, wants, shares)
        assert len({frozenset(c) for c in found.values()}) == 1
        for team in next(iter(found.values())):
            total = sum(c[team] for c in found.values())
            assert total <= round(given[team]) + len(daemons), (team, total)
            assert total >= round(given[team]), (team, total)


@then(
    "for {count:d} random demands a team that wants less than its fair part has no cap"
)
def no_cap_within(context: Any, count: int) -> None:
    rng = random.Random(SEED)
    checked = 0
    for _ in range(count):
        capacity, demands, shares = random_case(rng)
        weight = sum(shares.values())
        for team, share in shares.items():
            want = sum(d.slots for d in demands if d.team == team)
            if want and want < capacity * share / weight:
                checked += 1
                found = compute_caps(capacity, demands, shares, "entry-0")
                assert team not in found, (team, found)
    assert checked > count / 10, checked
