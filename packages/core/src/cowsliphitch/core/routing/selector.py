"""Choose the upstream for one call."""

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
    """What a call wants of its upstream.

    :param failure_domain: where this daemon is
    :param prefix: digest of the prompt's prefix, empty if it has none
    :param exclusive: the call must share the upstream with nothing else of this daemon
    :param excluded: upstreams that were tried already
    """

    failure_domain: str
    prefix: str = ""
    exclusive: bool = False
    excluded: frozenset[str] = frozenset()


def is_usable(state: UpstreamState, wanted: CallConstraints, now_ms: int) -> bool:
    """Tell whether an upstream may get this call."""
    if state.leaving or state.exclusive or state.name in wanted.excluded:
        return False
    if now_ms < state.refused_until_ms:
        return False
    if wanted.exclusive and state.outstanding:
        return False
    return circuit_state(state, now_ms) is not CircuitState.OPEN


def expected_load(state: UpstreamState) -> float:
    """Return the expected load in parts of the slots.

    A report lags: what this daemon sent since is added, what it had sent before is
    taken off.
    """
    others = 0
    if state.report is not None:
        reported = state.report.active + state.report.waiting
        others = max(0, reported - state.report.sent_before)
    return (others + state.outstanding) / state.slots


def score(state: UpstreamState, wanted: CallConstraints, now_ms: int) -> float:
    """Return the expected cost of a call; the lowest is best."""
    cost = expected_load(state)
    if state.failure_domain != wanted.failure_domain:
        cost += const.CROSS_DOMAIN_COST
    if wanted.prefix and wanted.prefix in state.prefixes:
        cost -= const.PREFIX_BONUS
    age_ms = now_ms - state.active_since_ms
    if age_ms < const.SLOW_START_MS:
        cost += state.outstanding / state.slots * (1 - age_ms / const.SLOW_START_MS)
    return cost


class UpstreamSelector:
    """Choose among upstreams by the policy in force.

    :param rng: source of random ties and of the baselines' choices
    """

    def __init__(self, policy: RoutingPolicy, rng: random.Random) -> None:
        """Start with no history."""
        self._policy = policy
        self._rng = rng
        self._turn = itertools.count()

    def choose(
        self, states: Sequence[UpstreamState], wanted: CallConstraints, now_ms: int
    ) -> UpstreamState | None:
        """Return the upstream for a call, or ``None`` if none is usable."""
        ready = [state for state in states if is_usable(state, wanted, now_ms)]
        if not ready:
            return None
        match self._policy:
            case RoutingPolicy.RANDOM:
                return self._rng.choice(ready)
            case RoutingPolicy.ROUND_ROBIN:
                return ready[next(self._turn) % len(ready)]
            case RoutingPolicy.TWO_CHOICES:
                pair = self._rng.sample(ready, min(2, len(ready)))
                return min(pair, key=reported_load)
            case RoutingPolicy.SCORED:
                self._rng.shuffle(ready)
                return min(ready, key=lambda state: score(state, wanted, now_ms))


def reported_load(state: UpstreamState) -> int:
    """Return the load of the last report, uncorrected."""
    return state.report.active + state.report.waiting if state.report else 0


def record_prefix(state: UpstreamState, prefix: str) -> None:
    """Remember that a prompt prefix was sent to an upstream."""
    if not prefix:
        return
    state.prefixes.pop(prefix, None)
    state.prefixes[prefix] = None
    if len(state.prefixes) > const.MAX_PREFIXES:
        del state.prefixes[next(iter(state.prefixes))]
