"""Which model engine runs a request, decided by one owner for all daemons.

Load pattern: three quarters of a prompt are shared with other requests, and reading
them again takes longer than all the rest; bursts of requests with different prompts
meet at one engine while others idle.  The owner keeps account of what each engine was
sent, so it knows what is in each cache and how long each engine is busy reading.  A
request goes where its shared parts are if it is still answered in time there, else
where it is answered soonest.  Owners change with every restart and cut, and a new one
knows no cache: parts have a home by rendezvous hash, so that it asks where the old one
had them read.
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence

import attrs

from cowsliphitch.core.membership.ranking import rank
from cowsliphitch.core.requests.models import Generation, PromptPart
from cowsliphitch.core.servers.models import Server

from . import const


@attrs.frozen
class Costs:
    """What a choice costs besides time, in shares of a request's credit.

    :param read_again: reading 1,000 tokens that some engine has in its cache
    :param result_moved: a MB of stage results that crosses failure domains
    """

    read_again: float = const.READ_AGAIN_COST
    result_moved: float = const.RESULT_MOVED_COST


@attrs.frozen
class Choice:
    """The engine of a request.

    :param first_token_ms: expected time to the first token
    :param read_again: tokens that it reads although another engine has them
    :param away: another engine is the home of its shared parts
    """

    server: Server
    first_token_ms: float
    read_again: int
    away: bool = False


@attrs.frozen
class _Sent:
    """A request that an engine was sent.

    :param tokens: prompt tokens that it has to read
    """

    server_id: str
    tokens: int
    sent_ms: int
    expected_ms: float
    end_ms: int


@attrs.define
class _Engine:
    """What is known of one engine.

    :param cache: tokens by part, the least recently used first
    :param slowness: time to first tokens against what was expected
    """

    born_ms: int
    cache: OrderedDict[str, int] = attrs.Factory(OrderedDict)
    cached_tokens: int = 0
    waiting_tokens: int = 0
    running: int = 0
    slowness: float = 1.0
    penalty_until_ms: int = 0


class EngineBoard:
    """Choose engines and keep account of what they were sent."""

    def __init__(self, costs: Costs) -> None:
        """Start without engines."""
        self._costs = costs
        self._engines: dict[str, _Engine] = {}
        self._sent: dict[str, _Sent] = {}

    def choose(
        self,
        generation: Generation,
        engines: Sequence[Server],
        left_ms: int,
        results: Mapping[str, int],
        now_ms: int,
        avoid: frozenset[str] = frozenset(),
    ) -> Choice | None:
        """Return the engine for a request; ``None`` if there is none.

        :param left_ms: until the objective is missed
        :param results: bytes of stage results by failure domain
        :param avoid: servers that already failed the request
        """
        able = [e for e in engines if e.id not in avoid]
        healthy = [e for e in able if self._engine(e).penalty_until_ms <= now_ms]
        candidates = healthy or able
        if not candidates:
            return None
        known = {e.id: self._known(self._engine(e), generation) for e in candidates}
        most = max(known.values())
        home = _home(generation, known)
        choices = [
            Choice(
                e,
                self.first_token_ms(e, generation),
                most - known[e.id],
                away=home not in (None, e.id),
            )
            for e in candidates
        ]
        return min(choices, key=lambda c: self._cost(c, left_ms, results))

    def _cost(
        self, choice: Choice, left_ms: int, results: Mapping[str, int]
    ) -> tuple[float, str]:
        """Return what a choice costs; a miss of the objective weighs most."""
        domain = choice.server.failure_domain
        moved = sum(size for place, size in results.items() if place != domain)
        late_ms = choice.first_token_ms * const.CAUTION - left_ms
        lateness = 1.0 + late_ms / const.LATE_SCALE_MS if late_ms > 0 else 0.0
        cost = (
            choice.read_again / 1_000 * self._costs.read_again
            + moved / 1_000_000 * self._costs.result_moved
            + choice.first_token_ms * const.TIME_COST_PER_MS
            + (const.AWAY_COST if choice.away else 0.0)
            + lateness
        )
        return cost, choice.server.id

    def first_token_ms(self, server: Server, generation: Generation) -> float:
        """Return the expected time to a request's first token at an engine."""
        engine = self._engine(server)
        unread = generation.prompt_tokens - self._known(engine, generation)
        read_ms = (engine.waiting_tokens + unread) / const.READ_TOKENS_PER_MS
        steps_ms = engine.running * const.STEP_MS_PER_RUNNING
        return (const.FIRST_STEP_MS + read_ms + steps_ms) * engine.slowness

    def load(self, server: Server) -> dict[str, float]:
        """Return what the expected time of an engine is worked out from."""
        engine = self._engine(server)
        return {
            "waiting_tokens": engine.waiting_tokens,
            "running": engine.running,
            "slowness": round(engine.slowness, 2),
        }

    def sent(
        self, request: str, server: Server, generation: Generation, now_ms: int
    ) -> None:
        """Note that an engine is given a request."""
        self.ended(request)
        engine = self._engine(server)
        expected_ms = self.first_token_ms(server, generation)
        unread = generation.prompt_tokens - self._known(engine, generation)
        run_ms = generation.output_tokens * const.TOKEN_MS
        end_ms = now_ms + round(expected_ms + run_ms)
        self._sent[request] = _Sent(server.id, unread, now_ms, expected_ms, end_ms)
        engine.waiting_tokens += unread
        self._remember(engine, generation.prompt)

    def began(self, request: str, now_ms: int) -> None:
        """Note that a request's first token came."""
        sent = self._sent.get(request)
        if sent is None or sent.tokens < 0:
            return
        engine = self._engines.get(sent.server_id)
        if engine is None:
            return
        engine.waiting_tokens = max(0, engine.waiting_tokens - sent.tokens)
        engine.running += 1
        self._sent[request] = attrs.evolve(sent, tokens=_READ)
        seen = (now_ms - sent.sent_ms) * engine.slowness / max(1.0, sent.expected_ms)
        seen = min(const.MAX_SLOWNESS, max(const.MIN_SLOWNESS, seen))
        engine.slowness += const.SLOWNESS_WEIGHT * (seen - engine.slowness)

    def ended(self, request: str) -> None:
        """Note that a request has left its engine."""
        sent = self._sent.pop(request, None)
        engine = self._engines.get(sent.server_id) if sent else None
        if sent is None or engine is None:
            return
        if sent.tokens == _READ:
            engine.running = max(0, engine.running - 1)
        else:
            engine.waiting_tokens = max(0, engine.waiting_tokens - sent.tokens)

    def failed(self, request: str, now_ms: int) -> None:
        """Note that an engine failed a request; leave it alone for a while."""
        sent = self._sent.get(request)
        engine = self._engines.get(sent.server_id) if sent else None
        if engine is not None:
            engine.penalty_until_ms = now_ms + const.PENALTY_MS
            engine.cache.clear()
            engine.cached_tokens = 0
        self.ended(request)

    def tick(self, servers: Sequence[Server], now_ms: int) -> None:
        """Forget requests whose end was not heard, and engines that are gone."""
        for request in [r for r, sent in self._sent.items() if sent.end_ms < now_ms]:
            self.ended(request)
        ids = {server.id for server in servers}
        for gone in self._engines.keys() - ids:
            del self._engines[gone]

    def _known(self, engine: _Engine, generation: Generation) -> int:
        """Return the tokens at a prompt's start that are in an engine's cache."""
        known = 0
        for part in generation.shared_parts:
            if part.id not in engine.cache:
                break
            known += part.tokens
        return known

    def _remember(self, engine: _Engine, prompt: Sequence[PromptPart]) -> None:
        for part in prompt:
            engine.cached_tokens -= engine.cache.pop(part.id, 0)
            engine.cache[part.id] = part.tokens
            engine.cached_tokens += part.tokens
        while engine.cached_tokens > const.CACHE_TOKENS and engine.cache:
            _, tokens = engine.cache.popitem(last=False)
            engine.cached_tokens -= tokens

    def _engine(self, server: Server) -> _Engine:
        engine = self._engines.get(server.id)
        if engine is None or engine.born_ms != server.born_ms:
            engine = self._engines[server.id] = _Engine(server.born_ms)
        return engine


def _home(generation: Generation, engines: Iterable[str]) -> str | None:
    """Return the engine that reads a prompt's shared parts first, if others idle too.

    The part with the most tokens decides; short prompts have no home.
    """
    shared = max(generation.shared_parts, key=lambda part: part.tokens, default=None)
    if shared is None or shared.tokens < const.HOME_TOKENS:
        return None
    return rank(shared.id, engines)[0]


# Stands for a prompt that has been read.
_READ = -1
