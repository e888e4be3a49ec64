"""What one daemon adds to a call, and how much one core carries."""

import json
import multiprocessing
import statistics
import time
from typing import Any

import anyio
import httpx

from cowsliphitch.core.clock import Clock

from ..fleet import Fleet
from ..load import new_http, percentile
from ..processes import UpstreamSpec
from ..scenario import POOLS, STAGES, settings_document, start_deployment
from . import process
from .report import Report

CALLS = 400
WARM_UP = 50
TARGET_ADDED_MS = 3.0
SHARE_REQUESTS = 135
SHARE_TOKENS = 30_000
LOAD_SECONDS = 8.0


def _upstreams(token_ms: float) -> list[UpstreamSpec]:
    """Return upstreams that take no time, several of each pool."""
    options = ("--work-ms", "0", "--token-ms", str(token_ms), "--slots", "2000")
    return [
        UpstreamSpec(f"{pool}-{n}", str(cfg["kind"]), pool, "sk-central-1", options)
        for pool, cfg in POOLS.items()
        for n in range(1, 4)
    ]


def _document(fleet: Fleet, max_tokens: int) -> dict[str, Any]:
    document = settings_document(fleet)
    document["fleet"] = {
        "pools": {name: {**pool, "slots": 2_000} for name, pool in POOLS.items()},
        "limits": {"max_queue": 100_000},
        "policy": {"forecast": False},
    }
    stages = [*STAGES[:3], {**STAGES[3], "max_tokens": max_tokens}]
    document["pipelines"]["diagnosis"]["stages"] = stages
    document["pipelines"]["generate-only"] = {"stages": stages[3:]}
    return document


def measure_overhead() -> Report:
    """Compare a one-stage call with the same call straight to the stand-in."""
    with Fleet() as fleet:
        start_deployment(fleet, 1, _upstreams(0), _document(fleet, 32))
        daemon = fleet.daemons["entry-1"]
        through = f"{daemon.url}/v1/pipelines/encode-only"
        straight = f"{fleet.processes['encoders-1'].url}/v1/run"
        token = fleet.team_token("technicians")
        headers = {"authorization": f"Bearer {token}"}
        samples: dict[str, list[float]] = {"straight": [], "through": []}
        with httpx.Client() as http:
            for _ in range(CALLS):
                body = {"stage": "encode", "input": "text"}
                samples["straight"].append(_timed(http, straight, body, {}))
                samples["through"].append(
                    _timed(http, through, {"input": "text"}, headers)
                )
        memory = process.resident_mb(daemon.popen.pid)
    kept = {name: values[WARM_UP:] for name, values in samples.items()}
    median = {name: statistics.median(values) for name, values in kept.items()}
    added = median["through"] - median["straight"]
    rows = [
        (name, f"{median[name]:.2f}", f"{percentile(kept[name], 0.95):.2f}")
        for name in kept
    ]
    ratio = median["through"] / median["straight"]
    rows.append(("added", f"{added:.2f}", f"ratio {ratio:.2f}"))
    return Report(
        "overhead",
        "Overhead of a daemon for a one-stage call",
        ("call", "median ms", "p95 ms"),
        tuple(rows),
        f"under {TARGET_ADDED_MS} ms added at the median",
        added < TARGET_ADDED_MS,
        f"{CALLS - WARM_UP} calls each, taken in turn.  The daemon holds "
        f"{memory:.0f} MB resident after them.",
    )


def _timed(http: httpx.Client, url: str, body: Any, headers: dict[str, str]) -> float:
    started = time.perf_counter()
    http.post(url, json=body, headers=headers).raise_for_status()
    return (time.perf_counter() - started) * process.MS_PER_SECOND


def _callers(url: str, token: str, pipeline: str, count: int, results: Any) -> None:
    """Keep ``count`` requests under way for a while, in a process of its own."""
    anyio.run(_keep_busy, url, token, pipeline, count, results)


