"""Commands to list daemons, upstreams and teams, and to read the audit trail."""

from datetime import UTC, datetime

from cleo.helpers import option
from result import Err, Ok

from cowsliphitch.core.clock import MS_PER_SECOND
from cowsliphitch.core.codec import to_builtins

from ..api.models import Audit, DaemonStatus, TeamStatus, UpstreamStatus
from . import const
from .base import COMMON_OPTIONS, BaseCommand
from .client import format_json


class DaemonsCommand(BaseCommand):
    """List the daemons with the revision in force."""

    name = "daemons"
    description = "List the daemons with the revision in force."

    def handle(self) -> int:
        """Print the daemons known to the queried one."""
        match self.client().get("/v1/daemons", tuple[DaemonStatus, ...]):
            case Err(error):
                return self.report_error(error)
            case Ok(daemons):
                pass
        headers = ("DAEMON", "FAILURE DOMAIN", "STATE", "REVISION", "LEAVING")
        rows = [
            (d.name, d.failure_domain, d.state, d.config_revision, d.leaving)
            for d in daemons
        ]
        self.print_result(headers, rows, to_builtins(daemons))
        return const.EXIT_OK


class UpstreamsCommand(BaseCommand):
    """List the upstreams with their state."""

    name = "upstreams"
    description = "List the upstreams with their state."

    def handle(self) -> int:
        """Print the upstreams known to the queried daemon."""
        match self.client().get("/v1/upstreams", tuple[UpstreamStatus, ...]):
            case Err(error):
                return self.report_error(error)
            case Ok(upstreams):
                pass
        headers = ("POOL", "UPSTREAM", "FAILURE DOMAIN", "STATE", "RUNNING", "MS")
        rows = [
            (u.pool, u.name, u.failure_domain, u.state, u.outstanding, u.latency_ms)
            for u in upstreams
        ]
        self.print_result(headers, rows, to_builtins(upstreams))
        return const.EXIT_OK


class TeamsCommand(BaseCommand):
    """List the teams with their shares."""

    name = "teams"
    description = "List the teams with their shares and their requests at one daemon."

    def handle(self) -> int:
        """Print the teams and their requests at the queried daemon."""
        match self.client().get("/v1/teams", tuple[TeamStatus, ...]):
            case Err(error):
                return self.report_error(error)
            case Ok(teams):
                pass
        headers = ("TEAM", "SHARE", "ANSWERED", "REFUSED", "WAITING WORK")
        rows = [(t.name, t.share, t.answered, t.refused, t.waiting_work) for t in teams]
        self.print_result(headers, rows, to_builtins(teams))
        return const.EXIT_OK


class AuditCommand(BaseCommand):
    """Read the audit trail."""

    name = "audit"
    description = "Read the audit trail, newest change first."
    options = [
        *COMMON_OPTIONS,
        option("limit", "l", "Maximum number of changes.", flag=False, default="50"),
    ]

    def handle(self) -> int:
        """Print the stored changes, then those rejected because of a conflict."""
        path = f"/v1/audit?limit={self.option('limit')}"
        match self.client().get(path, Audit):
            case Err(error):
                return self.report_error(error)
            case Ok(audit):
                pass
        if self.option("json"):
            self.line(format_json(to_builtins(audit)))
            return const.EXIT_OK
        stored = [
            (
                change.revision,
                _format_time(change.wall_ms),
                change.who,
                ", ".join(branch.path for branch in change.branches),
                change.note,
            )
            for change in audit.changes
        ]
        headers = ("REVISION", "TIME", "WHO", "BRANCHES", "NOTE")
        self.print_result(headers, stored, None)
        rejected = [
            (f"lost on {r.base_revision}", _format_time(r.wall_ms), r.who, "", r.note)
            for r in audit.rejected
        ]
        if rejected:
            self.print_result(headers, rejected, None)
        return const.EXIT_OK


class DiagnosticsCommand(BaseCommand):
    """Print a daemon's counters."""

    name = "diagnostics"
    description = "Print a daemon's counters as JSON, without secrets."

    def handle(self) -> int:
        """Print the counters as JSON."""
        match self.client().get_json("/v1/diagnostics"):
            case Err(error):
                return self.report_error(error)
            case Ok(counters):
                self.line(format_json(counters))
                return const.EXIT_OK


def _format_time(wall_ms: int) -> str:
    return datetime.fromtimestamp(wall_ms / MS_PER_SECOND, UTC).isoformat(
        "T", "seconds"
    )
