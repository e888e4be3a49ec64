"""Measure the latency that a daemon adds, and the throughput of one on one core."""

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
from ..scenario import POOLS, STAGES, settings_document, start
from . import process
from .report import Report

CALL_COUNT = 400
WARM_UP_CALLS = 50
TARGET_ADDED_MS = 3.0
# One daemon's share of the load that the fleet must serve.
TARGET_REQUESTS_PER_S = 135
TARGET_TOKENS_PER_S = 30_000
LOAD_DURATION_S = 8.0


def _upstream_specs(token_ms: float) -> list[UpstreamSpec]:
    """Return three upstreams per pool that add no latency, apart from generation.

    :param token_ms: time that an engine takes for each token
    """
    options = ("--work-ms", "0", "--token-ms", str(token_ms), "--slots", "2000")
    return [
        UpstreamSpec(
            f"{pool}-{number}", str(cfg["kind"]), pool, "sk-central-1", options
        )
        for pool, cfg in POOLS.items()
        for number in range(1, 4)
    ]


def _unthrottled_settings(fleet: Fleet, max_tokens: int) -> dict[str, Any]:
    """Return settings whose limits don't throttle the load."""
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
    """Compare a one-stage call through a daemon with a direct call of the upstream."""
    with Fleet() as fleet:
        start(fleet, 1, _upstream_specs(0), _unthrottled_settings(fleet, 32))
        daemon = fleet.daemons["entry-1"]
        daemon_url = f"{daemon.url}/v1/pipelines/encode-only"
        direct_url = f"{fleet.processes['encoders-1'].url}/v1/run"
        token = fleet.token("technicians")
        headers = {"authorization": f"Bearer {token}"}
        samples: dict[str, list[float]] = {"straight": [], "through": []}
        with httpx.Client() as http:
            for _ in range(CALL_COUNT):
                body = {"stage": "encode", "input": "text"}
                samples["straight"].append(
                    _post_duration_ms(http, direct_url, body, {})
                )
                samples["through"].append(
                    _post_duration_ms(http, daemon_url, {"input": "text"}, headers)
                )
        memory_mb = process.resident_mb(daemon.popen.pid)
    measured = {name: values[WARM_UP_CALLS:] for name, values in samples.items()}
    median_ms = {name: statistics.median(values) for name, values in measured.items()}
    added_ms = median_ms["through"] - median_ms["straight"]
    rows = [
        (name, f"{median_ms[name]:.2f}", f"{percentile(measured[name], 0.95):.2f}")
        for name in measured
    ]
    ratio = median_ms["through"] / median_ms["straight"]
    rows.append(("added", f"{added_ms:.2f}", f"ratio {ratio:.2f}"))
    return Report(
        "overhead",
        "Overhead of a daemon for a one-stage call",
        ("call", "median ms", "p95 ms"),
        tuple(rows),
        f"under {TARGET_ADDED_MS} ms added at the median",
        added_ms < TARGET_ADDED_MS,
        f"{CALL_COUNT - WARM_UP_CALLS} calls each, taken in turn.  The daemon holds "
        f"{memory_mb:.0f} MB resident after them.",
    )


def _post_duration_ms(
    http: httpx.Client, url: str, body: Any, headers: dict[str, str]
) -> float:
    started = time.perf_counter()
    http.post(url, json=body, headers=headers).raise_for_status()
    return (time.perf_counter() - started) * process.MS_PER_SECOND


def _run_caller_process(
    url: str, token: str, pipeline: str, concurrency: int, results: Any
) -> None:
    """Keep ``concurrency`` requests in flight until the load ends, in a child process.

    :param results: queue that receives the list of answers
    """
    anyio.run(_send_until_end, url, token, pipeline, concurrency, results)


