"""A lease as its holder knows it, and what it allows."""

import attrs


@attrs.frozen
class HeldLease:
    """A lease that was granted to this daemon.

    :param id: grows with each grant of the platform; serves as fencing number
    :param valid_until_ms: monotonic time; counted from before the grant or renewal was
        sent, so the platform's own end is never earlier
    """

    id: int
    valid_until_ms: int

    def covers(self, now_ms: int, call_ms: int) -> bool:
        """Tell whether a call that starts now ends while the lease is held.

        :param call_ms: longest time that the call may take
        """
        return now_ms + call_ms < self.valid_until_ms


def renew_at_ms(lease: HeldLease, ttl_ms: int) -> int:
    """Return when to renew: early enough for two more tries."""
    return lease.valid_until_ms - ttl_ms * 2 // 3
