"""Steps for engine selection."""

from collections import Counter
from typing import Any

import attrs
from behave import given, then, when

from cowsliphitch.core.engines.selector import CostWeights, EngineChoice, EngineSelector
from cowsliphitch.core.requests.models import Generation, PromptPart
from cowsliphitch.core.servers.models import Server, ServerState

SHARED_TOKENS = 12_000
UNIQUE_TOKENS = 1_000
OBJECTIVE_MS = 1_000


def generation(part: str, unique: str, tokens: int = SHARED_TOKENS) -> Generation:
    parts = (PromptPart(part, tokens), PromptPart(unique, UNIQUE_TOKENS))
    return Generation("m", tokens + UNIQUE_TOKENS, 100, parts)


def engine(name: str, born_ms: int = 1) -> Server:
    return Server(
        name, "llm", f"{name}:1", f"domain-{name}", ServerState.READY, 64, born_ms
    )


def choose(
    context: Any, requested: Generation, results: dict[str, int]
) -> EngineChoice:
    engines = list(context.engines.values())
    choice = context.selector.choose(
        requested, engines, OBJECTIVE_MS, results, context.now
    )
    assert choice is not None
    return choice


def dispatch(context: Any, name: str, requested: Generation) -> str:
    context.dispatched += 1
    request = f"request-{context.dispatched}"
    context.selector.record_dispatch(
        request, context.engines[name], requested, context.now
    )
    return request


@given('{count:d} engines of which "{name}" has the part "{part}" cached')
def given_engines(context: Any, count: int, name: str, part: str) -> None:
    context.now, context.dispatched = 0, 0
    context.selector = EngineSelector(CostWeights())
    context.engines = {f"e{n}": engine(f"e{n}") for n in range(1, count + 1)}
    request = dispatch(context, name, generation(part, "first"))
    context.now = 300
    context.selector.record_first_token(request, context.now)
    context.selector.record_end(request)


@then('a request with the part "{part}" is placed at "{name}"')
def placed_at(context: Any, part: str, name: str) -> None:
    choice = choose(context, generation(part, "own"), {})
    assert choice.server.id == name, choice
    assert choice.recomputed_tokens == 0


@then('a request with the part "{part}" is not placed at "{name}"')
def not_placed_at(context: Any, part: str, name: str) -> None:
    choice = choose(context, generation(part, "own"), {})
    assert choice.server.id != name, choice


@when('"{name}" has {tokens:d} prompt tokens waiting')
def queue_prefill(context: Any, name: str, tokens: int) -> None:
    dispatch(context, name, generation("large", "one", tokens - UNIQUE_TOKENS))


@when("{count:d} requests without common parts are placed")
def place_distinct(context: Any, count: int) -> None:
    context.placed = Counter()
    for number in range(count):
        requested = generation(f"part-{number}", f"own-{number}")
        name = choose(context, requested, {}).server.id
        context.placed[name] += 1
        dispatch(context, name, requested)


@then("every engine has {count:d} of them")
def evenly_placed(context: Any, count: int) -> None:
    assert set(context.placed.values()) == {count}, context.placed


@when('"{name}" fails a request')
def fail_request(context: Any, name: str) -> None:
    request = dispatch(context, name, generation("p", "failing"))
    context.selector.record_failure(request, context.now)


@when('"{name}" restarts')
def restart(context: Any, name: str) -> None:
    context.engines[name] = attrs.evolve(context.engines[name], started_ms=2)


@then('a request with the part "{part}" is expected to find it in no cache')
def cached_nowhere(context: Any, part: str) -> None:
    requested = generation(part, "own")
    times = {
        context.selector.first_token_ms(e, requested) for e in context.engines.values()
    }
    assert len(times) == 1, times


@then(
    "a request with new parts and {mb:d} MB of results in the domain of "
    '"{near}" is placed at "{name}"'
)
def placed_near_results(context: Any, mb: int, near: str, name: str) -> None:
    results = {f"domain-{near}": mb * 1_000_000}
    choice = choose(context, generation("new", "own"), results)
    assert choice.server.id == name, choice


@when("{s:d} s pass without a report")
def no_report(context: Any, s: int) -> None:
    context.now += s * 1_000
    context.selector.remove_stale(list(context.engines.values()), context.now)


@then('"{one}" has the same expected latency as "{other}"')
def same_latency(context: Any, one: str, other: str) -> None:
    requested = generation("unseen", "own")
    first = context.selector.first_token_ms(context.engines[one], requested)
    second = context.selector.first_token_ms(context.engines[other], requested)
    assert first == second, (first, second)


def place_idle(context: Any, count: int) -> dict[str, str]:
    """Place prompts one at a time and return the engine of each shared part."""
    placements = {}
    for number in range(count):
        requested = generation(f"part-{number}", f"own-{number}")
        name = choose(context, requested, {}).server.id
        request = dispatch(context, name, requested)
        context.selector.record_first_token(request, context.now)
        context.selector.record_end(request)
        placements[f"part-{number}"] = name
    return placements


@when("{count:d} prompts with different shared parts are placed at idle engines")
def place_at_idle_engines(context: Any, count: int) -> None:
    context.old_placements = place_idle(context, count)


@when("a new owner without state places them")
def new_owner(context: Any) -> None:
    context.selector = EngineSelector(CostWeights())
    context.new_placements = place_idle(context, len(context.old_placements))


@then("it places at least {count:d} of them where they are cached")
def placed_where_cached(context: Any, count: int) -> None:
    matching = sum(
        context.old_placements[part] == name
        for part, name in context.new_placements.items()
    )
    assert matching >= count, matching


@then("no engine has more than {count:d} of them")
def no_engine_above(context: Any, count: int) -> None:
    most = max(Counter(context.old_placements.values()).values())
    assert most <= count, Counter(context.old_placements.values())


@when("the preferred engine of a new part has {tokens:d} prompt tokens waiting")
def preferred_engine_busy(context: Any, tokens: int) -> None:
    context.preferred = choose(context, generation("new", "own"), {}).server.id
    queue_prefill(context, context.preferred, tokens)


@then("the new part is placed at another engine")
def placed_elsewhere(context: Any) -> None:
    assert choose(context, generation("new", "own"), {}).server.id != context.preferred
