"""The pools that this daemon owns, with an executor for each cell of them.

A daemon mostly owns one cell.  It owns another one when that cell's daemons are lost,
and the whole fleet's pools while the fleet is small.
"""

from collections.abc import Callable

from cowsliphitch.core.batching.queue import StageQueue
from cowsliphitch.core.fleet.cells import WHOLE_FLEET, Cell
from cowsliphitch.core.fleet.members import hash_duty
from cowsliphitch.peers.fleet.models import (
    EngineProgressReport,
    RunStagesReply,
    RunStagesRequest,
)
from cowsliphitch.telemetry.tasks import BackgroundTasks

from .stage_executor import StageExecutor
from .state import GatewayState


class StageOwner:
    """Pass requests of all daemons on to the executors of their cells.

    :param make_executor: returns a new executor of a cell
    :param tasks: contain the errors of one executor's maintenance
    """

    def __init__(
        self,
        state: GatewayState,
        make_executor: Callable[[Cell], StageExecutor],
        tasks: BackgroundTasks,
    ) -> None:
        """Initialize without executors; a cell gets one with its first request."""
        self._state = state
        self._make_executor = make_executor
        self._tasks = tasks
        self._executors: dict[Cell, StageExecutor] = {}

    @property
    def active_requests(self) -> int:
        """Return the number of requests whose stages are running."""
        return sum(e.active_requests for e in self._executors.values())

    @property
    def admitted_requests(self) -> int:
        """Return the number of requests that are admitted and have not ended."""
        return sum(e.planner.active_requests for e in self._executors.values())

    def queues(self) -> list[tuple[str, str, StageQueue]]:
        """Return the name of the cell, the service and the queue of each pool."""
        return [
            (cell.name, service, queue)
            for cell, executor in self._executors.items()
            for service, queue in executor.planner.queues.items()
        ]

    async def run_stages(self, request: RunStagesRequest) -> RunStagesReply:
        """Run the stages of a request in its cell and choose its engine there."""
        return await self._executor(Cell(request.cell)).run_stages(request)

    def _executor(self, cell: Cell) -> StageExecutor:
        if cell not in self._executors:
            self._executors[cell] = self._make_executor(cell)
        return self._executors[cell]

    def record_progress(self, report: EngineProgressReport) -> None:
        """Record the progress of a request at its engine and free released results.

        Results that no executor knows of are those of a lost owner.
        """
        holder = next(
            (e for e in self._executors.values() if e.holds(report.released_results)),
            None,
        )
        if holder is None and report.released_results:
            holder = self._executor(WHOLE_FLEET)
        for executor in self._executors.values():
            executor.record_progress(report, frees_results=executor is holder)

    def run_maintenance(self) -> None:
        """Run the executors' maintenance, and drop those of cells that are idle."""
        for cell, executor in list(self._executors.items()):
            with self._tasks.contained("StageExecutor.run_maintenance"):
                executor.run_maintenance()
            if executor.is_idle:
                del self._executors[cell]
        self._state.own_delays_ms = {
            hash_duty(executor.duty): executor.delay_ms
            for executor in self._executors.values()
            if hash_duty(executor.duty) in self._state.members.claims
        }
