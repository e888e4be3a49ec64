"""Memory for what a process buffers: answers, events and bodies of requests.

Fault: a server sends bytes without end, many callers send large bodies at once, or read
their answers slowly.  Each buffer has a limit of its own, but all of them together can
take more memory than the VM has, and the process ends with all its requests.

All buffers share a budget.  At its end the largest one is given up, which is that of a
faulty server if there is one.
"""

from collections.abc import Callable
from typing import Final

# Memory of a process without buffers, in MB, and the part of the rest that buffers get:
# bytes are copied while they are decoded and passed on.
BASE_MEMORY_MB: Final = 80
BUFFER_SHARE: Final = 0.4
MIN_BUDGET_MB: Final = 16
BYTES_PER_MB: Final = 1_000_000


def budget_bytes(memory_mb: float) -> int:
    """Return how many bytes may be buffered in a process.

    :param memory_mb: memory limit of the VM
    """
    spare_mb = (memory_mb - BASE_MEMORY_MB) * BUFFER_SHARE
    return round(max(MIN_BUDGET_MB, spare_mb) * BYTES_PER_MB)


class Buffer:
    """What one answer or request has buffered.

    :ivar size: in bytes
    :ivar is_given_up: its bytes have to be dropped
    :ivar on_give_up: called when that happens, to end a read that waits
    """

    def __init__(self, budget: "BufferBudget") -> None:
        """Initialize an empty buffer."""
        self._budget = budget
        self.size = 0
        self.is_given_up = False
        self.on_give_up: Callable[[], None] = lambda: None

    def resize(self, size: int) -> bool:
        """Set the size of the buffer.

        :returns: whether it may be kept
        """
        if not self.is_given_up:
            self._budget.used += size - self.size
        self.size = size
        self._budget.give_up_excess()
        return not self.is_given_up

    def grow(self, count: int) -> bool:
        """Add bytes to the buffer; see :meth:`resize`."""
        return self.resize(self.size + count)

    def close(self) -> None:
        """Release the buffer's bytes."""
        self.on_give_up = lambda: None
        self.resize(0)
        self._budget.discard(self)


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
        self._kept: set[Buffer] = set()

    def open(self) -> Buffer:
        """Return a new buffer, which the caller closes."""
        buffer = Buffer(self)
        self._kept.add(buffer)
        return buffer

    def give_up_excess(self) -> None:
        """Give up the largest buffers until the others are within the budget."""
        while self.used > self.limit and self._kept:
            largest = max(self._kept, key=lambda buffer: buffer.size)
            self._kept.discard(largest)
            self.used -= largest.size
            self.given_up += 1
            largest.is_given_up = True
            largest.on_give_up()

    def discard(self, buffer: Buffer) -> None:
        """Forget a buffer that was closed."""
        self._kept.discard(buffer)
