"""Dispatch of a request's stages to the daemon that owns their pools.

Fault: the owner crashes or is cut off from this daemon.  The next owner candidates are
tried in order, and as the last one this daemon runs the stages itself.
"""

import logging
from collections.abc import Callable
from typing import Final

import anyio
import attrs

from cowsliphitch.core.clock import seconds
from cowsliphitch.core.deployment.models import Route
from cowsliphitch.core.fleet import cells as cell_choice
from cowsliphitch.core.fleet.cells import Cell
from cowsliphitch.core.fleet.members import hash_duty
from cowsliphitch.core.requests.models import CallerRequest, Generation
from cowsliphitch.core.verdict import Reason, Refusal
from cowsliphitch.peers.fleet.models import (
    EngineProgressReport,
    PeerCallFailed,
    RunStagesReply,
    RunStagesRequest,
    StagesCompleted,
    StagesRefused,
)
from cowsliphitch.peers.fleet.rpc import PeerConnections
from cowsliphitch.telemetry.logs import event
from cowsliphitch.telemetry.tasks import BackgroundTasks

from . import const
from .stage_owner import StageOwner
from .state import GatewayState, duty_name

_LOGGER = logging.getLogger(__name__)

# Sent to the owner for a request without a prompt.
NO_GENERATION: Final = Generation("", 0, 0, ())


class StageError(Exception):
    """The stages were refused or failed, so the request cannot run."""

    def __init__(self, refusal: Refusal) -> None:
        """Initialize with the refusal that the caller receives."""
        super().__init__(refusal.detail)
        self.refusal = refusal


@attrs.frozen
class StageRunResult:
    """Completed stages of a request, and the engine chosen for it.

    :param owner: address of the daemon that ran them and accounts for their results
    """

    owner: str
    completed: StagesCompleted


@attrs.frozen
class StageRunParams:
    """Parameters of a run of a request's stages and the choice of its engine.

    :param priority: 0 goes first
    :param deadline_ms: monotonic time after which the answer is of no use
    :param objective_ms: monotonic time by which an answer meets the latency objective
    :param engine_service: name of the service whose engines can run the request
    :param engine_only: choose an engine without running the stages
    :param excluded_engines: identifiers of engines that already failed the request
    :param version: software version that the engine must have, ``None`` for any
    :param is_rerun: it was admitted before: its engine failed, or its stage results
        were lost
    """

    request: CallerRequest
    route: Route
    team: str
    priority: int
    deadline_ms: int
    objective_ms: int
    engine_service: str
    engine_only: bool = False
    excluded_engines: tuple[str, ...] = ()
    version: str | None = None
    is_rerun: bool = False


