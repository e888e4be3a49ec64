"""Find out if an upstream crashed, after a connection to it was lost."""

from typing import Final
from urllib.parse import urlsplit

import anyio

from cowsliphitch.core.clock import seconds

# A process that ends closes its connections before its listener: on a busy machine some
# ms pass between the two.
PROBE_PAUSES_MS: Final = (0, 20, 60)


async def refuses_connections(address: str, timeout_ms: int) -> bool:
    """Tell whether nothing listens at an upstream's address any more.

    A network that drops packets makes this time out, and then the answer is no: a cut
    must not look like a crash.  An upstream that accepts is asked again.

    :param address: base URL of the upstream
    :param timeout_ms: longest time for all tries together
    """
    parts = urlsplit(address)
    try:
        with anyio.fail_after(seconds(timeout_ms)):
            for pause_ms in PROBE_PAUSES_MS:
                await anyio.sleep(seconds(pause_ms))
                stream = await anyio.connect_tcp(parts.hostname or "", parts.port or 80)
                await anyio.aclose_forcefully(stream)
    except TimeoutError:
        return False
    except OSError:
        return True
    return False
