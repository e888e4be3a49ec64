"""Settings of a deployment: routes, services, teams and limits on callers.

The operator publishes them as one versioned document; a new version replaces all of the
previous one.
"""

import enum
import hashlib
import itertools
from typing import Final

import attrs

MAX_PRIORITY: Final = 9

# Callers abandon a stream after a pause of this length, of this many latency
# objectives, or of this many times the route's longest gap between events that are on
# time, whichever is longest.
MIN_STREAM_TIMEOUT_MS: Final = 2_000
STREAM_TIMEOUT_OBJECTIVES: Final = 4
STREAM_TIMEOUT_GAPS: Final = 8

# Number of values of the digest that distributes requests over a route's targets.
_DIGEST_VALUES: Final = 2**32


class RouteKind(enum.Enum):
    """Kind of the calls on a route, which decides whether they may be repeated."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@attrs.frozen
class StageSpec:
    """Preprocessing stage that completes before a request runs.

    :param service: the stage pool that runs it
    :param after: numbers of the stages whose results it reads
    :param result_bytes: approximate size of one result
    """

    service: str
    after: tuple[int, ...]
    result_bytes: int


@attrs.frozen
class Target:
    """One of the services that a route's traffic is split between.

    :param weight: its share of the traffic, relative to the other targets
    """

    service: str
    weight: float


@attrs.frozen
class Route:
    """Handling of the requests for one host and path prefix.

    :param timeout_ms: longest time that a request may wait for its answer
    :param objective_ms: latency objective: time within which an answer counts in full
    :param priority: priority among routes, 0 is the most urgent
    :param max_attempts: largest number of servers that one request is sent to
    :param public: requests need no API key
    :param resumable: an interrupted stream may continue at another server
    :param max_gap_ms: longest gap between events of a stream that is on time
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
        """Return how long the callers of a stream wait for its first event."""
        return max(
            MIN_STREAM_TIMEOUT_MS,
            STREAM_TIMEOUT_OBJECTIVES * self.objective_ms,
            STREAM_TIMEOUT_GAPS * self.max_gap_ms,
        )

    def service_for(self, request: str) -> str:
        """Return the target service of a request.

        Requests are distributed by weight and by a hash of their identifier, so that
        a request always gets the same service.

        :param request: identifier of the request
        """
        total = sum(target.weight for target in self.targets)
        if len(self.targets) == 1 or total <= 0:
            return self.targets[0].service
        digest = hashlib.blake2b(request.encode(), digest_size=4).digest()
        point = int.from_bytes(digest) / _DIGEST_VALUES * total
        bounds = itertools.accumulate(target.weight for target in self.targets)
        chosen = (
            t for t, bound in zip(self.targets, bounds, strict=True) if point < bound
        )
        return next(chosen, self.targets[-1]).service


@attrs.frozen
class StagePool:
    """Capacity and timing of one server of a stage pool.

    :param slots: calls that run concurrently
    :param queue: calls that may be queued
    :param batch: largest number of pieces in one call
    :param call_ms: fixed time of a call, besides its pieces
    :param piece_ms: approximate time of a piece
    :param result_memory_bytes: memory for the results that it keeps
    :param result_ttl_ms: time after which a result that was not freed is deleted
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
    """Capacity of one model engine of a pool.

    :param slots: requests in a batch
    :param kv_tokens: size of its KV cache in tokens, for running requests and cached
        prompts, 0 if it is not limited
    """

    slots: int
    kv_tokens: int


@attrs.frozen
class Service:
    """A pool of servers that requests are routed to.

    :param max_connections: connections that one server accepts from all daemons
    :param cold_start_ms: time after its start until a server is warm
    :param cold_per_s: requests a second that a cold server takes from all daemons, 0 if
        a cold server takes as many as a warm one
    """

    name: str
    max_connections: int
    stage_pool: StagePool | None = None
    engine_pool: EnginePool | None = None
    cold_start_ms: int = 0
    cold_per_s: float = 0.0


@attrs.frozen
class CallerLimits:
    """Limits on the size and duration of a caller's requests.

    :param header_timeout_ms: time within which a request's head must arrive
    :param idle_timeout_ms: time after which an idle connection is closed
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@attrs.frozen
class Team:
    """A team (an organisation) that shares the fleet.

    :param priority: overrides the priority of a route, ``None`` if not set
    """

    name: str
    priority: int | None = None


@attrs.frozen
class Deployment:
    """One version of a deployment's settings.

    :param routes: by host, longest prefix first
    :param team_by_key: the team that each API key belongs to
    :param requires_key: requests must carry an API key unless their route is public
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    limits: CallerLimits
    team_by_key: dict[str, Team]
    requires_key: bool
    # Name of the group by pool, computed on first use.
    _groups: dict[str, str] | None = attrs.field(default=None, init=False, eq=False)

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route whose prefix is the longest match, ``None`` if none is."""
        matches = (r for r in self.routes.get(host, ()) if path.startswith(r.prefix))
        return next(matches, None)

    def team_of(self, api_key: str | None) -> Team | None:
        """Return the team that holds an API key, ``None`` if no team does.

        An empty key is no key: no team holds it, also if a team lists it.

        :param api_key: the request's key, ``None`` without one
        """
        return self.team_by_key.get(api_key) if api_key else None

    def stage_group(self, route: Route) -> str:
        """Return the name of the pool group that a route uses.

        All pools of one route are in the same group, and groups with a common pool are
        merged.  A group has a single owner.
        """
        return self.pool_group(min(self._pools_of(route), default=route.name))

    def pool_group(self, service: str) -> str:
        """Return the name of the group that a pool belongs to."""
        return self._stage_groups().get(service, service)

    def _pools_of(self, route: Route) -> set[str]:
        """Return the stage pools and engine pools of a route."""
        engines = {
            target.service
            for target in route.targets
            if self.has_engines(target.service)
        }
        return engines | {stage.service for stage in route.stages}

    def pools_of_group(self, group: str) -> tuple[str, ...]:
        """Return the stage pools and engine pools of a group."""
        return tuple(sorted(s for s, g in self._stage_groups().items() if g == group))

    def has_engines(self, service: str) -> bool:
        """Return whether a service consists of model engines."""
        settings = self.services.get(service)
        return settings is not None and settings.engine_pool is not None

    def _stage_groups(self) -> dict[str, str]:
        """Return the group of each pool, named after its alphabetically first pool."""
        if self._groups is None:
            groups: dict[str, str] = {}
            for route in self.all_routes():
                pools = self._pools_of(route)
                merged = {groups.get(service, service) for service in pools}
                members = pools | {s for s, g in groups.items() if g in merged}
                name = min(merged | members, default="")
                groups |= dict.fromkeys(members, name)
            object.__setattr__(self, "_groups", groups)
        assert self._groups is not None
        return self._groups

    def all_routes(self) -> tuple[Route, ...]:
        """Return the routes of all hosts."""
        return tuple(itertools.chain.from_iterable(self.routes.values()))


def index_routes(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Group routes by host, the longest prefix first."""
    ordered = sorted(routes, key=lambda r: (r.host, -len(r.prefix)))
    return {
        host: tuple(group)
        for host, group in itertools.groupby(ordered, key=lambda r: r.host)
    }
