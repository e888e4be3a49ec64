"""Requests at servers, and which of them were lost when a server restarted.

Fault: a machine that crashes may fall silent.  Its connections stay open, it refuses
none, and the callers leave, so that no request fails with the crash.  A cut link looks
the same.  What tells them apart is the server's start time: the entry of a machine that
crashed comes back with a later one, or another server starts at its address.

A request counts as lost if it was at the server until then, or was given up while the
server may have been silent already.
"""

import itertools
from collections import OrderedDict
from collections.abc import Iterator
from typing import Final

import attrs

from cowsliphitch.core.servers.models import Server, ServerState
from cowsliphitch.core.servers.registry import ServerRegistry

# Time for which a request that was given up is remembered: servers that crash are back
# after some seconds.
GIVEN_UP_RETENTION_MS: Final = 30_000

MAX_GIVEN_UP: Final = 4_096


@attrs.define(eq=False)
class Exposure:
    """A request that was sent to a server.

    :param digest: digest of the request
    :param parts: its shared prompt parts
    :param server: the server as it was when the request was sent
    :param sent_ms: monotonic time
    :param has_begun: the first event of its answer has arrived
    :param given_up_ms: monotonic time at which its exchange ended without its outcome
        being known, ``None`` before
    :param is_silent: the exchange ended without an error of its connection
    :param is_resolved: the server has answered it, outlived it, or its crash is
        recorded
    """

    digest: str
    parts: tuple[str, ...]
    server: Server
    sent_ms: int
    has_begun: bool = False
    given_up_ms: int | None = None
    is_silent: bool = False
    is_resolved: bool = False

    @property
    def suspect_parts(self) -> tuple[str, ...]:
        """Return the prompt parts that may crash the server.

        Those that do crash it before the first event.
        """
        return () if self.has_begun else self.parts


@attrs.frozen
class LostLifetime:
    """A server that ended without announcing it, and the requests that were at it."""

    server: Server
    exposures: tuple[Exposure, ...]


# A server from its start to its end, by identifier and start time.
_Lifetime = tuple[str, int]


@attrs.define
class _ServerExposures:
    """The requests at one server.

    :param is_leaving: its entry said that it leaves, so its end is planned
    """

    server: Server
    open: list[Exposure] = attrs.Factory(list)
    is_leaving: bool = False


class ExposureTable:
    """The requests that this daemon has sent to servers, until their fate is known.

    Times are monotonic time, in ms.
    """

    def __init__(self) -> None:
        """Initialize without requests."""
        self._lifetimes: dict[_Lifetime, _ServerExposures] = {}
        # The one that was given up last is the last one.
        self._given_up: OrderedDict[Exposure, None] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of requests whose fate is open."""
        return sum(len(lifetime.open) for lifetime in self._lifetimes.values())

    def begin(
        self, digest: str, parts: tuple[str, ...], server: Server, now_ms: int
    ) -> Exposure:
        """Record that a request is sent to a server."""
        exposure = Exposure(digest, parts, server, now_ms)
        key = server.id, server.started_ms
        lifetime = self._lifetimes.setdefault(key, _ServerExposures(server))
        lifetime.open.append(exposure)
        return exposure

    def resolve(self, exposure: Exposure) -> None:
        """Record that the fate of a request is known, and forget it."""
        if exposure.is_resolved:
            return
        exposure.is_resolved = True
        self._given_up.pop(exposure, None)
        key = exposure.server.id, exposure.server.started_ms
        lifetime = self._lifetimes[key]
        lifetime.open.remove(exposure)
        if not lifetime.open:
            del self._lifetimes[key]

    def give_up(self, exposure: Exposure, now_ms: int, is_silent: bool) -> None:
        """Record that an exchange ended without its outcome being known.

        :param is_silent: its connection had no error
        """
        if exposure.is_resolved:
            return
        exposure.given_up_ms, exposure.is_silent = now_ms, is_silent
        self._given_up[exposure] = None
        if len(self._given_up) > MAX_GIVEN_UP:
            self.resolve(next(iter(self._given_up)))

    def hear(self, server: Server, connected_ms: int, now_ms: int) -> None:
        """Record that bytes came from a server.

        They show that it outlived the requests that were given up before now, if the
        connection is older than these: a server that has restarted sends nothing on the
        connections of its earlier lifetime.

        :param connected_ms: time at which the connection was opened
        """
        if not self._given_up:
            return
        lifetime = self._lifetimes.get((server.id, server.started_ms))
        if lifetime is None:
            return
        for exposure in tuple(lifetime.open):
            is_outlived = (
                exposure.given_up_ms is not None
                and connected_ms <= exposure.sent_ms
                and exposure.given_up_ms < now_ms
            )
            if is_outlived:
                self.resolve(exposure)

    def take_lost(self, servers: ServerRegistry, now_ms: int) -> list[LostLifetime]:
        """Return the lifetimes that have ended, and forget their requests.

        Requests at a server that has announced its end are forgotten only.

        :param servers: the servers that are listed now
        """
        for exposure in tuple(self._expired(now_ms)):
            self.resolve(exposure)
        lost = []
        for lifetime in tuple(self._lifetimes.values()):
            server = lifetime.server
            listed = servers.get(server.id)
            if listed is not None and listed.started_ms == server.started_ms:
                lifetime.is_leaving |= listed.state is ServerState.DRAINING
            if not _has_ended(server, servers):
                continue
            exposures = tuple(lifetime.open)
            for exposure in exposures:
                self.resolve(exposure)
            if not lifetime.is_leaving:
                lost.append(LostLifetime(server, exposures))
        return lost

    def _expired(self, now_ms: int) -> Iterator[Exposure]:
        return itertools.takewhile(
            lambda e: (
                e.given_up_ms is not None
                and now_ms - e.given_up_ms >= GIVEN_UP_RETENTION_MS
            ),
            self._given_up,
        )


def _has_ended(server: Server, servers: ServerRegistry) -> bool:
    """Return whether a later start shows that a server's lifetime is over.

    Its machine may come back under another identifier.
    """
    if not server.started_ms:
        return False
    successor = servers.get(server.id) or next(
        (other for other in servers.all() if other.address == server.address), None
    )
    return successor is not None and successor.started_ms > server.started_ms
