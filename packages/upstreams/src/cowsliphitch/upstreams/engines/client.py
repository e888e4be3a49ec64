"""Streams from model engines.

Lines are passed on as they arrive.  Every line is checked for its place, so that a
stream is known to be whole only at its end mark.
"""

from collections.abc import AsyncGenerator

import attrs
import httpx
from result import Err, Ok

from cowsliphitch.core.clock import Clock
from cowsliphitch.core.codec import to_json
from cowsliphitch.core.verdict import Reason, Refusal, may_have_run

from ..transport import const as transport
from ..transport.client import UpstreamClient
from ..transport.models import Call
from ..transport.verdicts import (
    deadline_refusal,
    refusal_of_answer,
    refusal_of_exception,
    refusal_of_status,
)
from .models import EndMark, GenerateBody, TokenLine, parse_line, whole


@attrs.frozen
class Chunk:
    """Whole lines that arrived together.

    :param lines: bytes to pass on as they are
    :param next_index: index of the token that is expected next
    """

    lines: bytes
    next_index: int


@attrs.frozen
class End:
    """The stream is whole."""

    tokens: int


@attrs.frozen
class Failed:
    """The stream broke.

    :param next_index: tokens up to here were passed on
    """

    refusal: Refusal
    next_index: int


Event = Chunk | End | Failed


class TokenLineReader:
    """Split a stream into lines and check their order.

    :param attempt: the attempt that the end mark must name
    :param next_index: index of the first token expected
    """

    def __init__(self, attempt: str, next_index: int) -> None:
        """Start with an empty buffer."""
        self._attempt = attempt
        self._rest = b""
        self.next_index = next_index

    def feed(self, data: bytes) -> list[Event]:
        """Take bytes; return what the whole lines among them say."""
        whole_lines, separator, rest = (self._rest + data).rpartition(b"\n")
        self._rest = rest
        if len(rest) > transport.MAX_LINE_BYTES:
            return [self._failed("a line of the stream is too long")]
        if not separator:
            return []
        passed: list[bytes] = []
        for line in whole_lines.split(b"\n"):
            last = self._take(line)
            if last is not None:
                return [*self._chunk(passed), last]
            passed.append(line)
        return self._chunk(passed)

    def _take(self, line: bytes) -> End | Failed | None:
        """Check one line; ``None`` if it is to be passed on."""
        match parse_line(line):
            case Err(detail):
                return self._failed(detail)
            case Ok(EndMark() as mark):
                checked = whole(mark, self._attempt, self.next_index)
                if isinstance(checked, Err):
                    return self._failed(checked.err_value)
                return End(mark.tokens)
            case Ok(TokenLine() as tokens):
                if tokens.index != self.next_index:
                    return self._failed("the stream skips or repeats tokens")
                self.next_index += tokens.count
        return None

    def _chunk(self, lines: list[bytes]) -> list[Event]:
        if not lines:
            return []
        return [Chunk(b"\n".join(lines) + b"\n", self.next_index)]

    def _failed(self, detail: str) -> Failed:
        return Failed(refusal_of_answer(detail), self.next_index)


async def generate(
    client: UpstreamClient,
    clock: Clock,
    address: str,
    body: GenerateBody,
    call: Call,
    refuses: bool,
) -> AsyncGenerator[Event, None]:
    """Generate on one engine; the last event is :class:`End` or :class:`Failed`.

    :param refuses: the engine is known to refuse before running
    """
    reader = TokenLineReader(call.attempt, body.resume_from)
    url = f"{address}/v1/generate"
    content = to_json(body).encode()
    try:
        async with client.stream(url, content, call) as resp:
            if resp.status_code != httpx.codes.OK:
                refusal = refusal_of_status(resp.status_code, refuses)
                yield Failed(refusal, reader.next_index)
                return
            async for data in resp.aiter_raw():
                for event in reader.feed(data):
                    yield event
                    if not isinstance(event, Chunk):
                        return
        refusal = _cut(clock, call)
    except httpx.HTTPError as exc:
        late = clock.now_ms() >= call.end_ms
        refusal = deadline_refusal() if late else refusal_of_exception(exc)
    yield Failed(refusal, reader.next_index)


def _cut(clock: Clock, call: Call) -> Refusal:
    """Return why a stream ended before its end mark."""
    if clock.now_ms() >= call.end_ms:
        return deadline_refusal()
    detail = "the stream ended without its end mark"
    return may_have_run(Reason.STREAM_CUT, detail)
