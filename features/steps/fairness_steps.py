"""Steps for the queues and the division of slots."""

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
FAR_DEADLINE_MS = 1_000_000
NO_CAPS: frozenset[str] = frozenset()


@given("a fair queue with shares a={a:d} and b={b:d}")
def fair_queue(context: Any, a: int, b: int) -> None:
    context.queue = FairQueue()
    context.queue.set_shares({"a": a, "b": b})
    context.numbers = itertools.count()


def push(context: Any, team: str, count: int, work: int) -> None:
    for number in itertools.islice(context.numbers, count):
        context.queue.push(QueuedRequest(team, work, FAR_DEADLINE_MS, number))


def pop_all(context: Any) -> list[QueuedRequest]:
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
    assert len(pop_all(context)) == n


@then("b's {n:d} requests are among the first {m:d} to be served")
def served_among_first(context: Any, n: int, m: int) -> None:
    first = pop_all(context)[:m]
    assert sum(request.team == "b" for request in first) == n


def work_by_team(context: Any, tokens: int) -> dict[str, int]:
    served_work: dict[str, int] = {"a": 0, "b": 0}
    for request in pop_all(context):
        if sum(served_work.values()) >= tokens:
            break
        served_work[request.team] += request.work
    return served_work


@then(
    "of the first {n:d} tokens that are served, each team gets from {low:d} to {high:d}"
)
def work_of_each_team(context: Any, n: int, low: int, high: int) -> None:
    served_work = work_by_team(context, n)
    assert all(low <= work <= high for work in served_work.values()), served_work


@then("of the first {n:d} tokens that are served, team a gets from {low:d} to {high:d}")
def work_of_team_a(context: Any, n: int, low: int, high: int) -> None:
    served_work = work_by_team(context, n)
    assert low <= served_work["a"] <= high, served_work


@when("team a queues requests with deadlines at 500, 90, 300 and 200 ms")
def queue_deadlines(context: Any) -> None:
    for number, deadline_ms in enumerate((500, 90, 300, 200)):
        context.queue.push(QueuedRequest("a", 1, deadline_ms, number))


@then("at 100 ms they are served in the order 200, 300, 500")
def deadline_order(context: Any) -> None:
    requests = iter(lambda: context.queue.pop(100, NO_CAPS), None)
    assert [request.deadline_ms for request in requests] == [200, 300, 500]
    assert len(context.queue) == 0 and context.queue.waiting_work() == {}


def parse_amounts(text: str) -> dict[str, float]:
    pairs = (part.split("=") for part in text.split())
    return {name: float(value) for name, value in pairs}


@given("{capacity:d} slots and the demands {demands} with the shares {shares}")
def slots_and_demands(context: Any, capacity: int, demands: str, shares: str) -> None:
    weights = {name: int(value) for name, value in parse_amounts(shares).items()}
    context.allocation = max_min_allocation(capacity, parse_amounts(demands), weights)


@then("the allocation is {expected}")
def allocation_is(context: Any, expected: str) -> None:
    expected_slots = parse_amounts(expected)
    assert all(
        abs(context.allocation[t] - v) < 1e-6 for t, v in expected_slots.items()
    ), context.allocation


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


@then("for {count:d} random demands all daemons' caps add up to the team's allocation")
def caps_add_up(context: Any, count: int) -> None:
    rng = random.Random(SEED)
    for _ in range(count):
        capacity, demands, shares = random_case(rng)
        daemons = {demand.daemon for demand in demands}
        caps_by_daemon = {
            d: compute_caps(capacity, demands, shares, d) for d in daemons
        }
        totals: dict[str, float] = {}
        for demand in demands:
            totals[demand.team] = totals.get(demand.team, 0.0) + demand.slots
        allocation = max_min_allocation(capacity, totals, shares)
        assert len({frozenset(c) for c in caps_by_daemon.values()}) == 1
        for team in next(iter(caps_by_daemon.values())):
            total = sum(c[team] for c in caps_by_daemon.values())
            assert total <= round(allocation[team]) + len(daemons), (team, total)
            assert total >= round(allocation[team]), (team, total)


@then("for {count:d} random demands a team below its fair share has no cap")
def no_cap_below_fair_share(context: Any, count: int) -> None:
    rng = random.Random(SEED)
    checked = 0
    for _ in range(count):
        capacity, demands, shares = random_case(rng)
        weight = sum(shares.values())
        for team, share in shares.items():
            demand = sum(d.slots for d in demands if d.team == team)
            if demand and demand < capacity * share / weight:
                checked += 1
                caps = compute_caps(capacity, demands, shares, "entry-0")
                assert team not in caps, (team, caps)
    assert checked > count / 10, checked
