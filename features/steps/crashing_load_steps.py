"""Steps for trials of suspects: the table alone, and a fleet under random loads."""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

import attrs
from behave import given, then, when

from cowsliphitch.core.quarantine.prompt_parts import EachCrash, PromptPartRegistry
from cowsliphitch.core.quarantine.trials import (
    TRIAL_RETRY_AFTER_MS,
    TrialRequest,
    TrialTable,
)

EXCHANGE_MS, MESSAGE_MS, PROBE_MS = 125, 3, 3
RUN_MS, CRASH_AFTER_MS, RESTART_MS, SLOTS = 90, 50, 3_300, 6
TRIAL_MS, MAX_ATTEMPTS, MAX_TRIES, RETURN_MS = 1_500, 3, 6, 250
SOUND_INTERVAL_MS, CRASHING_INTERVAL_MS = 60, 400


@given("a table of trials")
def table(context: Any) -> None:
    context.trials, context.now_ms = TrialTable(), 10_000


def begin(
    context: Any, holder: str, digest: str, server: str, crashes: int, ms: int
) -> bool:
    request = TrialRequest(digest, holder, server, crashes, ms)
    return context.trials.begin(request, context.now_ms)


@when('daemon "{holder:w}" may try the request "{digest:w}" at "{server:w}"')
@then('daemon "{holder:w}" may try the request "{digest:w}" at "{server:w}"')
def may_try(context: Any, holder: str, digest: str, server: str) -> None:
    assert begin(context, holder, digest, server, 1, TRIAL_MS)


@when(
    'daemon "{holder:w}" may try the request "{digest:w}" at "{server:w}" for {ms:d} ms'
)
@then(
    'daemon "{holder:w}" may try the request "{digest:w}" at "{server:w}" for {ms:d} ms'
)
def may_try_for(context: Any, holder: str, digest: str, server: str, ms: int) -> None:
    assert begin(context, holder, digest, server, 1, ms)


@then(
    'daemon "{holder:w}" may try the request "{digest:w}" of {crashes:d} crashes'
    ' at "{server:w}"'
)
def may_try_again(
    context: Any, holder: str, digest: str, crashes: int, server: str
) -> None:
    assert begin(context, holder, digest, server, crashes, TRIAL_MS)


@then('daemon "{holder:w}" may not try the request "{digest:w}" at "{server:w}"')
def may_not_try(context: Any, holder: str, digest: str, server: str) -> None:
    assert not begin(context, holder, digest, server, 1, TRIAL_MS)


@then(
    'daemon "{holder:w}" may not try the request "{digest:w}" of {crashes:d} crashes'
    ' at "{server:w}"'
)
def may_not_try_again(
    context: Any, holder: str, digest: str, crashes: int, server: str
) -> None:
    assert not begin(context, holder, digest, server, crashes, TRIAL_MS)


@when('daemon "{holder:w}" ends the trial of "{digest:w}"')
def ends(context: Any, holder: str, digest: str) -> None:
    context.trials.end(digest, holder)


@when("{ms:d} ms of its trial pass")
def pass_time(context: Any, ms: int) -> None:
    context.now_ms += ms


@when('daemon "{holder:w}" is lost')
def is_lost(context: Any, holder: str) -> None:
    context.trials.end_of_holder(holder)


@attrs.define(eq=False)
class Copy:
    """A request at a daemon, which may send it several times."""

    digest: str
    daemon: int
    tries: int
    is_trial: bool = False
    attempts: int = 0
    tried: set[int] = attrs.Factory(set)


@attrs.define(eq=False)
class LoadServer:
    """A server with slots and a queue; ``lifetime`` counts its starts."""

    number: int
    running: list[Copy] = attrs.Factory(list)
    queue: list[Copy] = attrs.Factory(list)
    lifetime: int = 0
    is_up: bool = True


