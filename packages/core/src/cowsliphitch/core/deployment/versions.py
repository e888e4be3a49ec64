"""Which version of the deployment's settings is in force in this process.

Load pattern: versions in quick succession, from the store and from peers at once, late
and out of order.  A lower version never replaces a higher one in a process's life.
"""

import attrs

from .models import Deployment


@attrs.frozen
class ActiveDeployment:
    """The version in force, and how it arrived.

    :param source: ``store`` or the name of the peer that passed it on
    :param activated_ms: monotonic time at which it came into force
    """

    deployment: Deployment
    document: bytes
    source: str
    activated_ms: int


class VersionGuard:
    """Take versions upwards only."""

    def __init__(self) -> None:
        """Start without settings."""
        self.current: ActiveDeployment | None = None

    @property
    def version(self) -> int:
        """Return the version in force, 0 while there is none."""
        return self.current.deployment.version if self.current else 0

    def activate_if_newer(self, candidate: ActiveDeployment) -> bool:
        """Put a version in force if it is newer; tell whether it is now."""
        if candidate.deployment.version <= self.version:
            return False
        self.current = candidate
        return True
