"""Orders to engines: which adapters to hold, under a fencing number."""

import enum
from typing import Final

import attrs
import httpx

from cowsliphitch.core.codec import to_json

from ..transport.client import UpstreamClient

ORDER_TIMEOUT_MS: Final = 800


@attrs.frozen
class EngineOrder:
    """What an engine is to hold; the whole state, so that it may be repeated.

    :param fence: number of the lease under which the order is given
    """

    fence: int
    adapters: tuple[str, ...]


class OrderOutcome(enum.Enum):
    """What an engine made of an order."""

    DONE = "done"
    FENCED = "fenced"
    UNKNOWN = "unknown"


async def send_order(
    client: UpstreamClient, address: str, order: EngineOrder
) -> OrderOutcome:
    """Give one engine an order."""
    url = f"{address}/v1/orders"
    status = await client.post_status(url, to_json(order).encode(), ORDER_TIMEOUT_MS)
    match status:
        case httpx.codes.OK:
            return OrderOutcome.DONE
        case httpx.codes.PRECONDITION_FAILED:
            return OrderOutcome.FENCED
        case _:
            return OrderOutcome.UNKNOWN
