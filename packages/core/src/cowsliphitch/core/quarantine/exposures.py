"""Requests at servers, and which of them were lost when a server restarted.

Fault: a machine that crashes may fall silent.  Its connections stay open, it refuses
none, and the callers leave, so that no request fails with the crash.  A cut link looks
the same.  What tells them apart is the server's start time: the entry of a machine that
crashed comes back with a later one, or another server starts at its address.

A request counts as lost if it was at the server until then, or was given up while the
server may have been silent already.

A server may crash again before its later start is read.  A connection that was opened
after a crash was detected, or after another one was lost with an error, goes to a later
lifetime: its loss is another crash, and while it is open, its request is not lost.
"""

import itertools
from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator
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
    :param connected_ms: monotonic time at which its connection was opened
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
    connected_ms: int
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
    """A server that ended without announcing it, and the requests that were at it.

    :param crashes: the requests that were lost, by crash.  The first crash is the last
        one that was detected already, if any, and may have lost no further request
    """

    server: Server
    crashes: tuple[tuple[Exposure, ...], ...]

    @property
    def exposures(self) -> tuple[Exposure, ...]:
        """Return the requests that were lost in any of the crashes."""
        return tuple(itertools.chain.from_iterable(self.crashes))


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
        self,
        digest: str,
        parts: tuple[str, ...],
        server: Server,
        connected_ms: int,
        now_ms: int,
    ) -> Exposure:
        """Record that a request is sent to a server.

        :param connected_ms: time at which its connection was opened
        """
        exposure = Exposure(digest, parts, server, now_ms, connected_ms)
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

    def take_lost(
        self,
        servers: ServerRegistry,
        now_ms: int,
        crashed_ms_of: Callable[[Server], int | None] = lambda _server: None,
    ) -> list[LostLifetime]:
        """Return the lifetimes that have ended, and forget their requests.

        Requests at a server that has announced its end are forgotten only.  Those that
        a later lifetime of the server may still answer are kept for that.

        :param servers: the servers that are listed now
        :param crashed_ms_of: returns when the last crash of a server with this start
            was detected, ``None`` if none was
        """
        for exposure in tuple(self._expired(now_ms)):
            self.resolve(exposure)
        lost = []
        for lifetime in tuple(self._lifetimes.values()):
            server = lifetime.server
            listed = servers.get(server.id)
            if listed is not None and listed.started_ms == server.started_ms:
                lifetime.is_leaving |= listed.state is ServerState.DRAINING
            successor = _successor(server, servers)
            if successor is None:
                continue
            crashes = _divide_by_crash(lifetime.open, crashed_ms_of(server))
            if not lifetime.is_leaving:
                for later in crashes[1:]:
                    for exposure in itertools.filterfalse(
                        _is_lost_with_error, tuple(later)
                    ):
                        later.remove(exposure)
                        self._move(exposure, successor)
            for exposure in tuple(lifetime.open):
                self.resolve(exposure)
            self._lifetimes.pop((server.id, server.started_ms), None)
            if not lifetime.is_leaving and any(crashes):
                lost.append(LostLifetime(server, tuple(map(tuple, crashes))))
        return lost

    def _move(self, exposure: Exposure, successor: Server) -> None:
        """Assign a request to the server's later lifetime."""
        self._lifetimes[exposure.server.id, exposure.server.started_ms].open.remove(
            exposure
        )
        exposure.server = successor
        key = successor.id, successor.started_ms
        self._lifetimes.setdefault(key, _ServerExposures(successor)).open.append(
            exposure
        )

    def _expired(self, now_ms: int) -> Iterator[Exposure]:
        return itertools.takewhile(
            lambda e: (
                e.given_up_ms is not None
                and now_ms - e.given_up_ms >= GIVEN_UP_RETENTION_MS
            ),
            self._given_up,
        )


def _is_lost_with_error(exposure: Exposure) -> bool:
    return exposure.given_up_ms is not None and not exposure.is_silent


def _divide_by_crash(
    exposures: Iterable[Exposure], crashed_ms: int | None
) -> list[list[Exposure]]:
    """Return requests at a server by the crash that their connections can be lost in.

    :param crashed_ms: when the first of these crashes was detected, ``None`` if it was
        not
    """
    crashes: list[list[Exposure]] = [[]]
    end_ms = crashed_ms
    for exposure in sorted(exposures, key=lambda e: e.connected_ms):
        if end_ms is not None and exposure.connected_ms > end_ms:
            crashes.append([])
            end_ms = None
        crashes[-1].append(exposure)
        if exposure.given_up_ms is not None and not exposure.is_silent:
            lost_ms = exposure.given_up_ms
            end_ms = lost_ms if end_ms is None else min(end_ms, lost_ms)
    return crashes


def _successor(server: Server, servers: ServerRegistry) -> Server | None:
    """Return the listed server whose later start shows that a lifetime is over.

    Its machine may come back under another identifier.
    """
    if not server.started_ms:
        return None
    successor = servers.get(server.id) or next(
        (other for other in servers.all() if other.address == server.address), None
    )
    if successor is None or successor.started_ms <= server.started_ms:
        return None
    return successor
