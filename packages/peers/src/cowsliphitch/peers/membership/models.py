"""Interface between the gossip of daemons and the other parts of a daemon."""

from collections.abc import Awaitable, Callable

import attrs
from result import Result

from cowsliphitch.core.config.models import Snapshot
from cowsliphitch.core.membership.models import PoolDemand
from cowsliphitch.core.orders.log import ClaimStatus
from cowsliphitch.core.orders.models import Record
from cowsliphitch.core.quarantine.registry import SuspectRegistry
from cowsliphitch.core.verdict import Refusal
from cowsliphitch.core.vms.models import VmListing

AppendOutcome = Result[ClaimStatus, Refusal]
Append = Callable[[int, Record, int], Awaitable[AppendOutcome]]


@attrs.frozen
class Hooks:
    """Callbacks by which the gossip reads and updates the daemon's state.

    :param revision: returns the revision of the configuration in force
    :param snapshot: returns the configuration in force
    :param offer: applies a peer's configuration if it is newer
    :param listing: returns the latest known VM list
    :param confirm_listing: records that a peer read the same VM list at a later time,
        in Unix ms
    :param offer_listing: applies a peer's VM list if it is newer
    :param demands: returns this daemon's demand by pool and team
    :param append: appends a record to an order log for a peer
    :param suspects: fingerprints of requests that may have crashed upstreams
    :param leaving: returns the upstreams known to be shutting down
    :param learn_leaving: records upstreams that a peer knows to be shutting down
    """

    revision: Callable[[], int]
    snapshot: Callable[[], Snapshot | None]
    offer: Callable[[Snapshot], bool]
    listing: Callable[[], VmListing]
    confirm_listing: Callable[[int], None]
    offer_listing: Callable[[VmListing], None]
    demands: Callable[[], tuple[PoolDemand, ...]]
    append: Append
    suspects: SuspectRegistry
    leaving: Callable[[], tuple[str, ...]]
    learn_leaving: Callable[[tuple[str, ...]], None]


@attrs.define
class Diagnostics:
    """Counters of the gossip, for metrics.

    :param failures: exchanges that got no answer
    :param refused_senders: invalid digests that were rejected
    :param bytes_sent: size of serialized messages, without framing
    :param bytes_received: size of serialized messages, without framing
    :param forwarded_claims: order records sent to another daemon to be appended
    """

    exchanges: int = 0
    failures: int = 0
    refused_senders: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    forwarded_claims: int = 0
