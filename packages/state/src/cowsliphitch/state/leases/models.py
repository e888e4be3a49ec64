"""Who holds a duty, as the key-value service shows it."""

import attrs


@attrs.frozen
class Holder:
    """The daemon that holds a duty, and the lease that it holds it by."""

    daemon: str
    lease: int


@attrs.define
class Diagnostics:
    """Counters of one duty, for metrics."""

    taken: int = 0
    lost: int = 0
