"""Steps on the quarantine of prompt parts: a fleet of registries without a network."""

import itertools
import random
import sys
from typing import Any

import attrs
from behave import given, then, when
from heartbeat_steps import heartbeat

from cowsliphitch.core.quarantine import prompt_parts
from cowsliphitch.core.quarantine.prompt_parts import (
    CrashCounting,
    EachCrash,
    OncePerOutage,
    PromptPartRegistry,
)
from cowsliphitch.peers.fleet.const import MAX_DATAGRAM_BYTES
from cowsliphitch.peers.fleet.convert import heartbeat_to_wire

EXCHANGE_MS = 125
ENGINE_COUNT = 9
PREFILL_MS, ANSWER_MS, RESTART_MS = 300, 900, 3_000
CRASHING_SHARE = 0.15
REQUEST_INTERVAL_MS = 80


class QuarantineFleet:
    """Registries of several daemons; reports are exchanged as time passes."""

    def __init__(self, count: int, counting: CrashCounting) -> None:
        self.now_ms = 10_000
        self.daemons = [PromptPartRegistry(counting) for _ in range(count)]
        self.isolated: set[int] = set()
        self.crash_numbers = itertools.count(1)

    def exchange(self) -> None:
        for daemon in self.daemons:
            daemon.expire(self.now_ms)
        for sender, receiver in itertools.permutations(range(len(self.daemons)), 2):
            if (sender in self.isolated) == (receiver in self.isolated):
                reports = self.daemons[sender].next_reports(self.now_ms)
                self.daemons[receiver].merge(reports, self.now_ms)

    def wait(self, ms: int, step_ms: int = EXCHANGE_MS) -> None:
        end_ms = self.now_ms + ms
        while self.now_ms < end_ms:
            self.now_ms = min(end_ms, self.now_ms + step_ms)
            self.exchange()

    def accepts(self, daemon: int, parts: list[str]) -> bool:
        registry = self.daemons[daemon]
        return registry.quarantined_part(parts, self.now_ms) is None


def split(text: str) -> list[str]:
    return [part.strip() for part in text.split(",")]


@given("{count:d} daemons that exchange reports")
def daemons(context: Any, count: int) -> None:
    context.quarantine = QuarantineFleet(count, OncePerOutage())


@given("{count:d} daemons that exchange reports on requests")
def daemons_with_requests(context: Any, count: int) -> None:
    context.quarantine = QuarantineFleet(count, EachCrash())


@given("daemon {number:d} has seen the parts {parts} answered")
@when("daemon {number:d} sees the parts {parts} answered")
def parts_answered(context: Any, number: int, parts: str) -> None:
    fleet = context.quarantine
    fleet.daemons[number - 1].record_answer(split(parts.strip('"')), fleet.now_ms)
    fleet.wait(2 * EXCHANGE_MS)


def crash(context: Any, numbers: str, requests: list[list[str]], ms: int) -> None:
    fleet = context.quarantine
    for number in map(int, split(numbers)):
        crash_id = next(fleet.crash_numbers)
        for parts in requests:
            fleet.daemons[number - 1].record_crash(crash_id, parts, fleet.now_ms)
        fleet.wait(ms, min(ms, EXCHANGE_MS))


@when(
    'engines crash at daemons {numbers} on requests with the parts "{parts}",'
    " {ms:d} ms apart"
)
def engines_crash(context: Any, numbers: str, parts: str, ms: int) -> None:
    crash(context, numbers, [split(parts)], ms)


@when(
    'engines that also prefill "{lost}" crash at daemons {numbers}'
    ' on requests with the parts "{parts}", {ms:d} ms apart'
)
def engines_crash_and_lose(
    context: Any, numbers: str, parts: str, lost: str, ms: int
) -> None:
    crash(context, numbers, [split(parts), split(lost)], ms)


@when("{ms:d} ms pass and daemon {number:d} restarts")
def daemon_restarts(context: Any, ms: int, number: int) -> None:
    fleet = context.quarantine
    fleet.wait(ms, 5_000)
    fleet.daemons[number - 1] = PromptPartRegistry()
    fleet.wait(2 * EXCHANGE_MS)


@when("{ms:d} ms pass with reports")
def time_passes(context: Any, ms: int) -> None:
    context.quarantine.wait(ms)


@given("daemons {first:d} and {second:d} are partitioned off")
def partition(context: Any, first: int, second: int) -> None:
    context.quarantine.isolated = {first - 1, second - 1}


