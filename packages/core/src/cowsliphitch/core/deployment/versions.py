"""The version of the deployment's settings that this process applies.

Load pattern: versions arrive in quick succession, from the store and from peers
concurrently, late and out of order.  A lower version never replaces a higher one in the
lifetime of a process.
"""

import attrs

from .models import Deployment


@attrs.frozen
class ActiveDeployment:
    """A version of the settings, with its source.

    :param document: the encoded settings as received, to pass on to peers
    :param source: ``store`` or the address of the peer that sent it
    :param activated_ms: monotonic time at which it was activated
    """

    deployment: Deployment
    document: bytes
    source: str
    activated_ms: int


class VersionGuard:
    """Hold the active version, which only increases."""

    def __init__(self) -> None:
        """Initialize without an active version."""
        self.current: ActiveDeployment | None = None

    @property
    def version(self) -> int:
        """Return the active version's number, 0 if there is none."""
        return self.current.deployment.version if self.current else 0

    def activate_if_newer(self, candidate: ActiveDeployment) -> bool:
        """Activate a version if it is higher than the active one.

        :returns: whether it was activated
        """
        if candidate.deployment.version <= self.version:
            return False
        self.current = candidate
        return True
