"""Selection of the upstream for each call of a pool."""

import itertools
import random
from collections.abc import Sequence

import attrs

from ..settings.models import RoutingPolicy
from . import const
from .breaker import circuit_state
from .models import CircuitState, UpstreamState


@attrs.frozen
class CallConstraints:
    """What a call requires or prefers of its upstream.

    :param failure_domain: failure domain of this daemon, preferred
    :param prefix: digest of the prompt's prefix, empty if it has none
    :param exclusive: no other call of this daemon may be in flight at the upstream
    :param excluded: names of upstreams that were tried already
    """

    failure_domain: str
    prefix: str = ""
    exclusive: bool = False
    excluded: frozenset[str] = frozenset()


def is_usable(state: UpstreamState, constraints: CallConstraints, now_ms: int) -> bool:
    """Return whether an upstream may get a call with these constraints."""
    if state.leaving or state.exclusive or state.name in constraints.excluded:
        return False
    if now_ms < state.refusal_backoff_until_ms:
        return False
    if constraints.exclusive and state.outstanding:
        return False
    return circuit_state(state, now_ms) is not CircuitState.OPEN


def expected_load(state: UpstreamState) -> float:
    """Return the expected load as requests for each slot.

    The report lags: this daemon's requests in it are replaced by the number that is
    outstanding now.
    """
    others = 0
    if state.report is not None:
        reported = state.report.active + state.report.waiting
        others = max(0, reported - state.report.own_outstanding)
    return (others + state.outstanding) / state.slots


def routing_cost(
    state: UpstreamState, constraints: CallConstraints, now_ms: int
) -> float:
    """Return the expected cost of a call at an upstream; lower is better."""
    cost = expected_load(state)
    if state.failure_domain != constraints.failure_domain:
        cost += const.CROSS_DOMAIN_COST
    if constraints.prefix and constraints.prefix in state.prefixes:
        cost -= const.PREFIX_BONUS
    age_ms = now_ms - state.active_since_ms
    if age_ms < const.SLOW_START_MS:
        cost += state.outstanding / state.slots * (1 - age_ms / const.SLOW_START_MS)
    return cost


class UpstreamSelector:
    """Select among upstreams by the configured policy.

    :param rng: source of randomness for ties and for the baseline policies
    """

    def __init__(self, policy: RoutingPolicy, rng: random.Random) -> None:
        """Initialize the selector; round-robin starts at the first upstream."""
        self._policy = policy
        self._rng = rng
        self._round_robin = itertools.count()

    def choose(
        self,
        states: Sequence[UpstreamState],
        constraints: CallConstraints,
        now_ms: int,
    ) -> UpstreamState | None:
        """Return the upstream for a call, or ``None`` if none is usable."""
        usable = [state for state in states if is_usable(state, constraints, now_ms)]
        if not usable:
            return None
        match self._policy:
            case RoutingPolicy.RANDOM:
                return self._rng.choice(usable)
            case RoutingPolicy.ROUND_ROBIN:
                return usable[next(self._round_robin) % len(usable)]
            case RoutingPolicy.TWO_CHOICES:
                pair = self._rng.sample(usable, min(2, len(usable)))
                return min(pair, key=reported_load)
            case RoutingPolicy.SCORED:
                self._rng.shuffle(usable)
                return min(
                    usable, key=lambda state: routing_cost(state, constraints, now_ms)
                )


def reported_load(state: UpstreamState) -> int:
    """Return the requests in an upstream's last report, without correction for lag."""
    return state.report.active + state.report.waiting if state.report else 0


def record_prefix(state: UpstreamState, prefix: str) -> None:
    """Record that a prompt prefix was sent to an upstream.

    Beyond ``MAX_PREFIXES`` the least recently sent one is evicted.
    """
    if not prefix:
        return
    state.prefixes.pop(prefix, None)
    state.prefixes[prefix] = None
    if len(state.prefixes) > const.MAX_PREFIXES:
        del state.prefixes[next(iter(state.prefixes))]
