"""Measure fairness, deadlines and routing under load, against baseline policies."""

from collections.abc import Callable
from typing import Any

from cowsliphitch.core import tokens

from ..fleet import Fleet
from ..load import attainment, percentile, reasons
from ..processes import UpstreamSpec
from ..scenario import DOMAINS, POOLS, STAGES, settings_document, start
from .openloop import CompletedCall, RequestSpec, TeamLoad, run_load
from .report import Report

SEED = 7
DAEMON_COUNT = 5
ENGINE_COUNT = 4
ENGINE_SLOTS = 4
PREFILL_MS = 60
TOKEN_MS = 8
ANSWER_TOKENS = 32
CAPACITY_PER_S = (
    ENGINE_COUNT * ENGINE_SLOTS * 1_000 / (PREFILL_MS + ANSWER_TOKENS * TOKEN_MS)
)
TIMEOUT_MS = 3_000
WARM_UP_MS = 6_000
DURATION_MS = 15_000
STAGE_NAMES = ["encode", "retrieve", "rerank"]
ENTRY_DAEMONS = tuple(f"entry-{n}" for n in range(1, DAEMON_COUNT + 1))
TEAM_SHARES = {"large-1": 4, "large-2": 4, "small-1": 1, "small-2": 1, "small-3": 1}
BURST_TEAM = "small-1"
BURST_FACTOR = 10
BASE_LOAD_FACTOR = 0.8
FULL_REQUEST = RequestSpec("diagnosis", STAGE_NAMES, ANSWER_TOKENS, TIMEOUT_MS)

# Attainment of a team within its share, relative to its attainment without the burst.
TARGET_ATTAINMENT_RATIO = 0.95
# Complete answers relative to first-come-first-served.
TARGET_THROUGHPUT_RATIO = 0.95
# Answers at twice the capacity relative to answers at the capacity.
TARGET_OVERLOAD_RATIO = 0.9
TARGET_WASTED_SHARE = 0.05


def upstream_specs(engine_count: int = ENGINE_COUNT) -> list[UpstreamSpec]:
    """Return stage servers with spare capacity, and engines that are the bottleneck."""
    options = ("--work-ms", "5", "--slots", "64")
    stages = [
        UpstreamSpec(
            f"{pool}-{index}", str(cfg["kind"]), pool, DOMAINS[index % 2], options
        )
        for pool, cfg in POOLS.items()
        if pool != "engines"
        for index in range(2)
    ]
    engine_timing = ("--work-ms", str(PREFILL_MS), "--token-ms", str(TOKEN_MS))
    engine_slots = ("--slots", str(ENGINE_SLOTS))
    return stages + [
        UpstreamSpec(
            f"engines-{index}",
            "engine",
            "engines",
            DOMAINS[index % 2],
            engine_timing + engine_slots,
        )
        for index in range(engine_count)
    ]


def policy_settings_document(fleet: Fleet, policy: dict[str, Any]) -> dict[str, Any]:
    """Return the settings of the measured fleet with the given policy."""
    document = settings_document(fleet)
    pools = {name: {**pool, "slots": 64} for name, pool in POOLS.items()}
    pools["engines"]["slots"] = ENGINE_SLOTS
    document["fleet"] = {"pools": pools, "policy": policy}
    document["pipelines"]["generate-only"] = {"stages": STAGES[3:]}
    document["teams"] = {
        name: {"share": share, "tokens": [tokens.digest(fleet.token(name))]}
        for name, share in TEAM_SHARES.items()
    }
    return document


def measure_load(
    policy: dict[str, Any],
    loads: list[TeamLoad],
    request: RequestSpec,
    prepare: Callable[[Fleet], None] = lambda _: None,
) -> tuple[list[CompletedCall], dict[str, dict[str, int]]]:
    """Run a load on a newly started fleet.

    :param prepare: called with the fleet before the load starts, to inject faults
    :returns: the calls after the warm-up, and the counters of each pool, summed over
        all daemons
    """
    with Fleet() as fleet:
        start(
            fleet,
            DAEMON_COUNT,
            upstream_specs(),
            policy_settings_document(fleet, policy),
        )
        prepare(fleet)
        calls = run_load(fleet, loads, request, SEED)
        totals: dict[str, dict[str, int]] = {}
        for name in fleet.daemons:
            pools = fleet.ask(name, "/v1/diagnostics")["pools"]
            for pool, counts in pools.items():
                total = totals.setdefault(pool, {})
                for counter, count in counts.items():
                    if counter != "caps":
                        total[counter] = total.get(counter, 0) + count
    return [call for call in calls if call.arrival.at_ms >= WARM_UP_MS], totals


