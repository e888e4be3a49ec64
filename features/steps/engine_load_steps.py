"""Steps for engine selection with limited slots and memory, at different speeds."""

import heapq
import itertools
import random
from collections import Counter
from typing import Any

from behave import given, then, when
from engine_steps import engine

from cowsliphitch.core.deployment.models import EnginePool
from cowsliphitch.core.engines.const import PREFILL_TOKENS_PER_MS
from cowsliphitch.core.engines.selector import CostWeights, EngineChoice, EngineSelector
from cowsliphitch.core.requests.models import (
    Generation,
    PromptPart,
    bounded_part_id,
)

OBJECTIVE_MS = 1_000
SHARED_TOKENS, OWN_TOKENS = 12_000, 1_000
REPORT_MS = 10
TICK_MS = 50
SPEED_NAMES = ("slow", "usual", "fast")


def generation(context: Any, part: str, output_tokens: int = 1_000) -> Generation:
    context.number += 1
    own = PromptPart(f"own-{context.number}", OWN_TOKENS)
    parts = (PromptPart(part, SHARED_TOKENS), own)
    return Generation("m", SHARED_TOKENS + OWN_TOKENS, output_tokens, parts)


def selector_of(slots: int, tokens: int) -> EngineSelector:
    selector = EngineSelector(CostWeights())
    selector.set_pools({"llm": EnginePool(slots, tokens)})
    return selector


def dispatch(context: Any, name: str, requested: Generation, priority: int = 0) -> str:
    request = f"r{context.number}"
    server = context.engines[name]
    context.selector.record_dispatch(
        request, server, requested, context.now_ms, priority
    )
    return request


def choose(context: Any, part: str, remaining_ms: int = OBJECTIVE_MS) -> EngineChoice:
    choice = context.selector.choose(
        generation(context, part),
        list(context.engines.values()),
        remaining_ms,
        {},
        context.now_ms,
    )
    assert choice is not None
    return choice


@given(
    "{count:d} engines with {slots:d} slots and memory for {tokens:d} tokens of which "
    '"{name}" has "{part}" cached'
)
def given_limited(
    context: Any, count: int, slots: int, tokens: int, name: str, part: str
) -> None:
    context.now_ms, context.number = 0, 0
    context.selector = selector_of(slots, tokens)
    context.engines = {f"e{n}": engine(f"e{n}") for n in range(1, count + 1)}
    request = dispatch(context, name, generation(context, part))
    context.now_ms = 319
    context.selector.record_first_token(request, context.now_ms)
    context.selector.record_end(request)


@when('"{name}" has to prefill {tokens:d} other prompt tokens')
def has_to_prefill(context: Any, name: str, tokens: int) -> None:
    context.number += 1
    other = Generation("m", tokens, 100, (PromptPart("other", tokens),))
    dispatch(context, name, other)


@when('a prompt sent to "{name}" {ms:d} ms later gets its first token')
def later_first_token(context: Any, name: str, ms: int) -> None:
    context.now_ms += ms
    request = dispatch(context, name, generation(context, "p"))
    context.now_ms += OBJECTIVE_MS
    context.selector.record_first_token(request, context.now_ms)


@then('"{name}" has no prompt tokens waiting')
def has_no_waiting(context: Any, name: str) -> None:
    load = context.selector.load(context.engines[name])
    assert load["waiting_tokens"] == 0, load


@when(
    '"{name}" prefills {count:d} prompts in {ms:d} ms each, and another one in '
    "{last:d} ms"
)
def prefills_prompts(context: Any, name: str, count: int, ms: int, last: int) -> None:
    for took_ms in (*[ms] * count, last):
        request = dispatch(context, name, generation(context, f"p{context.number}"))
        context.now_ms += took_ms
        context.selector.record_first_token(request, context.now_ms)
        context.selector.record_end(request)
        context.now_ms += 1_000


@then('the speed of "{name}" is estimated at {ratio:g} of the usual one or more')
def estimated_at(context: Any, name: str, ratio: float) -> None:
    speed = context.selector.load(context.engines[name])["tokens_per_ms"]
    assert speed >= ratio * PREFILL_TOKENS_PER_MS, speed