async def _send_until_end(
    url: str, token: str, pipeline: str, concurrency: int, results: Any
) -> None:
    clock = Clock()
    end_ms = clock.now_ms() + int(LOAD_DURATION_S * process.MS_PER_SECOND)
    answers: list[tuple[int, int, int]] = []
    headers = {"authorization": f"Bearer {token}", "accept": "application/x-ndjson"}
    async with new_http() as http, anyio.create_task_group() as group:

        async def send_requests() -> None:
            pipeline_url = f"{url}/v1/pipelines/{pipeline}"
            while clock.now_ms() < end_ms:
                started_ms = clock.now_ms()
                async with http.stream(
                    "POST", pipeline_url, json={"input": "x"}, headers=headers
                ) as resp:
                    content = await resp.aread()
                last_event = json.loads(content.splitlines()[-1])
                if last_event.get("end"):
                    latency_ms = clock.now_ms() - started_ms
                    answers.append(
                        (latency_ms, int(last_event["tokens"]), len(content))
                    )

        for _ in range(concurrency):
            group.start_soon(send_requests)
    results.put(answers)


def run_callers(
    fleet: Fleet, pipeline: str, process_count: int, concurrency: int
) -> tuple[list[tuple[int, int, int]], float]:
    """Load one daemon from several processes.

    :param concurrency: requests in flight in each process
    :returns: latency in ms, tokens and bytes of each complete answer, and the CPU time
        of the daemon in ms
    """
    daemon = fleet.daemons["entry-1"]
    context = multiprocessing.get_context("spawn")
    results = context.Queue()
    token = fleet.token("technicians")
    workers = [
        context.Process(
            target=_run_caller_process,
            args=(daemon.url, token, pipeline, concurrency, results),
        )
        for _ in range(process_count)
    ]
    cpu_before_ms = process.cpu_ms(daemon.popen.pid)
    for worker in workers:
        worker.start()
    answers = [answer for _ in workers for answer in results.get()]
    for worker in workers:
        worker.join()
    return answers, process.cpu_ms(daemon.popen.pid) - cpu_before_ms


def measure_throughput() -> Report:
    """Measure the highest request and token rates of one daemon on one core."""
    rows: list[tuple[str, ...]] = []
    best_rates: dict[str, float] = {}
    cases = (("diagnosis", 32, 0.0), ("generate-only", 400, 1.0))
    for pipeline, tokens, token_ms in cases:
        with Fleet() as fleet:
            start(
                fleet,
                1,
                _upstream_specs(token_ms),
                _unthrottled_settings(fleet, tokens),
            )
            for concurrency in (4, 16, 40):
                answers, cpu_ms = run_callers(fleet, pipeline, 3, concurrency)
                requests_per_s = len(answers) / LOAD_DURATION_S
                tokens_per_s = requests_per_s * tokens
                best_rates[pipeline] = max(
                    best_rates.get(pipeline, 0.0), requests_per_s
                )
                if pipeline == "generate-only":
                    best_rates["tokens"] = max(
                        best_rates.get("tokens", 0.0), tokens_per_s
                    )
                latencies = [answer[0] for answer in answers]
                rows.append(
                    (
                        pipeline,
                        str(3 * concurrency),
                        f"{requests_per_s:.0f}",
                        f"{tokens_per_s:.0f}",
                        f"{cpu_ms / max(1, len(answers)):.2f}",
                        f"{cpu_ms / LOAD_DURATION_S / 10:.0f}%",
                        f"{percentile(latencies, 0.5):.0f}",
                        f"{percentile(latencies, 0.95):.0f}",
                    )
                )
    is_target_met = (
        best_rates["diagnosis"] >= TARGET_REQUESTS_PER_S
        and best_rates["tokens"] >= TARGET_TOKENS_PER_S
    )
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
        f"its share of the fleet: {TARGET_REQUESTS_PER_S} four-stage requests/s and "
        f"{TARGET_TOKENS_PER_S} tokens/s",
        is_target_met,
        "Three upstreams in each pool, which take no time for a stage and 1 ms for a "
        "token of `generate-only`; three processes of callers.  Four tokens in a line "
        "from the engine.  `diagnosis` is four stages and 32 tokens; `generate-only` "
        "is one stage and 400 tokens.",
    )
