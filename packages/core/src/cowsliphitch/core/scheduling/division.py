"""Divide a pool's slots among daemons: weighted max-min fair over teams.

Every daemon computes the same division from the same demand digests, so no daemon
has to hand out slots.
"""

from collections.abc import Iterable
from typing import Final

import attrs

_EPSILON: Final = 1e-9


@attrs.frozen
class Demand:
    """What one team wants of one pool at one daemon, in slots.

    :param slots: running requests plus waiting ones
    """

    daemon: str
    team: str
    slots: int


def max_min(
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


def divide(
    capacity: int,
    demands: Iterable[Demand],
    shares: dict[str, int],
    daemons: Iterable[str],
) -> dict[str, float]:
    """Return the slots of a pool that each daemon may use.

    A team's part is divided among daemons in proportion to its demand there; what
    nobody wants is divided evenly, so that new demand finds slots at once.
    """
    listed = [demand for demand in demands if demand.slots > 0]
    names = sorted(set(daemons))
    wants: dict[str, float] = {}
    for demand in listed:
        wants[demand.team] = wants.get(demand.team, 0.0) + demand.slots
    given = max_min(float(capacity), wants, shares)
    parts = dict.fromkeys(names, 0.0)
    for demand in listed:
        if demand.daemon in parts:
            part = given[demand.team] * demand.slots / wants[demand.team]
            parts[demand.daemon] += part
    spare = max(0.0, capacity - sum(parts.values()))
    return {name: part + spare / len(names) for name, part in parts.items()}
