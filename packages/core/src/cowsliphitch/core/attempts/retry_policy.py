"""Whether a request may be sent to another server after a failed attempt.

Fault: servers refuse, crash, lose answers and return corrupt ones while orders that
must run at most once are in flight.  A request is sent again only if it certainly did
not run or if its route allows it to run more than once.
"""

import attrs

from cowsliphitch.core.deployment.models import Route, RouteKind
from cowsliphitch.core.verdict import Verdict

# Refusals that one request may get before it is given up.  Each retry after one is a
# further arrival at a server, which the fleet's retry budget pays for.
MAX_REFUSALS = 3


@attrs.define
class AttemptHistory:
    """Outcomes of the attempts of one request so far.

    :param may_have_run_on: servers at which the request may have run
    :param refusals: number of attempts that certainly did not run
    :param tried_servers: servers of all failed attempts, to exclude from the next one
    """

    may_have_run_on: set[str] = attrs.Factory(set)
    refusals: int = 0
    tried_servers: set[str] = attrs.Factory(set)

    def record(self, server_id: str, verdict: Verdict) -> None:
        """Record the verdict of a failed attempt at a server."""
        self.tried_servers.add(server_id)
        if verdict is Verdict.NOT_RUN:
            self.refusals += 1
        else:
            self.may_have_run_on.add(server_id)

    @property
    def verdict(self) -> Verdict:
        """Return the verdict over all attempts of the request."""
        return Verdict.MAY_HAVE_RUN if self.may_have_run_on else Verdict.NOT_RUN


def may_retry(route: Route, history: AttemptHistory) -> bool:
    """Return whether a request may be sent again, regardless of retry budgets."""
    if history.refusals > MAX_REFUSALS:
        return False
    if not history.may_have_run_on:
        return True
    if len(history.may_have_run_on) >= route.max_attempts:
        return False
    match route.kind:
        case RouteKind.IDEMPOTENT:
            return True
        case RouteKind.STREAM:
            return route.resumable
        case RouteKind.ONCE:
            return False