async def _keep_busy(
    url: str, token: str, pipeline: str, count: int, results: Any
) -> None:
    clock = Clock()
    end_ms = clock.now_ms() + int(LOAD_SECONDS * process.MS_PER_SECOND)
    done: list[tuple[int, int, int]] = []
    headers = {"authorization": f"Bearer {token}", "accept": "application/x-ndjson"}
    async with new_http() as http, anyio.create_task_group() as group:

        async def caller() -> None:
            target = f"{url}/v1/pipelines/{pipeline}"
            while clock.now_ms() < end_ms:
                started_ms = clock.now_ms()
                async with http.stream(
                    "POST", target, json={"input": "x"}, headers=headers
                ) as resp:
                    content = await resp.aread()
                last = json.loads(content.splitlines()[-1])
                if last.get("end"):
                    ms = clock.now_ms() - started_ms
                    done.append((ms, int(last["tokens"]), len(content)))

        for _ in range(count):
            group.start_soon(caller)
    results.put(done)


def run_callers(
    fleet: Fleet, pipeline: str, processes: int, count: int
) -> tuple[list[tuple[int, int, int]], float]:
    """Load one daemon from several processes.

    :returns: latency, tokens and bytes of each answer, and the daemon's processor ms
    """
    daemon = fleet.daemons["entry-1"]
    context = multiprocessing.get_context("spawn")
    results = context.Queue()
    token = fleet.team_token("technicians")
    jobs = [
        context.Process(
            target=_callers, args=(daemon.url, token, pipeline, count, results)
        )
        for _ in range(processes)
    ]
    before = process.cpu_ms(daemon.popen.pid)
    for job in jobs:
        job.start()
    done = [answer for _ in jobs for answer in results.get()]
    for job in jobs:
        job.join()
    return done, process.cpu_ms(daemon.popen.pid) - before


def measure_throughput() -> Report:
    """Find what one daemon on one core carries."""
    rows: list[tuple[str, ...]] = []
    best: dict[str, float] = {}
    cases = (("diagnosis", 32, 0.0), ("generate-only", 400, 1.0))
    for pipeline, tokens, token_ms in cases:
        with Fleet() as fleet:
            start_deployment(fleet, 1, _upstreams(token_ms), _document(fleet, tokens))
            for count in (4, 16, 40):
                done, cpu = run_callers(fleet, pipeline, 3, count)
                rate = len(done) / LOAD_SECONDS
                token_rate = rate * tokens
                best[pipeline] = max(best.get(pipeline, 0.0), rate)
                if pipeline == "generate-only":
                    best["tokens"] = max(best.get("tokens", 0.0), token_rate)
                latencies = [answer[0] for answer in done]
                rows.append(
                    (
                        pipeline,
                        str(3 * count),
                        f"{rate:.0f}",
                        f"{token_rate:.0f}",
                        f"{cpu / max(1, len(done)):.2f}",
                        f"{cpu / LOAD_SECONDS / 10:.0f}%",
                        f"{percentile(latencies, 0.5):.0f}",
                        f"{percentile(latencies, 0.95):.0f}",
                    )
                )
    met = best["diagnosis"] >= SHARE_REQUESTS and best["tokens"] >= SHARE_TOKENS
    return Report(
        "throughput",
        "What one daemon on one core carries",
        (
            "pipeline",
            "callers",
            "requests/s",
            "tokens/s",
            "daemon CPU ms/request",
            "daemon core",
            "p50 ms",
            "p95 ms",
        ),
        tuple(rows),
        f"its share of the fleet: {SHARE_REQUESTS} four-stage requests/s and "
        f"{SHARE_TOKENS} tokens/s",
        met,
        "Three upstreams in each pool, which take no time for a stage and 1 ms for a "
        "token of `generate-only`; three processes of callers.  Four tokens in a line "
        "from the engine.  `diagnosis` is four stages and 32 tokens; `generate-only` "
        "is one stage and 400 tokens.",
    )
