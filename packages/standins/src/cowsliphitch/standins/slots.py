"""Slots of an upstream stand-in, granted by priority."""

import heapq
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio


class PrioritySlots:
    """A limited number of slots; the lowest priority number is served first."""

    def __init__(self, count: int) -> None:
        """Start with all slots free."""
        self._free = count
        self._order = itertools.count()
        self._waiting: list[tuple[int, int, anyio.Event]] = []

    @asynccontextmanager
    async def acquire(self, priority: int = 0) -> AsyncIterator[None]:
        """Wait for a slot and hold it."""
        await self._take(priority)
        try:
            yield
        finally:
            self._give_back()

    async def _take(self, priority: int) -> None:
        if self._free:
            self._free -= 1
            return
        event = anyio.Event()
        entry = (priority, next(self._order), event)
        heapq.heappush(self._waiting, entry)
        try:
            await event.wait()
        except BaseException:
            if event.is_set():
                self._give_back()
            else:
                self._waiting.remove(entry)
                heapq.heapify(self._waiting)
            raise

    def _give_back(self) -> None:
        """Hand the slot to whoever waits first, or leave it free."""
        if self._waiting:
            heapq.heappop(self._waiting)[2].set()
        else:
            self._free += 1
