"""Requests of callers, and the interface through which a handler answers them."""

from collections.abc import Awaitable, Callable
from typing import Protocol

import attrs

Header = tuple[bytes, bytes]


@attrs.frozen
class EdgeRequest:
    """A complete request; header names are in lower case.

    :param target: path and query, as the caller sent them
    :param host: value of the host header without its port, in lower case
    :param received_ms: monotonic time when the first byte arrived
    """

    method: bytes
    target: bytes
    host: str
    headers: tuple[Header, ...]
    body: bytes
    received_ms: int

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    def get(self, name: bytes) -> str | None:
        """Return the first value of a header, or ``None`` if it is absent.

        :param name: name in lower case
        """
        values = (v.decode("latin-1") for k, v in self.headers if k == name)
        return next(values, None)


class Reply(Protocol):
    """Writer of the answer to one request.

    Its methods raise :class:`ReplyError` if the caller has disconnected.
    """

    @property
    def started(self) -> bool:
        """Return whether the head of the answer has been sent."""

    def admit(self) -> None:
        """Record that the request was admitted.

        At the limit of connections, those without an admitted request are closed first.
        """

    async def start(
        self, status: int, headers: tuple[Header, ...], length: int | None
    ) -> None:
        """Send the head of the answer.

        :param length: size of the body in bytes; ``None`` for chunked encoding
        """

    async def send(self, data: bytes) -> None:
        """Send the next bytes of the body."""

    async def end(self) -> None:
        """End the body; without this call the answer is incomplete."""


Handler = Callable[[EdgeRequest, Reply], Awaitable[None]]


@attrs.frozen
class ErrorAnswer:
    """Answer to a request that the server itself rejects."""

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""


# Returns the answer for an error status and a sentence that says what is wrong.
ErrorEncoder = Callable[[int, str], ErrorAnswer]


def encode_bare_error(status: int, _detail: str) -> ErrorAnswer:
    """Return an answer without a body."""
    return ErrorAnswer(status)


@attrs.define
class Diagnostics:
    """Counters of a server, for metrics.

    :param connections: open connections
    :param active: requests that are being handled
    :param requests: requests that were read completely
    :param malformed: connections that were closed with an error status
    :param disconnected: times that a caller disconnected during a request or its answer
    :param refused_connections: connections that were closed over the limit
    :param evicted: connections that were closed to make room at the limit
    :param stalled: connections that were closed since their callers read nothing for
        the stall timeout
    :param given_up: connections that were closed since they held the most unsent bytes
        when the memory for buffers was exhausted
    """

    connections: int = 0
    active: int = 0
    requests: int = 0
    malformed: int = 0
    disconnected: int = 0
    refused_connections: int = 0
    evicted: int = 0
    stalled: int = 0
    given_up: int = 0

    def closed_by_cause(self) -> dict[str, int]:
        """Return how many connections the server closed to protect itself."""
        return {
            "refused": self.refused_connections,
            "evicted": self.evicted,
            "stalled": self.stalled,
            "given-up": self.given_up,
        }


class ReplyError(Exception):
    """The caller disconnected before its answer was sent."""
