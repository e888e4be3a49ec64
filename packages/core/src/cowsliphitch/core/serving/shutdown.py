"""Which requests a daemon that stops still takes.

Load pattern: the load balancer sends new connections for seconds after SIGTERM, and
callers send on open connections until they are closed.  An order that is taken late
and cut off at the exit may have run, and its caller can not repeat it; one that is
refused goes to another daemon at once.
"""

from typing import Final

import attrs

from cowsliphitch.core.deployment.models import RouteKind

# The load balancer checks the readiness once a second, and sends new connections until
# two checks have failed.  Requests that may be repeated are taken that long.
BALANCER_REMOVAL_MS: Final = 2_500

# The same as a part of the grace period, if that is short.
MAX_REMOVAL_SHARE: Final = 0.3

# The exit comes this long before the end of the grace period, and requests without an
# answer are refused this long before the exit, so that the refusals are sent.
EXIT_MARGIN_MS: Final = 300
LAST_ANSWERS_MS: Final = 200

# A process that has not ended by itself is ended this long before the end of the grace
# period.
FORCED_EXIT_MARGIN_MS: Final = 200


@attrs.frozen
class ShutdownPlan:
    """Times of a graceful shutdown, in ms since SIGTERM.

    :param grace_ms: time between SIGTERM and SIGKILL
    """

    grace_ms: int

    @property
    def exit_ms(self) -> int:
        """Return when the daemon exits at the latest."""
        return max(0, self.grace_ms - EXIT_MARGIN_MS)

    @property
    def forced_exit_ms(self) -> int:
        """Return when the process is ended if it has not ended by itself."""
        return max(0, self.grace_ms - FORCED_EXIT_MARGIN_MS)

    @property
    def last_answers_ms(self) -> int:
        """Return when requests without an answer are refused."""
        return max(0, self.exit_ms - LAST_ANSWERS_MS)

    @property
    def balancer_removal_ms(self) -> int:
        """Return when the load balancer has stopped sending connections."""
        return min(BALANCER_REMOVAL_MS, round(self.grace_ms * MAX_REMOVAL_SHARE))

    def takes(self, elapsed_ms: int, timeout_ms: int, kind: RouteKind) -> bool:
        """Return whether a new request is taken.

        One that gets its answer before the exit, even if it comes at its deadline, is.
        A stream may go on for long after its first event.

        :param elapsed_ms: time since SIGTERM
        :param timeout_ms: time until the request's deadline
        """
        is_early = elapsed_ms <= self.balancer_removal_ms
        is_answered = elapsed_ms + timeout_ms <= self.last_answers_ms
        match kind:
            case RouteKind.ONCE:
                return is_answered
            case RouteKind.IDEMPOTENT:
                return is_early or is_answered
            case RouteKind.STREAM:
                return is_early
