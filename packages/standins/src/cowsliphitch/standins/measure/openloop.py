"""Open-loop load: arrivals are planned ahead and don't wait for earlier answers.

Callers that wait for an answer before they send again would slow down with the fleet,
which would hide its overload.
"""

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
PROCESS_COUNT = 3
# Time for the spawned processes to import their modules before the first arrival.
PROCESS_START_ALLOWANCE_S = 2.5


@attrs.frozen
class Arrival:
    """One planned request.

    :param at_ms: time to send it, from the start of the load
    :param daemon: name of the daemon that receives it
    :param text: input of the pipeline
    """

    at_ms: int
    team: str
    daemon: str
    text: str


@attrs.frozen
class TeamLoad:
    """The requests of one team.

    :param rate_per_s: mean arrival rate
    :param daemons: names of the daemons that receive them, chosen at random
    :param start_ms: first time of an arrival, from the start of the load
    :param end_ms: time from which there are no more arrivals
    :param prefixes: prompt prefixes, one of which is chosen at random for each request
    """

    team: str
    rate_per_s: float
    daemons: tuple[str, ...]
    start_ms: int
    end_ms: int
    prefixes: tuple[str, ...] = ("",)


@attrs.frozen
class CompletedCall:
    """A planned request and its outcome."""

    arrival: Arrival
    outcome: Outcome


@attrs.frozen
class RequestSpec:
    """The parameters that all requests of a load share.

    :param stages: names of the stages before the engine, to compute the expected answer
    :param token_count: tokens of a complete answer
    """

    pipeline: str
    stages: list[str]
    token_count: int
    timeout_ms: int


def plan_arrivals(loads: Iterable[TeamLoad], seed: int) -> list[Arrival]:
    """Return Poisson arrivals of all loads, sorted by time."""
    rng = random.Random(seed)
    arrivals: list[Arrival] = []
    for load in loads:
        at_ms = float(load.start_ms)
        while load.rate_per_s > 0:
            at_ms += rng.expovariate(load.rate_per_s) * MS_PER_SECOND
            if at_ms >= load.end_ms:
                break
            prefix = rng.choice(load.prefixes)
            text = f"{prefix}{load.team} {len(arrivals)}"
            daemon = rng.choice(load.daemons)
            arrivals.append(Arrival(int(at_ms), load.team, daemon, text))
    return sorted(arrivals, key=lambda arrival: arrival.at_ms)


@attrs.frozen
class Endpoints:
    """Access to the daemons, pickled for the processes of the callers.

    :param urls: URL of each daemon by name
    :param tokens: bearer token of each team
    """

    urls: dict[str, str]
    tokens: dict[str, str]


async def send_arrivals(
    endpoints: Endpoints,
    arrivals: list[Arrival],
    request: RequestSpec,
    start_at_s: float,
) -> list[CompletedCall]:
    """Send each request at its planned time and wait for all answers.

    :param start_at_s: wall time of the start of the load, in seconds
    """
    calls: list[CompletedCall] = []
    clients = {name: new_http() for name in endpoints.urls}

    async def send_one(arrival: Arrival) -> None:
        caller = Caller(clients[arrival.daemon], endpoints.tokens[arrival.team])
        outcome = await caller.stream(
            endpoints.urls[arrival.daemon],
            request.pipeline,
            arrival.text,
            request.stages,
            request.token_count,
            request.timeout_ms,
        )
        calls.append(CompletedCall(arrival, outcome))

    async with anyio.create_task_group() as group:
        for arrival in arrivals:
            delay_s = start_at_s + seconds(arrival.at_ms) - time.time()
            if delay_s > 0:
                await anyio.sleep(delay_s)
            group.start_soon(send_one, arrival)
    for http in clients.values():
        await http.aclose()
    return calls


def _send_from_process(
    endpoints: Endpoints,
    arrivals: list[Arrival],
    request: RequestSpec,
    start_at_s: float,
    results: Any,
) -> None:
    results.put(anyio.run(send_arrivals, endpoints, arrivals, request, start_at_s))


def run_load(
    fleet: Fleet, loads: Iterable[TeamLoad], request: RequestSpec, seed: int
) -> list[CompletedCall]:
    """Plan a load and send it from several processes.

    With a single process, its processor time would limit the rate of requests.

    :returns: all requests with their outcomes, in no particular order
    """
    arrivals = plan_arrivals(loads, seed)
    endpoints = Endpoints(
        {name: daemon.url for name, daemon in fleet.daemons.items()},
        {arrival.team: fleet.token(arrival.team) for arrival in arrivals},
    )
    context = multiprocessing.get_context("spawn")
    results = context.Queue()
    start_at_s = time.time() + PROCESS_START_ALLOWANCE_S
    workers = [
        context.Process(
            target=_send_from_process,
            args=(
                endpoints,
                arrivals[index::PROCESS_COUNT],
                request,
                start_at_s,
                results,
            ),
        )
        for index in range(PROCESS_COUNT)
    ]
    for worker in workers:
        worker.start()
    calls = [call for _ in workers for call in results.get()]
    for worker in workers:
        worker.join()
    return calls
