"""The holder of a duty, as stored in the key-value store, and counters."""

import attrs


@attrs.frozen
class Holder:
    """The value of a duty's key, stored as JSON under these attribute names.

    :param daemon: name of the daemon that holds the duty
    :param lease: number of the lease that the key is attached to
    """

    daemon: str
    lease: int


@attrs.define
class Diagnostics:
    """Counters of one duty.

    :param taken: how often this daemon acquired the duty
    :param lost: how often its lease expired or was revoked
    """

    taken: int = 0
    lost: int = 0
