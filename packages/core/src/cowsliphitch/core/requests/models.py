"""Decoded requests of callers, and the metadata of servers' answers.

These classes are independent of the headers that carry them.
"""

import hashlib
from typing import Final

import attrs

Header = tuple[bytes, bytes]

# Longer identifiers of prompt parts are replaced by a digest, since they are kept after
# the request.
MAX_PART_ID_CHARS: Final = 40


def bounded_part_id(part_id: str) -> str:
    """Return the identifier of a prompt part, or the digest of a long one."""
    if len(part_id) <= MAX_PART_ID_CHARS:
        return part_id
    return hashlib.blake2b(part_id.encode(), digest_size=16).hexdigest()


@attrs.frozen
class PromptPart:
    """A part of a prompt, which several requests may share.

    :param id: identifies the part's content
    :param tokens: length of the part
    """

    id: str
    tokens: int


@attrs.frozen
class Generation:
    """The generation that a request needs from a model engine.

    :param prompt_tokens: length of the whole prompt
    :param output_tokens: maximum number of tokens to generate
    :param prompt: the prompt's parts in order; the last belongs to this request only
    """

    model: str
    prompt_tokens: int
    output_tokens: int
    prompt: tuple[PromptPart, ...]

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts of the prompt that other requests may share."""
        return self.prompt[:-1]


@attrs.frozen
class CallerRequest:
    """A request as a caller sent it, decoded from its HTTP form.

    :param id: identifier of the request
    :param target: path and query, unchanged
    :param headers: the headers that are forwarded to a server
    :param received_ms: monotonic time at which the first byte arrived
    :param timeout_ms: how long the caller waits, ``None`` if unspecified
    :param api_key: key that identifies the caller's team, ``None`` without one
    :param generation: work for a model engine, ``None`` if the request needs none
    :param piece_counts: number of pieces of each stage, 0 for a stage that is skipped
    :param piece_key: identifies the input of the first stages' pieces
    :param last_event_id: id of the last event received from an interrupted stream
    :param resumed_id: identifier of the attempt that received the first event of that
        stream, ``None`` if the caller does not name it
    """

    id: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    received_ms: int
    timeout_ms: int | None = None
    api_key: str | None = None
    generation: Generation | None = None
    piece_counts: tuple[int, ...] = ()
    piece_key: str = ""
    last_event_id: str | None = None
    resumed_id: str | None = None

    @property
    def stream_id(self) -> str:
        """Return the attempt by which the caller names the stream from now on."""
        return self.resumed_id if self.last_event_id and self.resumed_id else self.id

    @property
    def digest(self) -> str:
        """Return a digest of target, caller and body.

        A request that crashes servers comes again with the same ones, under another
        identifier.
        """
        content = hashlib.blake2b(digest_size=8)
        for part in (self.target, (self.api_key or "").encode(), self.body):
            content.update(b"%d:" % len(part) + part)
        return content.hexdigest()

    @property
    def shared_part_ids(self) -> tuple[str, ...]:
        """Return the prompt parts that other requests may share, by identifier."""
        if self.generation is None:
            return ()
        return tuple(part.id for part in self.generation.shared_parts)


# Bounds of a reported pace: a faulty server could name any.
MIN_PACE: Final = 0.1
MAX_PACE: Final = 10.0


def _bounded_pace(pace: float | None) -> float | None:
    return None if pace is None else min(MAX_PACE, max(MIN_PACE, pace))


@attrs.frozen
class Load:
    """The load that a server reports with an answer.

    :param running: requests in execution
    :param waiting: queue depth
    :param slots: requests that it runs concurrently
    :param pace: how long work takes at this moment, 1.0 is normal, ``None`` if it is
        not reported
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = attrs.field(default=None, converter=_bounded_pace)


@attrs.frozen
class AnswerMetadata:
    """The status and headers of a server's answer, decoded.

    :param not_run: the server states that it did not run the request
    :param has_seal: the server's seal, its proof of the answer, is there and not empty
    :param wrong_server: the address now belongs to another server
    :param results_lost: a stage result that the request reads no longer exists
    :param load: the server's load, ``None`` if it is not reported
    :param is_leaving: the server says that it wants no further requests
    """

    status: int
    not_run: bool
    has_seal: bool
    wrong_server: bool
    results_lost: bool
    load: Load | None
    is_leaving: bool = False

    @property
    def is_success(self) -> bool:
        """Return whether the status is 2xx."""
        return 200 <= self.status < 300
