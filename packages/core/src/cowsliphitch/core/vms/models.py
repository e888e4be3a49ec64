"""VMs as the platform's list shows them."""

import enum

import attrs


class VmState(enum.Enum):
    """Whether a VM may get new work."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Vm:
    """One VM of the list.

    :param pool: the upstream pool it serves; empty for an entry VM
    :param address: base URL of an upstream, host and port of an entry VM
    """

    name: str
    pool: str
    address: str
    failure_domain: str
    state: VmState = VmState.LIVE


@attrs.frozen
class VmListing:
    """A whole answer of the VM list."""

    vms: tuple[Vm, ...] = ()
