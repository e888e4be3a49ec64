"""Generation on a model engine: the body, the lines and the end mark."""

import json

import attrs
from result import Err, Ok, Result

from cowsliphitch.core.codec import from_json


@attrs.frozen
class GenerateBody:
    """The body of a generation.

    :param resume_from: tokens that the caller has already
    :param priority: the lowest number is served first: the time left, in ms
    """

    prompt: str
    max_tokens: int
    resume_from: int = 0
    priority: int = 0


@attrs.frozen
class EndMark:
    """The last line of a whole stream."""

    end: bool
    tokens: int
    attempt: str


@attrs.frozen
class TokenLine:
    """A line of tokens: the place of the first one, and how many there are."""

    index: int
    count: int


@attrs.frozen
class Load:
    """An engine's own report of its load, which lags."""

    active: int
    waiting: int


Line = EndMark | TokenLine


def parse_line(line: bytes) -> Result[Line, str]:
    """Read one line of a generation.

    Lines of tokens are the bulk of all traffic, so only what is needed is checked.
    """
    try:
        plain = json.loads(line)
    except (ValueError, RecursionError):
        return Err("a line of the stream is not valid JSON")
    match plain:
        case {"end": True}:
            return from_json(line, EndMark).map(lambda mark: mark)
        case {"index": int(index), "tokens": list(tokens)}:
            return Ok(TokenLine(index, len(tokens)))
        case _:
            return Err("a line of the stream is neither tokens nor an end mark")


def whole(mark: EndMark, attempt: str, next_index: int) -> Result[None, str]:
    """Check that an end mark closes a whole stream of this attempt."""
    if mark.attempt != attempt:
        return Err("the stream belongs to another attempt")
    if mark.tokens != next_index:
        return Err(f"the stream has {next_index} tokens instead of {mark.tokens}")
    return Ok(None)
