"""Measure the control traffic of daemons, configuration changes and order logs.

Covers the load of idle daemons on each other and on the platform, the time until a
stored configuration is in force, and the calls of the key-value service per order.
"""

import itertools
import json
import statistics
import time
from typing import Any

import anyio
import httpx

from cowsliphitch.core import ids
from cowsliphitch.core.clock import Clock, seconds

from ..fleet import Fleet
from ..load import Caller, Outcome, attainment, new_http, percentile
from ..scenario import settings_document, start
from . import process
from .report import Report

SETTLING_MS = 8_000
WINDOW_MS = 15_000
MEMBER_COUNTS = (3, 9, 27)
TARGET_BYTES_PER_S = 3_000
TARGET_CPU_CORES = 0.014
TARGET_MEMORY_MB = 64
CHANGE_COUNT = 8
TARGET_PROPAGATION_MS = 6_000
POLL_INTERVAL_MS = 10
ORDER_DURATION_S = 6
ORDER_LOG_COUNT = 4
CALLERS_PER_CLIENT = 8
CLAIM_INTERVAL_MS = 100


def measure_membership() -> Report:
    """Measure traffic, CPU time and memory of idle daemons by the number of members."""
    rows: list[tuple[str, ...]] = []
    is_target_met = True
    for member_count in MEMBER_COUNTS:
        with Fleet() as fleet:
            start(fleet, member_count)
            time.sleep(seconds(SETTLING_MS))
            before = _read_totals(fleet)
            time.sleep(seconds(WINDOW_MS))
            after = _read_totals(fleet)
            pids = [daemon.popen.pid for daemon in fleet.daemons.values()]
            max_memory_mb = max(process.resident_mb(pid) for pid in pids)
        rates_per_ms = [(b - a) / WINDOW_MS for a, b in zip(before, after, strict=True)]
        bytes_per_s, cpu_ms_per_s, exchanges_per_s, reads_per_s = (
            rate_per_ms * process.MS_PER_SECOND / member_count
            for rate_per_ms in rates_per_ms
        )
        cpu_cores = cpu_ms_per_s / process.MS_PER_SECOND
        is_target_met = (
            is_target_met
            and bytes_per_s <= TARGET_BYTES_PER_S
            and cpu_cores <= TARGET_CPU_CORES
        )
        is_target_met = is_target_met and max_memory_mb <= TARGET_MEMORY_MB
        rows.append(
            (
                str(member_count),
                f"{bytes_per_s:.0f}",
                f"{exchanges_per_s:.2f}",
                f"{cpu_cores:.2%}",
                f"{max_memory_mb:.0f}",
                f"{reads_per_s:.2f}",
            )
        )
    return Report(
        "membership",
        "Control between idle daemons",
        (
            "daemons",
            "bytes/s",
            "exchanges/s",
            "core",
            "memory MB",
            "platform reads/s",
        ),
        tuple(rows),
        f"{TARGET_BYTES_PER_S} bytes/s, {TARGET_CPU_CORES:.1%} of a core and "
        f"{TARGET_MEMORY_MB} MB for control in a daemon",
        is_target_met,
        "Means over the daemons, each with mutual TLS, 12 upstreams and no requests, "
        f"over {WINDOW_MS // 1_000} s; the processor time includes polling the "
        "engines' load.  Bytes are serialized messages sent and received, without the "
        "framing of HTTP/2 and TLS.  Memory is the largest of the daemons.",
    )


def _read_totals(fleet: Fleet) -> list[float]:
    """Return the sums over all daemons of the counters since their start.

    :returns: bytes exchanged with peers, CPU ms, exchanges with peers, and reads of the
        key-value service
    """
    daemon_diagnostics = [fleet.ask(name, "/v1/diagnostics") for name in fleet.daemons]
    peers = [diagnostics["peers"] for diagnostics in daemon_diagnostics]
    return [
        float(sum(peer["bytes_sent"] + peer["bytes_received"] for peer in peers)),
        sum(process.cpu_ms(daemon.popen.pid) for daemon in fleet.daemons.values()),
        float(sum(peer["exchanges"] for peer in peers)),
        float(sum(d["key_value_service"]["reads"] for d in daemon_diagnostics)),
    ]


def measure_propagation() -> Report:
    """Measure the time until a stored change is in force in all daemons."""
    rows = []
    max_ms = 0.0
    for member_count in (3, 9):
        with Fleet() as fleet:
            start(fleet, member_count)
            durations_ms = [
                _measure_propagation_ms(fleet, number) for number in range(CHANGE_COUNT)
            ]
        max_ms = max(max_ms, *durations_ms)
        statistics_ms = (
            min(durations_ms),
            statistics.median(durations_ms),
            max(durations_ms),
        )
        rows.append((str(member_count), *(f"{ms:.0f}" for ms in statistics_ms)))
    return Report(
        "propagation",
        "From a stored change to in force in all daemons",
        ("daemons", "least ms", "median ms", "most ms"),
        tuple(rows),
        f"{TARGET_PROPAGATION_MS} ms",
        max_ms <= TARGET_PROPAGATION_MS,
        f"{CHANGE_COUNT} changes, from the operator's answer until the last daemon "
        f"shows the revision, asked every {POLL_INTERVAL_MS} ms.  Two daemons of each "
        "failure domain watch the platform, the others learn from them.",
    )


