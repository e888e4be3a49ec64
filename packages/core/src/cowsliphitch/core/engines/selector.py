"""Selection of the model engine for each request, by one owner for all daemons.

Load pattern: three quarters of a prompt are shared with other requests, and prefilling
them again takes longer than everything else in the request.  Bursts of requests with
different prompts can meet at one engine while others are idle.  The owner records every
request that it dispatches, so it can estimate which prompt parts each engine has cached
and how long its prefill queue is.  A request goes to the engine that has its shared
parts cached unless the wait there uses up more of the time to its objective than the
cached parts are worth; then to the engine with the earliest first token.

Engines of a pool run at different speeds, which ``speed`` estimates, and have slots and
memory for some requests only, which ``state`` keeps account of.

Ownership moves with every restart and network partition, and a new owner has no record
of the caches.  Each part therefore has a preferred engine, given by rendezvous hashing,
so that a new owner selects the engine that prefilled the part for the previous one.
"""

from collections.abc import Iterable, Mapping, Sequence

import attrs

from cowsliphitch.core.deployment.models import EnginePool
from cowsliphitch.core.limits.models import NoRates, ServerRates
from cowsliphitch.core.membership.ranking import rank
from cowsliphitch.core.requests.models import Generation
from cowsliphitch.core.servers.models import Server

from . import const
from .state import Dispatch, EngineState, Estimate


@attrs.frozen
class CostWeights:
    """Costs of a choice other than latency, as fractions of a request's credit.

    :param recompute_per_1k_tokens: prefill of 1,000 tokens that another engine has
        cached
    :param transfer_per_mb: transfer of 1 MB of stage results between failure domains
    """

    recompute_per_1k_tokens: float = const.RECOMPUTE_COST_PER_1K_TOKENS
    transfer_per_mb: float = const.TRANSFER_COST_PER_MB


@attrs.frozen
class EngineChoice:
    """The engine selected for a request.

    :param first_token_ms: expected time to the first token
    :param recomputed_tokens: tokens to prefill although another engine has them cached
    :param is_affinity_miss: another engine is the preferred one for the shared parts
    :param cached_tokens: length of the prompt prefix that the engine has cached
    :param saved_ms: prefill time that the cached prefix saves
    :param wait_ms: expected wait for other requests, a slot and memory
    """

    server: Server
    first_token_ms: float
    recomputed_tokens: int
    is_affinity_miss: bool = False
    cached_tokens: int = 0
    saved_ms: float = 0.0
    wait_ms: float = 0.0


@attrs.frozen
class _Candidate:
    """An engine that a request may be sent to.

    :param first_token_ms: expected time to the first token, with the wait for a permit
    :param is_limited: its slots and memory are known and limited
    """

    server: Server
    estimate: Estimate
    first_token_ms: float
    is_limited: bool

    def objective_share(self, remaining_ms: int) -> float:
        """Return the part of the time to the objective that passes, with a margin."""
        if remaining_ms <= 0:
            return 1.0
        return self.first_token_ms * const.LATENCY_SAFETY_FACTOR / remaining_ms


