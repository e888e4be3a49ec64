"""Selection of the model engine for each request, by one owner for all daemons.

Load pattern: three quarters of a prompt are shared with other requests, and prefilling
them again takes longer than everything else in the request.  Bursts of requests with
different prompts can meet at one engine while others are idle.  The owner records every
request that it dispatches, so it can estimate which prompt parts each engine has cached
and how long its prefill queue is.  A request goes to the engine that has its shared
parts cached if the objective can be met there, else to the engine with the earliest
first token.

Ownership moves with every restart and network partition, and a new owner has no record
of the caches.  Each part therefore has a preferred engine, given by rendezvous hashing,
so that a new owner selects the engine that prefilled the part for the previous one.
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence

import attrs

from cowsliphitch.core.limits.models import NoRates, ServerRates
from cowsliphitch.core.membership.ranking import rank
from cowsliphitch.core.requests.models import Generation, PromptPart
from cowsliphitch.core.servers.models import Server

from . import const


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
    """

    server: Server
    first_token_ms: float
    recomputed_tokens: int
    is_affinity_miss: bool = False


@attrs.frozen
class _Dispatch:
    """A request that was dispatched to an engine and has not ended.

    :param prefill_tokens: prompt tokens that the engine has to prefill, or
        ``_PREFILL_DONE``
    :param expected_end_ms: monotonic time after which the request counts as ended
    """

    server_id: str
    prefill_tokens: int
    dispatched_ms: int
    expected_first_token_ms: float
    expected_end_ms: int


@attrs.define
class _EngineState:
    """Estimated state of one engine.

    :param started_ms: Unix time of the engine's start; a later one means that it has
        restarted with an empty cache
    :param cached_parts: tokens by prompt part, the least recently used first
    :param waiting_tokens: prompt tokens that are not prefilled yet
    :param slowdown: moving average of measured over nominal time to first token
    :param backoff_until_ms: monotonic time until which other engines are preferred
    """

    started_ms: int
    cached_parts: OrderedDict[str, int] = attrs.Factory(OrderedDict)
    cached_tokens: int = 0
    waiting_tokens: int = 0
    running: int = 0
    slowdown: float = 1.0
    backoff_until_ms: int = 0


