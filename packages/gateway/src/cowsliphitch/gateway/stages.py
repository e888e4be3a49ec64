"""Run the stages of a request, each at the daemon that owns its pool."""

import logging
from collections.abc import Iterable

import anyio
import attrs
from anyio.abc import TaskGroup

from cowsliphitch.core.deployment.models import Deployment, Route, StageSpec
from cowsliphitch.core.requests.models import CallerRequest
from cowsliphitch.core.verdict import Reason, Refusal, not_run
from cowsliphitch.peers.fleet.link import FleetLinks
from cowsliphitch.peers.fleet.models import (
    PeerLost,
    StageMade,
    StageOrder,
    StageRefused,
    StageReply,
)
from cowsliphitch.telemetry.logs import event

from .desk import StageDesk
from .state import GatewayState

_LOGGER = logging.getLogger(__name__)

# Owners that are asked one after the other for a stage.
MAX_OWNERS = 3

# Expected time of a model engine until its first token.
ENGINE_FIRST_TOKEN_MS = 150


class StageError(Exception):
    """A stage won't be done, so the request can't run."""

    def __init__(self, stage: int, refusal: Refusal) -> None:
        """Keep the refusal."""
        super().__init__(refusal.detail)
        self.stage = stage
        self.refusal = refusal


@attrs.define
class StageRun:
    """One request's way through its stages.

    :param end_ms: monotonic time of the request's deadline
    :param objective_ms: monotonic time of its objective
    :param reader_domain: failure domain of the engine that will read the results
    """

    request: CallerRequest
    route: Route
    team: str
    rank: int
    end_ms: int
    objective_ms: int
    reader_domain: str
    handles: dict[int, tuple[str, ...]] = attrs.Factory(dict)
    took_ms: dict[int, int] = attrs.Factory(dict)

    def pieces(self, stage: int) -> int:
        """Return the pieces of a stage, 0 if it is left out."""
        pieces = self.request.pieces
        return pieces[stage] if stage < len(pieces) else 0


class StageRunner:
    """Run stages in the order of their graph and give up results in time."""

    def __init__(
        self,
        state: GatewayState,
        desk: StageDesk,
        links: FleetLinks,
        group: TaskGroup,
    ) -> None:
        """Use this daemon's own desk and the links to the others."""
        self._state = state
        self._desk = desk
        self._links = links
        self._group = group

    async def run(self, run: StageRun, deployment: Deployment) -> tuple[str, ...]:
        """Run all stages; return the handles that the engine reads.

        :raises StageError: a stage won't be done
        """
        stages = run.route.stages
        done = {n: anyio.Event() for n in range(len(stages))}
        errors: list[StageError] = []

        async def one(number: int, scope: anyio.CancelScope) -> None:
            for before in stages[number].after:
                await done[before].wait()
            try:
                await self._run_stage(run, number, deployment)
            except StageError as exc:
                errors.append(exc)
                scope.cancel()
            done[number].set()

        async with anyio.create_task_group() as group:
            for number in range(len(stages)):
                group.start_soon(one, number, group.cancel_scope)
        if errors:
            raise errors[0]
        self._free_read(run)
        final = (run.handles.get(n, ()) for n in run.route.final_stages)
        return tuple(handle for handles in final for handle in handles)

    def free_all(self, run: StageRun) -> None:
        """Give up every result that a request still holds."""
        for number in list(run.handles):
            self._free(run, number)

    def _free_read(self, run: StageRun) -> None:
        """Give up the results that only other stages read."""
        for number in set(run.handles) - set(run.route.final_stages):
            self._free(run, number)

    def _free(self, run: StageRun, number: int) -> None:
        handles = run.handles.pop(number, ())
        if handles:
            service = run.route.stages[number].service
            self._group.start_soon(self._free_at_owner, service, handles)

    async def _free_at_owner(self, service: str, handles: tuple[str, ...]) -> None:
        owner = self._owners(service)[0]
        if owner == self._state.members.own.address:
            self._desk.free(service, handles)
            return
        lost = await self._links.free(owner, service, handles)
        if lost is not None:
            event(_LOGGER, "stage.free_lost", owner=owner, cause=lost.detail)
            self._desk.free(service, handles)

    async def _run_stage(
        self, run: StageRun, number: int, deployment: Deployment
    ) -> None:
        if run.pieces(number) == 0:
            return
        spec = run.route.stages[number]
        started_ms = self._state.clock.now_ms()
        order = self._order(run, number, deployment)
        match await self._ask_owners(order):
            case StageMade(handles):
                run.handles[number] = handles
                run.took_ms[number] = self._state.clock.now_ms() - started_ms
            case StageRefused(refusal):
                raise StageError(number, refusal)
        for before in spec.after:
            if self._read_by_all(run, before):
                self._free(run, before)

    def _read_by_all(self, run: StageRun, number: int) -> bool:
        """Tell whether every stage that reads a stage's results is done."""
        readers = [n for n, s in enumerate(run.route.stages) if number in s.after]
        return all(n in run.took_ms or run.pieces(n) == 0 for n in readers)

    def _order(self, run: StageRun, number: int, deployment: Deployment) -> StageOrder:
        spec = run.route.stages[number]
        now = self._state.clock.now_ms()
        inputs = [h for before in spec.after for h in run.handles.get(before, ())]
        return StageOrder(
            service=spec.service,
            request=run.request.id,
            stage=number,
            pieces=run.pieces(number),
            key=run.request.piece_key,
            inputs=tuple(inputs),
            result_bytes=spec.result_bytes,
            left_ms=run.end_ms - now,
            objective_left_ms=run.objective_ms - now,
            rest_ms=rest_ms(run, number, deployment),
            rank=run.rank,
            team=run.team,
            reader_domain=run.reader_domain,
        )

    async def _ask_owners(self, order: StageOrder) -> StageReply:
        """Ask the owner of a pool, and the next in rank if it gives no answer."""
        for owner in self._owners(order.service)[:MAX_OWNERS]:
            if owner == self._state.members.own.address:
                return await self._desk.run_stage(order)
            reply = await self._links.run_stage(owner, order)
            if not isinstance(reply, PeerLost):
                return reply
            event(
                _LOGGER,
                "stage.owner_lost",
                request=order.request,
                service=order.service,
                owner=owner,
                cause=reply.detail,
            )
            self._links.drop(owner)
        detail = f"no owner of {order.service} answered"
        return StageRefused(not_run(Reason.PEER_UNAVAILABLE, detail, 200))

    def _owners(self, service: str) -> list[str]:
        now = self._state.clock.now_ms()
        members = self._state.members.owners(f"stage/{service}", now)
        return [member.address for member in members]


def rest_ms(run: StageRun, number: int, deployment: Deployment) -> int:
    """Return the expected time of everything that follows a stage."""
    stages = run.route.stages
    followers = [n for n, stage in enumerate(stages) if number in stage.after]
    rests = [
        _stage_ms(run, n, stages[n], deployment) + rest_ms(run, n, deployment)
        for n in followers
    ]
    return round(max(rests, default=ENGINE_FIRST_TOKEN_MS))


def _stage_ms(
    run: StageRun, number: int, stage: StageSpec, deployment: Deployment
) -> float:
    service = deployment.services.get(stage.service)
    pieces = run.pieces(number)
    if service is None or service.stage_pool is None or pieces == 0:
        return 0.0
    pool = service.stage_pool
    return pool.call_ms + pool.piece_ms * min(pieces, pool.batch)


def stage_services(routes: Iterable[Route]) -> set[str]:
    """Return the services that any of the routes uses for stages."""
    return {stage.service for route in routes for stage in route.stages}
