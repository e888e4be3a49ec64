"""Data model of the order logs: claims by idempotency key, and their outcomes.

Head, segments and records are stored as JSON under their attribute names.
"""

import enum
import hashlib
from typing import Final

import attrs
from result import Err, Ok, Result

from cowsliphitch.core.ids import creation_ms
from cowsliphitch.core.verdict import Reason, Refusal, may_have_run, not_run

from . import const

SHARD_HEX_DIGITS: Final = 8


class State(enum.Enum):
    """The state of an order in its log.

    ``CLAIMED`` orders may be running.  ``UNKNOWN`` orders may have run.  ``RELEASED``
    orders are known not to have run, so another attempt may claim the key again.
    """

    CLAIMED = "claimed"
    RAN = "ran"
    UNKNOWN = "unknown"
    RELEASED = "released"


@attrs.frozen
class Answer:
    """The upstream's answer to an order, stored to answer repeats.

    :param status: HTTP status
    :param body: the whole body, or ``None`` if it was too long to store
    """

    status: int
    body: str | None


@attrs.frozen
class Record:
    """One order in the log.

    :param key: digest of team and idempotency key
    :param created_ms: creation time from the idempotency key, Unix time in ms
    :param attempt: identifies the claim; only its owner dispatches the order
    :param fingerprint: digest of the request, to detect a reused key
    :param answer: the upstream's answer, once the order ran
    """

    key: str
    created_ms: int
    attempt: str
    fingerprint: str
    state: State = State.CLAIMED
    answer: Answer | None = None

    def shard(self, shards: int) -> int:
        """Return the index of the log that stores this order.

        :param shards: number of logs
        """
        return int(self.key[:SHARD_HEX_DIGITS], 16) % shards


@attrs.frozen
class Segment:
    """An immutable batch of records, sealed together."""

    records: tuple[Record, ...]

    @property
    def newest_ms(self) -> int:
        """Return the creation time of the newest key in the segment, 0 if empty."""
        return max((record.created_ms for record in self.records), default=0)


@attrs.frozen
class Head:
    """The mutable part of a log, replaced by compare-and-swap only.

    :param floor_ms: keys created before this Unix time can no longer be claimed
    :param sealed: names of the sealed segments, oldest first
    :param open: records since the last seal
    :param era: era of the store whose claims the log has in full, above the floor
    """

    floor_ms: int = 0
    sealed: tuple[str, ...] = ()
    open: tuple[Record, ...] = ()
    era: int = 0


@attrs.frozen
class OrderKey:
    """A validated idempotency key of one team.

    :param digest: digest of team and key, under which the order is recorded
    :param created_ms: creation time from the key, Unix time in ms
    """

    digest: str
    created_ms: int


def parse_key(
    team: str, text: str, wall_ms: int, retention_ms: int
) -> Result[OrderKey, Refusal]:
    """Validate an idempotency key.

    The key must be a version 7 UUID: its timestamp limits how long a repeat can be
    accepted, and so how long claims must be stored.

    :param wall_ms: current Unix time in ms
    :param retention_ms: maximum age of a key
    """
    created_ms = creation_ms(text)
    if created_ms is None:
        detail = "the idempotency key must be a version 7 UUID in lower case"
        return Err(not_run(Reason.KEY_INVALID, detail))
    if created_ms > wall_ms + const.MAX_CLOCK_SKEW_MS:
        detail = "the idempotency key was created in the future"
        return Err(not_run(Reason.KEY_INVALID, detail))
    if created_ms < wall_ms - retention_ms:
        return Err(expired_key_refusal())
    digest = hashlib.sha256(f"{team}:{text}".encode()).hexdigest()[:32]
    return Ok(OrderKey(digest, created_ms))


def expired_key_refusal() -> Refusal:
    """Return the refusal of a key whose claim may no longer be in the log.

    An earlier request with the key may have run, so the verdict is MAY_HAVE_RUN.
    """
    detail = "the idempotency key is too old; an earlier request may have run"
    return may_have_run(Reason.KEY_EXPIRED, detail)
