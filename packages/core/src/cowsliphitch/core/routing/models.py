"""A daemon's local state of one upstream."""

import enum

import attrs


class CircuitState(enum.Enum):
    """State of an upstream's circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


@attrs.frozen
class LoadReport:
    """Load that an upstream reports of itself; it lags behind the actual load.

    :param received_ms: monotonic time of the report's arrival
    :param active: requests that the upstream runs, for all daemons
    :param waiting: requests in the upstream's queue, for all daemons
    :param own_outstanding: requests of this daemon that were outstanding there when the
        report was requested
    """

    received_ms: int
    active: int
    waiting: int
    own_outstanding: int


@attrs.define
class UpstreamState:
    """One upstream as this daemon observes it.

    :param slots: requests that the upstream runs at a time
    :param active_since_ms: monotonic time when it was listed, or when its circuit last
        closed
    :param leaving: the upstream is draining and gets no new calls
    :param outstanding: requests of this daemon in flight there
    :param latency_ms: moving average of successful calls, 0 before the first one
    :param consecutive_failures: failures since the last success
    :param open_count: times that the circuit opened since the last success
    :param retry_at_ms: monotonic time from which an open circuit allows a trial call
    :param refusal_backoff_until_ms: monotonic time until which it gets no new calls
        because it refused one
    :param exclusive: reserved for a single call, or running one
    :param prefixes: digests of prompt prefixes sent there, the least recent first
    """

    name: str
    address: str
    pool: str
    failure_domain: str
    slots: int
    active_since_ms: int
    leaving: bool = False
    outstanding: int = 0
    report: LoadReport | None = None
    latency_ms: float = 0.0
    consecutive_failures: int = 0
    open_count: int = 0
    retry_at_ms: int = 0
    refusal_backoff_until_ms: int = 0
    exclusive: bool = False
    prefixes: dict[str, None] = attrs.Factory(dict)