class CrashingLoad:
    """A fleet under load: daemons that exchange reports, and servers that crash.

    Daemon 0 decides on trials.
    """

    def __init__(self, daemon_count: int, server_count: int) -> None:
        self.now_ms = 0
        self.daemons = [PromptPartRegistry(EachCrash()) for _ in range(daemon_count)]
        self.servers = [LoadServer(n) for n in range(server_count)]
        self.trials = TrialTable()
        self.rng = random.Random(0)
        self.copies: Counter[str] = Counter()
        self.early_copies: Counter[str] = Counter()
        self.known: set[str] = set()
        self.outcomes: dict[str, str] = {}
        self.refused_as_cause: set[str] = set()
        self._numbers = itertools.count()
        self._events: list[tuple[int, int, Callable[[], None]]] = []

    def at(self, delay_ms: int, action: Callable[[], None]) -> None:
        time_ms = self.now_ms + delay_ms
        heapq.heappush(self._events, (time_ms, next(self._numbers), action))

    def run(self, end_ms: int) -> None:
        self.at(EXCHANGE_MS, self.exchange)
        while self._events and self._events[0][0] < end_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()

    def exchange(self) -> None:
        for sender in range(len(self.daemons)):
            self.daemons[sender].expire(self.now_ms)
            self.push(sender)
        self.at(EXCHANGE_MS, self.exchange)

    def push(self, sender: int) -> None:
        reports = self.daemons[sender].next_reports(self.now_ms)
        for receiver in range(len(self.daemons)):
            if receiver != sender:
                self.at(
                    self.rng.randrange(1, 2 * MESSAGE_MS),
                    lambda r=receiver: self.daemons[r].merge(reports, self.now_ms),
                )

    def arrive(self, digest: str, tries: int = 0) -> None:
        copy = Copy(digest, self.rng.randrange(len(self.daemons)), tries)
        self.outcomes.setdefault(digest, "open")
        self.attempt(copy)

    def attempt(self, copy: Copy) -> None:
        registry = self.daemons[copy.daemon]
        if registry.quarantined_part((copy.digest,), self.now_ms):
            self.refused_as_cause.add(copy.digest)
            self.come_back(copy, RETURN_MS)
            return
        servers = [s for s in self.servers if s.is_up and s.number not in copy.tried]
        if not servers:
            self.come_back(copy, RETURN_MS)
            return
        server = min(
            servers, key=lambda s: (len(s.running) + len(s.queue), self.rng.random())
        )
        if not registry.is_suspect((copy.digest,), 1):
            self.send(copy, server)
            return
        report = registry.report_of(copy.digest, self.now_ms)
        self.at(MESSAGE_MS, lambda: self.decide(copy, server, report))

    def decide(self, copy: Copy, server: LoadServer, report: Any) -> None:
        owner = self.daemons[0]
        owner.merge((report,), self.now_ms)
        known = owner.report_of(copy.digest, self.now_ms)
        is_granted = not owner.quarantined_part((copy.digest,), self.now_ms)
        is_granted = is_granted and self.trials.begin(
            TrialRequest(
                copy.digest,
                str(copy.daemon),
                str(server.number),
                known.crash_count,
                TRIAL_MS,
            ),
            self.now_ms,
        )

        def apply() -> None:
            self.daemons[copy.daemon].merge((known,), self.now_ms)
            copy.is_trial = is_granted
            if is_granted:
                self.send(copy, server)
            else:
                self.come_back(copy, TRIAL_RETRY_AFTER_MS)

        self.at(MESSAGE_MS, apply)

    def end_trial(self, copy: Copy) -> None:
        if copy.is_trial:
            copy.is_trial = False
            report = self.daemons[copy.daemon].report_of(copy.digest, self.now_ms)

            def end() -> None:
                self.daemons[0].merge((report,), self.now_ms)
                self.trials.end(copy.digest, str(copy.daemon))

            self.at(MESSAGE_MS, end)

    def send(self, copy: Copy, server: LoadServer) -> None:
        if not server.is_up:
            self.end_trial(copy)
            copy.tried.add(server.number)
            self.at(1, lambda: self.attempt(copy))
            return
        copy.attempts += 1
        self.copies[copy.digest] += 1
        if copy.digest not in self.known:
            self.early_copies[copy.digest] += 1
        server.queue.append(copy)
        self.start_queued(server)

    def start_queued(self, server: LoadServer) -> None:
        while server.queue and len(server.running) < SLOTS:
            copy = server.queue.pop(0)
            server.running.append(copy)
            lifetime = server.lifetime
            if copy.digest.startswith("bad"):
                self.at(CRASH_AFTER_MS, lambda n=lifetime: self.crash(server, n))
            else:
                self.at(RUN_MS, lambda c=copy, n=lifetime: self.answer(server, c, n))

    def answer(self, server: LoadServer, copy: Copy, lifetime: int) -> None:
        if server.lifetime != lifetime:
            return
        server.running.remove(copy)
        self.start_queued(server)
        self.outcomes[copy.digest] = "answered"
        registry = self.daemons[copy.daemon]
        if registry.has_records:
            registry.record_answer((copy.digest,), self.now_ms)
        self.end_trial(copy)

    def crash(self, server: LoadServer, lifetime: int | None = None) -> None:
        if not server.is_up or lifetime not in (None, server.lifetime):
            return
        lost = server.running + server.queue
        server.running, server.queue, server.is_up = [], [], False
        server.lifetime += 1
        self.at(RESTART_MS, lambda: setattr(server, "is_up", True))
        crash_id = 1_000 * server.number + server.lifetime
        for daemon in {copy.daemon for copy in lost}:
            own = [copy for copy in lost if copy.daemon == daemon]
            self.at(PROBE_MS, lambda d=daemon, o=own: self.judge(d, crash_id, o))

    def judge(self, daemon: int, crash_id: int, lost: list[Copy]) -> None:
        for copy in lost:
            self.daemons[daemon].record_crash(crash_id, (copy.digest,), self.now_ms)
            self.at(2 * MESSAGE_MS, lambda c=copy: self.known.add(c.digest))
        self.push(daemon)
        for copy in lost:
            self.end_trial(copy)
            is_suspect = self.daemons[daemon].is_suspect((copy.digest,))
            if copy.attempts < MAX_ATTEMPTS and not is_suspect:
                self.attempt(copy)
            else:
                self.come_back(copy, 0)

    def come_back(self, copy: Copy, delay_ms: int) -> None:
        if copy.tries + 1 >= MAX_TRIES:
            self.outcomes[copy.digest] = "given up"
            return
        delay_ms += self.rng.randrange(5, 20)
        self.at(delay_ms, lambda: self.arrive(copy.digest, copy.tries + 1))


