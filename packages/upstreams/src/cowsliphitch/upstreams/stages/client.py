"""Calls to stage servers: encoders, retrievers and rerankers."""

import attrs
from result import Result

from cowsliphitch.core.codec import to_json
from cowsliphitch.core.verdict import Refusal

from ..transport.client import UpstreamClient
from ..transport.models import Call, StageAnswer


@attrs.frozen
class StageBody:
    """Body of a call to a stage server.

    :param stage: name of the stage
    """

    stage: str
    input: str


async def run_stage(
    client: UpstreamClient,
    address: str,
    body: StageBody,
    call: Call,
    refuses_before_running: bool,
) -> Result[StageAnswer, Refusal]:
    """Run one stage on one server.

    :param address: base URL of the server
    :param refuses_before_running: the server's 429 and 503 mean that nothing ran
    """
    return await client.send_call(
        f"{address}/v1/run", to_json(body).encode(), call, refuses_before_running
    )