@when("the partition ends")
def partition_ends(context: Any) -> None:
    context.quarantine.isolated = set()
    context.quarantine.wait(4 * EXCHANGE_MS)


def check(context: Any, texts: str, expected: bool, only: int | None = None) -> None:
    fleet = context.quarantine
    numbers = range(len(fleet.daemons)) if only is None else [only - 1]
    for number, text in itertools.product(numbers, texts.split(" and ")):
        parts = split(text.strip('"'))
        assert fleet.accepts(number, parts) is expected, (number + 1, parts)


@then("each daemon refuses the parts {texts}")
def each_refuses(context: Any, texts: str) -> None:
    check(context, texts, expected=False)


@then("each daemon accepts the parts {texts}")
def each_accepts(context: Any, texts: str) -> None:
    check(context, texts, expected=True)


@then("daemon {number:d} accepts the parts {texts}")
def daemon_accepts(context: Any, number: int, texts: str) -> None:
    check(context, texts, expected=True, only=number)


@when("{count:d} requests with different parts are lost in crashes")
def many_parts(context: Any, count: int) -> None:
    fleet = context.quarantine
    for number in range(count):
        daemon = fleet.daemons[number % len(fleet.daemons)]
        daemon.record_crash(10_000 + number, [f"part-{number}"], fleet.now_ms)
        fleet.now_ms += 1
        if number % 250 == 0:
            fleet.exchange()


@when("an engine crashes on {prompts:d} requests with {parts:d} different parts each")
def crash_with_long_prompts(context: Any, prompts: int, parts: int) -> None:
    fleet = context.quarantine
    requests = [[f"{n}-{i}" for i in range(parts)] for n in range(prompts)]
    calls = 0

    def count_call(_frame: Any, kind: str, _arg: Any) -> None:
        nonlocal calls
        calls += kind.endswith("call")

    sys.setprofile(count_call)
    try:
        fleet.daemons[0].record_lost_requests(1, requests, fleet.now_ms)
    finally:
        sys.setprofile(None)
    context.calls_per_part = calls / (prompts * parts)


@when(
    "an engine crashes on {prompts:d} requests with {parts:d} parts of {size:d}"
    " characters each"
)
def crash_with_long_parts(context: Any, prompts: int, parts: int, size: int) -> None:
    fleet = context.quarantine
    names = itertools.count()
    context.requests = [
        [f"{next(names):0{size}}" for _ in range(parts)] for _ in range(prompts)
    ]
    for crash in (1, 2, 3):
        fleet.daemons[0].record_lost_requests(crash, context.requests, fleet.now_ms)
        fleet.wait(1_000)


@then("the suspect parts take at most {count:d} of the {limit:d} bytes of a heartbeat")
def check_report_bytes(context: Any, count: int, limit: int) -> None:
    fleet = context.quarantine
    reports = fleet.daemons[0].next_reports(fleet.now_ms)
    assert len(reports) == prompt_parts.MAX_REPORTS_PER_HEARTBEAT
    plain = heartbeat("p1", 1)
    reported = attrs.evolve(plain, suspect_parts=reports)
    size = len(heartbeat_to_wire(reported)) - len(heartbeat_to_wire(plain))
    assert size <= count and limit == MAX_DATAGRAM_BYTES, size


@then("daemon {number:d} accepts another prompt with a part of one of them")
def check_other_prompt(context: Any, number: int) -> None:
    assert context.quarantine.accepts(number - 1, [context.requests[-1][-1], "other"])


@then("the crash took at most {count:d} calls for each lost part")
def check_calls(context: Any, count: int) -> None:
    assert context.calls_per_part <= count, context.calls_per_part


@when(
    'engines crash at daemons {numbers} on requests with "{part}" and {count:d} parts'
    " of their own"
)
def crash_with_own_parts(context: Any, numbers: str, part: str, count: int) -> None:
    fleet = context.quarantine
    for crash, number in enumerate(split(numbers), 1):
        parts = [part, *(f"{crash}-{i}" for i in range(count))]
        fleet.daemons[int(number) - 1].record_crash(crash, parts, fleet.now_ms)
        fleet.wait(1_000)


@when("{count:d} requests with different parts are lost in crashes twice")
def many_parts_twice(context: Any, count: int) -> None:
    fleet = context.quarantine
    for crash_id, number in itertools.product((1, 2), range(count)):
        fleet.daemons[0].record_crash(
            crash_id * 10_000 + number, [f"part-{number}"], fleet.now_ms
        )
    fleet.wait(2_000)


