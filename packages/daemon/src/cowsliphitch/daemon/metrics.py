"""OpenTelemetry metrics of a daemon, and their scrape endpoint."""

from collections.abc import Callable, Iterable, Iterator

import attrs
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from cowsliphitch.core.verdict import Refusal
from cowsliphitch.upstreams.pool.coordinator import PoolCoordinator

Labels = dict[str, str]


@attrs.define
class TeamCounts:
    """Answers and refusals of one team."""

    answered: int = 0
    refused: int = 0


@attrs.frozen
class Gauges:
    """Where the observed values come from.

    :param platform_age_ms: time since the platform's last answer, -1 before the first
    """

    pools: Callable[[], Iterable[PoolCoordinator]]
    revision: Callable[[], int]
    platform_age_ms: Callable[[], int]
    members: Callable[[], int]
    peer_bytes: Callable[[], int]
    order_writes: Callable[[], int]
    order_records: Callable[[], int]


class Metrics:
    """Counters first: every request and every call of a stage is counted."""

    def __init__(self) -> None:
        """Register the instruments."""
        self._meter = MeterProvider([PrometheusMetricReader()]).get_meter(
            "cowsliphitch"
        )
        self._requests = self._meter.create_counter("cowsliphitch_requests")
        self._verdicts = self._meter.create_counter("cowsliphitch_refusals")
        self._latency = self._meter.create_histogram(
            "cowsliphitch_request_duration", unit="ms"
        )
        self._first_token = self._meter.create_histogram(
            "cowsliphitch_first_token", unit="ms"
        )
        self.teams: dict[str, TeamCounts] = {}

    def answered(self, team: str, route: str, latency_ms: int) -> None:
        """Count a request that was answered whole and within its deadline."""
        self.teams.setdefault(team, TeamCounts()).answered += 1
        labels = {"team": team, "route": route, "outcome": "answered"}
        self._requests.add(1, labels)
        self._latency.record(latency_ms, {"route": route})

    def first_token(self, route: str, latency_ms: int) -> None:
        """Record the time to the first token."""
        self._first_token.record(latency_ms, {"route": route})

    def refused(self, team: str, route: str, refusal: Refusal) -> None:
        """Count a request that got no whole answer."""
        self.teams.setdefault(team, TeamCounts()).refused += 1
        labels = {"team": team, "route": route, "outcome": "refused"}
        self._requests.add(1, labels)
        verdict = {
            "verdict": refusal.verdict.value,
            "reason": refusal.reason.value,
            "stage": refusal.stage or "",
        }
        self._verdicts.add(1, verdict)

    def observe(self, gauges: Gauges) -> None:
        """Register the values that are read when a scraper asks."""
        plain: dict[str, Callable[[], int]] = {
            "cowsliphitch_config_revision": gauges.revision,
            "cowsliphitch_platform_age_ms": gauges.platform_age_ms,
            "cowsliphitch_members": gauges.members,
            "cowsliphitch_peer_bytes": gauges.peer_bytes,
            "cowsliphitch_order_log_writes": gauges.order_writes,
            "cowsliphitch_order_log_records": gauges.order_records,
        }
        for name, read in plain.items():
            self._meter.create_observable_gauge(name, [_observer(read)])
        by_pool: dict[str, Callable[[PoolCoordinator], float]] = {
            "cowsliphitch_queue_length": lambda pool: pool.queue_length,
            "cowsliphitch_slots_running": lambda pool: pool.running,
            "cowsliphitch_teams_capped": lambda pool: len(pool.caps),
            "cowsliphitch_stage_calls": lambda pool: pool.counts.calls,
            "cowsliphitch_stage_failures": lambda pool: pool.counts.failures,
            "cowsliphitch_stage_retries": lambda pool: pool.counts.retries,
            "cowsliphitch_stage_work": lambda pool: pool.counts.work,
            "cowsliphitch_stage_wasted_work": lambda pool: pool.counts.wasted,
            "cowsliphitch_stage_busy_ms": lambda pool: pool.counts.busy_ms,
            "cowsliphitch_stage_prefix_hits": lambda pool: pool.counts.prefix_hits,
        }
        for name, value in by_pool.items():
            self._meter.create_observable_gauge(
                name, [_pool_observer(gauges.pools, value)]
            )

    def scrape(self) -> tuple[bytes, str]:
        """Return all metrics in the scrape format, and its media type."""
        return generate_latest(), CONTENT_TYPE_LATEST


def _observer(
    read: Callable[[], int],
) -> Callable[[CallbackOptions], Iterable[Observation]]:
    def observe(_options: CallbackOptions) -> Iterator[Observation]:
        yield Observation(read())

    return observe


def _pool_observer(
    pools: Callable[[], Iterable[PoolCoordinator]],
    value: Callable[[PoolCoordinator], float],
) -> Callable[[CallbackOptions], Iterable[Observation]]:
    def observe(_options: CallbackOptions) -> Iterator[Observation]:
        for pool in pools():
            yield Observation(value(pool), {"pool": pool.name})

    return observe
