"""Open-loop load: arrivals are planned, whatever becomes of those before."""

import multiprocessing
import random
import time
from collections.abc import Iterable
from typing import Any

import anyio
import attrs

from cowsliphitch.core.clock import seconds

from ..fleet import Fleet
from ..load import Caller, Outcome, new_http

MS_PER_SECOND = 1_000
PROCESSES = 3
PROCESS_START_S = 2.5


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


@attrs.frozen
class Addresses:
    """Where requests go, and by which tokens; it travels to the callers' processes."""

    urls: dict[str, str]
    tokens: dict[str, str]


async def send(
    addresses: Addresses, arrivals: list[Arrival], target: Target, start_at_s: float
) -> list[Call]:
    """Send each request at its time and wait for all answers.

    :param start_at_s: wall time that arrivals are counted from, in seconds
    """
    calls: list[Call] = []
    https = {name: new_http() for name in addresses.urls}

    async def one(arrival: Arrival) -> None:
        caller = Caller(https[arrival.daemon], addresses.tokens[arrival.team])
        outcome = await caller.stream(
            addresses.urls[arrival.daemon],
            target.pipeline,
            arrival.text,
            target.stages,
            target.tokens,
            target.timeout_ms,
        )
        calls.append(Call(arrival, outcome))

    async with anyio.create_task_group() as group:
        for arrival in arrivals:
            wait_s = start_at_s + seconds(arrival.at_ms) - time.time()
            if wait_s > 0:
                await anyio.sleep(wait_s)
            group.start_soon(one, arrival)
    for http in https.values():
        await http.aclose()
    return calls


def _send_part(
    addresses: Addresses,
    arrivals: list[Arrival],
    target: Target,
    start_at_s: float,
    results: Any,
) -> None:
    results.put(anyio.run(send, addresses, arrivals, target, start_at_s))


def run(fleet: Fleet, loads: Iterable[Load], target: Target, seed: int) -> list[Call]:
    """Plan a load and send it from several processes, so that none is the limit."""
    arrivals = plan(loads, seed)
    addresses = Addresses(
        {name: daemon.url for name, daemon in fleet.daemons.items()},
        {arrival.team: fleet.team_token(arrival.team) for arrival in arrivals},
    )
    context = multiprocessing.get_context("spawn")
    results = context.Queue()
    start_at_s = time.time() + PROCESS_START_S
    jobs = [
        context.Process(
            target=_send_part,
            args=(addresses, arrivals[n::PROCESSES], target, start_at_s, results),
        )
        for n in range(PROCESSES)
    ]
    for job in jobs:
        job.start()
    calls = [call for _ in jobs for call in results.get()]
    for job in jobs:
        job.join()
    return calls
