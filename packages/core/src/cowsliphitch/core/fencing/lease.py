"""Leases as their holder sees them: validity and renewal times.

A daemon holds a duty only while its lease lasts.  A holder that paused past the end
of its lease must not act on it any more.
"""

import attrs

from cowsliphitch.core.revisions import LeaseRef, Revision


@attrs.frozen
class HeldLease:
    """A lease that was granted to this daemon.

    :param acquired_at: revision at which the key of its duty was written
    :param valid_until_ms: expiry in monotonic time, counted from before the grant or
        renewal was sent, so the platform never expires the lease earlier
    """

    lease: LeaseRef
    acquired_at: Revision
    valid_until_ms: int

    @property
    def fencing_token(self) -> int:
        """Return the number that orders this lease among all of its duty."""
        return self.acquired_at.fencing_token

    def covers(self, now_ms: int, call_ms: int) -> bool:
        """Return whether a call that starts now ends before the lease expires.

        :param now_ms: monotonic time
        :param call_ms: timeout of the call
        """
        return now_ms + call_ms < self.valid_until_ms


def renew_at_ms(lease: HeldLease, ttl_ms: int) -> int:
    """Return the monotonic time at which to renew the lease.

    Two thirds of the TTL remain then, which leaves time for two more attempts.
    """
    return lease.valid_until_ms - ttl_ms * 2 // 3
