"""Calls to stage pools: encoders, retrievers and rerankers."""

import attrs
from result import Result

from cowsliphitch.core.codec import to_json
from cowsliphitch.core.verdict import Refusal

from ..transport.client import UpstreamClient
from ..transport.models import Call, StageAnswer


@attrs.frozen
class StageBody:
    """The body of a call to a stage pool's server."""

    stage: str
    input: str


async def run_stage(
    client: UpstreamClient, address: str, body: StageBody, call: Call, refuses: bool
) -> Result[StageAnswer, Refusal]:
    """Run one stage on one server.

    :param refuses: the server is known to refuse before running
    """
    return await client.send_call(
        f"{address}/v1/run", to_json(body).encode(), call, refuses
    )
