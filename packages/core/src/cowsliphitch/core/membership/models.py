"""Records and summaries that daemons exchange by gossip."""

import enum
import zlib

import attrs


class MemberState(enum.Enum):
    """State that a failure detector assigns to a member."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


@attrs.frozen
class PoolDemand:
    """Demand of one daemon for slots of a pool, on behalf of a team."""

    pool: str
    team: str
    slots: float


@attrs.frozen
class MemberRecord:
    """A daemon's description of itself.

    :param address: host and port for peers
    :param operators_address: host and port for operators
    :param version: increases with each change of the record, also across restarts
    :param leaving: the daemon is shutting down
    :param config_revision: revision of the settings that it applies
    :param demands: its demand for slots, by pool and team
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
        """Return the identifier of this daemon in summaries."""
        return member_id(self.name)


@attrs.frozen
class Summary:
    """Heartbeats and record versions that a daemon has of all members.

    :param heartbeats: by member identifier; increase while the member is running, also
        across restarts
    :param versions: versions of the members' records, by member identifier
    """

    heartbeats: dict[int, int]
    versions: dict[int, int]


def member_id(name: str) -> int:
    """Return the 32-bit identifier of a daemon, a hash of its name."""
    return zlib.crc32(name.encode())