class StageRunner:
    """Run stages at the owner of their pools, which is this daemon or a peer."""

    def __init__(
        self,
        state: GatewayState,
        executor: StageOwner,
        peers: PeerConnections,
        tasks: BackgroundTasks,
    ) -> None:
        """Initialize the runner.

        :param executor: runs the stages of pools that this daemon owns
        :param peers: connections to the other daemons
        :param tasks: run reports and timers in the background
        """
        self._state = state
        self._executor = executor
        self._peers = peers
        self._tasks = tasks

    async def run(self, params: StageRunParams) -> StageRunResult:
        """Run all stages of a request and choose its engine.

        :raises StageError: the owner refused them, or a stage failed
        """
        owner, reply = await self._run_at_owner(params)
        match reply:
            case StagesCompleted():
                return StageRunResult(owner, reply)
            case StagesRefused(refusal):
                if refusal.reason is Reason.NO_UPSTREAM:
                    retry_after_ms = self._state.retry_after_ms(
                        params.engine_service, refusal.retry_after_ms or 0
                    )
                    refusal = attrs.evolve(refusal, retry_after_ms=retry_after_ms)
                raise StageError(refusal)

    def report_progress(self, owner: str, report: EngineProgressReport) -> None:
        """Report the progress of a request to the daemon that ran its stages.

        A daemon that has acquired the duty since then has no record of the request.
        """
        self._tasks.start_soon(self._send_report, owner, report)

    def schedule(
        self, delay_ms: int, scope: anyio.CancelScope, callback: Callable[[], None]
    ) -> None:
        """Call a function after a delay, unless its scope is cancelled before."""

        async def call_later() -> None:
            with scope:
                await anyio.sleep(seconds(delay_ms))
                callback()

        self._tasks.start_soon(call_later)

    async def _send_report(self, owner: str, report: EngineProgressReport) -> None:
        if owner == self._state.members.own.address:
            self._executor.record_progress(report)
            return
        failure = await self._peers.report_progress(owner, report)
        if failure is not None:
            event(_LOGGER, "stage.note_lost", owner=owner, cause=failure.detail)
            self._executor.record_progress(report)

    async def _run_at_owner(self, params: StageRunParams) -> tuple[str, RunStagesReply]:
        """Send the stages to the owner candidates in turn, this daemon being the last.

        :returns: address of the daemon that replied, and its reply
        """
        own = self._state.members.own.address
        unreachable: tuple[str, ...] = ()
        group = self._group_of(params.route)
        cell = self._choose_cell(params, group)
        candidates = self._owner_candidates(group, cell)[: const.MAX_OWNER_ATTEMPTS]
        for owner in [*candidates, own]:
            request = attrs.evolve(
                self._build_request(params),
                unreachable_owners=unreachable,
                cell=cell.domains,
            )
            if owner == own:
                return own, await self._executor.run_stages(request)
            reply = await self._peers.run_stages(owner, request)
            if not isinstance(reply, PeerCallFailed):
                return owner, reply
            event(
                _LOGGER,
                "stage.owner_lost",
                request=request.request_id,
                owner=owner,
                cause=reply.detail,
            )
            self._peers.disconnect(owner)
            unreachable = (*unreachable, owner)
        raise AssertionError("this daemon is the last candidate and always replies")

    def _build_request(self, params: StageRunParams) -> RunStagesRequest:
        now = self._state.clock.now_ms()
        return RunStagesRequest(
            request_id=params.request.id,
            stages=params.route.stages,
            piece_counts=() if params.engine_only else params.request.piece_counts,
            piece_key=params.request.piece_key,
            remaining_ms=params.deadline_ms - now,
            objective_remaining_ms=params.objective_ms - now,
            priority=params.priority,
            team=params.team,
            generation=params.request.generation or NO_GENERATION,
            engine_service=params.engine_service,
            excluded_engines=params.excluded_engines,
            # The owner may not have read of an evacuation yet.
            paused_engines=(
                *self._state.servers.paused(params.engine_service),
                *self._state.servers.evacuated(params.engine_service),
            ),
            version=params.version,
            digest=params.request.digest,
            is_rerun=params.is_rerun,
        )

    def _group_of(self, route: Route) -> str:
        """Return the pool group of a route; routes that share a pool share it."""
        deployment = self._state.deployment
        return deployment.stage_group(route) if deployment else route.name

    def _choose_cell(self, params: StageRunParams, group: str) -> Cell:
        """Return the cell in which a request runs its stages and its engine."""
        state, deployment = self._state, self._state.deployment
        cells = state.cells(group)
        if len(cells) == 1 or deployment is None:
            return cells[0]
        now = state.clock.now_ms()
        stage_pools = {stage.service for stage in params.route.stages}
        ready = [
            state.servers.ready(pool) for pool in (*stage_pools, params.engine_service)
        ]
        delays_ms = {
            cell: state.delays.delay_ms(hash_duty(duty_name(group, cell)), now)
            for cell in cells
        }
        return cell_choice.choose(
            cell_choice.weights(cells, ready),
            params.request.generation or NO_GENERATION,
            params.request.id,
            state.members.own.failure_domain,
            delays_ms,
        )

    def _owner_candidates(self, group: str, cell: Cell) -> list[str]:
        """Return the addresses of the owner candidates of a cell, the best first."""
        now = self._state.clock.now_ms()
        members = self._state.members.owner_candidates(
            duty_name(group, cell), now, domains=cell.domains
        )
        return [member.address for member in members]
