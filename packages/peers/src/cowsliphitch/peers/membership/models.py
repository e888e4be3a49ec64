"""What the exchange between daemons needs of the rest of a daemon."""

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

Outcome = Result[ClaimStatus, Refusal]
Append = Callable[[int, Record, int], Awaitable[Outcome]]


@attrs.frozen
class Hooks:
    """Where the exchange reads from and hands over to.

    :param revision: revision of the configuration in force
    :param snapshot: the configuration in force
    :param offer: puts a peer's configuration in force if it is newer
    :param listing: the VMs that are known
    :param confirm_listing: a peer saw the same VMs in the platform's list later
    :param offer_listing: takes over a peer's VMs if it saw them later
    :param demands: what this daemon wants of each pool
    :param append: appends to an order log for a peer
    :param leaving: upstreams that this daemon knows to leave
    :param learn_leaving: takes over what a peer knows of leaving upstreams
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
    """Counters of the exchange, for metrics.

    :param bytes_sent: serialized messages, without framing
    """

    exchanges: int = 0
    failures: int = 0
    refused_senders: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    forwarded_claims: int = 0
