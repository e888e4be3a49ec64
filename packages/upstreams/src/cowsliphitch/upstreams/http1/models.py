"""Requests to servers, and the heads of their answers."""

import attrs

from cowsliphitch.core.verdict import Refusal

Header = tuple[bytes, bytes]


@attrs.frozen
class OutgoingRequest:
    """One request as it goes to a server.

    :param target: path and query, as the caller sent them
    :param request_id: what the server echoes, empty if it echoes nothing
    """

    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes = b""
    request_id: bytes = b""


@attrs.frozen
class AnswerHead:
    """Status and headers of an answer; header names are in lower case."""

    status: int
    headers: tuple[Header, ...]

    def get(self, name: bytes) -> bytes | None:
        """Return the value of a header, the first if it comes twice."""
        return next((value for key, value in self.headers if key == name), None)


class UpstreamError(Exception):
    """A request got no whole answer from a server.

    :param refusal: whether it may have run, and why it failed
    """

    def __init__(self, refusal: Refusal) -> None:
        """Keep the verdict."""
        super().__init__(refusal.detail)
        self.refusal = refusal
