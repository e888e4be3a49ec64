"""Load balancing over the servers of a service without model engines.

Load pattern: servers have few slots and an objective of some hundred ms, several
daemons send to them at once, some are slow and some fail requests while their health
checks pass.  Each daemon counts its own requests in flight exactly, and has those of
its peers as of their last heartbeat.

Load pattern: servers become slower by a multiple for a second or two and say so in
their answers, and many daemons share a few servers, so that each of them gets an answer
of a server only every ten seconds.  Daemons pass the latest report of each server on
with their heartbeats, and its weight falls with its age.
"""

import bisect
import random
from collections import Counter, deque
from collections.abc import Mapping, Sequence
from typing import Final

import attrs

from cowsliphitch.core.requests.models import Load

from .load import ServerLoad, ServerReport
from .models import Server

# Time for which other servers are preferred to an unreachable one; crashes last
# seconds.
UNREACHABLE_BACKOFF_MS: Final = 1_500

# Weight of the latest answer in the moving average of a server's latency, and the upper
# bound of that average as a multiple of the median server's.
LATENCY_EWMA_WEIGHT: Final = 0.25
MAX_SLOWDOWN: Final = 10.0

# Weight of a failure in the moving average of a server's failure rate, the half-life of
# that rate, and the requests per slot that a rate of 1 is equivalent to.  A partially
# failing server is avoided while its rate is above the others', and tried again as the
# rate decays.
FAILURE_EWMA_WEIGHT: Final = 0.3
FAILURE_HALF_LIFE_MS: Final = 4_000
FAILURE_RATE_LOAD: Final = 8.0


# Time for which a peer's requests in flight count: longer than requests at servers
# without engines take.  In a large fleet, each peer is heard of only now and then.
PEER_LOADS_TTL_MS: Final = 2_000


# Time in which a server's report loses half of its weight, and after which it has none
# (measured in docs/design/pace.md).
REPORT_HALF_LIFE_MS: Final = 300
MAX_REPORT_AGE_MS: Final = 1_000

# Weight of the latest report in the moving average of a server's pace.
PACE_EWMA_WEIGHT: Final = 0.05

# The load of servers that report their pace is varied at random by this share.  Daemons
# with the same reports would otherwise all choose the same server.
LOAD_VARIATION: Final = 0.1


@attrs.frozen
class _KnownReport:
    """A server's report and the monotonic time at which it was made."""

    requests: int
    pace: float
    made_ms: int

    def weight(self, now_ms: int) -> float:
        """Return the report's weight, from 0 to 1."""
        age_ms = now_ms - self.made_ms
        if age_ms > MAX_REPORT_AGE_MS:
            return 0.0
        return float(0.5 ** (age_ms / REPORT_HALF_LIFE_MS))


@attrs.frozen
class _PeerLoads:
    """A peer's requests in flight, by server, and when it reported them."""

    loads: Mapping[str, ServerLoad]
    heard_ms: int


@attrs.define
class _ServerStats:
    """This daemon's statistics on one server.

    :param running: requests in flight from this daemon
    :param backoff_until_ms: monotonic time until which other servers are preferred
    :param latency_ms: moving average of the time to an answer's head, 0 before the
        first answer
    :param failure_rate: moving average of failures, from 0 to 1, as of
        ``last_failure_ms``
    :param report: the server's latest report, ``None`` if it reports no pace
    :param mean_pace: moving average of the paces in its reports
    :param sent_ms: times at which requests were sent, of the last second
    :param ended_ms: times at which requests ended, of the last second
    """

    running: int = 0
    backoff_until_ms: int = 0
    latency_ms: float = 0.0
    failure_rate: float = 0.0
    last_failure_ms: int = 0
    report: _KnownReport | None = None
    mean_pace: float = 1.0
    sent_ms: deque[int] = attrs.Factory(deque)
    ended_ms: deque[int] = attrs.Factory(deque)

    def started_since(self, time_ms: int) -> int:
        """Return by how many the requests in flight have increased."""
        sent = len(self.sent_ms) - bisect.bisect_right(self.sent_ms, time_ms)
        ended = len(self.ended_ms) - bisect.bisect_right(self.ended_ms, time_ms)
        return sent - ended

    def set_report(self, report: _KnownReport) -> None:
        """Set the server's latest report."""
        self.report = report
        self.mean_pace += PACE_EWMA_WEIGHT * (report.pace - self.mean_pace)


