"""Load of a server as daemons know it, and as they report it to their peers."""

import attrs


@attrs.frozen
class ServerReport:
    """What a server last reported of itself with an answer.

    :param requests: running and waiting requests, of all daemons
    :param pace: how long work takes there, 1.0 is normal
    :param age_ms: time since it was reported, at most
    """

    requests: int
    pace: float
    age_ms: int = 0


@attrs.frozen
class ServerLoad:
    """What one daemon knows of the load of a server.

    :param running: requests of this daemon without a complete answer
    :param report: the latest report that it or a peer got from the server, ``None``
        if it is out of date
    """

    running: int = 0
    report: ServerReport | None = None
