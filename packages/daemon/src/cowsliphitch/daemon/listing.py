"""Upstreams that exist, and those that are shutting down."""

from collections.abc import Callable, Iterable

from cowsliphitch.core.vms.models import VmListing, VmState
from cowsliphitch.upstreams.pool.registry import ListedUpstream, PoolRegistry


class UpstreamListing:
    """Combines the platform's VM list with peers' reports of leaving upstreams.

    A peer may have read a newer VM list.  A VM that any daemon saw leaving counts as
    leaving until it disappears from the list, even if a list shows it as live again.

    :param on_entry_addresses: called with the addresses of the entry VMs in each list
    :param on_leaving: called when the VM list shows an upstream as leaving that was
        not yet known to leave
    """

    def __init__(
        self,
        pool_registry: PoolRegistry,
        on_entry_addresses: Callable[[Iterable[str]], None],
        on_leaving: Callable[[], None],
    ) -> None:
        """Initialize with an empty VM list."""
        self._pool_registry = pool_registry
        self._on_entry_addresses = on_entry_addresses
        self._on_leaving = on_leaving
        self._listing = VmListing()
        self._leaving: set[str] = set()

    def apply(self, listing: VmListing) -> None:
        """Apply a VM list that differs from the last, and update the pools."""
        self._listing = listing
        listed = {vm.name for vm in listing.vms}
        leaving = {vm.name for vm in listing.vms if vm.state is VmState.LEAVING}
        newly_leaving = leaving - self._leaving
        self._leaving = (self._leaving | leaving) & listed
        self._on_entry_addresses(vm.address for vm in listing.vms if not vm.pool)
        self._update_pools()
        if newly_leaving:
            self._on_leaving()

    def leaving(self) -> tuple[str, ...]:
        """Return the sorted names of the VMs that are known to be leaving."""
        return tuple(sorted(self._leaving))

    def add_leaving(self, names: tuple[str, ...]) -> None:
        """Record VMs that a peer reports as leaving; ignore unlisted ones."""
        listed = {vm.name for vm in self._listing.vms}
        newly_leaving = (set(names) & listed) - self._leaving
        if newly_leaving:
            self._leaving |= newly_leaving
            self._update_pools()

    def _update_pools(self) -> None:
        self._pool_registry.set_listed_upstreams(
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