@given("a fleet of {daemons:d} daemons before {servers:d} servers")
def fleet(context: Any, daemons: int, servers: int) -> None:
    context.load = CrashingLoad(daemons, servers)


def play(context: Any, seed: int, s: int) -> None:
    load = context.load
    load.rng.seed(seed)
    time_ms = 0
    for number in itertools.count():
        time_ms += 1 + round(load.rng.expovariate(1 / SOUND_INTERVAL_MS))
        if time_ms >= s * 1_000:
            break
        load.at(time_ms, lambda n=number: load.arrive(f"sound-{n}"))
    # The last callers get their answers.
    load.run((s + 3) * 1_000)


@when("seed {seed:d} plays {s:d} s of sound requests and {causes:d} that crash servers")
def play_with_causes(context: Any, seed: int, s: int, causes: int) -> None:
    load, rng = context.load, random.Random(seed)
    for cause in range(causes):
        time_ms = rng.randrange(1_000, 3_000)
        while time_ms < s * 1_000:
            load.at(time_ms, lambda c=cause: load.arrive(f"bad-{c}", MAX_TRIES - 3))
            time_ms += 1 + round(rng.expovariate(1 / CRASHING_INTERVAL_MS))
    play(context, seed, s)


@when(
    "seed {seed:d} plays {s:d} s of sound requests, and all servers crash"
    " each {pause:d} s"
)
def play_with_outages(context: Any, seed: int, s: int, pause: int) -> None:
    load = context.load
    for time_s in range(pause, s, pause):
        for server in load.servers:
            load.at(time_s * 1_000, lambda v=server: load.crash(v))
    play(context, seed, s)


@then(
    "each of these reached servers twice more at most than before its first crash"
    " was known"
)
def copies_are_bounded(context: Any) -> None:
    load = context.load
    causes = [digest for digest in load.copies if digest.startswith("bad")]
    assert causes
    for digest in causes:
        copies, early = load.copies[digest], load.early_copies[digest]
        assert copies <= early + 2, (digest, copies, early)


@then("at most {count:d} sound request in {total:d} was refused for crashes")
def few_sound_refused(context: Any, count: int, total: int) -> None:
    outcomes = context.load.outcomes
    sound = [digest for digest in outcomes if digest.startswith("sound")]
    refused = context.load.refused_as_cause.intersection(sound)
    assert len(refused) * total <= count * len(sound), (refused, len(sound))