class EngineSelector:
    """Select engines and track the requests dispatched to them."""

    def __init__(self, costs: CostWeights, rates: ServerRates | None = None) -> None:
        """Initialize the selector without any engine state.

        :param rates: limits of the engines, ``None`` without any
        """
        self._costs = costs
        self._rates = rates or NoRates()
        self._pools: Mapping[str, EnginePool] = {}
        self._engines: dict[str, EngineState] = {}
        self._dispatches: dict[str, Dispatch] = {}
        self._now_ms = 0
        self._maintained_ms: int | None = None

    def set_pools(self, pools: Mapping[str, EnginePool]) -> None:
        """Set the slots and memory of engines by service.

        Engines whose memory can't limit them are selected without regard to either.
        """
        self._pools = {
            service: pool
            for service, pool in pools.items()
            if 0 < pool.kv_tokens < const.AMPLE_KV_TOKENS
        }

    def choose(
        self,
        generation: Generation,
        engines: Sequence[Server],
        remaining_ms: int,
        result_bytes: Mapping[str, int],
        now_ms: int,
        excluded: frozenset[str] = frozenset(),
        priority: int = 0,
    ) -> EngineChoice | None:
        """Return the engine with the lowest cost, or ``None`` if none is eligible.

        Engines in failure backoff are chosen only if no other engine is eligible.

        :param remaining_ms: time until the objective is missed
        :param result_bytes: size of the request's stage results by failure domain
        :param excluded: identifiers of servers that already failed the request
        :param priority: 0 is admitted first by engines
        """
        self._now_ms = now_ms
        eligible = [e for e in engines if e.id not in excluded]
        healthy = [e for e in eligible if self._state_of(e).backoff_until_ms <= now_ms]
        candidates = [
            self._candidate(e, generation, priority) for e in healthy or eligible
        ]
        if not candidates:
            return None
        preferred = _preferred_engine(
            generation,
            [c.server.id for c in candidates if not c.estimate.admission_ms]
            or [c.server.id for c in candidates],
        )
        if all(c.is_limited and c.first_token_ms > remaining_ms for c in candidates):
            best = min(candidates, key=_total_delay)
        else:
            spare = _spare_share(candidates)
            cached = [
                (
                    c.estimate.cached_tokens,
                    _cache_value(c, candidates, remaining_ms, spare),
                )
                for c in candidates
                if c.estimate.cached_tokens
            ]
            costs = {
                c.server.id: self._cost(
                    c,
                    remaining_ms,
                    result_bytes,
                    self._recompute_cost(c, cached),
                    spare,
                    is_affinity_miss=preferred not in (None, c.server.id),
                )
                for c in candidates
            }
            best = min(candidates, key=lambda c: (costs[c.server.id], c.server.id))
        max_cached_tokens = max(c.estimate.cached_tokens for c in candidates)
        return EngineChoice(
            best.server,
            best.first_token_ms,
            max_cached_tokens - best.estimate.cached_tokens,
            is_affinity_miss=preferred not in (None, best.server.id),
            cached_tokens=best.estimate.cached_tokens,
            saved_ms=best.estimate.saved_ms,
            wait_ms=best.estimate.wait_ms,
        )

    def _candidate(
        self, server: Server, generation: Generation, priority: int
    ) -> _Candidate:
        engine = self._state_of(server)
        estimate = engine.estimate(generation, priority, self._now_ms)
        permit_ms = self._rates.wait_ms(server, self._now_ms)
        return _Candidate(
            server,
            estimate,
            permit_ms + estimate.first_token_ms,
            engine.pool is not None,
        )

    def _recompute_cost(
        self, candidate: _Candidate, cached: Sequence[tuple[int, float]]
    ) -> float:
        """Return the cost of tokens to prefill that another engine has cached.

        :param cached: the cached tokens of engines, and their part of the full cost
        """
        own = candidate.estimate.cached_tokens
        weighted = ((tokens - own) * value for tokens, value in cached)
        return max(weighted, default=0.0) / 1_000 * self._costs.recompute_per_1k_tokens

    def _cost(
        self,
        candidate: _Candidate,
        remaining_ms: int,
        result_bytes: Mapping[str, int],
        recompute_cost: float,
        spare: float,
        is_affinity_miss: bool,
    ) -> float:
        """Return the cost of a candidate.

        An expected miss of the objective weighs most: it costs at least 1.
        """
        domain = candidate.server.failure_domain
        transferred_bytes = sum(
            size for source, size in result_bytes.items() if source != domain
        )
        first_token_ms = candidate.first_token_ms
        overrun_ms = first_token_ms * const.LATENCY_SAFETY_FACTOR - remaining_ms
        if overrun_ms > 0:
            miss_cost = 1.0 + overrun_ms / const.OVERRUN_SCALE_MS
        elif candidate.is_limited:
            miss_cost = _miss_risk(candidate, remaining_ms, spare)
        else:
            miss_cost = 0.0
        return (
            recompute_cost
            + transferred_bytes / 1_000_000 * self._costs.transfer_per_mb
            + first_token_ms * const.LATENCY_COST_PER_MS
            + (const.AFFINITY_MISS_COST if is_affinity_miss else 0.0)
            + miss_cost
        )

    def first_token_ms(
        self, server: Server, generation: Generation, priority: int = 0
    ) -> float:
        """Return the expected time to a request's first token at an engine."""
        engine = self._state_of(server)
        return engine.estimate(generation, priority, self._now_ms).first_token_ms

    def backlog_ms(self, engines: Sequence[Server]) -> int:
        """Return the wait for other requests at the engine with the shortest queue."""
        delays_ms = (e.queue_ms(self._now_ms) for e in map(self._state_of, engines))
        return round(min(delays_ms, default=0.0))

    def load(self, server: Server) -> dict[str, float | None]:
        """Return the inputs of an engine's expected time to first token, for logs."""
        engine = self._state_of(server)
        return {
            "waiting_tokens": engine.waiting_tokens,
            "running": engine.running,
            "tokens_per_ms": round(engine.tokens_per_ms, 1),
            "free_slots": engine.free_slots,
            "free_memory": engine.free_tokens,
        }

    def record_dispatch(
        self,
        request: str,
        server: Server,
        generation: Generation,
        now_ms: int,
        priority: int = 0,
        delay_ms: int = 0,
    ) -> None:
        """Record that a request is dispatched to an engine.

        An earlier dispatch of the same request counts as ended.

        :param priority: 0 is admitted first by engines
        :param delay_ms: time until it may be sent
        """
        self._now_ms = now_ms
        self.record_end(request)
        self._dispatches[request] = self._state_of(server).add(
            generation, priority, now_ms + delay_ms, now_ms
        )

    def record_first_token(self, request: str, now_ms: int) -> None:
        """Record a request's first token and update its engine's speed."""
        dispatch = self._dispatches.get(request)
        if dispatch is not None and not dispatch.began:
            dispatch.engine.begin(dispatch, now_ms)

    def record_end(self, request: str) -> None:
        """Record that a request is no longer in flight at its engine."""
        dispatch = self._dispatches.pop(request, None)
        if dispatch is not None:
            dispatch.engine.end(dispatch)

    def record_failure(self, request: str, now_ms: int) -> None:
        """Record that an engine failed a request and start the engine's backoff.

        The engine may have crashed, so its cache is assumed to be empty.
        """
        dispatch = self._dispatches.get(request)
        if dispatch is not None:
            dispatch.engine.backoff_until_ms = now_ms + const.FAILURE_BACKOFF_MS
            dispatch.engine.clear_cache()
        self.record_end(request)

    def remove_stale(self, servers: Sequence[Server], now_ms: int) -> None:
        """Remove requests past their expected end, and engines no longer listed.

        Reports of a request's end can be lost; without this it would count as in flight
        forever.

        :param servers: all servers that are listed now
        """
        passed_ms = now_ms - (self._maintained_ms or now_ms)
        self._now_ms = self._maintained_ms = now_ms
        for request in [
            r for r, dispatch in self._dispatches.items() if dispatch.end_ms < now_ms
        ]:
            self.record_end(request)
        ids = {server.id for server in servers}
        for removed in self._engines.keys() - ids:
            del self._engines[removed]
        for engine in self._engines.values():
            engine.speed.forget(passed_ms)

    def _state_of(self, server: Server) -> EngineState:
        """Return an engine's state, reset if the engine has restarted."""
        engine = self._engines.get(server.id)
        pool = self._pools.get(server.service)
        if engine is None or engine.started_ms != server.started_ms:
            engine = self._engines[server.id] = EngineState(server.started_ms)
        engine.pool = pool
        engine.max_cached_parts = max(
            const.MIN_CACHED_PARTS, const.MAX_CACHED_PARTS // len(self._engines)
        )
        return engine


