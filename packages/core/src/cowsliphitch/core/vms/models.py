"""VMs as the platform's list shows them."""

import enum
import zlib

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
    """A whole answer of the VM list.

    :param seen_ms: when the platform gave it, to this daemon or to a peer, Unix epoch;
        0 before the first
    """

    vms: tuple[Vm, ...] = ()
    seen_ms: int = 0

    @property
    def checksum(self) -> int:
        """Return a number by which peers tell that their VMs are the same."""
        return zlib.crc32(repr(self.vms).encode())
