"""Requests of callers as they arrive, and what answers them."""

from collections.abc import Awaitable, Callable
from typing import Protocol

import attrs

Header = tuple[bytes, bytes]


@attrs.frozen
class EdgeRequest:
    """A whole request; header names are in lower case.

    :param target: path and query, unchanged
    :param host: without port, in lower case
    :param received_ms: monotonic time of its first byte
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
        """Return the value of a header, the first if it comes twice."""
        found = (v.decode("latin-1") for k, v in self.headers if k == name)
        return next(found, None)


class Reply(Protocol):
    """Where the answer to a request goes."""

    @property
    def started(self) -> bool:
        """Tell whether the head has been sent."""

    async def start(
        self, status: int, headers: tuple[Header, ...], length: int | None
    ) -> None:
        """Send the head; a body without a length is sent in chunks."""

    async def send(self, data: bytes) -> None:
        """Send bytes of the body."""

    async def end(self) -> None:
        """End the body: the answer is whole."""


Handler = Callable[[EdgeRequest, Reply], Awaitable[None]]


@attrs.define
class Diagnostics:
    """Counters of an edge, for metrics."""

    connections: int = 0
    active: int = 0
    requests: int = 0
    malformed: int = 0
    left: int = 0
    refused_connections: int = 0


class ReplyError(Exception):
    """The caller can't be reached any more."""
