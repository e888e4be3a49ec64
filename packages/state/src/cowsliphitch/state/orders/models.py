"""What a daemon wants from an order log, and what it got."""

import anyio
import attrs
from result import Result

from cowsliphitch.core.orders.log import ClaimStatus
from cowsliphitch.core.orders.models import Record
from cowsliphitch.core.verdict import Refusal

Outcome = Result[ClaimStatus, Refusal]


@attrs.frozen
class Answered:
    """The preferred writer answered for a log."""

    outcome: Outcome


@attrs.frozen
class NoAnswer:
    """No peer wrote the record as far as is known.

    :param maybe_written: a peer was asked and may have written it
    """

    maybe_written: bool


Forwarded = Answered | NoAnswer


@attrs.define(eq=False)
class Pending:
    """A record that waits to be written.

    :param since_ms: monotonic time when it was handed in
    :param end_ms: monotonic time when the owner stops waiting
    :param owned: this daemon dispatches the order, so it may release the claim
    :param maybe_written: a write that holds the record was sent, here or by a peer
    :param outcome: set together with ``done``
    """

    record: Record
    since_ms: int
    end_ms: int
    owned: bool
    maybe_written: bool = False
    done: anyio.Event = attrs.Factory(anyio.Event)
    outcome: Outcome | None = None

    def resolve(self, outcome: Outcome) -> None:
        """Hand the outcome to whoever waits."""
        self.outcome = outcome
        self.done.set()


@attrs.define
class Diagnostics:
    """Counters of the order logs, for metrics.

    :param appended: records written to a log
    :param writes: writes to the key-value service that took
    :param unclear: writes whose answer was lost
    """

    appended: int = 0
    writes: int = 0
    conflicts: int = 0
    unclear: int = 0
    abandoned: int = 0
