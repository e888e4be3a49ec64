"""Probe that tells a crashed upstream from a lost connection."""

from typing import Final
from urllib.parse import urlsplit

import anyio

from cowsliphitch.core.clock import seconds

# Delay before each connection attempt.  A process that exits closes its connections
# before its listening socket; on a busy machine the two are several ms apart.
PROBE_DELAYS_MS: Final = (0, 20, 60)


async def refuses_connections(address: str, timeout_ms: int) -> bool:
    """Return whether connections to an upstream's address fail.

    An upstream that accepts is probed again after the next delay.  A timeout returns
    ``False``, because a network that drops packets must not look like a crash.

    :param address: base URL of the upstream
    :param timeout_ms: limit for all attempts together
    """
    parts = urlsplit(address)
    try:
        with anyio.fail_after(seconds(timeout_ms)):
            for delay_ms in PROBE_DELAYS_MS:
                await anyio.sleep(seconds(delay_ms))
                stream = await anyio.connect_tcp(parts.hostname or "", parts.port or 80)
                await anyio.aclose_forcefully(stream)
    except TimeoutError:
        return False
    except OSError:
        return True
    return False