def start(context: Any, name: str, count: int, tokens: int, part: str) -> None:
    for number in range(count):
        requested = generation(context, part.format(number), tokens)
        request = dispatch(context, name, requested)
        context.selector.record_first_token(request, context.now_ms)


@when('"{name}" runs {count:d} requests of up to {tokens:d} output tokens')
def runs_requests(context: Any, name: str, count: int, tokens: int) -> None:
    start(context, name, count, tokens, "p")


@when(
    '"{name}" runs {count:d} requests of up to {tokens:d} output tokens without common '
    "parts"
)
def runs_distinct(context: Any, name: str, count: int, tokens: int) -> None:
    start(context, name, count, tokens, "distinct-{}")


@then('a request with "{part}" is placed at "{name}"')
def is_placed_at(context: Any, part: str, name: str) -> None:
    choice = choose(context, part)
    assert choice.server.id == name, choice


@then('a request with "{part}" is not placed at "{name}"')
def is_not_placed_at(context: Any, part: str, name: str) -> None:
    choice = choose(context, part)
    assert choice.server.id != name, choice


@then('"{name}" has {tokens:d} tokens of "{part}" cached')
def has_cached(context: Any, name: str, tokens: int, part: str) -> None:
    only = [context.engines[name]]
    choice = context.selector.choose(
        generation(context, part), only, OBJECTIVE_MS, {}, context.now_ms
    )
    assert choice.cached_tokens == tokens, choice


@when(
    "{count:d} prompts of {parts:d} parts with {tokens:d} tokens each run at the"
    " engines in turn"
)
def run_many_parts(context: Any, count: int, parts: int, tokens: int) -> None:
    for number, name in zip(range(count), itertools.cycle(context.engines)):
        context.number += 1
        prompt = tuple(PromptPart(f"{number}-{n}", tokens) for n in range(parts))
        requested = Generation("m", parts * tokens, 10, prompt)
        request = dispatch(context, name, requested)
        context.selector.record_first_token(request, context.now_ms)
        context.selector.record_end(request)


@then("{count:d} parts are remembered")
def check_remembered(context: Any, count: int) -> None:
    engines = context.selector._engines.values()
    remembered = sum(len(engine.memory.cached_parts) for engine in engines)
    assert remembered == count, remembered


@then("a part identifier of {length:d} characters is kept as {kept:d} characters")
def check_part_id(context: Any, length: int, kept: int) -> None:
    assert len(bounded_part_id("a" * length)) == kept


@when(
    '{count:d} requests of {prefixes:d} prefixes are sent to "{name}" and begin and '
    "end in random order"
)
def random_order(context: Any, count: int, prefixes: int, name: str) -> None:
    rng = random.Random(1)
    context.held, flying = [], []
    for _ in range(count):
        part = f"prefix-{rng.randrange(prefixes)}"
        requested = generation(context, part, rng.randrange(2_000))
        flying.append(dispatch(context, name, requested, rng.randrange(3)))
        context.now_ms += 10
        for request in rng.sample(flying, min(2, len(flying))):
            context.selector.record_first_token(request, context.now_ms)
        while len(flying) > rng.randrange(4, 9):
            ended = flying.pop(rng.randrange(len(flying)))
            context.selector.record_end(ended)
            context.selector.record_end(ended)
        context.held.append(account_of(context, name))
    for request in flying:
        context.selector.record_end(request)


def account_of(context: Any, name: str) -> tuple[int, int, int, int]:
    """Return held and unheld cached tokens, as kept and as summed up from scratch."""
    state = context.selector._state_of(context.engines[name])
    memory = state.memory
    running = [d.demand for d in state.dispatches if d.admitted]
    parts = {p.id: p.tokens for demand in running for p in demand.parts}
    held = sum(parts.values()) + sum(demand.own_tokens for demand in running)
    unheld = sum(t for p, t in memory.cached_parts.items() if p not in parts)
    return memory.held.tokens, memory._unheld_tokens, held, unheld


@then('"{name}" holds each running prompt part once at every step')
def holds_once(context: Any, name: str) -> None:
    for kept_held, kept_unheld, held, unheld in context.held:
        assert (kept_held, kept_unheld) == (held, unheld)


