"""Claim orders before they are dispatched, and keep their outcomes."""

from collections.abc import Awaitable, Callable

import anyio
import attrs
from anyio.abc import TaskGroup

from cowsliphitch.core import ids
from cowsliphitch.core.clock import Clock, seconds
from cowsliphitch.core.orders.models import Answer, OrderKey, Record, State
from cowsliphitch.core.settings.models import Orders, Settings
from cowsliphitch.platform.store.client import KeyValueClient

from . import const
from .models import Answered, Diagnostics, Forwarded, NoAnswer, Outcome
from .writer import LogWriter

Forward = Callable[[int, Record, int], Awaitable[Forwarded]]


async def _no_forward(_shard: int, _record: Record, _end_ms: int) -> Forwarded:
    """Stand for a daemon without peers."""
    return NoAnswer(maybe_written=False)


class OrderCoordinator:
    """The order logs as one daemon uses them.

    :param forward: asks the preferred writer of a log to append a record
    """

    def __init__(
        self, kv: KeyValueClient, clock: Clock, forward: Forward = _no_forward
    ) -> None:
        """Start without writers; they are made when a log is first used."""
        self._kv = kv
        self._clock = clock
        self._forward = forward
        self._writers: dict[int, LogWriter] = {}
        self._task_group: TaskGroup | None = None
        self._settings = Orders()
        self._settling = 0
        self.diagnostics = Diagnostics()

    def apply(self, settings: Settings) -> None:
        """Use new settings from now on."""
        self._settings = settings.fleet.orders
        for writer in self._writers.values():
            writer.settings = self._settings

    async def run(self) -> None:
        """Run the writers for ever."""
        async with anyio.create_task_group() as group:
            self._task_group = group
            await anyio.sleep_forever()

    async def claim(self, key: OrderKey, fingerprint: str, end_ms: int) -> Outcome:
        """Claim an order; only after :class:`Owned` may it be dispatched.

        :param end_ms: monotonic time when the caller stops waiting
        """
        attempt = ids.new_id(self._clock.wall_ms())
        record = Record(key.digest, key.created_ms, attempt, fingerprint)
        return await self._submit(record, end_ms)

    async def record_outcome(
        self, record: Record, state: State, answer: Answer | None = None
    ) -> None:
        """Write the outcome of an order that this daemon claimed."""
        end_ms = self._clock.now_ms() + self._settings.retention
        record = attrs.evolve(record, state=state, answer=answer)
        await self._submit(record, end_ms)

    def schedule_outcome(
        self, record: Record, state: State, answer: Answer | None = None
    ) -> None:
        """Write an outcome without making the caller wait for it."""
        assert self._task_group is not None, "the coordinator is not running"
        self._settling += 1
        self._task_group.start_soon(self._record_outcome_counted, record, state, answer)

    async def _record_outcome_counted(
        self, record: Record, state: State, answer: Answer | None
    ) -> None:
        try:
            await self.record_outcome(record, state, answer)
        finally:
            self._settling -= 1

    async def append_for_peer(self, shard: int, record: Record, end_ms: int) -> Outcome:
        """Append a record that a peer forwarded; the peer stays its owner."""
        return await self._writer(shard).submit(record, end_ms, owned=False)

    async def drain(self, end_ms: int) -> bool:
        """Wait until every outcome is written, or until ``end_ms``."""
        while self._settling or not all(w.is_idle for w in self._writers.values()):
            if self._clock.now_ms() >= end_ms:
                return False
            await anyio.sleep(seconds(const.RETRY_DELAY_MS))
        return True

    async def _submit(self, record: Record, end_ms: int) -> Outcome:
        shard = record.shard(self._settings.shards)
        forwarded = await self._forward(shard, record, end_ms)
        match forwarded:
            case Answered(outcome):
                return outcome
            case NoAnswer(maybe_written):
                return await self._writer(shard).submit(
                    record, end_ms, maybe_written=maybe_written
                )

    def _writer(self, shard: int) -> LogWriter:
        writer = self._writers.get(shard)
        if writer is not None:
            return writer
        assert self._task_group is not None, "the coordinator is not running"
        writer = LogWriter(
            shard, self._kv, self._clock, self._settings, self.diagnostics
        )
        self._writers[shard] = writer
        self._task_group.start_soon(writer.run)
        return writer
