"""Members of the fleet: the daemons, as they describe themselves."""

import enum
import zlib

import attrs


class MemberState(enum.Enum):
    """What a daemon believes about another one."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


@attrs.frozen
class PoolDemand:
    """What one daemon wants of one pool for one team, in slots."""

    pool: str
    team: str
    slots: float


@attrs.frozen
class MemberRecord:
    """A daemon as it describes itself.

    :param address: host and port for the peers
    :param operators_address: host and port for operators
    :param version: grows with each change, also over restarts
    :param leaving: it is shutting down
    """

    name: str
    failure_domain: str
    address: str
    operators_address: str = ""
    version: int = 0
    leaving: bool = False
    config_revision: int = 0
    demands: tuple[PoolDemand, ...] = ()

    @property
    def id(self) -> int:
        """Return the short identifier that summaries use."""
        return member_id(self.name)


@attrs.frozen
class Summary:
    """One line for each member: how fresh the sender's knowledge is.

    :param heartbeat: grows while the member lives, also over restarts
    :param version: version of the member's record
    """

    heartbeats: dict[int, int]
    versions: dict[int, int]


def member_id(name: str) -> int:
    """Return the short identifier of a daemon."""
    return zlib.crc32(name.encode())
