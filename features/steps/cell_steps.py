"""Steps on the division of a pool group into cells, without a network."""

import itertools
from collections import Counter
from typing import Any

from behave import given, then, when

from cowsliphitch.core.fleet import cells
from cowsliphitch.core.fleet.cells import Cell
from cowsliphitch.core.fleet.members import Member, MemberTable
from cowsliphitch.core.requests.models import Generation, PromptPart
from cowsliphitch.core.servers.models import Server, ServerState

LARGE_PARTS, SMALL_PARTS = 900, 100


def make_pool(pool: int, count: int, domains: int) -> list[Server]:
    return [
        Server(
            id=f"p{pool}-{n}",
            service=f"pool-{pool}",
            address=f"10.0.{pool}.{n}:1",
            failure_domain=f"d{n % domains}",
            state=ServerState.READY,
            slots=1,
        )
        for n in range(count)
    ]


@given("pools of {counts} servers in {domains:d} failure domains")
def make_pools(context: Any, counts: str, domains: int) -> None:
    numbers = [int(count) for count in counts.split(",")]
    context.pools = [make_pool(n, c, domains) for n, c in enumerate(numbers)]
    context.held = set()
    context.delays_ms = {}


def cells_of(context: Any) -> tuple[Cell, ...]:
    return cells.divide(context.pools, context.held.__contains__)


@then("the group has {count:d} cells that hold each domain once")
def check_cells(context: Any, count: int) -> None:
    found = cells_of(context)
    assert len(found) == count, found
    domains = {s.failure_domain for pool in context.pools for s in pool}
    for domain in domains:
        assert sum(cell.contains(domain) for cell in found) == 1, (domain, found)


@when("its cells have owners, and {count:d} servers of each pool are lost")
def lose_servers(context: Any, count: int) -> None:
    context.held = set(cells_of(context))
    context.pools = [pool[:-count] for pool in context.pools]


@when("no cell has an owner")
def no_owner(context: Any) -> None:
    context.held = set()


def generation_of(part: str, tokens: int) -> Generation:
    own = PromptPart(f"own-{part}", 100)
    return Generation("m", tokens + 100, 10, (PromptPart(part, tokens), own))


def send_requests(context: Any, count: int, parts: int, tokens: int) -> None:
    found = cells_of(context)
    weights = cells.weights(found, context.pools)
    domains = sorted({s.failure_domain for pool in context.pools for s in pool})
    context.weights, context.chosen = weights, []
    for number, domain in zip(range(count), itertools.cycle(domains), strict=False):
        part = f"part-{number % parts}"
        cell = cells.choose(
            weights,
            generation_of(part, tokens),
            f"request-{number}",
            domain,
            context.delays_ms,
        )
        context.chosen.append((part, domain, cell))


@when("{count:d} requests with large parts come to daemons of all domains")
def send_large(context: Any, count: int) -> None:
    send_requests(context, count, LARGE_PARTS, 13_300)


@when("{count:d} requests with small parts come to daemons of all domains")
def send_small(context: Any, count: int) -> None:
    send_requests(context, count, SMALL_PARTS, 350)


@when("one cell is {ms:d} ms behind and {count:d} requests with large parts come")
def send_to_slow(context: Any, ms: int, count: int) -> None:
    context.avoided = cells_of(context)[1]
    context.delays_ms = {context.avoided: ms}
    send_large(context, count)


@when("one pool has no ready server in one cell and {count:d} requests come")
def send_to_incomplete(context: Any, count: int) -> None:
    context.avoided = cells_of(context)[1]
    context.held = set(cells_of(context))
    context.pools[1] = [
        s for s in context.pools[1] if not context.avoided.contains(s.failure_domain)
    ]
    send_large(context, count)


@then("requests with the same part go to the same cell")
def one_cell_per_part(context: Any) -> None:
    found = {(part, cell) for part, _, cell in context.chosen}
    assert len(found) == len({part for part, _, _ in context.chosen})


def shares_of(context: Any) -> dict[Cell, float]:
    """Return by cell the requests that it got over its share."""
    counts = Counter(cell for _, _, cell in context.chosen)
    total = sum(context.weights.values())
    return {
        cell: counts[cell] / len(context.chosen) / (weight / total)
        for cell, weight in context.weights.items()
        if weight > 0
    }


@then(
    "each cell gets between {least:f} and {most:f} times its share by its scarcest pool"
)
def balanced(context: Any, least: float, most: float) -> None:
    shares = shares_of(context)
    assert all(least <= share <= most for share in shares.values()), shares


@then("each request goes to the cell of its daemon")
def own_cell(context: Any) -> None:
    assert all(cell.contains(domain) for _, domain, cell in context.chosen)


@then("that cell gets none, and no other more than {most:f} times its share")
def avoided_gets_none(context: Any, most: float) -> None:
    assert all(cell != context.avoided for _, _, cell in context.chosen)
    shares = shares_of(context)
    assert max(shares.values()) <= most, shares


@given("{count:d} daemons in {domains:d} failure domains")
def make_members(context: Any, count: int, domains: int) -> None:
    context.now_ms = 10_000
    context.fleet = [
        Member(f"10.0.0.{n}:1", f"m{n}", f"d{n % domains}", 1) for n in range(count)
    ]
    context.members = MemberTable(Member("10.1.0.0:1", "self", "d0", 1), 10_000)
    for member in context.fleet:
        context.members.record_heartbeat(member, 1, False, 10_000, is_probed=True)


def candidates(context: Any) -> list[Member]:
    return context.members.owner_candidates(
        "stages/pool@d1+d3", context.now_ms, domains=("d1", "d3")
    )


@then(
    'the first {count:d} candidates for the cell of "d1" and "d3" are in these domains'
)
def first_in_domains(context: Any, count: int) -> None:
    found = [member.failure_domain for member in candidates(context)[:count]]
    assert set(found) <= {"d1", "d3"}, found


@when("the daemons of these domains are lost")
def lose_domains(context: Any) -> None:
    for member in context.fleet:
        if member.failure_domain in ("d1", "d3"):
            context.members.suspect(member.address, context.now_ms)
    context.now_ms += 5_000


@then("a daemon of another domain is the first candidate")
def other_domain(context: Any) -> None:
    assert candidates(context)[0].failure_domain not in ("d1", "d3")
