"""VMs, as reported by the platform's VM list."""

import enum
import zlib

import attrs


class VmState(enum.Enum):
    """State of a VM; one that is leaving gets no new requests."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Vm:
    """An entry VM or upstream VM of the list.

    :param pool: the upstream pool that it belongs to; empty for an entry VM
    :param address: base URL of an upstream, host and port of an entry VM
    """

    name: str
    pool: str
    address: str
    failure_domain: str
    state: VmState = VmState.LIVE


@attrs.frozen
class VmListing:
    """A complete answer of the VM list.

    :param seen_ms: Unix time at which the platform returned it, to this daemon or to a
        peer; 0 before the first answer
    """

    vms: tuple[Vm, ...] = ()
    seen_ms: int = 0

    @property
    def checksum(self) -> int:
        """Return a checksum of the VMs, for peers to compare their lists by.

        It covers the names of :class:`Vm`, :class:`VmState` and their members; daemons
        of builds in which these differ see their lists as different.
        """
        return zlib.crc32(repr(self.vms).encode())
