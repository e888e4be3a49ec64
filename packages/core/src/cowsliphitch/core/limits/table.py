"""What this daemon knows of the limits that servers name.

Load pattern: a server in need names in its answers how many requests a second it takes
from all daemons together.  Each daemon sees the answers to its own requests only, and a
limited server answers seldom, so daemons tell each other what they heard from servers
themselves, with its age; the latest holds.  A report is not passed on, or it would
look younger with each daemon that it passes.

A limit ends with an answer that names none, or with the server.  It doesn't expire,
since requests at its rate are enough to learn of its end.

A cold server crashes well above a fixed rate.  Every daemon knows from the store which
servers are cold, so daemons report only what they have sent to them.  If a server is
cold and names a limit, the lower rate applies.
"""

import itertools
import math
from collections import deque
from collections.abc import Iterable, Mapping

import attrs

from cowsliphitch.core.servers.models import Server

from . import const
from .models import (
    ColdChange,
    LimitChange,
    LimitedServer,
    LimitReport,
    NamedLimit,
    RequestRate,
    ServerLimit,
    Unlimited,
    UnreadableLimit,
)


@attrs.frozen
class _Observation:
    """What an answer said.

    :param per_s: requests a second, ``None`` if it named no limit
    :param heard_ms: monotonic time at which the answer arrived
    """

    per_s: float | None
    heard_ms: int
    source: str


@attrs.frozen
class _Cold:
    """The limit of a server because it is cold.

    :param since_ms: monotonic time from which it is known to be cold
    :param until_ms: monotonic time of its end if a peer's request for a permit told of
        it, ``None`` if it follows from the server's entry
    """

    per_s: float
    since_ms: int
    until_ms: int | None = None


@attrs.define
class _Entry:
    """A server that has named a limit or is cold.

    :param latest: latest observation of any daemon
    :param own: latest observation of this daemon
    :param cold: its limit because it is cold, ``None`` if it is warm
    :param started_ms: Unix time of the server's start, ``None`` if not known yet; a
        restart ends the limit
    :param announced: reports of ``own`` since it changed
    :param sent_ms: monotonic times of this daemon's requests within the window
    :param peer_sent: requests of each peer within the window, and when it reported them
    """

    latest: _Observation
    own: _Observation | None = None
    cold: _Cold | None = None
    started_ms: int | None = None
    announced: int = 0
    announced_ms: int = 0
    sent_ms: deque[int] = attrs.Factory(deque)
    peer_sent: dict[str, tuple[int, int]] = attrs.Factory(dict)

    @property
    def per_s(self) -> float | None:
        """Return the lower one of the named and the cold rate."""
        cold_per_s = self.cold.per_s if self.cold else None
        rates = [r for r in (self.latest.per_s, cold_per_s) if r is not None]
        return min(rates, default=None)

    @property
    def is_cold_decisive(self) -> bool:
        """Return whether the server is cold and names no lower limit."""
        return self.cold is not None and self.per_s == self.cold.per_s


