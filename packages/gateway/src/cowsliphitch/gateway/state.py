"""What a daemon believes about the deployment, shared by its parts."""

import attrs

from cowsliphitch.core.clock import Clock
from cowsliphitch.core.deployment.models import CallerLimits, Deployment
from cowsliphitch.core.deployment.versions import VersionGuard
from cowsliphitch.core.fleet.members import MemberTable
from cowsliphitch.core.servers.placement import ServerPlacement
from cowsliphitch.core.servers.registry import ServerRegistry


@attrs.define
class GatewayState:
    """Beliefs of one daemon; only its coordinators change them.

    :param lifetime: Unix ms of this process's start
    """

    clock: Clock
    lifetime: int
    members: MemberTable
    versions: VersionGuard = attrs.Factory(VersionGuard)
    servers: ServerRegistry = attrs.Factory(ServerRegistry)
    placement: ServerPlacement = attrs.Factory(ServerPlacement)
    stopping: bool = False
    stopping_since_ms: int = 0

    @property
    def deployment(self) -> Deployment | None:
        """Return the settings in force."""
        current = self.versions.current
        return current.deployment if current else None

    def limits(self) -> CallerLimits:
        """Return the limits on callers in force."""
        deployment = self.deployment
        return deployment.limits if deployment else CallerLimits()

    def ready(self) -> bool:
        """Tell whether new callers should be sent here."""
        return not self.stopping and self.can_serve()

    def can_serve(self) -> bool:
        """Tell whether settings and servers are known."""
        return self.deployment is not None and self.servers.has_listing
