"""Orders that set which adapters an engine loads, protected by a fencing token."""

import enum
from typing import Final

import attrs
import httpx

from cowsliphitch.core.codec import to_json

from ..transport.client import UpstreamClient

ORDER_TIMEOUT_MS: Final = 800


@attrs.frozen
class EngineOrder:
    """Complete desired state of an engine, so that repeating the order is idempotent.

    :param fence: fencing token, the number of the sender's lease
    :param adapters: names of the adapters that the engine is to have loaded
    """

    fence: int
    adapters: tuple[str, ...]


class OrderOutcome(enum.Enum):
    """Result of an order.

    ``FENCED``: the engine has accepted a higher fencing token.  ``UNKNOWN``: no answer
    or another status, so the order may have been applied.
    """

    DONE = "done"
    FENCED = "fenced"
    UNKNOWN = "unknown"


async def send_order(
    client: UpstreamClient, address: str, order: EngineOrder
) -> OrderOutcome:
    """Send an order to one engine.

    :param address: base URL of the engine
    """
    url = f"{address}/v1/orders"
    status = await client.post_status(url, to_json(order).encode(), ORDER_TIMEOUT_MS)
    match status:
        case httpx.codes.OK:
            return OrderOutcome.DONE
        case httpx.codes.PRECONDITION_FAILED:
            return OrderOutcome.FENCED
        case _:
            return OrderOutcome.UNKNOWN
