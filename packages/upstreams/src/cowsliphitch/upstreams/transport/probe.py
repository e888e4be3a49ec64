"""Find out if an upstream crashed, after a connection to it was lost."""

from urllib.parse import urlsplit

import anyio

from cowsliphitch.core.clock import seconds


async def refuses_connections(address: str, timeout_ms: int) -> bool:
    """Tell whether nothing listens at an upstream's address any more.

    A network that drops packets makes this time out, and then the answer is no: a cut
    must not look like a crash.

    :param address: base URL of the upstream
    """
    parts = urlsplit(address)
    try:
        with anyio.fail_after(seconds(timeout_ms)):
            stream = await anyio.connect_tcp(parts.hostname or "", parts.port or 80)
            await stream.aclose()
    except TimeoutError:
        return False
    except OSError:
        return True
    return False
