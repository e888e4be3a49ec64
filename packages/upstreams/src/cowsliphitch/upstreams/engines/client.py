"""Token streams from model engines.

Lines are relayed as they arrive.  The token index of every line is checked, and only
the end mark shows that a stream is complete.
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
from .models import EndMark, GenerateBody, TokenLine, check_end_mark, parse_line


@attrs.frozen
class Chunk:
    """Complete lines that arrived together.

    :param lines: bytes to relay unchanged
    :param next_index: index of the next expected token
    """

    lines: bytes
    next_index: int


@attrs.frozen
class End:
    """The stream is complete.

    :param tokens: number of tokens in the answer
    """

    tokens: int


@attrs.frozen
class Failed:
    """The stream failed.

    :param next_index: index of the first token that was not relayed
    """

    refusal: Refusal
    next_index: int


Event = Chunk | End | Failed


class TokenLineReader:
    """Split a stream into lines and check that no token is missing or repeated.

    :param attempt: identifier of the attempt that the end mark must name
    :param next_index: index of the next expected token
    """

    def __init__(self, attempt: str, next_index: int) -> None:
        """Initialize the reader with an empty buffer."""
        self._attempt = attempt
        self._buffer = b""
        self.next_index = next_index

    def feed(self, data: bytes) -> list[Event]:
        """Append received bytes and return the events of the lines that they complete.

        An :class:`End` or :class:`Failed` is the last event.
        """
        complete_lines, separator, remainder = (self._buffer + data).rpartition(b"\n")
        self._buffer = remainder
        if len(remainder) > transport.MAX_LINE_BYTES:
            return [self._failed("a line of the stream is too long")]
        if not separator:
            return []
        relayed: list[bytes] = []
        for line in complete_lines.split(b"\n"):
            terminal = self._process_line(line)
            if terminal is not None:
                return [*self._chunk(relayed), terminal]
            relayed.append(line)
        return self._chunk(relayed)

    def _process_line(self, line: bytes) -> End | Failed | None:
        """Check one line; return ``None`` if it is a valid line of tokens."""
        match parse_line(line):
            case Err(detail):
                return self._failed(detail)
            case Ok(EndMark() as mark):
                validity = check_end_mark(mark, self._attempt, self.next_index)
                if isinstance(validity, Err):
                    return self._failed(validity.err_value)
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
    refuses_before_running: bool,
) -> AsyncGenerator[Event, None]:
    """Run a generation on one engine and yield the events of its stream.

    The last event is :class:`End` or :class:`Failed`.

    :param address: base URL of the engine
    :param refuses_before_running: the engine's 429 and 503 mean that nothing ran
    """
    reader = TokenLineReader(call.attempt, body.resume_from)
    url = f"{address}/v1/generate"
    content = to_json(body).encode()
    try:
        async with client.stream(url, content, call) as resp:
            if resp.status_code != httpx.codes.OK:
                refusal = refusal_of_status(resp.status_code, refuses_before_running)
                yield Failed(refusal, reader.next_index)
                return
            async for data in resp.aiter_raw():
                for event in reader.feed(data):
                    yield event
                    if not isinstance(event, Chunk):
                        return
        refusal = _truncation_refusal(clock, call)
    except httpx.HTTPError as exc:
        is_expired = clock.now_ms() >= call.end_ms
        refusal = deadline_refusal() if is_expired else refusal_of_exception(exc)
    yield Failed(refusal, reader.next_index)


def _truncation_refusal(clock: Clock, call: Call) -> Refusal:
    """Return the refusal for a stream that ended before its end mark."""
    if clock.now_ms() >= call.end_ms:
        return deadline_refusal()
    detail = "the stream ended without its end mark"
    return may_have_run(Reason.STREAM_CUT, detail)
