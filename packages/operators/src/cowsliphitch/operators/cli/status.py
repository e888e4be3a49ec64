"""Commands that show the fleet: daemons, upstreams, teams and the audit trail."""

from datetime import UTC, datetime

from cleo.helpers import option
from result import Err, Ok

from cowsliphitch.core.clock import MS_PER_SECOND
from cowsliphitch.core.codec import to_builtins

from ..api.models import Audit, DaemonStatus, TeamStatus, UpstreamStatus
from . import const
from .base import COMMON_OPTIONS, BaseCommand
from .client import dump


class DaemonsCommand(BaseCommand):
    """List the daemons with the revision in force."""

    name = "daemons"
    description = "List the daemons with the revision in force."

    def handle(self) -> int:
        """Show the daemons."""
        match self.client().get("/v1/daemons", tuple[DaemonStatus, ...]):
            case Err(failed):
                return self.fail(failed)
            case Ok(found):
                pass
        headers = ("DAEMON", "FAILURE DOMAIN", "STATE", "REVISION", "LEAVING")
        rows = [
            (d.name, d.failure_domain, d.state, d.config_revision, d.leaving)
            for d in found
        ]
        self.show(headers, rows, to_builtins(found))
        return const.EXIT_OK


class UpstreamsCommand(BaseCommand):
    """List the upstreams with their state."""

    name = "upstreams"
    description = "List the upstreams with their state."

    def handle(self) -> int:
        """Show the upstreams."""
        match self.client().get("/v1/upstreams", tuple[UpstreamStatus, ...]):
            case Err(failed):
                return self.fail(failed)
            case Ok(found):
                pass
        headers = ("POOL", "UPSTREAM", "FAILURE DOMAIN", "STATE", "RUNNING", "MS")
        rows = [
            (u.pool, u.name, u.failure_domain, u.state, u.outstanding, u.latency_ms)
            for u in found
        ]
        self.show(headers, rows, to_builtins(found))
        return const.EXIT_OK


class TeamsCommand(BaseCommand):
    """List the teams with their shares."""

    name = "teams"
    description = "List the teams with their shares, as one daemon served them."

    def handle(self) -> int:
        """Show the teams."""
        match self.client().get("/v1/teams", tuple[TeamStatus, ...]):
            case Err(failed):
                return self.fail(failed)
            case Ok(found):
                pass
        headers = ("TEAM", "SHARE", "ANSWERED", "REFUSED", "WAITING WORK")
        rows = [(t.name, t.share, t.answered, t.refused, t.waiting_work) for t in found]
        self.show(headers, rows, to_builtins(found))
        return const.EXIT_OK


class AuditCommand(BaseCommand):
    """Read the audit trail."""

    name = "audit"
    description = "Read the audit trail, newest change first."
    options = [
        *COMMON_OPTIONS,
        option("limit", "l", "How many changes.", flag=False, default="50"),
    ]

    def handle(self) -> int:
        """Show changes that were stored, then those that lost a race."""
        path = f"/v1/audit?limit={self.option('limit')}"
        match self.client().get(path, Audit):
            case Err(failed):
                return self.fail(failed)
            case Ok(audit):
                pass
        if self.option("json"):
            self.line(dump(to_builtins(audit)))
            return const.EXIT_OK
        stored = [
            (
                change.revision,
                _time(change.wall_ms),
                change.who,
                ", ".join(branch.path for branch in change.branches),
                change.note,
            )
            for change in audit.changes
        ]
        headers = ("REVISION", "TIME", "WHO", "BRANCHES", "NOTE")
        self.show(headers, stored, None)
        lost = [
            (f"lost on {r.base_revision}", _time(r.wall_ms), r.who, "", r.note)
            for r in audit.rejected
        ]
        if lost:
            self.show(headers, lost, None)
        return const.EXIT_OK


class DiagnosticsCommand(BaseCommand):
    """Show a daemon's counters."""

    name = "diagnostics"
    description = "Show a daemon's counters as JSON, without secrets."

    def handle(self) -> int:
        """Show the counters."""
        match self.client().get_plain("/v1/diagnostics"):
            case Err(failed):
                return self.fail(failed)
            case Ok(found):
                self.line(dump(found))
                return const.EXIT_OK


def _time(wall_ms: int) -> str:
    return datetime.fromtimestamp(wall_ms / MS_PER_SECOND, UTC).isoformat(
        "T", "seconds"
    )