def share_rate_per_s(team: str) -> float:
    """Return the request rate that uses up a team's share of the capacity."""
    return CAPACITY_PER_S * TEAM_SHARES[team] / sum(TEAM_SHARES.values())


def burst_loads(has_burst: bool) -> list[TeamLoad]:
    """Return loads of all teams below their shares.

    :param has_burst: one team also sends ``BURST_FACTOR`` times its share, through two
        daemons only
    """
    end_ms = WARM_UP_MS + DURATION_MS
    loads = [
        TeamLoad(
            team, share_rate_per_s(team) * BASE_LOAD_FACTOR, ENTRY_DAEMONS, 0, end_ms
        )
        for team in TEAM_SHARES
    ]
    if has_burst:
        burst_rate_per_s = share_rate_per_s(BURST_TEAM) * (
            BURST_FACTOR - BASE_LOAD_FACTOR
        )
        loads.append(
            TeamLoad(
                BURST_TEAM, burst_rate_per_s, ENTRY_DAEMONS[:2], WARM_UP_MS, end_ms
            )
        )
    return loads


def attainment_by_team(calls: list[CompletedCall]) -> dict[str, float]:
    """Return the share of complete answers among the requests of each team."""
    return {
        team: attainment(c.outcome for c in calls if c.arrival.team == team)
        for team in TEAM_SHARES
    }


def measure_fairness() -> Report:
    """Measure the other teams' attainment while one bursts to ten times its share."""
    policies: dict[str, dict[str, Any]] = {
        "fair, divided by demand": {},
        "fair in each daemon only": {"division": "local"},
        "first come, first served": {"queueing": "fifo", "division": "local"},
    }
    baseline_calls, _ = measure_load({}, burst_loads(has_burst=False), FULL_REQUEST)
    baseline = attainment_by_team(baseline_calls)
    rows = [
        (
            "no burst",
            "",
            *_attainment_cells(baseline),
            f"{_count_completed(baseline_calls)}",
            "",
        )
    ]
    min_ratios: dict[str, float] = {}
    completed_counts: dict[str, int] = {}
    for name, policy in policies.items():
        calls, _ = measure_load(policy, burst_loads(has_burst=True), FULL_REQUEST)
        attainments = attainment_by_team(calls)
        ratios = [
            attainments[team] / baseline[team]
            for team in TEAM_SHARES
            if team != BURST_TEAM
        ]
        min_ratios[name], completed_counts[name] = min(ratios), _count_completed(calls)
        rows.append(
            (
                name,
                f"{min_ratios[name]:.2f}",
                *_attainment_cells(attainments),
                str(completed_counts[name]),
                _p95_latency(calls),
            )
        )
    default_policy, _, fifo_policy = policies
    throughput_ratio = completed_counts[default_policy] / completed_counts[fifo_policy]
    is_target_met = (
        min_ratios[default_policy] >= TARGET_ATTAINMENT_RATIO
        and throughput_ratio >= TARGET_THROUGHPUT_RATIO
    )
    return Report(
        "fairness",
        "Fair turns while one team bursts to ten times its share",
        ("policy", "worst kept", *TEAM_SHARES, "whole answers", "p95 ms"),
        tuple(rows),
        f"teams within their share keep {TARGET_ATTAINMENT_RATIO} of their "
        f"attainment, and the total is {TARGET_THROUGHPUT_RATIO} of "
        f"first-come-first-served's (here {throughput_ratio:.2f})",
        is_target_met,
        f"{DAEMON_COUNT} daemons, {ENGINE_COUNT} engines of {ENGINE_SLOTS} slots "
        f"({CAPACITY_PER_S:.0f} requests/s), deadline {TIMEOUT_MS} ms, teams at "
        f"{BASE_LOAD_FACTOR} of their share; `{BURST_TEAM}` arrives at two entry VMs.  "
        "The columns of the teams show attainment; `worst kept` is the least part "
        "of the attainment without a burst that a team within its share keeps.",
    )


def _attainment_cells(attainments: dict[str, float]) -> tuple[str, ...]:
    return tuple(f"{attainments[team]:.2f}" for team in TEAM_SHARES)


def _count_completed(calls: list[CompletedCall]) -> int:
    return sum(call.outcome.whole for call in calls)


def _p95_latency(calls: list[CompletedCall]) -> str:
    latencies_ms = [c.outcome.latency_ms for c in calls if c.outcome.whole]
    return f"{percentile(latencies_ms, 0.95):.0f}"


def proportional_loads(factor: float) -> list[TeamLoad]:
    """Return loads of all teams in proportion to their shares.

    :param factor: total load as a multiple of the capacity
    """
    end_ms = WARM_UP_MS + DURATION_MS
    return [
        TeamLoad(team, share_rate_per_s(team) * factor, ENTRY_DAEMONS, 0, end_ms)
        for team in TEAM_SHARES
    ]


