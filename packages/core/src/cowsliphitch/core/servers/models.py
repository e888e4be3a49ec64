"""Servers of the deployment's services, as the store lists them."""

import enum

import attrs


class ServerState(enum.Enum):
    """What a server says of itself."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen
class Server:
    """One registered server.

    :param address: host and port
    :param slots: requests that it runs at a time
    :param started_ms: Unix time of its start, 0 if it does not say
    :param warmup_remaining_ms: how much longer it stays slow after its start
    """

    id: str
    service: str
    address: str
    failure_domain: str
    state: ServerState
    slots: int
    started_ms: int = 0
    warmup_remaining_ms: int = 0
