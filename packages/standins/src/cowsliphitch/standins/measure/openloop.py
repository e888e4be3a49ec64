"""Open-loop load: arrivals are planned, whatever becomes of those before."""

import random
from collections.abc import Iterable

import anyio
import attrs

from cowsliphitch.core.clock import Clock, seconds

from ..fleet import Fleet
from ..load import Caller, Outcome, new_http

MS_PER_SECOND = 1_000


@attrs.frozen
class Arrival:
    """One planned request.

    :param at_ms: when it is sent, from the start
    """

    at_ms: int
    team: str
    daemon: str
    text: str


@attrs.frozen
class Load:
    """The requests of one team.

    :param rate: requests a second
    :param daemons: where they arrive
    :param start_ms: when they begin, from the start
    :param end_ms: when they end
    """

    team: str
    rate: float
    daemons: tuple[str, ...]
    start_ms: int
    end_ms: int
    prefixes: tuple[str, ...] = ("",)


@attrs.frozen
class Call:
    """A planned request and what became of it."""

    arrival: Arrival
    outcome: Outcome


@attrs.frozen
class Target:
    """What the requests ask for.

    :param stages: stages before the engine, to check answers by
    :param tokens: tokens of a whole answer
    """

    pipeline: str
    stages: list[str]
    tokens: int
    timeout_ms: int


def plan(loads: Iterable[Load], seed: int) -> list[Arrival]:
    """Draw Poisson arrivals for every load."""
    rng = random.Random(seed)
    found: list[Arrival] = []
    for load in loads:
        at_ms = float(load.start_ms)
        while load.rate > 0:
            at_ms += rng.expovariate(load.rate) * MS_PER_SECOND
            if at_ms >= load.end_ms:
                break
            prefix = rng.choice(load.prefixes)
            text = f"{prefix}{load.team} {len(found)}"
            daemon = rng.choice(load.daemons)
            found.append(Arrival(int(at_ms), load.team, daemon, text))
    return sorted(found, key=lambda arrival: arrival.at_ms)


async def send(fleet: Fleet, arrivals: list[Arrival], target: Target) -> list[Call]:
    """Send each request at its time and wait for all answers."""
    clock = Clock()
    calls: list[Call] = []
    https = {name: new_http() for name in fleet.daemons}

    async def one(arrival: Arrival) -> None:
        caller = Caller(https[arrival.daemon], fleet.token(arrival.team))
        outcome = await caller.stream(
            fleet.daemons[arrival.daemon].url,
            target.pipeline,
            arrival.text,
            target.stages,
            target.tokens,
            target.timeout_ms,
        )
        calls.append(Call(arrival, outcome))

    started_ms = clock.now_ms()
    async with anyio.create_task_group() as group:
        for arrival in arrivals:
            wait_ms = started_ms + arrival.at_ms - clock.now_ms()
            if wait_ms > 0:
                await anyio.sleep(seconds(wait_ms))
            group.start_soon(one, arrival)
    for http in https.values():
        await http.aclose()
    return calls


def run(fleet: Fleet, loads: Iterable[Load], target: Target, seed: int) -> list[Call]:
    """Plan and send a load."""
    return anyio.run(send, fleet, plan(loads, seed), target)
