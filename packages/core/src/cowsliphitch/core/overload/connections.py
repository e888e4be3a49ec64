"""Limit of a listener's connections, and which one is closed to make room.

Load: a crowd of clients opens connections and holds them: it sends nothing, a part of a
request, requests that are refused, or requests whose answers it does not read.  At the
limit ordinary callers would be refused until the idle timeout.

A connection is judged by what it has been used for.  Those that never carried an
admitted request are closed first, the oldest one first: the request of an ordinary
caller follows its connection at once.

Load: a crowd with valid keys sends requests without a pause, so that all connections
are in use.  Closing one would break off a request that runs, so the connections end
after their current answers while new ones wait, those whose callers send ahead first.
"""

from collections.abc import Iterable
from typing import Final, TypeVar

import attrs

from .buffers import max_connections

# Descriptors reserved for files, servers, peers and the store.  Callers' sockets get a
# share of the others.
RESERVED_DESCRIPTORS: Final = 1_000
CALLER_DESCRIPTOR_SHARE: Final = 0.7
MIN_CALLER_CONNECTIONS: Final = 64

# Age from which a connection without an admitted request may be closed, and from which
# it is closed before connections that carried one.  A busy event loop reads the first
# request of a new connection some ms after it has accepted it.
MIN_UNADMITTED_AGE_MS: Final = 50
UNADMITTED_AGE_MS: Final = 1_000

# Time for which a caller has read none of the answers that wait for it.  Pauses of
# readers are shorter than that, retransmissions included.
MIN_STALL_MS: Final = 1_000

# Time since the last answer.  Callers may send a request at any time before the idle
# timeout, but can repeat one on a new connection that was closed before it was read.
MIN_IDLE_MS: Final = 1_000

# New connections of a listener that wait for room.  If none was admitted for the
# timeout, they are closed, so that their callers try another daemon.
MAX_WAITING: Final = 128
ROOM_TIMEOUT_MS: Final = 500

# Time between a refused request and the next one of a connection without an admitted
# request: after the first refusal, and at most.  Status checks come once a second.
FIRST_REFUSAL_DELAY_MS: Final = 20
MAX_REFUSAL_DELAY_MS: Final = 500


@attrs.frozen
class Unadmitted:
    """The connection has carried no admitted request since it was opened."""

    age_ms: int


@attrs.frozen
class Stalled:
    """The caller has read nothing of the answers that wait for it."""

    for_ms: int


@attrs.frozen
class Idle:
    """The connection waits for a whole head, after at least one admitted request."""

    for_ms: int


@attrs.frozen
class InUse:
    """A request is being read or run, or its answer is being read.

    :param answers: requests that were answered before
    :param sends_ahead: the caller has sent more than the current request
    :param is_ending: it ends after the current answer
    """

    answers: int = 0
    sends_ahead: bool = False
    is_ending: bool = False


@attrs.frozen
class Closing:
    """The caller has received the last answer, and has not closed its side yet."""

    for_ms: int


T = TypeVar("T")

ConnectionUse = Unadmitted | Stalled | Idle | InUse | Closing


def eviction_rank(use: ConnectionUse) -> tuple[int, int] | None:
    """Return the rank of a connection at the limit; the highest is closed first.

    :returns: ``None`` if the connection is kept, and a new one refused instead
    """
    match use:
        case Closing(for_ms):
            return 4, for_ms
        case Unadmitted(age_ms) if age_ms >= UNADMITTED_AGE_MS:
            return 3, age_ms
        case Stalled(for_ms) if for_ms >= MIN_STALL_MS:
            return 2, for_ms
        case Unadmitted(age_ms) if age_ms >= MIN_UNADMITTED_AGE_MS:
            return 1, age_ms
        case Idle(for_ms) if for_ms >= MIN_IDLE_MS:
            return 0, for_ms
    return None


def connections_to_end(uses: Iterable[tuple[T, ConnectionUse]], count: int) -> list[T]:
    """Return the connections that end after their current answers.

    These are all whose callers send ahead, and of the others those that had the most
    answers, as many as new connections wait.

    :param uses: connections and what they are used for
    :param count: new connections that wait for room
    """
    in_use = [
        (use, c) for c, use in uses if isinstance(use, InUse) and not use.is_ending
    ]
    senders_ahead = [c for use, c in in_use if use.sends_ahead]
    others = [(use.answers, c) for use, c in in_use if not use.sends_ahead]
    others.sort(key=lambda entry: entry[0], reverse=True)
    return senders_ahead + [c for _, c in others[: max(0, count - len(senders_ahead))]]


def refusal_delay_ms(refusals: int) -> int:
    """Return how long the next request of a connection waits after a refusal.

    Load: a crowd sends refused requests as fast as they are answered, which leaves no
    processor time for others.

    :param refusals: refused requests of a connection without an admitted one, from 1
    """
    exponent = min(refusals - 1, MAX_REFUSAL_DELAY_MS.bit_length())
    return min(MAX_REFUSAL_DELAY_MS, FIRST_REFUSAL_DELAY_MS << exponent)


def caller_connection_limit(max_descriptors: float, memory_mb: float) -> int:
    """Return for how many connections of callers there are descriptors and memory.

    :param max_descriptors: limit of the process on open files and sockets
    :param memory_mb: memory limit of the VM
    """
    descriptors = (max_descriptors - RESERVED_DESCRIPTORS) * CALLER_DESCRIPTOR_SHARE
    return max(
        MIN_CALLER_CONNECTIONS, min(round(descriptors), max_connections(memory_mb))
    )
