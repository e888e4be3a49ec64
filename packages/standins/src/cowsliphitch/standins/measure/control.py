"""What daemons cost each other and the platform: control, configuration, orders."""

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
from ..scenario import settings_document, start_deployment
from . import process
from .report import Report

SETTLE_MS = 8_000
WINDOW_MS = 15_000
SIZES = (3, 9, 27)
BYTES_TARGET = 3_000
CORE_TARGET = 0.014
MEMORY_TARGET_MB = 64
CHANGES = 8
IN_FORCE_TARGET_MS = 6_000
POLL_MS = 10
ORDER_SECONDS = 6
ORDER_LOGS = 4
CALLERS_PER_CLIENT = 8
CLAIM_INTERVAL_MS = 100


def measure_membership() -> Report:
    """Bytes, processor time and memory of idle daemons, by the number of members."""
    rows: list[tuple[str, ...]] = []
    met = True
    for size in SIZES:
        with Fleet() as fleet:
            start_deployment(fleet, size)
            time.sleep(seconds(SETTLE_MS))
            before = _totals(fleet)
            time.sleep(seconds(WINDOW_MS))
            after = _totals(fleet)
            pids = [daemon.popen.pid for daemon in fleet.daemons.values()]
            memory = max(process.resident_mb(pid) for pid in pids)
        spent = [(b - a) / WINDOW_MS for a, b in zip(before, after, strict=True)]
        byte_rate, cpu, calls, reads = (s * process.MS_PER_SECOND / size for s in spent)
        core = cpu / process.MS_PER_SECOND
        met = met and byte_rate <= BYTES_TARGET and core <= CORE_TARGET
        met = met and memory <= MEMORY_TARGET_MB
        rows.append(
            (
                str(size),
                f"{byte_rate:.0f}",
                f"{calls:.2f}",
                f"{core:.2%}",
                f"{memory:.0f}",
                f"{reads:.2f}",
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
        f"{BYTES_TARGET} bytes/s, {CORE_TARGET:.1%} of a core and "
        f"{MEMORY_TARGET_MB} MB for control in a daemon",
        met,
        "Means over the daemons, each with mutual TLS, 12 upstreams and no requests, "
        f"over {WINDOW_MS // 1_000} s; the processor time includes polling the "
        "engines' load.  Bytes are serialized messages sent and received, without the "
        "framing of HTTP/2 and TLS.  Memory is the largest of the daemons.",
    )


def _totals(fleet: Fleet) -> list[float]:
    """Return bytes, processor ms, exchanges and platform reads of all daemons."""
    found = [fleet.query_daemon(name, "/v1/diagnostics") for name in fleet.daemons]
    peers = [diagnostics["peers"] for diagnostics in found]
    return [
        float(sum(peer["bytes_sent"] + peer["bytes_received"] for peer in peers)),
        sum(process.cpu_ms(daemon.popen.pid) for daemon in fleet.daemons.values()),
        float(sum(peer["exchanges"] for peer in peers)),
        float(sum(d["key_value_service"]["reads"] for d in found)),
    ]


def measure_propagation() -> Report:
    """The time from a stored change to in force in all daemons."""
    rows = []
    worst_ms = 0.0
    for size in (3, 9):
        with Fleet() as fleet:
            start_deployment(fleet, size)
            times = [_change(fleet, number) for number in range(CHANGES)]
        worst_ms = max(worst_ms, *times)
        cells = (min(times), statistics.median(times), max(times))
        rows.append((str(size), *(f"{ms:.0f}" for ms in cells)))
    return Report(
        "propagation",
        "From a stored change to in force in all daemons",
        ("daemons", "least ms", "median ms", "most ms"),
        tuple(rows),
        f"{IN_FORCE_TARGET_MS} ms",
        worst_ms <= IN_FORCE_TARGET_MS,
        f"{CHANGES} changes, from the operator's answer until the last daemon shows "
        f"the revision, asked every {POLL_MS} ms.  Two daemons of each failure domain "
        "watch the platform, the others learn from them.",
    )


def _change(fleet: Fleet, number: int) -> float:
    """Store one change and return how long it took to be in force everywhere."""
    document = settings_document(fleet)
    document["teams"]["technicians"]["share"] = 10 + number
    headers = {"authorization": f"Bearer {fleet.operator_token}"}
    with httpx.Client(headers=headers) as http:
        urls = [daemon.operators_url for daemon in fleet.daemons.values()]
        base = _revision(http, urls[0])
        body: dict[str, Any] = {
            "base_revision": base,
            "document": json.dumps(document),
        }
        http.post(f"{urls[0]}/v1/config", json=body).raise_for_status()
        started = time.perf_counter()
        while any(_revision(http, url) <= base for url in urls):
            time.sleep(seconds(POLL_MS))
        return (time.perf_counter() - started) * process.MS_PER_SECOND


def _revision(http: httpx.Client, url: str) -> int:
    revision: int = http.get(f"{url}/v1/config").json()["manifest"]["revision"]
    return revision


def measure_orders() -> Report:
    """Writes to the key-value service for each order, by the number of callers."""
    rows = []
    least = 1.0
    for callers in (2, 16, 64):
        with Fleet() as fleet:
            orders = {"shards": ORDER_LOGS, "claim_interval": f"{CLAIM_INTERVAL_MS}ms"}
            start_deployment(fleet, 3, document=settings_document(fleet, orders=orders))
            stats = f"{fleet.processes['kv'].url}/stats"
            before = httpx.get(stats).json()
            outcomes = anyio.run(_send_orders, fleet, callers)
            time.sleep(seconds(500))
            after = httpx.get(stats).json()
        writes = after["writes"] - before["writes"]
        reads = after["reads"] - before["reads"]
        whole = sum(outcome.whole for outcome in outcomes)
        least = min(least, writes / whole)
        latencies = [outcome.latency_ms for outcome in outcomes]
        rows.append(
            (
                str(callers),
                f"{whole / ORDER_SECONDS:.0f}",
                f"{attainment(outcomes):.3f}",
                f"{writes / whole:.2f}",
                f"{reads / whole:.2f}",
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
        least < 0.5,
        f"Three daemons, {ORDER_LOGS} order logs, at least {CLAIM_INTERVAL_MS} ms "
        "between the writes of one log.  A claim and an outcome are two records of "
        "each order.  One process of callers.",
    )


async def _send_orders(fleet: Fleet, callers: int) -> list[Outcome]:
    """Keep some callers busy with orders through all daemons."""
    clock = Clock()
    end_ms = clock.now_ms() + ORDER_SECONDS * process.MS_PER_SECOND
    urls = itertools.cycle([daemon.url for daemon in fleet.daemons.values()])
    outcomes: list[Outcome] = []
    https = [new_http() for _ in range(-(-callers // CALLERS_PER_CLIENT))]
    async with anyio.create_task_group() as group:

        async def order(index: int) -> None:
            http = https[index // CALLERS_PER_CLIENT]
            caller = Caller(http, fleet.team_token("warehouse"))
            for number in itertools.count():
                if clock.now_ms() >= end_ms:
                    return
                key = ids.new_id(clock.wall_ms())
                body = f"order {index}.{number}"
                outcomes.append(await caller.call(next(urls), "part-order", body, key))

        for index in range(callers):
            group.start_soon(order, index)
    for http in https:
        await http.aclose()
    return outcomes
