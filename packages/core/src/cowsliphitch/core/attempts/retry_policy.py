"""Whether a request may be sent to another server after an attempt failed.

Load pattern: servers refuse, crash, lose answers and hand out spoilt ones while orders
that must run at most once pass through.  Only what certainly did not run, or may run
more than once, is ever sent again.
"""

import attrs

from cowsliphitch.core.deployment.models import Route, RouteKind
from cowsliphitch.core.verdict import Verdict

# Refusals by servers that one request may meet; each is an arrival that the fleet's
# retry budget pays for.
MAX_REFUSALS = 3


@attrs.define
class AttemptHistory:
    """What the attempts so far have shown.

    :param may_have_run_on: servers at which the request may have run
    :param refusals: attempts that certainly did not run
    """

    may_have_run_on: set[str] = attrs.Factory(set)
    refusals: int = 0
    tried_servers: set[str] = attrs.Factory(set)

    def record(self, server_id: str, verdict: Verdict) -> None:
        """Take over the verdict of an attempt."""
        self.tried_servers.add(server_id)
        if verdict is Verdict.NOT_RUN:
            self.refusals += 1
        else:
            self.may_have_run_on.add(server_id)

    @property
    def verdict(self) -> Verdict:
        """Return what is known of the request as a whole."""
        return Verdict.MAY_HAVE_RUN if self.may_have_run_on else Verdict.NOT_RUN


def may_retry(route: Route, state: AttemptHistory) -> bool:
    """Tell whether a request may be sent once more, before budgets are asked."""
    if state.refusals > MAX_REFUSALS:
        return False
    if not state.may_have_run_on:
        return True
    if len(state.may_have_run_on) >= route.max_attempts:
        return False
    match route.kind:
        case RouteKind.IDEMPOTENT:
            return True
        case RouteKind.STREAM:
            return route.resumable
        case RouteKind.ONCE:
            return False