@when('an engine crashes at daemon {number:d} on a request with the parts "{parts}"')
def engine_crashes(context: Any, number: int, parts: str) -> None:
    fleet = context.quarantine
    crash_id = next(fleet.crash_numbers)
    fleet.daemons[number - 1].record_crash(crash_id, split(parts), fleet.now_ms)


@then('the next report of daemon {number:d} has the part "{part}"')
def next_report_has(context: Any, number: int, part: str) -> None:
    fleet = context.quarantine
    reports = fleet.daemons[number - 1].next_reports(fleet.now_ms)
    assert part in [report.part for report in reports], reports


@then(
    "no daemon keeps more than {records:d} records, and a heartbeat reports"
    " at most {reports:d}"
)
def bounded(context: Any, records: int, reports: int) -> None:
    assert records == prompt_parts.MAX_RECORDS
    for daemon in context.quarantine.daemons:
        assert len(daemon._records) <= records
        assert len(daemon.next_reports(context.quarantine.now_ms)) <= reports


@when(
    "seed {seed:d} plays {s:d} s of sound requests and of requests with a crashing part"
)
def play_random_load(
    context: Any, seed: int, s: int, crashing_share: float = CRASHING_SHARE
) -> None:
    """Play a load: engines crash when they begin to answer the part, and restart."""
    fleet, rng = context.quarantine, random.Random(seed)
    context.crash_times, context.sound, context.refused = [], 0, 0
    start_ms = fleet.now_ms
    down_until = [0] * ENGINE_COUNT
    # Requests in flight: (begin, end, engine, daemon, parts)
    flights: list[tuple[int, int, int, int, list[str]]] = []
    next_exchange_ms = fleet.now_ms
    while fleet.now_ms < start_ms + s * 1_000:
        fleet.now_ms += 10
        if fleet.now_ms >= next_exchange_ms:
            fleet.exchange()
            next_exchange_ms += EXCHANGE_MS
        now = fleet.now_ms
        for flight in list(flights):
            begin, end, engine, daemon, parts = flight
            if flight not in flights:
                continue
            if "bad" in parts and now >= begin:
                context.crash_times.append(now)
                down_until[engine] = now + RESTART_MS
                crash_id = next(fleet.crash_numbers)
                for lost in [f for f in flights if f[2] == engine]:
                    flights.remove(lost)
                    if now < lost[0] or lost is flight:
                        fleet.daemons[lost[3]].record_crash(crash_id, lost[4], now)
            elif now >= end:
                flights.remove(flight)
                fleet.daemons[daemon].record_answer(parts, now)
        if rng.random() < 10 / REQUEST_INTERVAL_MS:
            is_bad = rng.random() < crashing_share
            first = f"first-{min(rng.randrange(8), rng.randrange(8))}"
            other = "bad" if is_bad else f"session-{rng.randrange(30)}"
            parts = [first, other] if is_bad or rng.random() < 0.6 else [first]
            daemon = rng.randrange(len(fleet.daemons))
            engines = [n for n in range(ENGINE_COUNT) if down_until[n] <= now]
            if not is_bad:
                context.sound += 1
            if not fleet.accepts(daemon, parts):
                context.refused += not is_bad
            elif engines:
                begin = now + rng.randrange(PREFILL_MS // 2, PREFILL_MS)
                flights.append(
                    (begin, begin + ANSWER_MS, rng.choice(engines), daemon, parts)
                )


@when(
    "seed {seed:d} plays {s:d} s of sound requests and {percent:d} in 100"
    " with a crashing part"
)
def play_random_load_with_share(context: Any, seed: int, s: int, percent: int) -> None:
    play_random_load(context, seed, s, percent / 100)


@then(
    "at most {count:d} engines have crashed, and none later than {s:d} s"
    " after the fifth"
)
def crashes_are_bounded(context: Any, count: int, s: int) -> None:
    times = context.crash_times
    assert 1 <= len(times) <= count, times
    assert len(times) < 5 or times[-1] <= times[4] + s * 1_000, times


@then("at most {share:d} sound requests in 100 were refused")
def few_refused(context: Any, share: int) -> None:
    assert context.refused * 100 <= share * context.sound, (
        context.refused,
        context.sound,
    )
