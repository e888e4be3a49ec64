"""Reading of callers' requests, with limits on size and time."""

import anyio
from result import Err, Ok, Result
from starlette.requests import ClientDisconnect, Request

from cowsliphitch.core.clock import seconds
from cowsliphitch.core.verdict import Reason, Refusal, not_run

from . import const
from .models import Headers, ReceivedRequest


async def read_request(
    req: Request, max_bytes: int
) -> Result[ReceivedRequest, Refusal]:
    """Parse the headers of a request, then read its body.

    :param max_bytes: maximum size of the body
    """
    match read_headers(req):
        case Err(refusal):
            return Err(refusal)
        case Ok(headers):
            body = await read_body(req, max_bytes)
            return body.map(lambda content: ReceivedRequest(headers, content))


def read_headers(req: Request) -> Result[Headers, Refusal]:
    """Parse the bearer token, the timeout and the idempotency key."""
    scheme, _, token = req.headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not token:
        detail = "a bearer token is required"
        return Err(not_run(Reason.UNAUTHENTICATED, detail))
    timeout = req.headers.get(const.TIMEOUT_HEADER)
    if timeout is not None and not (timeout.isascii() and timeout.isdecimal()):
        detail = f"{const.TIMEOUT_HEADER} must be a whole number of milliseconds"
        return Err(not_run(Reason.INVALID_REQUEST, detail))
    key = req.headers.get(const.KEY_HEADER, "").strip('"')
    if len(key) > const.MAX_KEY_CHARS:
        return Err(not_run(Reason.KEY_INVALID, "the idempotency key is too long"))
    return Ok(Headers(token, int(timeout) if timeout is not None else None, key))


async def read_body(req: Request, max_bytes: int) -> Result[bytes, Refusal]:
    """Read the body; refuse one that is too long or does not arrive in time.

    :param max_bytes: maximum size of the body
    """
    content = bytearray()
    try:
        with anyio.fail_after(seconds(const.BODY_TIMEOUT_MS)):
            async for chunk in req.stream():
                content += chunk
                if len(content) > max_bytes:
                    detail = f"the body is longer than {max_bytes} bytes"
                    return Err(not_run(Reason.BODY_TOO_LARGE, detail))
    except TimeoutError:
        detail = "the body did not arrive in time"
        return Err(not_run(Reason.INVALID_REQUEST, detail))
    except ClientDisconnect:
        return Err(not_run(Reason.INVALID_REQUEST, "the body is not whole"))
    return Ok(bytes(content))
