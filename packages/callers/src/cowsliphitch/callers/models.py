"""What the callers' interface needs of the daemon."""

from collections.abc import AsyncGenerator
from typing import Protocol

import attrs
from result import Result

from cowsliphitch.core.serving.models import PipelineEvent, ServiceAnswer
from cowsliphitch.core.verdict import Refusal


@attrs.frozen
class Headers:
    """What a caller says about a request in its headers.

    :param timeout_ms: time that the caller is ready to wait, ``None`` for the default
    :param key: idempotency key, empty if there was none
    """

    token: str
    timeout_ms: int | None
    key: str


@attrs.frozen
class Received:
    """A request as it arrived: nothing of it has been checked but its size."""

    headers: Headers
    body: bytes


@attrs.frozen
class PipelineBody:
    """The body of a request to run a pipeline."""

    input: str


class Gateway(Protocol):
    """The daemon as the callers' interface sees it."""

    def new_request_id(self) -> str:
        """Return a new request identifier."""

    def max_body_bytes(self) -> int:
        """Return the longest body that is accepted, in bytes."""

    def ready(self) -> Result[None, Refusal]:
        """Tell whether this daemon takes requests."""

    def run_pipeline(
        self, request: str, name: str, headers: Headers, body: PipelineBody
    ) -> AsyncGenerator[PipelineEvent, None]:
        """Run a pipeline; the last event is Finished or Refused."""

    async def call_service(
        self, request: str, name: str, headers: Headers, body: bytes
    ) -> Result[ServiceAnswer, Refusal]:
        """Call a plain service."""
