"""Requests as a daemon serves them, and what becomes of them."""

import hashlib
from typing import Final

import attrs

from cowsliphitch.core.settings.models import Pipeline, Service
from cowsliphitch.core.verdict import Refusal

CHARS_PER_TOKEN: Final = 4
PREFIX_CHARS: Final = 64


@attrs.frozen
class PipelineRequest:
    """A caller's request to run a pipeline.

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
    """A caller's call of a plain service.

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
    """TokenLines of tokens to pass on as they are."""

    content: bytes


@attrs.frozen
class Finished:
    """The whole answer has been given.

    :param output: the last stage's output; empty if it was streamed
    :param tokens: tokens that were streamed
    """

    output: str
    tokens: int = 0


@attrs.frozen
class Refused:
    """The request gets no whole answer."""

    refusal: Refusal


PipelineEvent = TokenLines | Finished | Refused


@attrs.frozen
class ServiceAnswer:
    """A plain service's answer.

    :param replayed: the answer was kept from an earlier request with the same key
    """

    output: str
    replayed: bool = False


def fingerprint(*parts: str | bytes) -> str:
    """Return a digest that tells requests apart."""
    hashed = hashlib.sha256()
    for part in parts:
        raw = part.encode() if isinstance(part, str) else part
        hashed.update(len(raw).to_bytes(8, "big"))
        hashed.update(raw)
    return hashed.hexdigest()[:32]


def estimate_work(text: str | bytes, max_tokens: int = 0) -> int:
    """Estimate the work of a call, in tokens."""
    return max(1, len(text) // CHARS_PER_TOKEN + max_tokens)
