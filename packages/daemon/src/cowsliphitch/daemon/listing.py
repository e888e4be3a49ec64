"""Which upstreams there are, and which of them are leaving."""

from collections.abc import Callable, Iterable

from cowsliphitch.core.vms.models import VmListing, VmState
from cowsliphitch.upstreams.pool.registry import ListedUpstream, PoolRegistry


class UpstreamListing:
    """The platform's list, and peers' news of who is leaving.

    A VM that anybody saw leaving stays leaving until the list drops it.

    :param on_entry_vms: hears the addresses of the daemons that the platform lists
    :param on_leaving: hears that an upstream was first seen leaving here
    """

    def __init__(
        self,
        registry: PoolRegistry,
        on_entry_vms: Callable[[Iterable[str]], None],
        on_leaving: Callable[[], None],
    ) -> None:
        """Start with no VMs."""
        self._registry = registry
        self._on_entry_vms = on_entry_vms
        self._on_leaving = on_leaving
        self._listing = VmListing()
        self._leaving: set[str] = set()

    def take(self, listing: VmListing) -> None:
        """Take over a listing whose VMs differ from the last."""
        self._listing = listing
        listed = {vm.name for vm in listing.vms}
        leaving = {vm.name for vm in listing.vms if vm.state is VmState.LEAVING}
        fresh = leaving - self._leaving
        self._leaving = (self._leaving | leaving) & listed
        self._on_entry_vms(vm.address for vm in listing.vms if not vm.pool)
        self._set_members()
        if fresh:
            self._on_leaving()

    def leaving(self) -> tuple[str, ...]:
        """Return the upstreams that are known to leave."""
        return tuple(sorted(self._leaving))

    def learn_leaving(self, names: tuple[str, ...]) -> None:
        """Take over what a peer knows of leaving upstreams."""
        listed = {vm.name for vm in self._listing.vms}
        fresh = (set(names) & listed) - self._leaving
        if fresh:
            self._leaving |= fresh
            self._set_members()

    def _set_members(self) -> None:
        self._registry.set_listed_upstreams(
            ListedUpstream(
                vm.name,
                vm.pool,
                vm.address,
                vm.failure_domain,
                vm.name in self._leaving,
            )
            for vm in self._listing.vms
            if vm.pool
        )