class EngineSelector:
    """Select engines and track the requests dispatched to them."""

    def __init__(self, costs: CostWeights, rates: ServerRates | None = None) -> None:
        """Initialize the selector without any engine state.

        :param rates: limits of the engines, ``None`` without any
        """
        self._costs = costs
        self._rates = rates or NoRates()
        self._engines: dict[str, _EngineState] = {}
        self._dispatches: dict[str, _Dispatch] = {}

    def choose(
        self,
        generation: Generation,
        engines: Sequence[Server],
        remaining_ms: int,
        result_bytes: Mapping[str, int],
        now_ms: int,
        excluded: frozenset[str] = frozenset(),
    ) -> EngineChoice | None:
        """Return the engine with the lowest cost, or ``None`` if none is eligible.

        Engines in failure backoff are chosen only if no other engine is eligible.

        :param remaining_ms: time until the objective is missed
        :param result_bytes: size of the request's stage results by failure domain
        :param excluded: identifiers of servers that already failed the request
        """
        eligible = [e for e in engines if e.id not in excluded]
        healthy = [e for e in eligible if self._state_of(e).backoff_until_ms <= now_ms]
        candidates = healthy or eligible
        if not candidates:
            return None
        cached_tokens = {
            e.id: self._cached_prefix_tokens(self._state_of(e), generation)
            for e in candidates
        }
        max_cached_tokens = max(cached_tokens.values())
        preferred = _preferred_engine(generation, cached_tokens)
        choices = [
            EngineChoice(
                e,
                self._rates.wait_ms(e, now_ms) + self.first_token_ms(e, generation),
                max_cached_tokens - cached_tokens[e.id],
                is_affinity_miss=preferred not in (None, e.id),
            )
            for e in candidates
        ]
        return min(choices, key=lambda c: self._cost(c, remaining_ms, result_bytes))

    def _cost(
        self, choice: EngineChoice, remaining_ms: int, result_bytes: Mapping[str, int]
    ) -> tuple[float, str]:
        """Return the cost of a choice and its server identifier as the tie-breaker.

        An expected miss of the objective weighs most: it costs at least 1.
        """
        domain = choice.server.failure_domain
        transferred_bytes = sum(
            size for source, size in result_bytes.items() if source != domain
        )
        overrun_ms = choice.first_token_ms * const.LATENCY_SAFETY_FACTOR - remaining_ms
        miss_cost = 1.0 + overrun_ms / const.OVERRUN_SCALE_MS if overrun_ms > 0 else 0.0
        cost = (
            choice.recomputed_tokens / 1_000 * self._costs.recompute_per_1k_tokens
            + transferred_bytes / 1_000_000 * self._costs.transfer_per_mb
            + choice.first_token_ms * const.LATENCY_COST_PER_MS
            + (const.AFFINITY_MISS_COST if choice.is_affinity_miss else 0.0)
            + miss_cost
        )
        return cost, choice.server.id

    def first_token_ms(self, server: Server, generation: Generation) -> float:
        """Return the expected time to a request's first token at an engine."""
        engine = self._state_of(server)
        uncached = generation.prompt_tokens - self._cached_prefix_tokens(
            engine, generation
        )
        prefill_ms = (engine.waiting_tokens + uncached) / const.PREFILL_TOKENS_PER_MS
        steps_ms = engine.running * const.STEP_MS_PER_RUNNING_REQUEST
        return (const.FIRST_STEP_MS + prefill_ms + steps_ms) * engine.slowdown

    def backlog_ms(self, engines: Sequence[Server]) -> int:
        """Return how long the engine with the shortest prefill queue needs for it."""
        delays_ms = (
            engine.waiting_tokens / const.PREFILL_TOKENS_PER_MS * engine.slowdown
            for engine in map(self._state_of, engines)
        )
        return round(min(delays_ms, default=0.0))

    def load(self, server: Server) -> dict[str, float]:
        """Return the inputs of an engine's expected time to first token, for logs."""
        engine = self._state_of(server)
        return {
            "waiting_tokens": engine.waiting_tokens,
            "running": engine.running,
            "slowness": round(engine.slowdown, 2),
        }

    def record_dispatch(
        self, request: str, server: Server, generation: Generation, now_ms: int
    ) -> None:
        """Record that a request is dispatched to an engine.

        An earlier dispatch of the same request counts as ended.
        """
        self.record_end(request)
        engine = self._state_of(server)
        expected_ms = self.first_token_ms(server, generation)
        uncached = generation.prompt_tokens - self._cached_prefix_tokens(
            engine, generation
        )
        decode_ms = generation.output_tokens * const.INTER_TOKEN_MS
        end_ms = now_ms + round(expected_ms + decode_ms)
        self._dispatches[request] = _Dispatch(
            server.id, uncached, now_ms, expected_ms, end_ms
        )
        engine.waiting_tokens += uncached
        self._cache_prompt(engine, generation.prompt)

    def record_first_token(self, request: str, now_ms: int) -> None:
        """Record a request's first token and update its engine's slowdown."""
        dispatch = self._dispatches.get(request)
        if dispatch is None or dispatch.prefill_tokens < 0:
            return
        engine = self._engines.get(dispatch.server_id)
        if engine is None:
            return
        engine.waiting_tokens = max(0, engine.waiting_tokens - dispatch.prefill_tokens)
        engine.running += 1
        self._dispatches[request] = attrs.evolve(dispatch, prefill_tokens=_PREFILL_DONE)
        sample = (
            (now_ms - dispatch.dispatched_ms)
            * engine.slowdown
            / max(1.0, dispatch.expected_first_token_ms)
        )
        sample = min(const.MAX_SLOWDOWN, max(const.MIN_SLOWDOWN, sample))
        engine.slowdown += const.SLOWDOWN_EWMA_WEIGHT * (sample - engine.slowdown)

    def record_end(self, request: str) -> None:
        """Record that a request is no longer in flight at its engine."""
        dispatch = self._dispatches.pop(request, None)
        engine = self._engines.get(dispatch.server_id) if dispatch else None
        if dispatch is None or engine is None:
            return
        if dispatch.prefill_tokens == _PREFILL_DONE:
            engine.running = max(0, engine.running - 1)
        else:
            engine.waiting_tokens = max(
                0, engine.waiting_tokens - dispatch.prefill_tokens
            )

    def record_failure(self, request: str, now_ms: int) -> None:
        """Record that an engine failed a request and start the engine's backoff.

        The engine may have crashed, so its cache is assumed to be empty.
        """
        dispatch = self._dispatches.get(request)
        engine = self._engines.get(dispatch.server_id) if dispatch else None
        if engine is not None:
            engine.backoff_until_ms = now_ms + const.FAILURE_BACKOFF_MS
            engine.cached_parts.clear()
            engine.cached_tokens = 0
        self.record_end(request)

    def remove_stale(self, servers: Sequence[Server], now_ms: int) -> None:
        """Remove requests past their expected end, and engines no longer listed.

        Reports of a request's end can be lost; without this it would count as in flight
        forever.

        :param servers: all servers that are listed now
        """
        for request in [
            r
            for r, dispatch in self._dispatches.items()
            if dispatch.expected_end_ms < now_ms
        ]:
            self.record_end(request)
        ids = {server.id for server in servers}
        for removed in self._engines.keys() - ids:
            del self._engines[removed]

    def _cached_prefix_tokens(
        self, engine: _EngineState, generation: Generation
    ) -> int:
        """Return the length of the prompt prefix that an engine has cached."""
        tokens = 0
        for part in generation.shared_parts:
            if part.id not in engine.cached_parts:
                break
            tokens += part.tokens
        return tokens

    def _cache_prompt(self, engine: _EngineState, prompt: Sequence[PromptPart]) -> None:
        """Add a prompt's parts to a cache and evict the least recently used ones."""
        for part in prompt:
            engine.cached_tokens -= engine.cached_parts.pop(part.id, 0)
            engine.cached_parts[part.id] = part.tokens
            engine.cached_tokens += part.tokens
        while engine.cached_tokens > const.MAX_CACHED_TOKENS and engine.cached_parts:
            _, tokens = engine.cached_parts.popitem(last=False)
            engine.cached_tokens -= tokens

    def _state_of(self, server: Server) -> _EngineState:
        """Return an engine's state, reset if the engine has restarted."""
        engine = self._engines.get(server.id)
        if engine is None or engine.started_ms != server.started_ms:
            engine = self._engines[server.id] = _EngineState(server.started_ms)
        return engine


def _preferred_engine(generation: Generation, engines: Iterable[str]) -> str | None:
    """Return the engine that first prefills a prompt's shared parts if all are idle.

    It is chosen by rendezvous hashing of the shared part with the most tokens.

    :returns: ``None`` if no shared part has ``MIN_AFFINITY_TOKENS``
    """
    shared = max(generation.shared_parts, key=lambda part: part.tokens, default=None)
    if shared is None or shared.tokens < const.MIN_AFFINITY_TOKENS:
        return None
    return rank(shared.id, engines)[0]


# Value of ``_Dispatch.prefill_tokens`` once the first token has arrived.
_PREFILL_DONE = -1
