"""Division of the servers of a pool group among several owners.

Load pattern: hundreds of daemons send the stages of all requests to the owner of their
pools, which is one process on one core.  From some hundred requests a second on it is
late with every answer that it reads, and its loss stops all requests.

The servers of a large fleet are divided by failure domain into cells.  Each cell has
an owner, preferably in one of its domains, and a request runs its stages and engine in
one cell, so that results stay there.  The cell is chosen by the largest prompt part
that other requests share, so that a part is kept in one cell only.  Requests without a
large part stay in their own domain.  If a cell is behind, requests go to the next in
their order, which differs from part to part.
"""

import hashlib
import math
from collections.abc import Callable, Mapping, Sequence
from typing import Final

import attrs

from cowsliphitch.core.requests.models import Generation
from cowsliphitch.core.servers.models import Server

# Servers of each pool in a cell: with fewer, a lost one stops the cell.
MIN_SERVERS_IN_CELL: Final = 2

# Delay by which a cell has to be behind before a request goes to the next one, which
# has to read its prompt again.
SPILL_DELAY_MS: Final = 300

# A prompt part with fewer tokens is read in some 40 ms and needs no cell of its own.
MIN_KEY_TOKENS: Final = 2_000


@attrs.frozen
class Cell:
    """Failure domains whose servers of a group of pools have one owner.

    :param domains: in order; empty if all domains have the same owner
    """

    domains: tuple[str, ...] = ()

    @property
    def name(self) -> str:
        """Return the part of a duty's name that tells cells apart."""
        return "+".join(self.domains)

    def contains(self, domain: str) -> bool:
        """Return whether the servers of a failure domain are in the cell."""
        return not self.domains or domain in self.domains


WHOLE_FLEET: Final = Cell()


def divide(
    pools: Sequence[Sequence[Server]], is_held: Callable[[Cell], bool]
) -> tuple[Cell, ...]:
    """Return the cells of a group of pools.

    A division that is in force stays so while each pool has a server for each cell, or
    the owners would change with every server that is lost.

    :param pools: all listed servers of each pool
    :param is_held: returns whether a cell has an owner
    """
    domains = sorted({server.failure_domain for pool in pools for server in pool})
    smallest = min((len(pool) for pool in pools), default=0)
    in_force = max(
        (
            (sum(map(is_held, cells)), len(cells))
            for count in range(2, min(len(domains), smallest) + 1)
            if any(map(is_held, cells := _cells(domains, count)))
        ),
        default=None,
    )
    count = in_force[1] if in_force else smallest // MIN_SERVERS_IN_CELL
    return _cells(domains, min(len(domains), count))


def _cells(domains: Sequence[str], count: int) -> tuple[Cell, ...]:
    if count < 2:
        return (WHOLE_FLEET,)
    return tuple(Cell(tuple(domains[number::count])) for number in range(count))


def weights(
    cells: Sequence[Cell], ready_pools: Sequence[Sequence[Server]]
) -> dict[Cell, float]:
    """Return the share of the group's requests that each cell can serve.

    It is that of the cell's scarcest pool.

    :param ready_pools: the servers of each pool that take requests
    """
    return {
        cell: min(
            (
                sum(cell.contains(s.failure_domain) for s in pool) / len(pool)
                for pool in ready_pools
                if pool
            ),
            default=0.0,
        )
        for cell in cells
    }


def key_of(generation: Generation) -> str | None:
    """Return the prompt part that decides on the cell, ``None`` without a large one."""
    largest = max(generation.shared_parts, key=lambda part: part.tokens, default=None)
    if largest is None or largest.tokens < MIN_KEY_TOKENS:
        return None
    return largest.id


def choose(
    weight_by_cell: Mapping[Cell, float],
    generation: Generation,
    request_id: str,
    own_domain: str,
    delays_ms: Mapping[Cell, int],
) -> Cell:
    """Return the cell for a request.

    :param weight_by_cell: as returned by :func:`weights`
    :param own_domain: failure domain of the daemon that received the request
    :param delays_ms: how far behind cells are, as last heard
    """
    key = key_of(generation)
    usable = [cell for cell, weight in weight_by_cell.items() if weight > 0]
    ordered = sorted(
        usable or list(weight_by_cell),
        key=lambda cell: (
            key is None and not cell.contains(own_domain),
            _rank(key or request_id, cell, weight_by_cell[cell]),
        ),
    )
    ranked = enumerate(ordered)
    _, chosen = min(
        ranked, key=lambda row: delays_ms.get(row[1], 0) + row[0] * SPILL_DELAY_MS
    )
    return chosen


def _rank(key: str, cell: Cell, weight: float) -> float:
    """Return the rank of a cell for a key by weighted rendezvous hashing.

    A cell comes first for a part of the keys that is in proportion to its weight.
    """
    digest = hashlib.blake2b(f"{key}/{cell.name}".encode(), digest_size=8).digest()
    point = (int.from_bytes(digest) + 1) / (2**64 + 1)
    return -math.log(point) / weight if weight > 0 else math.inf
