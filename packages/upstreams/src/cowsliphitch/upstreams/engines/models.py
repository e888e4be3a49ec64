"""Generation on a model engine: request body, token lines and end mark."""

import json

import attrs
from result import Err, Ok, Result

from cowsliphitch.core.codec import from_json


@attrs.frozen
class GenerateBody:
    """Body of a generation request.

    :param resume_from: number of tokens that the caller has received already
    :param priority: time until the deadline, in ms; the engine serves the lowest first
    """

    prompt: str
    max_tokens: int
    resume_from: int = 0
    priority: int = 0


@attrs.frozen
class EndMark:
    """Last line of a complete stream.

    :param tokens: number of tokens, including those before ``resume_from``
    :param attempt: identifier of the attempt that the stream answers
    """

    end: bool
    tokens: int
    attempt: str


@attrs.frozen
class TokenLine:
    """Position and size of one line of tokens.

    :param index: position of the line's first token in the answer
    :param count: number of tokens in the line
    """

    index: int
    count: int


@attrs.frozen
class Load:
    """Load that an engine reports of itself; it lags behind the actual load.

    :param active: requests that the engine runs
    :param waiting: requests in the engine's queue
    """

    active: int
    waiting: int


Line = EndMark | TokenLine


def parse_line(line: bytes) -> Result[Line, str]:
    """Parse one line of a generation stream.

    Most traffic is token lines, so only the fields that are needed are checked.

    :returns: the line, or what is wrong with it
    """
    try:
        decoded = json.loads(line)
    except (ValueError, RecursionError):
        return Err("a line of the stream is not valid JSON")
    match decoded:
        case {"end": True}:
            return from_json(line, EndMark).map(lambda mark: mark)
        case {"index": int(index), "tokens": list(tokens)}:
            return Ok(TokenLine(index, len(tokens)))
        case _:
            return Err("a line of the stream is neither tokens nor an end mark")


def check_end_mark(mark: EndMark, attempt: str, next_index: int) -> Result[None, str]:
    """Check that an end mark belongs to this attempt and that no tokens are missing.

    :param next_index: number of tokens that the caller has received
    """
    if mark.attempt != attempt:
        return Err("the stream belongs to another attempt")
    if mark.tokens != next_index:
        return Err(f"the stream has {next_index} tokens instead of {mark.tokens}")
    return Ok(None)
