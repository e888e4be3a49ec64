"""Calls to plain services."""

from result import Result

from cowsliphitch.core.verdict import Refusal

from ..transport.client import UpstreamClient
from ..transport.models import Call, StageAnswer


async def call_service(
    client: UpstreamClient,
    address: str,
    body: bytes,
    call: Call,
    refuses_before_running: bool,
) -> Result[StageAnswer, Refusal]:
    """Call a plain service on one server.

    :param address: base URL of the server
    :param refuses_before_running: the server's 429 and 503 mean that nothing ran
    """
    return await client.send_call(
        f"{address}/v1/call", body, call, refuses_before_running
    )
