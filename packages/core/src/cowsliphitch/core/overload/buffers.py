"""Memory for what a process buffers: answers, events, requests, connections.

Fault: a server sends bytes without end, many callers send large bodies at once, or read
their answers slowly or not at all.  Each buffer has a limit of its own, but all of them
together can take more memory than the VM has, and the process ends with all its
requests.

All buffers share a budget.  At its end the largest one is given up, which is that of a
faulty server or of a caller that does not read if there is one.  Pinned buffers count,
but are not given up: their bytes are in use, and dropping them would free nothing.

Load: requests whose heads have a thousand short headers.  Each takes many times the
size of its head while it is handled, so heads count as well, and large ones leave room
for those of ordinary callers.
"""

from collections.abc import Callable, Iterable
from typing import Final

# Memory of a process without buffers, in MB, and the part of the rest that buffers get:
# bytes are copied while they are decoded and passed on.
BASE_MEMORY_MB: Final = 80
BUFFER_SHARE: Final = 0.4
MIN_BUDGET_MB: Final = 16
BYTES_PER_MB: Final = 1_000_000

# Memory of a connection without buffered bytes, and the part of the budget that all
# connections may take.
CONNECTION_BYTES: Final = 40_000
CONNECTION_SHARE: Final = 0.6

# Memory of a decoded header while its request is handled: the copies that are received,
# decoded and forwarded, and each further item of a list in its value.
HEADER_BYTES: Final = 400
LIST_ITEM_BYTES: Final = 200

# Larger heads are taken only while this part of the budget is free beside them.
USUAL_HEAD_BYTES: Final = 32_768
RESERVED_SHARE: Final = 0.125


def head_bytes(headers: Iterable[tuple[bytes, bytes]]) -> int:
    """Return how much memory the head of a request takes while it is handled.

    :param headers: names and values
    """
    return sum(
        HEADER_BYTES + 2 * (len(k) + len(v)) + LIST_ITEM_BYTES * v.count(b",")
        for k, v in headers
    )


def budget_bytes(memory_mb: float) -> int:
    """Return how many bytes may be buffered in a process.

    :param memory_mb: memory limit of the VM
    """
    spare_mb = (memory_mb - BASE_MEMORY_MB) * BUFFER_SHARE
    return round(max(MIN_BUDGET_MB, spare_mb) * BYTES_PER_MB)


def max_connections(memory_mb: float) -> int:
    """Return how many connections of callers a process has memory for.

    :param memory_mb: memory limit of the VM
    """
    return round(budget_bytes(memory_mb) * CONNECTION_SHARE / CONNECTION_BYTES)


class Buffer:
    """What one answer or request has buffered.

    :ivar size: in bytes
    :ivar is_given_up: its bytes have to be dropped
    :ivar is_pinned: it counts, but is not given up
    :ivar on_give_up: called when that happens, to end a read that waits
    """

    def __init__(self, budget: "BufferBudget", is_pinned: bool) -> None:
        """Initialize an empty buffer."""
        self._budget = budget
        self.size = 0
        self.is_given_up = False
        self.is_pinned = is_pinned
        self.on_give_up: Callable[[], None] = lambda: None

    def resize(self, size: int) -> bool:
        """Set the size of the buffer.

        :returns: whether it may be kept
        """
        if not self.is_given_up:
            self._budget.used += size - self.size
        self.size = size
        self._budget.update(self)
        self._budget.give_up_excess()
        return not self.is_given_up

    def grow(self, count: int) -> bool:
        """Add bytes to the buffer; see :meth:`resize`."""
        return self.resize(self.size + count)

    def pin(self) -> None:
        """Keep the buffer until it is closed, since its bytes are in use."""
        self.is_pinned = True
        self._budget.update(self)

    def close(self) -> None:
        """Release the buffer's bytes."""
        self.on_give_up = lambda: None
        self.resize(0)


class BufferBudget:
    """Budget of all buffers of a process.

    :param limit: in bytes
    :ivar used: bytes in all buffers that are kept
    :ivar given_up: number of buffers that were given up
    """

    def __init__(self, limit: int) -> None:
        """Initialize without buffers."""
        self.limit = limit
        self.used = 0
        self.given_up = 0
        self._evictable: set[Buffer] = set()

    def open(self, is_pinned: bool = False) -> Buffer:
        """Return a new buffer, which the caller closes."""
        return Buffer(self, is_pinned)

    def has_room(self, count: int) -> bool:
        """Return whether bytes can be added, giving up other buffers if need be."""
        needed = self.used + count - self.limit
        return needed <= 0 or needed <= sum(b.size for b in self._evictable)

    def has_room_for_head(self, size: int) -> bool:
        """Return whether a head may be kept, beside those of ordinary callers."""
        reserved = self.limit * RESERVED_SHARE
        return size <= USUAL_HEAD_BYTES or self.used + size <= self.limit - reserved

    def update(self, buffer: Buffer) -> None:
        """Record whether a buffer has bytes that may be given up."""
        if buffer.size and not buffer.is_pinned and not buffer.is_given_up:
            self._evictable.add(buffer)
        else:
            self._evictable.discard(buffer)

    def give_up_excess(self) -> None:
        """Give up the largest buffers until the others are within the budget."""
        while self.used > self.limit and self._evictable:
            largest = max(self._evictable, key=lambda buffer: buffer.size)
            self._evictable.discard(largest)
            self.used -= largest.size
            self.given_up += 1
            largest.is_given_up = True
            largest.on_give_up()
