"""Limits that servers name, and what daemons tell each other about them."""

import attrs


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
class LimitReport:
    """What one daemon heard from a server itself, for its peers.

    :param per_s: requests a second that the latest answer named, ``None`` if none
    :param age_ms: time since that answer
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
    sent: int
