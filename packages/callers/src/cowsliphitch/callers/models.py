"""Requests of callers, and the interface through which the daemon serves them."""

from collections.abc import AsyncGenerator
from typing import Protocol

import attrs
from result import Result

from cowsliphitch.core.serving.models import PipelineEvent, ServiceAnswer
from cowsliphitch.core.verdict import Refusal


@attrs.frozen
class Headers:
    """Values of a request's headers.

    :param token: bearer token, not yet verified
    :param timeout_ms: timeout that the caller requests, ``None`` for the default
    :param key: idempotency key, empty if there was none
    """

    token: str
    timeout_ms: int | None
    key: str


@attrs.frozen
class ReceivedRequest:
    """A request whose headers are parsed and whose body is unchecked but for size."""

    headers: Headers
    body: bytes


@attrs.frozen
class PipelineBody:
    """Body of a request to run a pipeline."""

    input: str


class Gateway(Protocol):
    """Interface of the daemon to the HTTP application for callers."""

    def new_request_id(self) -> str:
        """Return a new request identifier."""

    def max_body_bytes(self) -> int:
        """Return the maximum size of a request's body, in bytes."""

    def ready(self) -> Result[None, Refusal]:
        """Return ``Ok`` if this daemon accepts requests, and the refusal otherwise."""

    def run_pipeline(
        self, request: str, name: str, headers: Headers, body: PipelineBody
    ) -> AsyncGenerator[PipelineEvent, None]:
        """Run a pipeline and yield its events; the last is ``Finished`` or ``Refused``.

        :param request: identifier of the request
        :param name: name of the pipeline
        """

    async def call_service(
        self, request: str, name: str, headers: Headers, body: bytes
    ) -> Result[ServiceAnswer, Refusal]:
        """Call a plain service.

        :param request: identifier of the request
        :param name: name of the service
        """
