"""Counters and latency histograms of a daemon on the platform."""

from collections.abc import Callable, Iterable, Iterator
from typing import Final

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

# Upper bounds of latency buckets in ms: they part the objectives in use, from the
# fastest service (about 200 ms) to the longest stream (15 s).
LATENCY_BOUNDS_MS: Final = (
    10, 25, 50, 100, 200, 300, 400, 600, 800, 1_000, 1_500, 2_000, 3_000, 5_000,
    8_000, 15_000,
)  # fmt: skip

Values = Callable[[], Iterable[tuple[float, dict[str, str]]]]


class RequestMetrics:
    """Requests by route, team and outcome; values read when a scraper asks."""

    def __init__(self) -> None:
        """Register the instruments."""
        buckets = ExplicitBucketHistogramAggregation(LATENCY_BOUNDS_MS)
        views = [View(instrument_name="*_duration", aggregation=buckets)]
        provider = MeterProvider([PrometheusMetricReader()], views=views)
        self._meter = provider.get_meter("cowsliphitch")
        self._requests = self._meter.create_counter("cowsliphitch_requests")
        self._took = self._meter.create_histogram(
            "cowsliphitch_request_duration", unit="ms"
        )
        self._first_event = self._meter.create_histogram(
            "cowsliphitch_first_event_duration", unit="ms"
        )

    def request(self, route: str, team: str, outcome: str, took_ms: int) -> None:
        """Count a request that has ended."""
        labels = {"route": route, "team": team, "outcome": outcome}
        self._requests.add(1, labels)
        self._took.record(took_ms, {"route": route, "outcome": outcome})

    def first_event(self, route: str, took_ms: int) -> None:
        """Record the time to a stream's first event."""
        self._first_event.record(took_ms, {"route": route})

    def register_gauge(self, name: str, values: Values) -> None:
        """Register values that are read when a scraper asks."""

        def read(_options: CallbackOptions) -> Iterator[Observation]:
            for value, labels in values():
                yield Observation(value, labels)

        self._meter.create_observable_gauge(name, [read])

    def scrape(self) -> tuple[bytes, str]:
        """Return all metrics in the scrape format, and its media type."""
        return generate_latest(), CONTENT_TYPE_LATEST
