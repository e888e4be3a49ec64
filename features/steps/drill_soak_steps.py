"""Steps that send orders while the key-value service comes back from copies."""

import collections
import random
import threading
import time
from typing import Any

from behave import then, when
from caller_steps import ORDER_DESKS, Answer, idempotency_key_of, post_order
from fault_steps import copy_kv, restore_kv, restore_kv_copy

from cowsliphitch.core.clock import seconds

# More drills and orders are run by hand with ``behave -D seeds=50``.
DEFAULT_SEEDS = 1
MAX_COPY_AGE_MS = 400
MAX_OUTAGE_MS = 300
CONCURRENT_ORDERS = 8
MAX_COPY_DELAY_MS = 500


def run_drills(context: Any, rng: random.Random, stop: threading.Event) -> None:
    """Copy the store and have it come back, after short and long outages."""
    while not stop.is_set():
        copy_kv(context)
        time.sleep(seconds(rng.randrange(MAX_COPY_AGE_MS)))
        restore_kv_copy(context, rng.choice((0, rng.randrange(MAX_OUTAGE_MS))))
        time.sleep(seconds(rng.randrange(MAX_COPY_AGE_MS)))


def describe_answer(answer: Answer) -> str:
    """Return an answer's status, with verdict and reason if it is a refusal."""
    return f"{answer.status} {answer.verdict} {answer.reason}".strip()


def send_copies(context: Any, name: str, copies: int, rng: random.Random) -> None:
    """Send copies of an order through random daemons, at random times."""
    for _ in range(copies):
        daemon = rng.choice(sorted(context.fleet.daemons))
        answer = post_order(context, name, daemon)
        context.drill_results[describe_answer(answer)] += 1
        time.sleep(seconds(rng.randrange(MAX_COPY_DELAY_MS)))


@when(
    "{count:d} orders are sent in {copies:d} copies each during drills, seed {seed:d}"
)
def send_orders_during_drills(context: Any, count: int, copies: int, seed: int) -> None:
    seed_count = int(context.config.userdata.get("seeds", DEFAULT_SEEDS))
    context.drill_orders = []
    context.drill_results = collections.Counter()
    for number in range(seed, seed + seed_count):
        stop = threading.Event()
        rng = random.Random(number)
        drills = threading.Thread(target=run_drills, args=(context, rng, stop))
        drills.start()
        names = [f"drill {number}.{index}" for index in range(count)]
        for start in range(0, count, CONCURRENT_ORDERS):
            batch = names[start : start + CONCURRENT_ORDERS]
            jobs = [
                threading.Thread(
                    target=send_copies,
                    args=(context, name, copies, random.Random(f"{number}/{name}")),
                )
                for name in batch
            ]
            for name, job in zip(batch, jobs, strict=True):
                idempotency_key_of(context, name)
                job.start()
            for job in jobs:
                job.join()
        stop.set()
        drills.join()
        context.drill_orders += names
    restore_kv(context)


def runs_by_order(context: Any) -> dict[str, int]:
    keys = [run["key"] for d in ORDER_DESKS for run in context.fleet.fetch_runs(d)]
    return {
        name: keys.count(idempotency_key_of(context, name))
        for name in context.drill_orders
    }


@then("each of these orders ran at most once")
def check_at_most_once(context: Any) -> None:
    repeated = {n: runs for n, runs in runs_by_order(context).items() if runs > 1}
    assert not repeated, repeated


@then("orders ran during the drills")
def check_some_ran(context: Any) -> None:
    assert any(runs_by_order(context).values()), context.drill_results
