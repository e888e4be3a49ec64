"""The daemon's view of the deployment, shared by its components.

The view is updated from the store and from heartbeats, so that requests are served
without a call to either and an outage of the store does not stop them.
"""

from typing import Final

import attrs

from cowsliphitch.core.clock import Clock
from cowsliphitch.core.deployment.models import CallerLimits, Deployment
from cowsliphitch.core.deployment.versions import VersionGuard
from cowsliphitch.core.fleet.cells import WHOLE_FLEET, Cell, divide
from cowsliphitch.core.fleet.delays import DelayTable
from cowsliphitch.core.fleet.freshness import FleetFreshness
from cowsliphitch.core.fleet.heartbeat_schedule import MAX_RECIPIENTS
from cowsliphitch.core.fleet.members import MemberTable, hash_duty
from cowsliphitch.core.limits.table import LimitTable
from cowsliphitch.core.overload.loop_delay import LoopDelayMonitor
from cowsliphitch.core.quarantine.exposures import ExposureTable
from cowsliphitch.core.quarantine.prompt_parts import (
    MAX_ANSWERED_REQUESTS,
    MAX_REQUEST_REPORTS_PER_HEARTBEAT,
    EachCrash,
    PromptPartRegistry,
)
from cowsliphitch.core.servers.placement import ServerPlacement
from cowsliphitch.core.servers.registry import ServerRegistry
from cowsliphitch.core.serving.shutdown import ShutdownPlan
from cowsliphitch.core.streams.registry import StreamRegistry

from . import const

# Time after which it is looked again which division of a pool group is in force.
CELLS_TTL_MS: Final = 300


@attrs.define
class _CellsOfGroups:
    """Cells by pool group, until a monotonic time."""

    until_ms: int
    cells: dict[str, tuple[Cell, ...]] = attrs.Factory(dict)


@attrs.define
class GatewayState:
    """Mutable state of one daemon, updated by its coordinators.

    It may be older than that of the store and the peers.

    :param started_ms: Unix time in ms at which this process started
    :param members: the daemons of the platform and the duties that they hold
    :param own_delays_ms: how far behind the cells are that this daemon owns, by hash of
        the duty
    :param delays: the same of the cells that other daemons own, as last heard
    :param versions: the active version of the operator's settings
    :param placement: load and failures of the servers, to choose the least loaded one
    :param server_limits: limits on requests that servers name, or that cold ones have
    :param streams: software versions that began streams
    :param freshness: how old the peers' views of the store are
    :param prompt_parts: prompt parts that are suspected of crashing engines
    :param suspect_requests: requests that are suspected of crashing servers, by digest
    :param exposures: requests at servers, for those that are lost without a sign
    :param loop_delay: how late this daemon's event loop is
    :param stopping: SIGTERM was received
    :param stopping_since_ms: monotonic time of the signal to stop
    :param shutdown_plan: which requests a stopping daemon takes, ``None`` before
        SIGTERM
    :param answer_by_ms: monotonic time at which a stopping daemon refuses the requests
        that have no answer yet, ``None`` before SIGTERM
    """

    clock: Clock
    started_ms: int
    members: MemberTable
    own_delays_ms: dict[int, int] = attrs.Factory(dict)
    delays: DelayTable = attrs.Factory(DelayTable)
    versions: VersionGuard = attrs.Factory(VersionGuard)
    servers: ServerRegistry = attrs.Factory(ServerRegistry)
    placement: ServerPlacement = attrs.Factory(ServerPlacement)
    server_limits: LimitTable = attrs.Factory(LimitTable)
    streams: StreamRegistry = attrs.Factory(StreamRegistry)
    freshness: FleetFreshness = attrs.Factory(FleetFreshness)
    prompt_parts: PromptPartRegistry = attrs.Factory(PromptPartRegistry)
    suspect_requests: PromptPartRegistry = attrs.Factory(
        lambda: PromptPartRegistry(
            EachCrash(), MAX_REQUEST_REPORTS_PER_HEARTBEAT, MAX_ANSWERED_REQUESTS
        )
    )
    exposures: ExposureTable = attrs.Factory(ExposureTable)
    loop_delay: LoopDelayMonitor = attrs.Factory(LoopDelayMonitor)
    stopping: bool = False
    stopping_since_ms: int = 0
    shutdown_plan: ShutdownPlan | None = None
    answer_by_ms: int | None = None
    _cells: _CellsOfGroups | None = None

    @property
    def deployment(self) -> Deployment | None:
        """Return the active settings, ``None`` before the first version."""
        current = self.versions.current
        return current.deployment if current else None

    def limits(self) -> CallerLimits:
        """Return the active limits on callers, or the defaults without settings."""
        deployment = self.deployment
        return deployment.limits if deployment else CallerLimits()

    def is_ready(self) -> bool:
        """Return whether the load balancer should send new connections."""
        return not self.stopping and self.can_serve()

    @property
    def is_large_fleet(self) -> bool:
        """Return whether duties that grow with the fleet are divided."""
        return len(self.members.peers()) > MAX_RECIPIENTS

    def cells(self, group: str) -> tuple[Cell, ...]:
        """Return the cells into which the servers of a pool group are divided."""
        deployment, servers = self.deployment, self.servers.all()
        if deployment is None or not self.is_large_fleet:
            return (WHOLE_FLEET,)
        now, known = self.clock.now_ms(), self._cells
        if known is None or known.until_ms <= now:
            known = self._cells = _CellsOfGroups(now + CELLS_TTL_MS)
        if group not in known.cells:
            known.cells[group] = divide(
                [
                    [server for server in servers if server.service == pool]
                    for pool in deployment.pools_of_group(group)
                ],
                lambda cell: self.members.is_held(
                    hash_duty(duty_name(group, cell)), now
                ),
            )
        return known.cells[group]

    def cell_of(self, group: str, domain: str) -> Cell:
        """Return the cell of a pool group that a failure domain's servers are in."""
        cells = self.cells(group)
        return next((cell for cell in cells if cell.contains(domain)), cells[0])

    def retry_after_ms(self, service: str, default_ms: int) -> int:
        """Return when a caller should return if no server of a service is ready.

        :param default_ms: time in ms unless all servers want no requests for longer, or
            are in evacuated failure domains
        """
        if self.servers.is_evacuated(service):
            return max(default_ms, const.EVACUATED_RETRY_AFTER_MS)
        ends_ms = self.servers.paused(service).values()
        left_ms = min(ends_ms, default=0) - self.clock.now_ms()
        return max(default_ms, left_ms)

    def is_current(self) -> bool:
        """Return whether this daemon knows what the store told any daemon of late."""
        peers = [
            member.address
            for member in self.members.peers()
            if not self.members.is_leaving(member.address)
        ]
        return self.freshness.is_current(peers, self.clock.boot_ms())

    def can_serve(self) -> bool:
        """Return whether settings are active and the servers were listed."""
        return self.deployment is not None and self.servers.has_listing


def duty_name(group: str, cell: Cell = WHOLE_FLEET) -> str:
    """Return the name of the duty to call the servers of a cell of a pool group."""
    return f"stages/{group}@{cell.name}" if cell.name else f"stages/{group}"
