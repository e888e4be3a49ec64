"""What one daemon has sent to a server, as reported to its peers."""

import attrs


@attrs.frozen
class ServerLoad:
    """Requests that one daemon has at a server.

    :param running: requests without a complete answer
    """

    running: int = 0
