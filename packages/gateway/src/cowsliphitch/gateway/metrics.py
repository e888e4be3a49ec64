"""Request counters, latency histograms and gauges of a daemon on the platform."""

from collections.abc import Callable, Iterable, Iterator
from typing import Final

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

# Upper bounds of the latency buckets: they separate the objectives in use, from the
# fastest service (about 200 ms) to the longest stream (15 s).
LATENCY_BOUNDS_MS: Final = (
    10, 25, 50, 100, 200, 300, 400, 600, 800, 1_000, 1_500, 2_000, 3_000, 5_000,
    8_000, 15_000,
)  # fmt: skip

GaugeReader = Callable[[], Iterable[tuple[float, dict[str, str]]]]


class RequestMetrics:
    """Metrics of requests by route, team and outcome, and gauges."""

    def __init__(self) -> None:
        """Create the instruments and a reader in the Prometheus format."""
        buckets = ExplicitBucketHistogramAggregation(LATENCY_BOUNDS_MS)
        views = [
            View(instrument_name="*_duration", aggregation=buckets),
            View(instrument_name="*_delay", aggregation=buckets),
        ]
        provider = MeterProvider([PrometheusMetricReader()], views=views)
        self._meter = provider.get_meter("cowsliphitch")
        self._requests = self._meter.create_counter("cowsliphitch_requests")
        self._durations = self._meter.create_histogram(
            "cowsliphitch_request_duration", unit="ms"
        )
        self._first_event_durations = self._meter.create_histogram(
            "cowsliphitch_first_event_duration", unit="ms"
        )

        self._take_ups = self._meter.create_counter("cowsliphitch_stream_take_ups")
        self._engine_choices = self._meter.create_counter("cowsliphitch_engine_choices")
        self._cached_tokens = self._meter.create_counter(
            "cowsliphitch_prefill_tokens_saved"
        )
        self._loop_delays = self._meter.create_histogram(
            "cowsliphitch_loop_delay", unit="ms"
        )

    def record_take_up(self, outcome: str) -> None:
        """Count a stream that a caller takes up again.

        :param outcome: ``bound`` to its version, or the reason of the refusal
        """
        self._take_ups.add(1, {"outcome": outcome})

    def record_engine_choice(self, service: str, cached_tokens: int) -> None:
        """Count the choice of an engine, and the prompt tokens that it has cached."""
        labels = {"service": service, "cached": "yes" if cached_tokens else "no"}
        self._engine_choices.add(1, labels)
        self._cached_tokens.add(cached_tokens, {"service": service})

    def record_loop_delay(self, delay_ms: int) -> None:
        """Record by how much the event loop ran a periodic task too late."""
        self._loop_delays.record(delay_ms)

    def record_request(
        self, route: str, team: str, outcome: str, duration_ms: int
    ) -> None:
        """Count a request that has ended, and record its duration."""
        labels = {"route": route, "team": team, "outcome": outcome}
        self._requests.add(1, labels)
        self._durations.record(duration_ms, {"route": route, "outcome": outcome})

    def record_first_event(self, route: str, duration_ms: int) -> None:
        """Record the time from the receipt of a request to its stream's first event."""
        self._first_event_durations.record(duration_ms, {"route": route})

    def register_gauge(self, name: str, read_values: GaugeReader) -> None:
        """Register a gauge whose values are read on each scrape.

        :param read_values: returns values with their labels
        """

        def observe(_options: CallbackOptions) -> Iterator[Observation]:
            for value, labels in read_values():
                yield Observation(value, labels)

        self._meter.create_observable_gauge(name, [observe])

    def scrape(self) -> tuple[bytes, str]:
        """Return all metrics in the Prometheus text format, and its media type."""
        return generate_latest(), CONTENT_TYPE_LATEST
