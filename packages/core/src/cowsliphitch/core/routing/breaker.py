"""Circuit breaker of one upstream."""

from . import const
from .models import CircuitState, UpstreamState


def circuit_state(state: UpstreamState, now_ms: int) -> CircuitState:
    """Tell whether an upstream may be tried now."""
    if state.failures < const.OPEN_AFTER_FAILURES:
        return CircuitState.CLOSED
    if now_ms < state.retry_at_ms or state.outstanding > 0:
        return CircuitState.OPEN
    return CircuitState.HALF_OPEN


def record_success(state: UpstreamState, now_ms: int, latency_ms: float) -> None:
    """Close the circuit; a returning upstream starts slowly."""
    if state.failures >= const.OPEN_AFTER_FAILURES:
        state.active_since_ms = now_ms
    state.failures = 0
    state.opened = 0
    weight = const.EWMA_WEIGHT if state.latency_ms else 1.0
    state.latency_ms += weight * (latency_ms - state.latency_ms)


def record_failure(state: UpstreamState, now_ms: int) -> None:
    """Count a failure; open the circuit after several in a row."""
    state.failures += 1
    if state.failures < const.OPEN_AFTER_FAILURES:
        return
    wait_ms = min(const.OPEN_FOR_MS << min(state.opened, 10), const.MAX_OPEN_FOR_MS)
    state.opened += 1
    state.retry_at_ms = now_ms + wait_ms


def record_unreachable(state: UpstreamState, now_ms: int) -> None:
    """Open the circuit at once: nothing listens there."""
    state.failures = max(state.failures, const.OPEN_AFTER_FAILURES - 1)
    record_failure(state, now_ms)


def record_refusal(state: UpstreamState, now_ms: int) -> None:
    """Send nothing new for a moment to an upstream that refuses work."""
    state.refused_until_ms = now_ms + const.REFUSED_FOR_MS
