"""Calls to upstreams and their answers."""

import attrs


@attrs.frozen
class Call:
    """Metadata that every call to an upstream carries.

    :param request: identifier of the request, the same for all its attempts
    :param attempt: unique identifier of this attempt, which a valid answer repeats
    :param end_ms: monotonic time of the deadline
    :param key: idempotency key, empty for calls that may be repeated
    """

    request: str
    attempt: str
    end_ms: int
    key: str = ""


@attrs.frozen
class StageAnswer:
    """Answer of a stage server or of a plain service.

    :param attempt: identifier of the attempt that it answers
    """

    attempt: str
    output: str
