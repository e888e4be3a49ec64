"""Requests that wait for a slot of a pool."""

import attrs


@attrs.frozen
class QueuedRequest:
    """One request in a pool's queue.

    :param team: team whose share the request uses
    :param work: estimated work, in tokens
    :param deadline_ms: monotonic time from which the request is dropped
    :param sequence: unique number that grows with arrival
    """

    team: str
    work: int
    deadline_ms: int
    sequence: int