def _spare_share(candidates: Sequence[_Candidate]) -> float:
    """Return how far prefilling a prompt again costs no other request time, 0 to 1.

    It is 1 if at least ``IDLE_SHARE`` of the engines have no queue.  When all have
    queues, prefilling a prompt again delays the requests in them.
    """
    idle = sum(not c.estimate.wait_ms for c in candidates) / len(candidates)
    return min(1.0, idle / const.IDLE_SHARE)


def _miss_risk(candidate: _Candidate, remaining_ms: int, spare: float) -> float:
    """Return the cost of using up the time to an objective that is expected to be met.

    It is 0 up to ``FREE_OBJECTIVE_SHARE`` and rises to the cost of a miss, which is 1,
    while there are spare engines.

    :param spare: result of ``_spare_share``
    """
    used = candidate.objective_share(remaining_ms) - const.FREE_OBJECTIVE_SHARE
    return spare * min(1.0, max(0.0, used / (1.0 - const.FREE_OBJECTIVE_SHARE)))


def _cache_value(
    candidate: _Candidate,
    candidates: Sequence[_Candidate],
    remaining_ms: int,
    spare: float,
) -> float:
    """Return how much of its cost prefilling a candidate's cached prefix again has.

    The prefix has no value if the request would wait for a slot or memory and get its
    first token sooner elsewhere: the end of the wait is uncertain, and running requests
    may evict the prefix before it.
    """
    if not candidate.is_limited:
        return 1.0
    if candidate.estimate.admission_ms and any(
        c.first_token_ms < candidate.first_token_ms for c in candidates
    ):
        return 0.0
    return 1.0 - _miss_risk(candidate, remaining_ms, spare)


def _total_delay(candidate: _Candidate) -> tuple[float, str]:
    """Return by how much a request that will be late delays itself and others."""
    estimate = candidate.estimate
    others_ms = estimate.prefill_ms * estimate.delayed_requests
    return candidate.first_token_ms + others_ms, candidate.server.id


def _preferred_engine(generation: Generation, engines: Iterable[str]) -> str | None:
    """Return the engine that first prefills a prompt's shared parts if all are idle.

    It is chosen by rendezvous hashing of the shared part with the most tokens.

    :returns: ``None`` if no shared part has ``MIN_AFFINITY_TOKENS``
    """
    shared = max(generation.shared_parts, key=lambda part: part.tokens, default=None)
    if shared is None or shared.tokens < const.MIN_AFFINITY_TOKENS:
        return None
    return rank(shared.id, engines)[0]
