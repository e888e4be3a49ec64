"""HTTP calls whose answers are read up to a limit."""

from typing import Any, Final

import httpx

# Some times the largest answer of the platform's store, a page of its entries.
MAX_ANSWER_BYTES: Final = 16 * 1_048_576

# Headers that describe how an answer was sent, not what was read of it.
_FRAMING_HEADERS: Final = frozenset(
    {b"content-encoding", b"transfer-encoding", b"content-length"}
)


class AnswerTooLarge(httpx.HTTPError):
    """An answer has more bytes than allowed; its connection was closed."""


async def request(
    client: httpx.AsyncClient,
    method: str,
    path: str,
    max_bytes: int = MAX_ANSWER_BYTES,
    **options: Any,
) -> httpx.Response:
    """Send a request and read its answer.

    :param options: as for ``AsyncClient.build_request``
    :raises AnswerTooLarge: the answer has more than ``max_bytes`` bytes
    :raises httpx.HTTPError: the call failed
    """
    req = client.build_request(method, path, **options)
    resp = await client.send(req, stream=True)
    try:
        parts: list[bytes] = []
        size = 0
        async for chunk in resp.aiter_bytes():
            size += len(chunk)
            if size > max_bytes:
                detail = (
                    f"the answer to {method} {path} has more than {max_bytes} bytes"
                )
                raise AnswerTooLarge(detail)
            parts.append(chunk)
    finally:
        await resp.aclose()
    # Raw values: a header may have bytes that no text can be made of.
    headers = [
        (name, value)
        for name, value in resp.headers.raw
        if name.lower() not in _FRAMING_HEADERS
    ]
    return httpx.Response(
        resp.status_code, headers=headers, content=b"".join(parts), request=req
    )
