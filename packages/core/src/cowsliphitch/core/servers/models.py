"""Servers of the deployment's services, as the store lists them."""

import enum

import attrs


class ServerState(enum.Enum):
    """State that a server registers: it takes new requests, or is shutting down."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen
class Server:
    """A registered server.

    :param address: host and port
    :param slots: requests that it runs concurrently
    :param started_ms: Unix time of its start, 0 if it did not register one
    :param warmup_remaining_ms: time for which it remains cold, from when its entry was
        read
    :param version: version of its software, empty if it did not register one;
        versions have no order
    """

    id: str
    service: str
    address: str
    failure_domain: str
    state: ServerState
    slots: int
    started_ms: int = 0
    warmup_remaining_ms: int = 0
    version: str = ""