@then('the account of "{name}" is empty after the last end')
def is_empty(context: Any, name: str) -> None:
    state = context.selector._state_of(context.engines[name])
    assert account_of(context, name)[0] == 0
    assert (state.admitted, state.running, state.waiting_tokens) == (0, 0, 0), state
    assert not state.waiting
    assert not state.dispatches


@when('"{name}" gets a prompt of {tokens:d} tokens of which "{part}" alone has more')
def inconsistent_prompt(context: Any, name: str, tokens: int, part: str) -> None:
    parts = generation(context, part).prompt
    dispatch(context, name, Generation("m", tokens, 100, parts))


@when(
    '{count:d} requests with priority {priority:d} wait for a slot at "{name}" '
    "{ms:d} ms later"
)
def requests_wait_later(
    context: Any, count: int, priority: int, name: str, ms: int
) -> None:
    context.now_ms += ms
    requests_wait(context, count, priority, name)


@then('{count:d} request waits at "{name}"')
def request_waits(context: Any, count: int, name: str) -> None:
    state = context.selector._state_of(context.engines[name])
    assert len(state.waiting) == count, state.waiting


@when("the account is maintained {ms:d} ms later")
def is_maintained(context: Any, ms: int) -> None:
    context.now_ms += ms
    context.selector.remove_stale(list(context.engines.values()), context.now_ms)


@then('"{name}" runs {count:d} requests in its account')
def runs_in_account(context: Any, name: str, count: int) -> None:
    running = context.selector.load(context.engines[name])["running"]
    assert running == count, running


@when('{count:d} requests with priority {priority:d} wait for a slot at "{name}"')
def requests_wait(context: Any, count: int, priority: int, name: str) -> None:
    for _ in range(count):
        dispatch(context, name, generation(context, "p"), priority)


@then(
    'a request with priority {one:d} waits at least {ms:d} ms less at "{name}" than '
    "one with priority {other:d}"
)
def waits_less(context: Any, one: int, ms: int, name: str, other: int) -> None:
    server, requested = context.engines[name], generation(context, "p")
    urgent_ms = context.selector.first_token_ms(server, requested, one)
    other_ms = context.selector.first_token_ms(server, requested, other)
    assert urgent_ms + ms <= other_ms, (urgent_ms, other_ms)


@then('a request with new parts that is late is not placed at "{name}"')
def late_not_placed(context: Any, name: str) -> None:
    choice = choose(context, "new", remaining_ms=10)
    assert choice.server.id != name, choice


@given(
    "{count:d} engines at {one:g}, {two:g} and {three:g} of the usual speed with "
    "{slots:d} slots and memory for {tokens:d} tokens"
)
def given_speeds(
    context: Any,
    count: int,
    one: float,
    two: float,
    three: float,
    slots: int,
    tokens: int,
) -> None:
    context.now_ms, context.number = 0, 0
    context.selector = selector_of(slots, tokens)
    context.engines = {f"e{n}": engine(f"e{n}") for n in range(count)}
    context.ratios = dict(zip(context.engines, (one, two, three) * count, strict=False))
    context.free_ms = dict.fromkeys(context.engines, 0.0)


@when(
    "a prompt of {tokens:d} new tokens arrives every {ms:d} ms for {s:d} s and every "
    "{nth:d}th report is lost"
)
def replay_burst(context: Any, tokens: int, ms: int, s: int, nth: int) -> None:
    rng = random.Random(1)
    context.tokens = Counter(dict.fromkeys(context.engines, 0))
    servers = list(context.engines.values())
    reports: list[tuple[float, str]] = []
    end_ms = context.now_ms + s * 1_000
    for now in range(context.now_ms, end_ms):
        while reports and reports[0][0] <= now:
            context.selector.record_first_token(heapq.heappop(reports)[1], now)
        if now % TICK_MS == 0:
            context.selector.remove_stale(servers, now)
        if now % ms:
            continue
        context.now_ms, context.number = now, context.number + 1
        parts = (PromptPart(f"part-{context.number}", tokens), PromptPart("", 0))
        requested = Generation("m", tokens, 300, parts)
        choice = context.selector.choose(requested, servers, 1_500, {}, now)
        name = choice.server.id
        request = dispatch(context, name, requested)
        start_ms = max(context.free_ms[name], now + rng.uniform(20, 80))
        speed = PREFILL_TOKENS_PER_MS * context.ratios[name] * rng.uniform(0.9, 1.1)
        context.free_ms[name] = start_ms + tokens / speed
        context.tokens[name] += tokens
        if context.number % nth:
            delay_ms = rng.uniform(0.5, 2) * REPORT_MS
            heapq.heappush(reports, (context.free_ms[name] + delay_ms, request))
    context.now_ms = end_ms


