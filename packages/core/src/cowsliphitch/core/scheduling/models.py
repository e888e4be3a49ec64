"""Requests that wait for a slot of a pool."""

import attrs


@attrs.frozen
class QueuedRequest:
    """One waiting request.

    :param team: whose turn it uses
    :param work: estimated work, in tokens
    :param deadline_ms: monotonic time when the answer is worthless
    :param sequence: unique, grows with arrival
    """

    team: str
    work: int
    deadline_ms: int
    sequence: int
