"""Circuit breaker of one upstream."""

from . import const
from .models import CircuitState, UpstreamState


def circuit_state(state: UpstreamState, now_ms: int) -> CircuitState:
    """Return the circuit's state; half-open allows one call at a time."""
    if state.consecutive_failures < const.OPEN_AFTER_FAILURES:
        return CircuitState.CLOSED
    if now_ms < state.retry_at_ms or state.outstanding > 0:
        return CircuitState.OPEN
    return CircuitState.HALF_OPEN


def record_success(state: UpstreamState, now_ms: int, latency_ms: float) -> None:
    """Close the circuit; an upstream whose circuit was open begins a slow start."""
    if state.consecutive_failures >= const.OPEN_AFTER_FAILURES:
        state.active_since_ms = now_ms
    state.consecutive_failures = 0
    state.open_count = 0
    weight = const.LATENCY_EWMA_WEIGHT if state.latency_ms else 1.0
    state.latency_ms += weight * (latency_ms - state.latency_ms)


def record_failure(state: UpstreamState, now_ms: int) -> None:
    """Count a failure; open the circuit after several consecutive ones.

    Each reopening doubles the time until the next trial call, up to a maximum.
    """
    state.consecutive_failures += 1
    if state.consecutive_failures < const.OPEN_AFTER_FAILURES:
        return
    open_ms = min(const.INITIAL_OPEN_MS << min(state.open_count, 10), const.MAX_OPEN_MS)
    state.open_count += 1
    state.retry_at_ms = now_ms + open_ms


def record_unreachable(state: UpstreamState, now_ms: int) -> None:
    """Open the circuit at once, since nothing listens at the upstream's address."""
    state.consecutive_failures = max(
        state.consecutive_failures, const.OPEN_AFTER_FAILURES - 1
    )
    record_failure(state, now_ms)


def record_refusal(state: UpstreamState, now_ms: int) -> None:
    """Start the backoff of an upstream that refused a call."""
    state.refusal_backoff_until_ms = now_ms + const.REFUSAL_BACKOFF_MS