class ServerPlacement:
    """Choose servers by load, latency and failure rate, and track these figures."""

    def __init__(self) -> None:
        """Initialize without statistics on servers and loads of peers."""
        self._rng = random.Random(0)
        self._stats: dict[str, _ServerStats] = {}
        self._listed: tuple[Server, ...] = ()
        self._listed_ids: frozenset[str] = frozenset()
        self._peer_loads: dict[str, _PeerLoads] = {}
        # Sum over all peers, by server.
        self._peer_running: Counter[str] = Counter()

    def set_peer_loads(
        self, peer: str, loads: Mapping[str, ServerLoad], now_ms: int
    ) -> None:
        """Replace a peer's requests in flight, and adopt its later reports.

        :param loads: what the peer knows, by server identifier
        """
        self.remove_peer(peer)
        for server_id, load in loads.items():
            if load.report is not None:
                self._adopt(server_id, load.report, now_ms)
        if loads:
            self._peer_loads[peer] = _PeerLoads(loads, now_ms)
            for server_id, load in loads.items():
                self._peer_running[server_id] += load.running

    def remove_peer(self, peer: str) -> None:
        """Remove the requests in flight of a peer that is no longer live."""
        known = self._peer_loads.pop(peer, None)
        if known is None:
            return
        for server_id, load in known.loads.items():
            self._peer_running[server_id] -= load.running
            if not self._peer_running[server_id]:
                del self._peer_running[server_id]

    def expire_peer_loads(self, now_ms: int) -> None:
        """Remove the requests in flight that peers reported some time ago."""
        expired = [
            peer
            for peer, known in self._peer_loads.items()
            if now_ms - known.heard_ms > PEER_LOADS_TTL_MS
        ]
        for peer in expired:
            self.remove_peer(peer)

    def own_loads(self, now_ms: int) -> dict[str, ServerLoad]:
        """Return what this daemon knows by server, for its heartbeats."""
        loads = {
            server_id: ServerLoad(stats.running, _recent_report(stats, now_ms))
            for server_id, stats in self._stats.items()
        }
        return {
            server_id: load
            for server_id, load in loads.items()
            if load.running > 0 or load.report is not None
        }

    def record_load(self, server_id: str, load: Load, now_ms: int) -> None:
        """Record the load that a server reported with an answer."""
        stats = self._stats_of(server_id)
        if load.pace is None:
            stats.report = None
            return
        requests = load.running + load.waiting
        stats.set_report(_KnownReport(requests, load.pace, now_ms))

    def _adopt(self, server_id: str, report: ServerReport, now_ms: int) -> None:
        """Adopt a peer's report of a server if it is later than the known one."""
        stats, made_ms = self._stats_of(server_id), now_ms - report.age_ms
        if stats.report is None or stats.report.made_ms < made_ms:
            stats.set_report(_KnownReport(report.requests, report.pace, made_ms))

    def choose(
        self,
        servers: Sequence[Server],
        now_ms: int,
        excluded: frozenset[str] = frozenset(),
    ) -> Server | None:
        """Return the least loaded server for a request; ties are broken at random.

        Servers in backoff are chosen only if there is no other.

        :param excluded: servers that already failed this request
        :returns: ``None`` if no server is eligible
        """
        return next(iter(self.ranked(servers, now_ms, excluded)), None)

    def ranked(
        self,
        servers: Sequence[Server],
        now_ms: int,
        excluded: frozenset[str] = frozenset(),
    ) -> list[Server]:
        """Return the eligible servers, the least loaded first; ties are random.

        :param excluded: servers that already failed this request
        """
        eligible = [s for s in servers if s.id not in excluded]
        healthy = [
            s for s in eligible if self._stats_of(s.id).backoff_until_ms <= now_ms
        ]
        candidates = healthy or eligible
        latencies_ms = [
            latency_ms
            for s in candidates
            if (latency_ms := self._stats_of(s.id).latency_ms) > 0
        ]
        median_ms = (
            sorted(latencies_ms)[len(latencies_ms) // 2] if latencies_ms else 0.0
        )
        if any(self._stats_of(s.id).report is not None for s in candidates):
            paces = [self._stats_of(s.id).mean_pace for s in candidates]
            mean_pace = sum(paces) / len(paces)
            return sorted(
                candidates, key=lambda s: self._paced_load(s, mean_pace, now_ms)
            )
        return sorted(
            candidates,
            key=lambda s: (self._load(s, median_ms, now_ms), self._rng.random()),
        )

    def _paced_load(self, server: Server, mean_pace: float, now_ms: int) -> float:
        """Return the load of a server of a service whose servers report their pace.

        Requests of others count only where all together exceed the server's slots: a
        free slot is as good as another, and all daemons would choose the server that
        last reported the fewest.  A server without a recent report is taken to have the
        mean pace, so that one that was not slow a moment ago is preferred to it.
        Latencies of this daemon's own requests are not used: each of them is older than
        the slow times of the servers.

        :param mean_pace: mean pace of the service's servers
        """
        stats = self._stats_of(server.id)
        known = stats.running + self._peer_running.get(server.id, 0)
        slots, requests, pace = max(1, server.slots), float(known), mean_pace
        if stats.report is not None:
            weight = stats.report.weight(now_ms)
            reported = stats.report.requests + stats.started_since(stats.report.made_ms)
            requests += weight * (max(stats.running, reported) - known)
            pace += weight * (stats.report.pace - mean_pace)
        queueing = 1 + max(0.0, requests + 1 - slots) / slots
        load = (stats.running + 1) / slots * pace * queueing
        load *= self._rng.uniform(1 - LOAD_VARIATION, 1 + LOAD_VARIATION)
        return load + self._failure_rate(stats, now_ms) * FAILURE_RATE_LOAD

    def _load(self, server: Server, median_ms: float, now_ms: int) -> float:
        """Return a server's requests per slot, increased if it is slow or fails."""
        stats = self._stats_of(server.id)
        running = stats.running + self._peer_running.get(server.id, 0)
        slowdown = 1.0
        if median_ms and stats.latency_ms:
            slowdown = min(MAX_SLOWDOWN, max(1.0, stats.latency_ms / median_ms))
        load = (running + 1) / max(1, server.slots) * slowdown
        return load + self._failure_rate(stats, now_ms) * FAILURE_RATE_LOAD

    def _failure_rate(self, stats: _ServerStats, now_ms: int) -> float:
        age_ms = now_ms - stats.last_failure_ms
        return float(stats.failure_rate * 0.5 ** (age_ms / FAILURE_HALF_LIFE_MS))

    def record_sent(self, server_id: str, now_ms: int) -> None:
        """Count a request sent to a server as in flight."""
        stats = self._stats_of(server_id)
        stats.running += 1
        _append_recent(stats.sent_ms, now_ms)

    def record_end(self, server_id: str, now_ms: int) -> None:
        """Count a request as no longer in flight, whatever its result."""
        stats = self._stats_of(server_id)
        stats.running -= 1
        _append_recent(stats.ended_ms, now_ms)

    def record_answer(self, server_id: str, latency_ms: int) -> None:
        """Record a successful answer in a server's latency and failure rate.

        :param latency_ms: time from the request to the answer's head
        """
        stats = self._stats_of(server_id)
        if stats.latency_ms == 0:
            stats.latency_ms = latency_ms
        stats.latency_ms += LATENCY_EWMA_WEIGHT * (latency_ms - stats.latency_ms)
        stats.failure_rate *= 1 - FAILURE_EWMA_WEIGHT / 2

    def record_failure(self, server_id: str, now_ms: int, unreachable: bool) -> None:
        """Record a failed request in a server's failure rate.

        :param unreachable: the server takes no requests at all, so that it also enters
            backoff
        """
        stats = self._stats_of(server_id)
        rate = self._failure_rate(stats, now_ms)
        stats.failure_rate = rate + FAILURE_EWMA_WEIGHT * (1 - rate)
        stats.last_failure_ms = now_ms
        if unreachable:
            stats.backoff_until_ms = now_ms + UNREACHABLE_BACKOFF_MS

    def retain_servers(self, servers: tuple[Server, ...]) -> None:
        """Evict the statistics of unlisted servers without requests in flight.

        :param servers: the servers that are still listed
        """
        if servers is not self._listed:
            self._listed = servers
            self._listed_ids = frozenset(server.id for server in servers)
        unused = [
            server_id
            for server_id, stats in self._stats.items()
            if stats.running <= 0 and server_id not in self._listed_ids
        ]
        for server_id in unused:
            del self._stats[server_id]

    def _stats_of(self, server_id: str) -> _ServerStats:
        return self._stats.setdefault(server_id, _ServerStats())


def _append_recent(times_ms: deque[int], now_ms: int) -> None:
    times_ms.append(now_ms)
    while times_ms[0] < now_ms - MAX_REPORT_AGE_MS:
        times_ms.popleft()


def _recent_report(stats: _ServerStats, now_ms: int) -> ServerReport | None:
    report = stats.report
    if report is None or not report.weight(now_ms):
        return None
    return ServerReport(report.requests, report.pace, now_ms - report.made_ms)
