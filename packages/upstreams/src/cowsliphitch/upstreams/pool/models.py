"""What a request asks of a pool, and what it got."""

import attrs

from cowsliphitch.core.routing.models import UpstreamState
from cowsliphitch.core.settings.models import Policy, Pool


@attrs.frozen
class PoolConfig:
    """The settings of one pool.

    :param shares: weight of each team's turn
    :param max_queue: requests that may wait in this daemon
    """

    pool: Pool
    policy: Policy
    shares: dict[str, int]
    max_queue: int


@attrs.frozen
class PoolRequest:
    """A request for one slot of a pool.

    :param work: estimated work, in tokens
    :param fingerprint: digest of the request, for the quarantine
    :param prefix: digest of the prompt's prefix, empty if it has none
    """

    team: str
    work: int
    end_ms: int
    fingerprint: str
    prefix: str = ""


@attrs.define(eq=False)
class Slot:
    """A slot of a pool at one upstream, held while a call runs.

    :param alone: the call shares the upstream with nothing else of this daemon
    """

    upstream: UpstreamState
    fingerprint: str
    alone: bool
    started_ms: int


@attrs.define
class StageCounts:
    """Counters of one pool, for metrics.

    :param work: tokens done for callers
    :param wasted: tokens done for attempts that gave no answer
    :param busy_ms: time that calls held their slots
    """

    calls: int = 0
    failures: int = 0
    retries: int = 0
    work: int = 0
    wasted: int = 0
    busy_ms: int = 0
    prefix_hits: int = 0
