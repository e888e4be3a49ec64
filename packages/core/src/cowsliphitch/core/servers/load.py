"""Load that one daemon puts on a server, as reported to its peers."""

import attrs


@attrs.frozen
class ServerLoad:
    """Requests that one daemon has in flight at a server.

    :param running: requests without a complete answer
    """

    running: int = 0
