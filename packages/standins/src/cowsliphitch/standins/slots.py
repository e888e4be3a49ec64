"""Concurrency limit of an upstream stand-in, with a priority queue."""

import heapq
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio


class PrioritySlots:
    """Semaphore whose waiters are served by priority, then by arrival.

    The lowest priority number is served first.
    """

    def __init__(self, count: int) -> None:
        """Initialize with all slots free.

        :param count: number of slots
        """
        self._free_slots = count
        self._arrival_numbers = itertools.count()
        self._waiters: list[tuple[int, int, anyio.Event]] = []

    @asynccontextmanager
    async def acquire(self, priority: int = 0) -> AsyncIterator[None]:
        """Wait for a slot, and release it when the context ends."""
        await self._acquire(priority)
        try:
            yield
        finally:
            self._release()

    async def _acquire(self, priority: int) -> None:
        if self._free_slots:
            self._free_slots -= 1
            return
        granted = anyio.Event()
        entry = (priority, next(self._arrival_numbers), granted)
        heapq.heappush(self._waiters, entry)
        try:
            await granted.wait()
        except BaseException:
            if granted.is_set():
                self._release()
            else:
                self._waiters.remove(entry)
                heapq.heapify(self._waiters)
            raise

    def _release(self) -> None:
        """Pass the slot to the first waiter, or mark it as free."""
        if self._waiters:
            heapq.heappop(self._waiters)[2].set()
        else:
            self._free_slots += 1