def by_speed(context: Any, values: dict[str, float], name: str) -> list[float]:
    ratio = sorted(set(context.ratios.values()))[SPEED_NAMES.index(name)]
    return [values[e] for e in context.engines if context.ratios[e] == ratio]


@then("the {one} engines have prefilled fewer tokens than the {other} ones")
def prefilled_fewer(context: Any, one: str, other: str) -> None:
    fewer = sum(by_speed(context, context.tokens, one))
    assert fewer < sum(by_speed(context, context.tokens, other)), context.tokens


@then("the estimated speeds are in the same order")
def estimated_speeds(context: Any) -> None:
    speeds = {
        name: context.selector.load(server)["tokens_per_ms"]
        for name, server in context.engines.items()
    }
    slow, usual, fast = (by_speed(context, speeds, name) for name in SPEED_NAMES)
    assert max(slow) < min(usual), speeds
    assert max(usual) < min(fast), speeds


@then("all engines are free {s:d} s later")
def all_free(context: Any, s: int) -> None:
    servers = list(context.engines.values())
    context.selector.remove_stale(servers, context.now_ms + s * 1_000)
    loads = [context.selector.load(server) for server in servers]
    assert {load["free_slots"] for load in loads} == {8}, loads
    assert {load["waiting_tokens"] for load in loads} == {0}, loads


@when("the last engine's speed falls to {ratio:g}")
def speed_falls(context: Any, ratio: float) -> None:
    context.ratios[list(context.engines)[-1]] = ratio


@then("the last engine has prefilled less than a quarter of the tokens")
def prefilled_little(context: Any) -> None:
    last = context.tokens[list(context.engines)[-1]]
    assert last < sum(context.tokens.values()) / 4, context.tokens


@given(
    "{count:d} equal engines with and without {slots:d} slots and memory for "
    "{tokens:d} tokens"
)
def given_both(context: Any, count: int, slots: int, tokens: int) -> None:
    context.servers = [engine(f"e{n}") for n in range(count)]
    context.selectors = (selector_of(slots, tokens), EngineSelector(CostWeights()))


@when("{count:d} bursts of {size:d} prompts with common parts arrive")
def bursts_arrive(context: Any, count: int, size: int) -> None:
    """Choose for bursts whose first tokens come as expected at the usual speed."""
    rng = random.Random(2)
    context.choices = []
    for burst in range(count):
        now = 1_000 * (burst + 1)
        first_tokens = []
        for number in range(size):
            shared = PromptPart(f"part-{rng.randrange(30)}", 9_000)
            parts = (shared, PromptPart(f"own-{burst}-{number}", 1_800))
            requested = Generation("m", 10_800, 9_000, parts)
            chosen = [
                s.choose(requested, context.servers, 3_045, {}, now)
                for s in context.selectors
            ]
            context.choices.append(tuple(c.server.id for c in chosen))
            request = f"r{burst}-{number}"
            first_tokens.append((now + round(chosen[1].first_token_ms), request))
            for selector in context.selectors:
                selector.record_dispatch(request, chosen[1].server, requested, now)
        for at_ms, request in sorted(first_tokens):
            for selector in context.selectors:
                selector.record_first_token(request, at_ms)


@then("both selectors make the same choices")
def same_choices(context: Any) -> None:
    different = [pair for pair in context.choices if len(set(pair)) > 1]
    assert context.choices, "nothing was chosen"
    assert not different, (len(different), different)