def measure_deadlines() -> Report:
    """Measure answers at half to twice the capacity, with and without the forecast."""
    rows: list[tuple[str, ...]] = []
    completed_per_s: dict[tuple[bool, float], float] = {}
    wasted_shares: dict[tuple[bool, float], float] = {}
    for has_forecast, load_factors in (
        (True, (0.5, 1.0, 1.5, 2.0)),
        (False, (1.0, 2.0)),
    ):
        for load_factor in load_factors:
            calls, totals = measure_load(
                {"forecast": has_forecast},
                proportional_loads(load_factor),
                FULL_REQUEST,
            )
            rate_per_s = _count_completed(calls) * 1_000 / DURATION_MS
            engines = totals["engines"]
            total_work = engines["work"] + engines["wasted"]
            case = (has_forecast, load_factor)
            completed_per_s[case], wasted_shares[case] = (
                rate_per_s,
                engines["wasted"] / max(1, total_work),
            )
            frequent_reasons = reasons(c.outcome for c in calls).most_common(3)
            rows.append(
                (
                    "forecast" if has_forecast else "no forecast",
                    f"{load_factor:.1f}",
                    f"{rate_per_s:.1f}",
                    f"{attainment(c.outcome for c in calls):.2f}",
                    f"{wasted_shares[case]:.1%}",
                    _p95_latency(calls),
                    ", ".join(
                        f"{count} {reason}" for reason, count in frequent_reasons
                    ),
                )
            )
    overload_ratio = completed_per_s[True, 2.0] / completed_per_s[True, 1.0]
    is_target_met = (
        overload_ratio >= TARGET_OVERLOAD_RATIO
        and wasted_shares[True, 2.0] < TARGET_WASTED_SHARE
    )
    return Report(
        "deadlines",
        "Answers within the deadline from half to twice the capacity",
        (
            "policy",
            "load",
            "whole answers/s",
            "attainment",
            "wasted work",
            "p95 ms",
            "outcomes",
        ),
        tuple(rows),
        f"at twice the capacity {TARGET_OVERLOAD_RATIO} of the answers at capacity "
        f"(here {overload_ratio:.2f}) and under {TARGET_WASTED_SHARE:.0%} wasted work",
        is_target_met,
        f"Load in parts of the engines' capacity of {CAPACITY_PER_S:.0f} requests/s; "
        "wasted work is what engines did for requests that were not answered whole.",
    )


def measure_routing() -> Report:
    """Compare routing policies while one engine is three times slower."""
    prompt_prefixes = tuple(
        f"{n:02d}" + "common preamble of a family, " * 3 for n in range(8)
    )
    end_ms = WARM_UP_MS + DURATION_MS
    loads = [
        TeamLoad(
            team,
            share_rate_per_s(team) * 0.6,
            ENTRY_DAEMONS,
            0,
            end_ms,
            prompt_prefixes,
        )
        for team in TEAM_SHARES
    ]
    request = RequestSpec("generate-only", [], ANSWER_TOKENS, TIMEOUT_MS)
    rows = []
    p95_ms: dict[str, float] = {}
    for routing in ("scored", "two-choices", "round-robin", "random"):
        calls, totals = measure_load(
            {"routing": routing},
            loads,
            request,
            lambda fleet: fleet.faults("engines-1", slow_factor=3.0),
        )
        latencies_ms = [float(c.outcome.latency_ms) for c in calls if c.outcome.whole]
        first_token_ms = [float(c.outcome.first_ms) for c in calls if c.outcome.whole]
        p95_ms[routing] = percentile(latencies_ms, 0.95)
        hit_share = totals["engines"]["prefix_hits"] / max(
            1, totals["engines"]["calls"]
        )
        rows.append(
            (
                routing,
                f"{attainment(c.outcome for c in calls):.3f}",
                f"{percentile(latencies_ms, 0.5):.0f}",
                f"{p95_ms[routing]:.0f}",
                f"{percentile(first_token_ms, 0.95):.0f}",
                f"{hit_share:.0%}",
            )
        )
    best_baseline_ms = min(p95_ms[policy] for policy in p95_ms if policy != "scored")
    return Report(
        "routing",
        "The choice of an upstream, with one engine three times slower",
        (
            "policy",
            "attainment",
            "p50 ms",
            "p95 ms",
            "first token p95 ms",
            "prefix hits",
        ),
        tuple(rows),
        "the scored choice has the lowest p95 of the four",
        p95_ms["scored"] <= best_baseline_ms,
        "Prompts of eight families that share a prefix, at 0.6 of the capacity without "
        "the slow engine; a hit is a prompt sent where its prefix was sent before.",
    )
