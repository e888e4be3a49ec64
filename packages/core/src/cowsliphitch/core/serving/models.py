"""Requests that a daemon serves, and the events and answers that result."""

import hashlib
from typing import Final

import attrs

from cowsliphitch.core.settings.models import Pipeline, Service
from cowsliphitch.core.verdict import Refusal

CHARS_PER_TOKEN: Final = 4

# Length of the prompt prefix by which requests are routed to a warm prefix cache.
PREFIX_CHARS: Final = 64


@attrs.frozen
class PipelineRequest:
    """A caller's request to run a pipeline.

    :param name: name of the pipeline
    :param deadline_ms: monotonic time of the deadline
    """

    id: str
    team: str
    name: str
    pipeline: Pipeline
    input: str
    deadline_ms: int


@attrs.frozen
class ServiceRequest:
    """A caller's request to a plain service.

    :param name: name of the service
    :param key: idempotency key as the caller sent it, empty if there was none
    :param deadline_ms: monotonic time of the deadline
    """

    id: str
    team: str
    name: str
    service: Service
    body: bytes
    key: str
    deadline_ms: int


@attrs.frozen
class TokenLines:
    """Lines of tokens from an engine, to be relayed unchanged."""

    content: bytes


@attrs.frozen
class Finished:
    """Last event of a request that was answered completely.

    :param output: the last stage's output; empty if it was streamed
    :param tokens: number of streamed tokens
    """

    output: str
    tokens: int = 0


@attrs.frozen
class Refused:
    """Last event of a request that gets no complete answer."""

    refusal: Refusal


PipelineEvent = TokenLines | Finished | Refused


@attrs.frozen
class ServiceAnswer:
    """A plain service's answer.

    :param replayed: the answer was stored for an earlier request with the same key
    """

    output: str
    replayed: bool = False


def fingerprint(*parts: str | bytes) -> str:
    """Return a digest that identifies requests with equal content.

    Each part is hashed with its length, so different splits give different digests.
    """
    digest = hashlib.sha256()
    for part in parts:
        raw = part.encode() if isinstance(part, str) else part
        digest.update(len(raw).to_bytes(8, "big"))
        digest.update(raw)
    return digest.hexdigest()[:32]


def estimate_work(text: str | bytes, max_tokens: int = 0) -> int:
    """Estimate the work of a call, in tokens; at least 1.

    :param max_tokens: upper bound of the tokens that the call generates
    """
    return max(1, len(text) // CHARS_PER_TOKEN + max_tokens)
