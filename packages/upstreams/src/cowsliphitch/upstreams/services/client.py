"""Calls to plain services."""

from result import Result

from cowsliphitch.core.verdict import Refusal

from ..transport.client import UpstreamClient
from ..transport.models import Call, StageAnswer


async def call_service(
    client: UpstreamClient, address: str, body: bytes, call: Call, refuses: bool
) -> Result[StageAnswer, Refusal]:
    """Call a plain service on one server.

    :param refuses: the server is known to refuse before running
    """
    return await client.send_call(f"{address}/v1/call", body, call, refuses)
