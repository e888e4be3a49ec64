"""Calls to upstreams and their answers."""

import attrs


@attrs.frozen
class Call:
    """What every call to an upstream carries.

    :param attempt: unique for each try; a valid answer repeats it
    :param end_ms: monotonic time of the deadline
    :param key: idempotency key, empty for calls that may be repeated
    """

    request: str
    attempt: str
    end_ms: int
    key: str = ""


@attrs.frozen
class StageAnswer:
    """The output of a stage or of a plain service."""

    attempt: str
    output: str
