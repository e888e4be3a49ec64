"""Divide a pool's slots among teams and daemons: weighted max-min fair.

Every daemon computes the same division from the same demand digests, so no daemon has
to hand out slots.  Digests are seconds old, so demand is what was offered lately, and
only a team that wants more than its part is held to it: the others need no
permission, and the upstreams' own queues take their variation.
"""

from collections.abc import Iterable
from typing import Final

import attrs

_EPSILON: Final = 1e-9
TOLERANCE: Final = 1.3


@attrs.frozen
class Demand:
    """What one team offers to one pool at one daemon, in slots."""

    daemon: str
    team: str
    slots: float


def max_min_allocation(
    capacity: float, wants: dict[str, float], shares: dict[str, int]
) -> dict[str, float]:
    """Divide ``capacity`` so that nobody gets more than they want.

    What a team does not want goes to the others, in proportion to their shares.
    """
    given = dict.fromkeys(wants, 0.0)
    open_ = {name for name, want in wants.items() if want > 0}
    left = capacity
    while open_ and left > _EPSILON:
        weight = sum(shares.get(name, 1) for name in open_)
        turn = {name: left * shares.get(name, 1) / weight for name in open_}
        full = {n for n in open_ if given[n] + turn[n] >= wants[n] - _EPSILON}
        if not full:
            return given | {name: given[name] + turn[name] for name in open_}
        for name in full:
            left -= wants[name] - given[name]
            given[name] = wants[name]
        open_ -= full
    return given


def compute_caps(
    capacity: float, demands: Iterable[Demand], shares: dict[str, int], daemon: str
) -> dict[str, int]:
    """Return the slots that a daemon may use for each team that wants too much.

    A team that wants little more than it is given has no cap: what it offers varies by
    chance, and the upstreams' queues bear that better than a cap does.  The part of a
    capped team is divided among daemons by its demand there.
    """
    by_team: dict[str, dict[str, float]] = {}
    for demand in demands:
        if demand.slots > 0:
            by_team.setdefault(demand.team, {})[demand.daemon] = demand.slots
    wants = {team: sum(slots.values()) for team, slots in by_team.items()}
    if sum(wants.values()) <= capacity:
        return {}
    given = max_min_allocation(capacity, wants, shares)
    return {
        team: _part_of(daemon, by_team[team], given[team] / want)
        for team, want in wants.items()
        if want > given[team] * TOLERANCE + _EPSILON
    }


def _part_of(daemon: str, slots: dict[str, float], ratio: float) -> int:
    """Return a daemon's part of a team's slots, at least one."""
    if daemon not in slots:
        return 1
    return max(1, apportion({n: s * ratio for n, s in slots.items()})[daemon])


def apportion(parts: dict[str, float]) -> dict[str, int]:
    """Round parts to whole slots without changing their sum, by largest remainder."""
    whole = {name: int(part + _EPSILON) for name, part in parts.items()}
    left = round(sum(parts.values())) - sum(whole.values())
    by_remainder = sorted(parts, key=lambda name: (whole[name] - parts[name], name))
    return {
        name: whole[name] + (1 if place < left else 0)
        for place, name in enumerate(by_remainder)
    }
