"""What a daemon knows about one upstream."""

import enum

import attrs


class CircuitState(enum.Enum):
    """Whether an upstream may be tried."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


@attrs.frozen
class LoadReport:
    """An upstream's own report, which lags.

    :param at_ms: monotonic time when it arrived
    :param sent_before: what this daemon had outstanding there at that time
    """

    at_ms: int
    active: int
    waiting: int
    sent_before: int


@attrs.define
class UpstreamState:
    """One upstream as this daemon sees it.

    :param outstanding: requests of this daemon that run there
    :param active_since_ms: monotonic time when it came, or came back
    :param prefixes: digests of prompt prefixes sent there lately
    """

    name: str
    address: str
    pool: str
    failure_domain: str
    slots: int
    active_since_ms: int
    leaving: bool = False
    outstanding: int = 0
    report: LoadReport | None = None
    latency_ms: float = 0.0
    failures: int = 0
    opened: int = 0
    retry_at_ms: int = 0
    refused_until_ms: int = 0
    exclusive: bool = False
    prefixes: dict[str, None] = attrs.Factory(dict)
