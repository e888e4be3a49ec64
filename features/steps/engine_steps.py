"""Steps on the choice of engines."""

from collections import Counter
from typing import Any

import attrs
from behave import given, then, when

from cowsliphitch.core.engines.selector import CostWeights, EngineChoice, EngineSelector
from cowsliphitch.core.requests.models import Generation, PromptPart
from cowsliphitch.core.servers.models import Server, ServerState

SHARED_TOKENS = 12_000
OWN_TOKENS = 1_000
OBJECTIVE_MS = 1_000


def generation(part: str, own: str, tokens: int = SHARED_TOKENS) -> Generation:
    parts = (PromptPart(part, tokens), PromptPart(own, OWN_TOKENS))
    return Generation("m", tokens + OWN_TOKENS, 100, parts)


def engine(name: str, born_ms: int = 1) -> Server:
    return Server(
        name, "llm", f"{name}:1", f"domain-{name}", ServerState.READY, 64, born_ms
    )


def choose(context: Any, wanted: Generation, results: dict[str, int]) -> EngineChoice:
    engines = list(context.engines.values())
    found = context.board.choose(wanted, engines, OBJECTIVE_MS, results, context.now)
    assert found is not None
    return found


def send(context: Any, name: str, wanted: Generation) -> str:
    context.sent += 1
    request = f"request-{context.sent}"
    context.board.record_dispatch(request, context.engines[name], wanted, context.now)
    return request


@given('{count:d} engines of which "{name}" has read the part "{part}"')
def engines(context: Any, count: int, name: str, part: str) -> None:
    context.now, context.sent = 0, 0
    context.board = EngineSelector(CostWeights())
    context.engines = {f"e{n}": engine(f"e{n}") for n in range(1, count + 1)}
    request = send(context, name, generation(part, "first"))
    context.now = 300
    context.board.record_first_token(request, context.now)
    context.board.record_end(request)


@then('a request with the part "{part}" goes to "{name}"')
def goes(context: Any, part: str, name: str) -> None:
    found = choose(context, generation(part, "own"), {})
    assert found.server.id == name, found
    assert found.recomputed_tokens == 0


@then('a request with the part "{part}" does not go to "{name}"')
def goes_elsewhere(context: Any, part: str, name: str) -> None:
    found = choose(context, generation(part, "own"), {})
    assert found.server.id != name, found


@when('"{name}" has {tokens:d} prompt tokens waiting')
def waiting(context: Any, name: str, tokens: int) -> None:
    send(context, name, generation("large", "one", tokens - OWN_TOKENS))


@when("{count:d} requests with parts of their own are placed")
def placed(context: Any, count: int) -> None:
    context.placed = Counter()
    for number in range(count):
        wanted = generation(f"part-{number}", f"own-{number}")
        name = choose(context, wanted, {}).server.id
        context.placed[name] += 1
        send(context, name, wanted)


@then("every engine has {count:d} of them")
def spread(context: Any, count: int) -> None:
    assert set(context.placed.values()) == {count}, context.placed


@when('"{name}" fails a request')
def fails(context: Any, name: str) -> None:
    request = send(context, name, generation("p", "failing"))
    context.board.record_failure(request, context.now)


@when('"{name}" starts again')
def starts_again(context: Any, name: str) -> None:
    context.engines[name] = attrs.evolve(context.engines[name], born_ms=2)


@then('a request with the part "{part}" is not expected to find it anywhere')
def nowhere(context: Any, part: str) -> None:
    wanted = generation(part, "own")
    times = {context.board.first_token_ms(e, wanted) for e in context.engines.values()}
    assert len(times) == 1, times


@then(
    "a request with new parts and {mb:d} MB of results in the domain of "
    '"{near}" goes to "{name}"'
)
def near_results(context: Any, mb: int, near: str, name: str) -> None:
    results = {f"domain-{near}": mb * 1_000_000}
    found = choose(context, generation("new", "own"), results)
    assert found.server.id == name, found


@when("{s:d} s go by without news")
def no_news(context: Any, s: int) -> None:
    context.now += s * 1_000
    context.board.remove_stale(list(context.engines.values()), context.now)


@then('"{one}" is as free as "{other}"')
def as_free(context: Any, one: str, other: str) -> None:
    wanted = generation("unseen", "own")
    first = context.board.first_token_ms(context.engines[one], wanted)
    second = context.board.first_token_ms(context.engines[other], wanted)
    assert first == second, (first, second)


def place_idle(context: Any, count: int) -> dict[str, str]:
    """Place prompts one after the other; return the engine of each part."""
    placed = {}
    for number in range(count):
        wanted = generation(f"part-{number}", f"own-{number}")
        name = choose(context, wanted, {}).server.id
        request = send(context, name, wanted)
        context.board.record_first_token(request, context.now)
        context.board.record_end(request)
        placed[f"part-{number}"] = name
    return placed


@when("{count:d} prompts with different shared parts are placed at idle engines")
def placed_idle(context: Any, count: int) -> None:
    context.old = place_idle(context, count)


@when("a new owner that knows nothing places them")
def new_owner(context: Any) -> None:
    context.board = EngineSelector(CostWeights())
    context.new = place_idle(context, len(context.old))


@then("it finds at least {count:d} of them where they were read")
def found_again(context: Any, count: int) -> None:
    same = sum(context.old[part] == name for part, name in context.new.items())
    assert same >= count, same


@then("no engine has more than {count:d} of them")
def balanced(context: Any, count: int) -> None:
    most = max(Counter(context.old.values()).values())
    assert most <= count, Counter(context.old.values())


@when("the engine that a new part would go to has {tokens:d} prompt tokens waiting")
def home_busy(context: Any, tokens: int) -> None:
    context.home = choose(context, generation("new", "own"), {}).server.id
    waiting(context, context.home, tokens)


@then("the new part goes to another engine")
def goes_away(context: Any) -> None:
    assert choose(context, generation("new", "own"), {}).server.id != context.home
