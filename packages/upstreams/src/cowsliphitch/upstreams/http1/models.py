"""Requests to servers, the heads of their answers, and the error of an exchange."""

from typing import Final

import attrs

from cowsliphitch.core.verdict import Refusal

Header = tuple[bytes, bytes]


@attrs.frozen
class OutgoingRequest:
    """One request to a server.

    :param target: path and query, as the caller sent them
    :param headers: without ``content-length``, which is added when it is sent
    :param request_id: identifier that the server echoes in its answer, empty if it
        echoes none
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
        """Return the first value of a header, or ``None`` if it is absent.

        :param name: name in lower case
        """
        return next((value for key, value in self.headers if key == name), None)

    @property
    def is_delimited(self) -> bool:
        """Return whether the end of the body can be told from a closed connection."""
        return any(
            key in (b"content-length", b"transfer-encoding") for key, _ in self.headers
        )


# Answers that have no body, so that they are whole without a length.
BODILESS_STATUSES: Final = frozenset({204, 304})


class UpstreamError(Exception):
    """A request got no complete answer from a server.

    :param refusal: verdict on whether the request ran, and the reason of the failure
    """

    def __init__(self, refusal: Refusal) -> None:
        """Store the refusal; its detail is the message."""
        super().__init__(refusal.detail)
        self.refusal = refusal
