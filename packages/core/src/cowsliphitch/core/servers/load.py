"""What one daemon has sent to a server, as its peers are told."""

import attrs


@attrs.frozen
class ServerLoad:
    """Requests that one daemon has at a server.

    :param running: requests without a whole answer
    """

    running: int = 0