def _measure_propagation_ms(fleet: Fleet, change_number: int) -> float:
    """Store one change and return the time until it is in force in all daemons."""
    document = settings_document(fleet)
    document["teams"]["technicians"]["share"] = 10 + change_number
    headers = {"authorization": f"Bearer {fleet.operator_token}"}
    with httpx.Client(headers=headers) as http:
        urls = [daemon.operators for daemon in fleet.daemons.values()]
        base_revision = _read_revision(http, urls[0])
        body: dict[str, Any] = {
            "base_revision": base_revision,
            "document": json.dumps(document),
        }
        http.post(f"{urls[0]}/v1/config", json=body).raise_for_status()
        started = time.perf_counter()
        while any(_read_revision(http, url) <= base_revision for url in urls):
            time.sleep(seconds(POLL_INTERVAL_MS))
        return (time.perf_counter() - started) * process.MS_PER_SECOND


def _read_revision(http: httpx.Client, url: str) -> int:
    revision: int = http.get(f"{url}/v1/config").json()["manifest"]["revision"]
    return revision


def measure_orders() -> Report:
    """Measure calls of the key-value service per order, by the number of callers."""
    rows = []
    min_writes_per_order = 1.0
    for caller_count in (2, 16, 64):
        with Fleet() as fleet:
            orders = {
                "shards": ORDER_LOG_COUNT,
                "claim_interval": f"{CLAIM_INTERVAL_MS}ms",
            }
            start(fleet, 3, document=settings_document(fleet, orders=orders))
            stats_url = f"{fleet.processes['kv'].url}/stats"
            before = httpx.get(stats_url).json()
            outcomes = anyio.run(_send_orders, fleet, caller_count)
            time.sleep(seconds(500))
            after = httpx.get(stats_url).json()
        writes = after["writes"] - before["writes"]
        reads = after["reads"] - before["reads"]
        completed_count = sum(outcome.whole for outcome in outcomes)
        min_writes_per_order = min(min_writes_per_order, writes / completed_count)
        latencies = [outcome.latency_ms for outcome in outcomes]
        rows.append(
            (
                str(caller_count),
                f"{completed_count / ORDER_DURATION_S:.0f}",
                f"{attainment(outcomes):.3f}",
                f"{writes / completed_count:.2f}",
                f"{reads / completed_count:.2f}",
                f"{after['conflicts'] - before['conflicts']}",
                f"{percentile(latencies, 0.5):.0f}",
                f"{percentile(latencies, 0.95):.0f}",
            )
        )
    return Report(
        "orders",
        "Calls of the key-value service for each order",
        (
            "callers",
            "orders/s",
            "attainment",
            "writes/order",
            "reads/order",
            "conflicts",
            "p50 ms",
            "p95 ms",
        ),
        tuple(rows),
        "far below one write for each order under load",
        min_writes_per_order < 0.5,
        f"Three daemons, {ORDER_LOG_COUNT} order logs, at least {CLAIM_INTERVAL_MS} ms "
        "between the writes of one log.  A claim and an outcome are two records of "
        "each order.  One process of callers.",
    )


async def _send_orders(fleet: Fleet, caller_count: int) -> list[Outcome]:
    """Send orders in a closed loop, spread over all daemons in turn.

    :param caller_count: orders in flight at a time
    :returns: the outcome of each order
    """
    clock = Clock()
    end_ms = clock.now_ms() + ORDER_DURATION_S * process.MS_PER_SECOND
    urls = itertools.cycle([daemon.url for daemon in fleet.daemons.values()])
    outcomes: list[Outcome] = []
    clients = [new_http() for _ in range(-(-caller_count // CALLERS_PER_CLIENT))]
    async with anyio.create_task_group() as group:

        async def send_until_end(caller_index: int) -> None:
            http = clients[caller_index // CALLERS_PER_CLIENT]
            caller = Caller(http, fleet.token("warehouse"))
            for order_number in itertools.count():
                if clock.now_ms() >= end_ms:
                    return
                key = ids.new_id(clock.wall_ms())
                body = f"order {caller_index}.{order_number}"
                outcomes.append(await caller.call(next(urls), "part-order", body, key))

        for caller_index in range(caller_count):
            group.start_soon(send_until_end, caller_index)
    for http in clients:
        await http.aclose()
    return outcomes
