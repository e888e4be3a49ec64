"""Limits that servers name, and what daemons tell each other about them."""

from collections.abc import Sequence
from typing import Protocol

import attrs

from cowsliphitch.core.servers.models import Server


@attrs.frozen
class Unlimited:
    """An answer names no limit, which ends one that was named before."""


@attrs.frozen
class RequestRate:
    """An answer names the requests a second that its server takes from all daemons."""

    per_s: float


@attrs.frozen
class UnreadableLimit:
    """An answer names a limit that can't be read."""

    text: str


NamedLimit = Unlimited | RequestRate | UnreadableLimit


@attrs.frozen
class LimitChange:
    """A server's limit changed as this daemon knows it, for logs.

    :param per_s: requests a second, ``None`` if the server has no limit any more
    :param previous_per_s: the rate before, ``None`` if there was no limit
    :param source: ``ANSWER_SOURCE`` or the name of the peer that reported it
    :param age_ms: time since a daemon heard it from the server
    """

    server_id: str
    per_s: float | None
    previous_per_s: float | None
    source: str
    age_ms: int


@attrs.frozen
class ColdChange:
    """A server became cold or warm, for logs.

    :param per_s: requests a second that it takes, ``None`` if it is warm
    """

    server_id: str
    per_s: float | None


@attrs.frozen
class LimitReport:
    """What one daemon heard from a server itself, for its peers.

    :param per_s: requests a second that the latest answer named, ``None`` if none
    :param age_ms: time since that answer, ``UNHEARD_AGE_MS`` if there was none and the
        report only counts requests to a cold server
    :param sent: requests that the daemon sent to the server within the window
    """

    per_s: float | None
    age_ms: int
    sent: int


@attrs.frozen
class ServerLimit:
    """A server's limit as this daemon knows it.

    :param sent: requests that all daemons sent to the server within the window, as far
        as this daemon knows
    """

    server_id: str
    per_s: float
    source: str
    age_ms: int
    sent: float


@attrs.frozen
class Granted:
    """A request may be sent to a server.

    :param wait_ms: time until it may be sent
    """

    server_id: str
    wait_ms: int = 0


@attrs.frozen
class Denied:
    """No server takes the request in time.

    :param server_id: the server that takes a request first
    :param retry_after_ms: time until it has room for one more request
    """

    server_id: str
    retry_after_ms: int


Decision = Granted | Denied


class ServerRates(Protocol):
    """What limits allow now, for components that choose servers."""

    def rate_per_s(self, server: Server) -> float | None:
        """Return the requests a second to a server, ``None`` without a limit."""

    def wait_ms(self, server: Server, now_ms: int) -> float:
        """Return the time until a server may get a request, 0 if it may now."""


class NoRates:
    """Rates without any limit."""

    def rate_per_s(self, server: Server) -> float | None:
        """Return ``None``."""
        return None

    def wait_ms(self, server: Server, now_ms: int) -> float:
        """Return 0."""
        return 0.0


@attrs.frozen
class LimitedServer:
    """A limited server, as a daemon that asks for a permit knows it.

    :param age_ms: time since a daemon heard the limit from the server,
        ``UNHEARD_AGE_MS`` if the server is limited because it is cold
    """

    server_id: str
    per_s: float
    age_ms: int


@attrs.frozen
class PermitRequest:
    """A daemon's request to send one request to one of a service's limited servers.

    :param request_id: identifier of the caller's request, for logs
    :param servers: the preferred one first
    :param max_wait_ms: longest time until the request may be sent
    """

    request_id: str
    service: str
    servers: Sequence[LimitedServer]
    max_wait_ms: int
