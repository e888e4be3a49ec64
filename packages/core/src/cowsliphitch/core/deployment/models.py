"""The settings of a deployment: routes, services, teams and limits on callers.

They come from the operator as one versioned document and replace each other whole.
"""

import enum
import hashlib
import itertools
from typing import Final

import attrs

MAX_PRIORITY: Final = 9

# Callers give up a stream after a pause of this length, this many objectives or this
# many of the longest pauses that are on time, whichever is longest.
LEAST_PATIENCE_MS: Final = 2_000
PATIENCE_OBJECTIVES: Final = 4
PATIENCE_GAPS: Final = 8


class RouteKind(enum.Enum):
    """What kind of calls a route carries, and so what may be repeated."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@attrs.frozen
class StageSpec:
    """Work that is done before a request can run.

    :param service: the stage pool that does it
    :param after: numbers of the stages whose results it reads
    :param result_bytes: approximate size of one result
    """

    service: str
    after: tuple[int, ...]
    result_bytes: int


@attrs.frozen
class Target:
    """One of the services that a route's traffic is divided over."""

    service: str
    weight: int


@attrs.frozen
class Route:
    """What happens to the requests of one host and path prefix.

    :param timeout_ms: longest time that a request may be kept without its answer
    :param objective_ms: time within which an answer earns its full credit
    :param priority: rank among routes, 0 is the most urgent
    :param max_attempts: servers to which one request may be sent
    :param public: no key is asked for
    :param resumable: a stream may go on at another server
    :param max_gap_ms: longest pause between events of a stream that is on time
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_ms: int
    objective_ms: int
    priority: int
    targets: tuple[Target, ...]
    max_attempts: int
    stages: tuple[StageSpec, ...] = ()
    public: bool = False
    resumable: bool = False
    max_gap_ms: int = 0

    @property
    def first_event_timeout_ms(self) -> int:
        """Return how long callers of a stream wait for its first event."""
        return max(
            LEAST_PATIENCE_MS,
            PATIENCE_OBJECTIVES * self.objective_ms,
            PATIENCE_GAPS * self.max_gap_ms,
        )

    def service_for(self, request: str) -> str:
        """Return the service of a request, divided by weight over its identifier."""
        total = sum(target.weight for target in self.targets)
        if len(self.targets) == 1 or total <= 0:
            return self.targets[0].service
        digest = hashlib.blake2b(request.encode(), digest_size=4).digest()
        point = int.from_bytes(digest) % total
        bounds = itertools.accumulate(target.weight for target in self.targets)
        chosen = next(n for n, bound in enumerate(bounds) if point < bound)
        return self.targets[chosen].service


@attrs.frozen
class StagePool:
    """Figures of one server of a stage pool.

    :param slots: calls that are worked on at a time
    :param queue: calls that may wait
    :param batch: pieces in one call
    :param call_ms: time of a call besides its pieces
    :param piece_ms: approximate time of a piece
    :param result_memory_bytes: memory for results
    :param result_ttl_ms: how long a result lives that nobody frees
    """

    slots: int
    queue: int
    batch: int
    call_ms: float
    piece_ms: float
    result_memory_bytes: int
    result_ttl_ms: int


@attrs.frozen
class EnginePool:
    """Figures of one model engine of a pool.

    :param slots: requests in a batch
    :param kv_tokens: memory for the tokens of running requests and cached prompts
    """

    slots: int
    kv_tokens: int


@attrs.frozen
class Service:
    """A pool of servers that the system routes to.

    :param max_connections: connections that one server takes from all daemons
    """

    name: str
    max_connections: int
    stage_pool: StagePool | None = None
    engine_pool: EnginePool | None = None


@attrs.frozen
class CallerLimits:
    """Limits on what a caller may send and how long it may take."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@attrs.frozen
class Team:
    """A team (organisation) that shares the fleet.

    :param priority: goes before the priority of a route, ``None`` if not given
    """

    name: str
    priority: int | None = None


@attrs.frozen
class Deployment:
    """One version of the settings in force.

    :param routes: by host, longest prefix first
    :param team_by_key: the team that holds each key
    :param requires_key: requests must carry a key unless their route is public
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    limits: CallerLimits
    team_by_key: dict[str, Team]
    requires_key: bool
    _groups: dict[str, str] | None = attrs.field(default=None, init=False, eq=False)

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins a path."""
        found = (r for r in self.routes.get(host, ()) if path.startswith(r.prefix))
        return next(found, None)

    def stage_group(self, route: Route) -> str:
        """Return the name of the pools that a route shares with other routes.

        Pools that occur together, directly or over a third one, have one name.
        """
        return self.pool_group(min(self._pools_of(route), default=route.name))

    def pool_group(self, service: str) -> str:
        """Return the name of the pools that belong together with one of them."""
        return self._stage_groups().get(service, service)

    def _pools_of(self, route: Route) -> set[str]:
        """Return the stage pools and the engines of a route."""
        engines = {
            target.service
            for target in route.targets
            if self.has_engines(target.service)
        }
        return engines | {stage.service for stage in route.stages}

    def has_engines(self, service: str) -> bool:
        """Tell whether a service consists of model engines."""
        known = self.services.get(service)
        return known is not None and known.engine_pool is not None

    def _stage_groups(self) -> dict[str, str]:
        """Return the group of each pool: the least name among its pools."""
        if self._groups is None:
            groups: dict[str, str] = {}
            for route in self.all_routes():
                found = self._pools_of(route)
                merged = {groups.get(service, service) for service in found}
                members = found | {s for s, g in groups.items() if g in merged}
                name = min(merged | members, default="")
                groups |= dict.fromkeys(members, name)
            object.__setattr__(self, "_groups", groups)
        assert self._groups is not None
        return self._groups

    def all_routes(self) -> tuple[Route, ...]:
        """Return the routes of all hosts."""
        return tuple(itertools.chain.from_iterable(self.routes.values()))


def index_routes(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Return routes by host, the longest prefix first."""
    ordered = sorted(routes, key=lambda r: (r.host, -len(r.prefix)))
    return {
        host: tuple(group)
        for host, group in itertools.groupby(ordered, key=lambda r: r.host)
    }
