"""Claims of orders before they are dispatched, and records of their outcomes.

An order must run at most once, although its caller may retry at any daemon.  Each
daemon sends its records to the preferred writer of a log, so that many records share
one write; if that daemon does not answer, it writes to the log itself.
"""

from collections.abc import Awaitable, Callable

import anyio
import attrs
from anyio.abc import TaskGroup

from cowsliphitch.core import ids
from cowsliphitch.core.clock import Clock, seconds
from cowsliphitch.core.orders.models import Answer, OrderKey, Record, State
from cowsliphitch.core.settings.models import Orders, Settings
from cowsliphitch.platform.store.client import KeyValueClient
from cowsliphitch.telemetry.tasks import BackgroundTasks

from . import const
from .models import Answered, Diagnostics, Forwarded, NoAnswer, Outcome
from .writer import LogWriter

Forward = Callable[[int, Record, int], Awaitable[Forwarded]]


async def _forward_without_peers(
    _shard: int, _record: Record, _deadline_ms: int
) -> Forwarded:
    """Return the result of forwarding in a daemon without peers."""
    return NoAnswer(maybe_written=False)


class OrderCoordinator:
    """Claims orders and records outcomes in all order logs.

    :param forward: asks the preferred writer of a log to append a record, given the
        index of the log, the record and the deadline in monotonic time
    """

    def __init__(
        self,
        kv: KeyValueClient,
        clock: Clock,
        forward: Forward = _forward_without_peers,
    ) -> None:
        """Initialize without writers; each is created when its log is first used."""
        self._kv = kv
        self._clock = clock
        self._forward = forward
        self._writers: dict[int, LogWriter] = {}
        self._task_group: TaskGroup | None = None
        self._tasks: BackgroundTasks | None = None
        self._settings = Orders()
        self._unrecorded_outcomes = 0
        self.diagnostics = Diagnostics()

    def apply(self, settings: Settings) -> None:
        """Apply new settings to all writers."""
        self._settings = settings.fleet.orders
        for writer in self._writers.values():
            writer.settings = self._settings

    async def run(self) -> None:
        """Run the writers, until cancelled."""
        async with anyio.create_task_group() as group:
            self._task_group, self._tasks = group, BackgroundTasks(group, self._clock)
            await anyio.sleep_forever()

    async def claim(self, key: OrderKey, fingerprint: str, deadline_ms: int) -> Outcome:
        """Claim an order, which may be dispatched only if the outcome is ``Owned``.

        :param fingerprint: digest of the request, to detect a reused key
        :param deadline_ms: monotonic time at which the caller stops waiting
        """
        attempt = ids.new_id(self._clock.wall_ms())
        record = Record(key.digest, key.created_ms, attempt, fingerprint)
        return await self._submit(record, deadline_ms)

    async def record_outcome(
        self, record: Record, state: State, answer: Answer | None = None
    ) -> None:
        """Record the outcome of an order that this daemon claimed.

        The write is retried until the retention time of keys has passed.
        """
        deadline_ms = self._clock.now_ms() + self._settings.retention
        record = attrs.evolve(record, state=state, answer=answer)
        await self._submit(record, deadline_ms)

    def schedule_outcome(
        self, record: Record, state: State, answer: Answer | None = None
    ) -> None:
        """Record an outcome in the background.

        :raises AssertionError: if :meth:`run` has not started
        """
        assert self._tasks is not None, "run() has not started"
        self._unrecorded_outcomes += 1
        self._tasks.start_soon(self._record_outcome_counted, record, state, answer)

    async def _record_outcome_counted(
        self, record: Record, state: State, answer: Answer | None
    ) -> None:
        try:
            await self.record_outcome(record, state, answer)
        finally:
            self._unrecorded_outcomes -= 1

    async def append_for_peer(
        self, shard: int, record: Record, deadline_ms: int
    ) -> Outcome:
        """Append a record that a peer forwarded.

        The peer dispatches the order, so only the peer may release the claim.
        """
        return await self._writer(shard).submit(record, deadline_ms, owned=False)

    async def drain(self, deadline_ms: int) -> bool:
        """Wait until no record is waiting to be written.

        :param deadline_ms: monotonic time at which to stop waiting
        :returns: whether all records were written or given up by then
        """
        while self._unrecorded_outcomes or not all(
            w.is_idle for w in self._writers.values()
        ):
            if self._clock.now_ms() >= deadline_ms:
                return False
            await anyio.sleep(seconds(const.RETRY_DELAY_MS))
        return True

    async def _submit(self, record: Record, deadline_ms: int) -> Outcome:
        shard = record.shard(self._settings.shards)
        result = await self._forward(shard, record, deadline_ms)
        match result:
            case Answered(outcome):
                return outcome
            case NoAnswer(maybe_written):
                return await self._writer(shard).submit(
                    record, deadline_ms, maybe_written=maybe_written
                )

    def _writer(self, shard: int) -> LogWriter:
        writer = self._writers.get(shard)
        if writer is not None:
            return writer
        assert self._task_group is not None, "run() has not started"
        writer = LogWriter(
            shard, self._kv, self._clock, self._settings, self.diagnostics
        )
        self._writers[shard] = writer
        # Claims wait in the writer, so its error ends the process.
        self._task_group.start_soon(writer.run)
        return writer
