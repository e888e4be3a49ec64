"""Grants of requests to servers that name a limit.

Load pattern: a server takes one request a second from all daemons together, and 7 to 90
daemons have requests for it, most of them none and some many.  An equal part for each
daemon would be one request in a minute, most parts would be lost, and what daemons tell
each other about their requests is older than the time between two of them.  Therefore
one daemon of a service grants every request to the service's limited servers, at their
full rate.  A daemon that may not be the only one, since it is cut off or the granting
daemon doesn't answer, grants at a share of the rate.  The requests that the daemons
report to have sent bound both, also when another daemon takes over.

A cold server crashes in a burst that a server with a named limit would survive: dozens
of daemons that lose the granting daemon together, each with one request to grant at
once, send dozens within a second.  A share of a cold server's rate therefore begins
with the same share of a request.
"""

from collections.abc import Sequence

import attrs

from cowsliphitch.core.clock import MS_PER_SECOND, seconds

from . import const
from .models import Decision, Denied, Granted
from .table import LimitTable


@attrs.define
class _Bucket:
    """Token bucket of one server.

    :param level: requests that may be sent at once; negative while granted requests
        wait
    :param updated_ms: monotonic time of ``level``
    :param promised_ms: monotonic time at which the last denied request may return
    """

    level: float
    updated_ms: int
    promised_ms: float = 0.0


class RateGrants:
    """Decide when requests may be sent to limited servers."""

    def __init__(self, table: LimitTable) -> None:
        """Initialize without buckets.

        :param table: the servers' limits
        """
        self._table = table
        self._buckets: dict[str, _Bucket] = {}

    def decide(
        self, server_ids: Sequence[str], share: float, max_wait_ms: float, now_ms: int
    ) -> Decision:
        """Grant a request to the server that takes it first, or deny it.

        :param server_ids: the preferred server first
        :param share: part of the servers' rates that this daemon may grant
        :param max_wait_ms: longest time until the request may be sent
        """
        waits_ms = [self.wait_ms(s, share, now_ms) for s in server_ids]
        wait_ms = min(waits_ms)
        server_id = server_ids[waits_ms.index(wait_ms)]
        bucket = self._buckets.get(server_id)
        if bucket is None:
            return Granted(server_id)
        if self._table.is_cold(server_id):
            max_wait_ms = min(max_wait_ms, const.MAX_COLD_WAIT_MS)
        if wait_ms <= max_wait_ms:
            bucket.level -= 1
            return Granted(server_id, round(wait_ms))
        return Denied(server_id, self._promise(server_id, bucket, wait_ms, now_ms))

    def _promise(
        self, server_id: str, bucket: _Bucket, wait_ms: float, now_ms: int
    ) -> int:
        """Return when a denied request may return, one interval after the one before.

        Requests that return at the same time would only be denied again.
        """
        rate = self._table.rate_of(server_id) or const.MIN_RATE_PER_S
        return_ms = max(now_ms + wait_ms, bucket.promised_ms + MS_PER_SECOND / rate)
        return_ms = min(return_ms, now_ms + const.MAX_RETRY_AFTER_MS)
        bucket.promised_ms = return_ms
        return round(return_ms - now_ms)

    def wait_ms(self, server_id: str, share: float, now_ms: int) -> float:
        """Return the time until a server may get one more request.

        :param share: part of the server's rate that this daemon may grant
        """
        rate = self._table.rate_of(server_id)
        if rate is None:
            self._buckets.pop(server_id, None)
            return 0.0
        bucket = self._refill(server_id, rate, share, now_ms)
        wait_ms = max(0.0, 1 - bucket.level) / (rate * share) * MS_PER_SECOND
        window_room = self._window_room(server_id, rate, now_ms)
        if window_room < 1:
            wait_ms = max(wait_ms, (1 - window_room) / rate * MS_PER_SECOND)
        return wait_ms

    def _refill(
        self, server_id: str, rate: float, share: float, now_ms: int
    ) -> _Bucket:
        bucket = self._buckets.get(server_id)
        initial_level, burst = const.INITIAL_LEVEL, const.BURST
        if self._table.is_cold(server_id):
            initial_level *= share
            # A bucket that holds less than one request would never grant any.
            burst = max(1.0, burst * share)
        if bucket is None:
            # Requests that another daemon granted are not counted exactly.
            bucket = self._buckets[server_id] = _Bucket(initial_level, now_ms)
        elapsed_s = seconds(max(0, now_ms - bucket.updated_ms))
        bucket.level = min(burst, bucket.level + elapsed_s * rate * share)
        bucket.updated_ms = now_ms
        return bucket

    def _window_room(self, server_id: str, rate: float, now_ms: int) -> float:
        """Return the requests that all daemons may still send within the window."""
        allowed = rate * seconds(const.WINDOW_MS) + const.BURST
        return allowed - self._table.sent(server_id, now_ms)

    def retain_limited(self) -> None:
        """Evict the buckets of servers that are no longer limited."""
        for server_id in list(self._buckets):
            if self._table.rate_of(server_id) is None:
                del self._buckets[server_id]
