"""Weighted max-min fair division of a pool's slots among teams and daemons.

Every daemon computes the same division from the same demand digests, so no daemon has
to assign slots to the others.  Digests are seconds old.  Demand is therefore an average
of the load offered recently, and only teams that demand more than their fair share are
capped; the other teams acquire slots without coordination, and the upstreams' own
queues absorb the variation of their load.
"""

from collections.abc import Iterable
from typing import Final

import attrs

_EPSILON: Final = 1e-9

# A team is capped once its demand exceeds its allocation by this factor.
CAP_TOLERANCE: Final = 1.3


@attrs.frozen
class Demand:
    """Slots that one team's offered load needs in one pool at one daemon."""

    daemon: str
    team: str
    slots: float


def max_min_allocation(
    capacity: float, demands: dict[str, float], shares: dict[str, int]
) -> dict[str, float]:
    """Allocate ``capacity`` by weighted max-min fairness.

    No team gets more than its demand.  Capacity that a team does not need goes to the
    others in proportion to their shares.

    :param demands: demanded slots by team
    :param shares: weights by team, 1 for a team without one
    :returns: allocated slots by team
    """
    allocation = dict.fromkeys(demands, 0.0)
    unsatisfied = {name for name, demand in demands.items() if demand > 0}
    remaining = capacity
    while unsatisfied and remaining > _EPSILON:
        weight = sum(shares.get(name, 1) for name in unsatisfied)
        increment = {
            name: remaining * shares.get(name, 1) / weight for name in unsatisfied
        }
        satisfied = {
            n
            for n in unsatisfied
            if allocation[n] + increment[n] >= demands[n] - _EPSILON
        }
        if not satisfied:
            return allocation | {
                name: allocation[name] + increment[name] for name in unsatisfied
            }
        for name in satisfied:
            remaining -= demands[name] - allocation[name]
            allocation[name] = demands[name]
        unsatisfied -= satisfied
    return allocation


def compute_caps(
    capacity: float, demands: Iterable[Demand], shares: dict[str, int], daemon: str
) -> dict[str, int]:
    """Return the slots that a daemon may use for each team that is capped.

    A team whose demand is little above its allocation is not capped: its offered load
    varies by chance, and the upstreams' queues absorb that better than a cap does.  The
    allocation of a capped team is divided among the daemons by its demand at each.

    :param capacity: slots of the pool's upstreams
    :param demands: demands of all daemons
    :param daemon: name of the daemon that the caps are for
    """
    by_team: dict[str, dict[str, float]] = {}
    for demand in demands:
        if demand.slots > 0:
            by_team.setdefault(demand.team, {})[demand.daemon] = demand.slots
    totals = {team: sum(slots.values()) for team, slots in by_team.items()}
    if sum(totals.values()) <= capacity:
        return {}
    allocation = max_min_allocation(capacity, totals, shares)
    return {
        team: _daemon_cap(daemon, by_team[team], allocation[team] / total)
        for team, total in totals.items()
        if total > allocation[team] * CAP_TOLERANCE + _EPSILON
    }


def _daemon_cap(daemon: str, slots: dict[str, float], ratio: float) -> int:
    """Return a daemon's cap for one team, at least 1.

    :param slots: the team's demand by daemon
    :param ratio: the team's allocation over its total demand
    """
    if daemon not in slots:
        return 1
    return max(1, apportion({n: s * ratio for n, s in slots.items()})[daemon])


def apportion(parts: dict[str, float]) -> dict[str, int]:
    """Round parts to integers by largest remainder, so that the rounded sum is kept."""
    whole = {name: int(part + _EPSILON) for name, part in parts.items()}
    remaining = round(sum(parts.values())) - sum(whole.values())
    by_remainder = sorted(parts, key=lambda name: (whole[name] - parts[name], name))
    return {
        name: whole[name] + (1 if place < remaining else 0)
        for place, name in enumerate(by_remainder)
    }
