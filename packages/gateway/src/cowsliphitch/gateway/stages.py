"""Have the stages of a request done by the daemon that owns their pools."""

import logging
from collections.abc import Callable
from typing import Final

import anyio
import attrs
from anyio.abc import TaskGroup

from cowsliphitch.core.clock import seconds
from cowsliphitch.core.deployment.models import Route
from cowsliphitch.core.requests.models import CallerRequest, Generation
from cowsliphitch.core.verdict import Refusal
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

from . import const
from .desk import StageDesk, duty
from .state import GatewayState

_LOGGER = logging.getLogger(__name__)

NO_GENERATION: Final = Generation("", 0, 0, ())


class StageError(Exception):
    """The stages won't be done, so the request can't run."""

    def __init__(self, refusal: Refusal) -> None:
        """Keep the refusal."""
        super().__init__(refusal.detail)
        self.refusal = refusal


@attrs.frozen
class OwnedStages:
    """Stages that were done.

    :param owner: address of the daemon that did them and counts their results
    """

    owner: str
    made: StagesCompleted


@attrs.frozen
class StageNeeds:
    """What a request asks of its stages and its engine.

    :param end_ms: monotonic time of the request's deadline
    :param objective_ms: monotonic time of its objective
    :param engines: service of the engines
    :param stages_done: only an engine is needed
    :param avoid: engines that already failed the request
    """

    request: CallerRequest
    route: Route
    team: str
    rank: int
    end_ms: int
    objective_ms: int
    engines: str
    stages_done: bool = False
    avoid: tuple[str, ...] = ()


class StageRunner:
    """Ask the owner of the stage pools, here or at a peer."""

    def __init__(
        self,
        state: GatewayState,
        desk: StageDesk,
        links: PeerConnections,
        group: TaskGroup,
    ) -> None:
        """Use this daemon's own desk and the links to the others."""
        self._state = state
        self._desk = desk
        self._links = links
        self._group = group

    async def run(self, needs: StageNeeds) -> OwnedStages:
        """Have all stages done, and an engine chosen.

        :raises StageError: they won't be done
        """
        owner, reply = await self._ask_owners(needs)
        match reply:
            case StagesCompleted():
                return OwnedStages(owner, reply)
            case StagesRefused(refusal):
                raise StageError(refusal)

    def note(self, owner: str, note: EngineProgressReport) -> None:
        """Tell the daemon that did a request's stages what became of it.

        Another one that took the duty since does not know the request.
        """
        self._group.start_soon(self._note, owner, note)

    def after(
        self, delay_ms: int, scope: anyio.CancelScope, act: Callable[[], None]
    ) -> None:
        """Do something later, unless its scope is cancelled before."""

        async def wait() -> None:
            with scope:
                await anyio.sleep(seconds(delay_ms))
                act()

        self._group.start_soon(wait)

    async def _note(self, owner: str, note: EngineProgressReport) -> None:
        if owner == self._state.members.own.address:
            self._desk.note(note)
            return
        lost = await self._links.report_progress(owner, note)
        if lost is not None:
            event(_LOGGER, "stage.note_lost", owner=owner, cause=lost.detail)
            self._desk.note(note)

    async def _ask_owners(self, needs: StageNeeds) -> tuple[str, RunStagesReply]:
        """Ask the owner, the next in rank if it gives no answer, then this daemon."""
        own = self._state.members.own.address
        lost: tuple[str, ...] = ()
        for owner in [*self._owners(needs.route)[: const.MAX_OWNERS], own]:
            order = attrs.evolve(self._order(needs), unreachable_owners=lost)
            if owner == own:
                return own, await self._desk.run_stages(order)
            reply = await self._links.run_stages(owner, order)
            if not isinstance(reply, PeerCallFailed):
                return owner, reply
            event(
                _LOGGER,
                "stage.owner_lost",
                request=order.request_id,
                owner=owner,
                cause=reply.detail,
            )
            self._links.disconnect(owner)
            lost = (*lost, owner)
        raise AssertionError("this daemon is the last owner that is asked")

    def _order(self, needs: StageNeeds) -> RunStagesRequest:
        now = self._state.clock.now_ms()
        return RunStagesRequest(
            request_id=needs.request.id,
            stages=needs.route.stages,
            piece_counts=() if needs.stages_done else needs.request.pieces,
            piece_key=needs.request.piece_key,
            remaining_ms=needs.end_ms - now,
            objective_remaining_ms=needs.objective_ms - now,
            rank=needs.rank,
            team=needs.team,
            generation=needs.request.generation or NO_GENERATION,
            engine_service=needs.engines,
            excluded_engines=needs.avoid,
        )

    def _owners(self, route: Route) -> list[str]:
        """Return the daemons in order of preference for a route's stages.

        Routes that share a pool share its owner.
        """
        deployment = self._state.deployment
        group = deployment.stage_group(route) if deployment else route.name
        now = self._state.clock.now_ms()
        members = self._state.members.owner_candidates(duty(group), now)
        return [member.address for member in members]
