"""The settings tree: fleet, pipelines, services, and one branch per team.

Attribute names and enum values are the keys and values of the settings document.
"""

import enum
from typing import Final

import attrs

from . import const
from .units import Duration, Name, Ratio, Size


class PoolKind(enum.Enum):
    """What kind of upstream a pool consists of."""

    ENGINE = "engine"
    STAGE = "stage"
    SERVICE = "service"


class Repeat(enum.Enum):
    """Whether a call may be retried.

    ``SAFE`` calls are idempotent.  ``ONCE`` calls must run at most once.  ``KEYED``
    calls must run at most once too, but the upstream deduplicates by idempotency key,
    so they may be retried with the same key.
    """

    SAFE = "safe"
    ONCE = "once"
    KEYED = "keyed"


class QueuePolicy(enum.Enum):
    """How queued requests are ordered; ``FIFO`` is a baseline for comparison."""

    FAIR = "fair"
    FIFO = "fifo"


class DivisionPolicy(enum.Enum):
    """How daemons divide a pool's slots among them.

    ``LOCAL`` does not divide them and is a baseline for comparison.
    """

    DEMAND = "demand"
    LOCAL = "local"


class RoutingPolicy(enum.Enum):
    """How an upstream is chosen.

    All policies but ``SCORED`` are baselines for comparison.
    """

    SCORED = "scored"
    RANDOM = "random"
    ROUND_ROBIN = "round-robin"
    TWO_CHOICES = "two-choices"


@attrs.frozen
class Pool:
    """A pool of upstreams of one kind.

    :param slots: requests that one upstream runs concurrently
    :param refuses_before_running: whether status 429 and 503 prove that the request
        did not run
    :param adapters: adapters that every engine of the pool must load
    """

    kind: PoolKind
    slots: int = const.DEFAULT_SLOTS
    refuses_before_running: bool = False
    adapters: tuple[Name, ...] = ()


@attrs.frozen
class Stage:
    """One stage of a pipeline.

    :param pool: name of the pool that runs the stage
    :param max_tokens: maximum number of tokens to generate, 0 without generation
    """

    name: Name
    pool: Name
    max_tokens: int = 0


@attrs.frozen
class Pipeline:
    """A sequence of stages with one deadline for all of them."""

    stages: tuple[Stage, ...]
    deadline: Duration = Duration(const.DEFAULT_DEADLINE_MS)


@attrs.frozen
class Service:
    """A service that is called directly, outside a pipeline.

    :param pool: name of the pool that serves it
    :param repeat: whether a call may be retried
    """

    pool: Name
    repeat: Repeat
    deadline: Duration = Duration(const.DEFAULT_DEADLINE_MS)


@attrs.frozen
class Orders:
    """How orders, which must run at most once, are claimed.

    :param shards: number of logs that claims are distributed over
    :param claim_interval: minimum time between two writes to one log
    :param retention: maximum age of an idempotency key
    """

    shards: int = const.DEFAULT_ORDER_SHARDS
    claim_interval: Duration = Duration(const.DEFAULT_CLAIM_INTERVAL_MS)
    retention: Duration = Duration(const.DEFAULT_RETENTION_MS)


@attrs.frozen
class Limits:
    """Limits on callers' requests.

    :param max_body: maximum size of a request body
    :param max_queue: maximum queue depth
    """

    max_body: Size = Size(const.DEFAULT_MAX_BODY_BYTES)
    max_queue: int = const.DEFAULT_MAX_QUEUE


@attrs.frozen
class Policy:
    """How requests are queued, routed and retried.

    :param queueing: how queued requests are ordered
    :param division: how daemons divide a pool's slots
    :param routing: how an upstream is chosen
    :param retry_ratio: retries allowed per first attempt
    :param forecast: whether to refuse a request that is predicted to miss its deadline
    """

    queueing: QueuePolicy = QueuePolicy.FAIR
    division: DivisionPolicy = DivisionPolicy.DEMAND
    routing: RoutingPolicy = RoutingPolicy.SCORED
    retry_ratio: Ratio = Ratio(const.DEFAULT_RETRY_RATIO)
    forecast: bool = True


@attrs.frozen
class Fleet:
    """The branch that applies to all teams."""

    pools: dict[Name, Pool] = attrs.Factory(dict)
    orders: Orders = attrs.Factory(Orders)
    limits: Limits = attrs.Factory(Limits)
    policy: Policy = attrs.Factory(Policy)


@attrs.frozen
class Team:
    """One team's branch.

    :param share: weight of the team in fair queueing, in units of work
    :param tokens: salted digests of the team's bearer tokens
    """

    share: int
    tokens: tuple[str, ...] = ()


@attrs.frozen
class Settings:
    """The whole settings tree of the fleet."""

    fleet: Fleet = attrs.Factory(Fleet)
    pipelines: dict[Name, Pipeline] = attrs.Factory(dict)
    services: dict[Name, Service] = attrs.Factory(dict)
    teams: dict[Name, Team] = attrs.Factory(dict)


EMPTY_SETTINGS: Final = Settings()
