"""Demo of a small fleet: serve streamed diagnoses and orders, then stop gracefully.

All daemons and stand-ins run as separate processes. Each order is sent twice with the
same idempotency key; the upstreams' records must show one run for each key.
"""

import itertools
import sys

import anyio

from cowsliphitch.core import ids
from cowsliphitch.core.clock import Clock

from .fleet import Fleet
from .load import (
    Caller,
    Outcome,
    attainment,
    count_outcomes,
    new_http_client,
    percentile,
)
from .scenario import TEAMS, start

DIAGNOSIS_COUNT = 30
ORDER_COUNT = 15
STAGES = ["encode", "retrieve", "rerank"]
ANSWER_TOKENS = 32  # max_tokens of the scenario's generate stage


async def send_requests(fleet: Fleet) -> dict[str, list[Outcome]]:
    """Send diagnoses and orders concurrently, to all daemons in turn.

    :returns: outcomes of the diagnoses, of the first call of each order and of the
        repeated calls
    """
    urls = itertools.cycle([daemon.url for daemon in fleet.daemons.values()])
    teams = itertools.cycle(TEAMS)
    outcomes: dict[str, list[Outcome]] = {
        "diagnosis": [],
        "part-order": [],
        "repeat": [],
    }
    async with new_http_client() as http:

        async def send_diagnosis(index: int) -> None:
            caller = Caller(http, fleet.token(next(teams)))
            text = f"clock {index} shows the wrong minute"
            outcomes["diagnosis"].append(
                await caller.stream(
                    next(urls), "diagnosis", text, STAGES, ANSWER_TOKENS
                )
            )

        async def send_order(index: int) -> None:
            caller = Caller(http, fleet.token("warehouse"))
            key = ids.new_id(Clock().wall_ms())
            body = f"pendulum movement {index}"
            for name in ("part-order", "repeat"):
                outcomes[name].append(
                    await caller.call(next(urls), "part-order", body, key)
                )

        async with anyio.create_task_group() as group:
            for index in range(DIAGNOSIS_COUNT):
                group.start_soon(send_diagnosis, index)
            for index in range(ORDER_COUNT):
                group.start_soon(send_order, index)
    return outcomes


def print_summary(fleet: Fleet, outcomes: dict[str, list[Outcome]]) -> None:
    """Print attainment, latency and verdicts by route, and work by stage pool."""
    print(
        f"{'ROUTE':12} {'SENT':>5} {'WHOLE':>6} {'P50 MS':>7} {'P95 MS':>7}  VERDICTS"
    )
    for name, route_outcomes in outcomes.items():
        latencies = [outcome.latency_ms for outcome in route_outcomes]
        verdicts = ", ".join(
            f"{n} {label}" for label, n in count_outcomes(route_outcomes).items()
        )
        print(
            f"{name:12} {len(route_outcomes):5} {attainment(route_outcomes):6.0%} "
            f"{percentile(latencies, 0.5):7.0f} {percentile(latencies, 0.95):7.0f}  "
            f"{verdicts}"
        )
    print(f"\n{'STAGE POOL':12} {'CALLS':>6} {'WORK':>7} {'WASTED':>7} {'RETRIES':>8}")
    totals: dict[str, dict[str, int]] = {}
    for name in fleet.daemons:
        for pool, counts in fleet.query(name, "/v1/diagnostics")["pools"].items():
            total = totals.setdefault(pool, {})
            for label in ("calls", "work", "wasted", "retries"):
                total[label] = total.get(label, 0) + counts.get(label, 0)
    for pool, total in totals.items():
        print(
            f"{pool:12} {total['calls']:6} {total['work']:7} {total['wasted']:7} "
            f"{total['retries']:8}"
        )


def main() -> int:
    """Run the demo.

    :returns: exit code; 0 if every request was answered, no order ran twice and all
        processes stopped with exit code 0
    """
    with Fleet() as fleet:
        start(fleet)
        outcomes = anyio.run(send_requests, fleet)
        print_summary(fleet, outcomes)
        for command in ("daemons", "teams", "audit"):
            print(f"\n$ cowsliphitch {command}")
            print(fleet.cli("entry-2", command).stdout.rstrip())
        keys = [
            run["key"] for pool in (1, 2) for run in fleet.record(f"order-desk-{pool}")
        ]
        duplicate_count = len(keys) - len(set(keys))
        codes = fleet.stop()
    print(f"\norder runs {len(keys)}, duplicates {duplicate_count}")
    failed = [name for name, code in codes.items() if code != 0]
    print(
        f"stopped gracefully: {len(codes) - len(failed)} of {len(codes)} {failed or ''}"
    )
    attained = attainment(itertools.chain.from_iterable(outcomes.values()))
    return 0 if attained == 1 and not duplicate_count and not failed else 1


if __name__ == "__main__":
    sys.exit(main())
