"""Data model of appending to the order logs: pending records and results."""

import anyio
import attrs
from result import Result

from cowsliphitch.core.orders.log import ClaimStatus
from cowsliphitch.core.orders.models import Record
from cowsliphitch.core.verdict import Refusal

Outcome = Result[ClaimStatus, Refusal]


@attrs.frozen
class Answered:
    """Result of forwarding: the preferred writer of the log answered.

    :param outcome: what the log has for the record, or a refusal
    """

    outcome: Outcome


@attrs.frozen
class NoAnswer:
    """Result of forwarding: no peer confirmed the record, so this daemon writes it.

    :param maybe_written: a peer was asked and may have written the record
    """

    maybe_written: bool


Forwarded = Answered | NoAnswer


@attrs.define(eq=False)
class PendingRecord:
    """A record that is waiting to be written.

    :param since_ms: monotonic time of the submission
    :param end_ms: monotonic time at which the submitter stops waiting
    :param owned: whether this daemon dispatches the order, and so may release it
    :param maybe_written: whether this daemon or a peer sent a write with the record
    :param done: set when the outcome is known
    :param outcome: what the log has for the record, or a refusal
    """

    record: Record
    since_ms: int
    end_ms: int
    owned: bool
    maybe_written: bool = False
    done: anyio.Event = attrs.Factory(anyio.Event)
    outcome: Outcome | None = None

    def resolve(self, outcome: Outcome) -> None:
        """Set the outcome and wake the submitter."""
        self.outcome = outcome
        self.done.set()


@attrs.define
class Diagnostics:
    """Counters of the order logs, for metrics and the operators' diagnostics.

    :param appended: records written to a log
    :param writes: writes of a head that were applied
    :param conflicts: writes of a head that were refused, since it had changed
    :param unclear: writes of a head whose answer was lost
    :param abandoned: records that were not confirmed before their deadline
    """

    appended: int = 0
    writes: int = 0
    conflicts: int = 0
    unclear: int = 0
    abandoned: int = 0
