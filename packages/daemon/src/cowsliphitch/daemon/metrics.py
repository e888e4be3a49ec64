"""OpenTelemetry metrics of a daemon, exported in the Prometheus text format."""

from collections.abc import Callable, Iterable, Iterator

import attrs
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from cowsliphitch.callers.edge.models import Diagnostics
from cowsliphitch.core.verdict import Refusal
from cowsliphitch.upstreams.pool.coordinator import PoolCoordinator

Labels = dict[str, str]


@attrs.define
class TeamCounts:
    """Number of a team's answered and refused requests."""

    answered: int = 0
    refused: int = 0


@attrs.frozen
class GaugeSources:
    """Callbacks that return the current values of the gauges.

    :param revision: revision of the configuration that the daemon applies
    :param platform_age_ms: time since the platform's last answer, -1 before the first
    :param members: number of daemons that accept work
    :param peer_bytes: bytes sent to peers and received from them
    :param order_writes: writes to the order logs
    :param order_records: records appended to the order logs
    :param listeners: counters of the HTTP listeners, by name
    """

    pools: Callable[[], Iterable[PoolCoordinator]]
    revision: Callable[[], int]
    platform_age_ms: Callable[[], int]
    members: Callable[[], int]
    peer_bytes: Callable[[], int]
    order_writes: Callable[[], int]
    order_records: Callable[[], int]
    listeners: Callable[[], dict[str, Diagnostics]]


class Metrics:
    """Instruments of a daemon: request counters, latency histograms and gauges.

    Every request and every call of a stage is counted, without sampling.
    """

    def __init__(self) -> None:
        """Create the counters and histograms."""
        self._meter = MeterProvider([PrometheusMetricReader()]).get_meter(
            "cowsliphitch"
        )
        self._requests = self._meter.create_counter("cowsliphitch_requests")
        self._refusals = self._meter.create_counter("cowsliphitch_refusals")
        self._latency = self._meter.create_histogram(
            "cowsliphitch_request_duration", unit="ms"
        )
        self._first_token = self._meter.create_histogram(
            "cowsliphitch_first_token", unit="ms"
        )
        self.teams: dict[str, TeamCounts] = {}

    def record_answer(self, team: str, route: str, latency_ms: int) -> None:
        """Record a request that got a complete answer within its deadline."""
        self.teams.setdefault(team, TeamCounts()).answered += 1
        labels = {"team": team, "route": route, "outcome": "answered"}
        self._requests.add(1, labels)
        self._latency.record(latency_ms, {"route": route})

    def record_first_token(self, route: str, latency_ms: int) -> None:
        """Record a pipeline's time to first token."""
        self._first_token.record(latency_ms, {"route": route})

    def record_refusal(self, team: str, route: str, refusal: Refusal) -> None:
        """Record a request that was refused or got an incomplete answer.

        :param team: empty if the request was not admitted
        :param route: empty for an unknown one, since metrics keep each value
        """
        self.teams.setdefault(team, TeamCounts()).refused += 1
        labels = {"team": team, "route": route, "outcome": "refused"}
        self._requests.add(1, labels)
        refusal_labels = {
            "verdict": refusal.verdict.value,
            "reason": refusal.reason.value,
            "stage": refusal.stage or "",
        }
        self._refusals.add(1, refusal_labels)

    def register_gauges(self, sources: GaugeSources) -> None:
        """Register the gauges, which are read on each scrape."""
        daemon_gauges: dict[str, Callable[[], int]] = {
            "cowsliphitch_config_revision": sources.revision,
            "cowsliphitch_platform_age_ms": sources.platform_age_ms,
            "cowsliphitch_members": sources.members,
            "cowsliphitch_peer_bytes": sources.peer_bytes,
            "cowsliphitch_order_log_writes": sources.order_writes,
            "cowsliphitch_order_log_records": sources.order_records,
        }
        for name, read_value in daemon_gauges.items():
            self._meter.create_observable_gauge(name, [_observer(read_value)])
        self._register_listener_gauges(sources)
        pool_gauges: dict[str, Callable[[PoolCoordinator], float]] = {
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
        for name, read_pool_value in pool_gauges.items():
            self._meter.create_observable_gauge(
                name, [_pool_observer(sources.pools, read_pool_value)]
            )

    def _register_listener_gauges(self, sources: GaugeSources) -> None:
        def observe_open(_options: CallbackOptions) -> Iterator[Observation]:
            for name, listener in sources.listeners().items():
                yield Observation(listener.connections, {"listener": name})

        def observe_closed(_options: CallbackOptions) -> Iterator[Observation]:
            for name, listener in sources.listeners().items():
                for cause, count in listener.closed_by_cause().items():
                    yield Observation(count, {"listener": name, "cause": cause})

        for name, observe in (
            ("cowsliphitch_caller_connections", observe_open),
            ("cowsliphitch_caller_connections_closed", observe_closed),
        ):
            self._meter.create_observable_gauge(name, [observe])

    def scrape(self) -> tuple[bytes, str]:
        """Return all metrics in the Prometheus text format, and its media type."""
        return generate_latest(), CONTENT_TYPE_LATEST


def _observer(
    read_value: Callable[[], int],
) -> Callable[[CallbackOptions], Iterable[Observation]]:
    def observe(_options: CallbackOptions) -> Iterator[Observation]:
        yield Observation(read_value())

    return observe


def _pool_observer(
    pools: Callable[[], Iterable[PoolCoordinator]],
    read_pool_value: Callable[[PoolCoordinator], float],
) -> Callable[[CallbackOptions], Iterable[Observation]]:
    def observe(_options: CallbackOptions) -> Iterator[Observation]:
        for pool in pools():
            yield Observation(read_pool_value(pool), {"pool": pool.name})

    return observe
