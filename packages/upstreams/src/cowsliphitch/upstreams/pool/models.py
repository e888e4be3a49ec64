"""Settings, requests, slots and counters of a pool."""

import attrs

from cowsliphitch.core.routing.models import UpstreamState
from cowsliphitch.core.settings.models import Policy, Pool


@attrs.frozen
class PoolConfig:
    """Settings that apply to one pool.

    :param shares: weights by team for fair queueing
    :param max_queue: maximum number of requests in this daemon's queue for the pool
    """

    pool: Pool
    policy: Policy
    shares: dict[str, int]
    max_queue: int


@attrs.frozen
class PoolRequest:
    """A request for one slot of a pool.

    :param work: estimated work, in tokens
    :param end_ms: monotonic time of the deadline
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

    :param fingerprint: digest of the request that holds the slot
    :param alone: the call is exclusive: no other call of this daemon is in flight at
        the upstream
    :param started_ms: monotonic time when the slot was acquired
    """

    upstream: UpstreamState
    fingerprint: str
    alone: bool
    started_ms: int


@attrs.define
class StageCounts:
    """Counters of one pool, for metrics.

    :param calls: attempts that acquired a slot
    :param failures: attempts that failed
    :param retries: attempts after the first one of a request
    :param work: tokens processed by successful attempts
    :param wasted: tokens processed by failed attempts
    :param busy_ms: total time that slots were held
    :param prefix_hits: calls sent to an upstream that had received their prompt prefix
    """

    calls: int = 0
    failures: int = 0
    retries: int = 0
    work: int = 0
    wasted: int = 0
    busy_ms: int = 0
    prefix_hits: int = 0