class LimitTable:
    """Limits by server, as observed by this daemon and reported by its peers."""

    def __init__(self) -> None:
        """Initialize the table without limits."""
        self._entries: dict[str, _Entry] = {}

    def observe(
        self, server_id: str, named: NamedLimit, now_ms: int
    ) -> LimitChange | None:
        """Record the limit that an answer named, or that it named none.

        An unreadable limit leaves the limit as it was.

        :returns: how the limit changed, ``None`` if it did not
        """
        entry = self._entries.get(server_id)
        match named:
            case UnreadableLimit():
                return None
            case Unlimited():
                # Every answer of a cold server would be news that peers are told of.
                if entry is None or _is_unheard(entry, now_ms):
                    return None
                per_s = None
            case RequestRate(per_s=rate):
                per_s = _effective_rate(rate)
                if per_s is None and entry is None:
                    return None
        observation = _Observation(per_s, now_ms, const.ANSWER_SOURCE)
        if entry is None:
            entry = self._entries[server_id] = _Entry(observation, observation)
            return LimitChange(server_id, per_s, None, observation.source, 0)
        if entry.own is None or entry.own.per_s != per_s:
            entry.announced = 0
        entry.own = observation
        return self._update(server_id, entry, observation, now_ms)

    def merge(
        self, reports: Mapping[str, LimitReport], peer: str, now_ms: int
    ) -> list[LimitChange]:
        """Apply the reports of a peer, by server; return the limits that changed."""
        changes: list[LimitChange | None] = []
        for server_id, report in reports.items():
            heard_ms = now_ms - report.age_ms
            observation = _Observation(report.per_s, heard_ms, peer)
            entry = self._entries.get(server_id)
            if entry is None:
                if report.per_s is None:
                    continue
                entry = self._entries[server_id] = _Entry(observation)
                changes.append(
                    LimitChange(server_id, report.per_s, None, peer, report.age_ms)
                )
            else:
                changes.append(self._update(server_id, entry, observation, now_ms))
            entry.peer_sent[peer] = (report.sent, now_ms)
        return [change for change in changes if change is not None]

    def learn(self, servers: Iterable[LimitedServer], peer: str, now_ms: int) -> None:
        """Apply the limits that a peer knows of, whoever heard them first."""
        for server in servers:
            if server.age_ms >= const.UNHEARD_AGE_MS:
                self._learn_cold(server, now_ms)
                continue
            heard_ms = now_ms - server.age_ms
            observation = _Observation(server.per_s, heard_ms, peer)
            entry = self._entries.get(server.server_id)
            if entry is None:
                self._entries[server.server_id] = _Entry(observation)
            elif heard_ms > entry.latest.heard_ms:
                entry.latest = observation

    def describe(self, server_id: str, now_ms: int) -> LimitedServer | None:
        """Return what is known of a limited server, ``None`` if it is not limited."""
        entry = self._entries.get(server_id)
        if entry is None or entry.per_s is None:
            return None
        age_ms = now_ms - entry.latest.heard_ms
        if entry.is_cold_decisive:
            age_ms = const.UNHEARD_AGE_MS
        return LimitedServer(server_id, entry.per_s, age_ms)

    def set_cold(self, rates: Mapping[str, float], now_ms: int) -> list[ColdChange]:
        """Replace the cold servers, which keep a limit even if they name none.

        :param rates: requests a second by server
        :returns: the servers that became cold or warm
        """
        changes = []
        for server_id, per_s in rates.items():
            entry = self._entries.get(server_id) or self._add_unheard(server_id, now_ms)
            if entry.cold is None or entry.cold.until_ms is not None:
                changes.append(ColdChange(server_id, per_s))
                entry.cold = _Cold(per_s, now_ms)
            elif entry.cold.per_s != per_s:
                entry.cold = attrs.evolve(entry.cold, per_s=per_s)
        for server_id, entry in self._entries.items():
            if entry.cold is None or server_id in rates:
                continue
            if entry.cold.until_ms is None:
                changes.append(ColdChange(server_id, None))
                entry.cold = None
            elif entry.cold.until_ms <= now_ms:
                entry.cold = None
        return changes

    def _learn_cold(self, server: LimitedServer, now_ms: int) -> None:
        """Limit a server for a short time that a peer knows to be cold."""
        entry = self._entries.get(server.server_id) or self._add_unheard(
            server.server_id, now_ms
        )
        if entry.cold is None or entry.cold.until_ms is not None:
            until_ms = now_ms + const.LEARNED_COLD_MS
            entry.cold = _Cold(server.per_s, now_ms, until_ms)

    def _add_unheard(self, server_id: str, now_ms: int) -> _Entry:
        """Add and return an entry for a server that named nothing yet."""
        heard_ms = now_ms - const.UNHEARD_AGE_MS
        observation = _Observation(None, heard_ms, const.COLD_SOURCE)
        entry = self._entries[server_id] = _Entry(observation)
        return entry

    def is_cold(self, server_id: str) -> bool:
        """Return whether a server is limited because it is cold."""
        entry = self._entries.get(server_id)
        return entry is not None and entry.cold is not None

    def _update(
        self, server_id: str, entry: _Entry, observation: _Observation, now_ms: int
    ) -> LimitChange | None:
        previous = entry.latest
        if observation.heard_ms < previous.heard_ms:
            return None
        entry.latest = observation
        if observation.per_s == previous.per_s:
            return None
        return LimitChange(
            server_id,
            observation.per_s,
            previous.per_s,
            observation.source,
            now_ms - observation.heard_ms,
        )

    @property
    def has_own_observations(self) -> bool:
        """Return whether there are observations or sent requests to report."""
        return any(
            entry.own is not None or (entry.cold is not None and entry.sent_ms)
            for entry in self._entries.values()
        )

    def next_reports(self, now_ms: int) -> dict[str, LimitReport]:
        """Return the reports for the next heartbeat, by server.

        Changes go first; otherwise those that were announced longest ago.
        """
        own = [
            (server_id, entry, entry.own)
            for server_id, entry in self._entries.items()
            if entry.own is not None
            or (entry.cold is not None and self._own_sent(entry, now_ms))
        ]
        own.sort(
            key=lambda row: (
                row[1].announced >= const.CHANGE_ANNOUNCEMENTS,
                row[1].announced_ms,
            )
        )
        reports = {}
        for server_id, entry, observation in itertools.islice(
            own, const.MAX_REPORTS_PER_HEARTBEAT
        ):
            entry.announced += 1
            entry.announced_ms = now_ms
            reports[server_id] = LimitReport(
                observation.per_s if observation is not None else None,
                max(0, now_ms - observation.heard_ms)
                if observation is not None
                else const.UNHEARD_AGE_MS,
                self._own_sent(entry, now_ms),
            )
        return reports

    def record_sent(self, server_id: str, now_ms: int) -> None:
        """Record that this daemon sends a request to a server."""
        entry = self._entries.get(server_id)
        if entry is not None:
            entry.sent_ms.append(now_ms)

    def rate_of(self, server_id: str) -> float | None:
        """Return the requests a second that a server takes, ``None`` if unlimited."""
        entry = self._entries.get(server_id)
        return entry.per_s if entry is not None else None

    def sent(self, server_id: str, now_ms: int) -> float:
        """Return the requests of all daemons to a server within the window.

        Those of the peers are as of their latest reports, less the part of them that
        has left the window since.
        """
        entry = self._entries.get(server_id)
        if entry is None:
            return 0.0
        reported = sum(
            count * max(0.0, 1 - (now_ms - reported_ms) / const.WINDOW_MS)
            for count, reported_ms in entry.peer_sent.values()
        )
        return self._own_sent(entry, now_ms) + reported

    def limits(self, now_ms: int) -> list[ServerLimit]:
        """Return the servers that are limited now."""
        return [
            ServerLimit(
                server_id,
                per_s,
                const.COLD_SOURCE if cold is not None else entry.latest.source,
                now_ms - (cold.since_ms if cold is not None else entry.latest.heard_ms),
                round(self.sent(server_id, now_ms), 1),
            )
            for server_id, entry in self._entries.items()
            if (per_s := entry.per_s) is not None
            for cold in (entry.cold if entry.is_cold_decisive else None,)
        ]

    def retain_servers(self, servers: Iterable[Server], now_ms: int) -> None:
        """Evict the limits of unlisted or restarted servers, and those that ended.

        A restarted server that is cold keeps the limit that its new entry gave it.

        :param servers: the servers that are still listed
        """
        if not self._entries:
            return
        started_ms = {server.id: server.started_ms for server in servers}
        for server_id, entry in list(self._entries.items()):
            if entry.started_ms is None:
                entry.started_ms = started_ms.get(server_id)
            has_ended = (
                entry.per_s is None
                and now_ms - entry.latest.heard_ms > const.ENDED_RETENTION_MS
            )
            if has_ended or entry.started_ms != started_ms.get(server_id, -1):
                del self._entries[server_id]
                if entry.cold is not None and server_id in started_ms:
                    restarted = self._add_unheard(server_id, now_ms)
                    restarted.cold = entry.cold
                    restarted.sent_ms = entry.sent_ms
                    restarted.peer_sent = entry.peer_sent

    def _own_sent(self, entry: _Entry, now_ms: int) -> int:
        while entry.sent_ms and entry.sent_ms[0] <= now_ms - const.WINDOW_MS:
            entry.sent_ms.popleft()
        return len(entry.sent_ms)


def _is_unheard(entry: _Entry, now_ms: int) -> bool:
    """Return whether no daemon is known to have heard of a limit."""
    return now_ms - entry.latest.heard_ms >= const.UNHEARD_AGE_MS


def _effective_rate(per_s: float) -> float | None:
    """Return the rate at which requests are sent, ``None`` if it is without bound."""
    return None if math.isinf(per_s) else max(const.MIN_RATE_PER_S, per_s)
