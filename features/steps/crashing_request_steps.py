"""Steps for requests that crash servers and come again at the same moment."""

import itertools
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import httpx
from behave import given, then, when
from platform_steps import (
    CRASHING_BODY,
    CRASHING_PART,
    ENGINES,
    SOUND_PART,
    generate_with_part,
    send_one,
    set_up_site,
    wait_for_restarts,
)

from cowsliphitch.standins.site import put

# Time after which a caller repeats a request whose answer does not say when.
REPEAT_S = 0.3

LOOKUP_MS = 60


@given("a site with {daemons:d} daemons and {desks:d} order desks")
def start_site(context: Any, daemons: int, desks: int) -> None:
    set_up_site(context, resumable=False, daemon_count=daemons, desk_count=desks)
    context.part_numbers = itertools.count(1)
    context.sound_tries: list[list[int]] = []


@given("servers that crash {ms:d} ms after they receive one request")
def servers_crash(context: Any, ms: int) -> None:
    for server in context.site.servers.values():
        server.crashing_bodies = frozenset({CRASHING_BODY.encode()})
        server.crash_delay_ms = ms


@when("{request} comes once")
def comes_once(context: Any, request: str) -> None:
    context.crashing_request = request
    send_one(context, request, CRASHING_BODY, 0)


@when(
    "{request} comes {count:d} times, {ms:d} ms apart,"
    " through one daemon after the other"
)
def comes_in_turn(context: Any, request: str, count: int, ms: int) -> None:
    context.crashing_request = request
    with ThreadPoolExecutor(count) as pool:
        for number in range(count):
            daemon = number % context.site.daemon_count
            pool.submit(send_one, context, request, CRASHING_BODY, daemon)
            time.sleep(ms / 1_000)


@when("the crashed servers are back")
def servers_are_back(context: Any) -> None:
    wait_for_restarts(context)


@when("it comes {count:d} times at the same moment through all daemons")
def comes_at_once(context: Any, count: int) -> None:
    with ThreadPoolExecutor(count) as pool:
        for number in range(count):
            daemon = number % context.site.daemon_count
            pool.submit(
                send_one, context, context.crashing_request, CRASHING_BODY, daemon
            )


@given("servers that fall silent for {ms:d} ms when they crash")
def fall_silent(context: Any, ms: int) -> None:
    for server in context.site.servers.values():
        server.silent_ms = ms


@given("servers that fall silent for {ms:d} ms and go on as before")
def fall_silent_only(context: Any, ms: int) -> None:
    for server in context.site.servers.values():
        server.silent_ms, server.restarts = ms, False


@given("engines that fall silent for {ms:d} ms on one prompt part")
def engines_fall_silent(context: Any, ms: int) -> None:
    fall_silent(context, ms)
    for name in ENGINES:
        context.site.servers[name].crashing_part = CRASHING_PART


# Callers leave before a silent server is back.
SHORT_DEADLINE = {"cowsliphitch-deadline-ms": "400"}


def come_and_leave(
    context: Any, count: int, send: Callable[[int], None], send_sound: Any
) -> None:
    context.sound_answers = []
    for number in range(count):
        send(number)
        wait_for_restarts(context)
        answer = send_sound(number)
        assert answer is not None
        context.sound_answers.append(answer)


@when(
    "{request} comes {count:d} times through all daemons, its callers leave, and others"
    " come between"
)
def comes_and_leaves(context: Any, request: str, count: int) -> None:
    daemons = context.site.daemon_count
    come_and_leave(
        context,
        count,
        lambda n: send_one(
            context, request, CRASHING_BODY, n % daemons, SHORT_DEADLINE
        ),
        lambda n: send_one(context, request, f"sound {n}", n % daemons),
    )


@when(
    "{count:d} generations with the part come through all daemons, their callers leave,"
    " and sound ones come between"
)
def part_comes(context: Any, count: int) -> None:
    daemons = context.site.daemon_count
    come_and_leave(
        context,
        count,
        lambda n: generate_with_part(
            context, CRASHING_PART, n % daemons, SHORT_DEADLINE
        ),
        lambda n: generate_with_part(context, SOUND_PART, n % daemons),
    )


CRASHING_KEY = "crashing-key"


@given("stage servers that crash on the pieces of one request")
def stages_crash(context: Any) -> None:
    """Have stage servers crash, and register when they have started again."""
    context.part_numbers = itertools.count(1)
    server = context.site.servers["encode-1"]
    server.crashing_key = CRASHING_KEY

    def register() -> None:
        arguments = context.site.store, f"servers/{server.id}", server.entry()
        threading.Thread(target=put, args=arguments).start()

    server.on_restart = register


@given("stage servers that fall silent for {ms:d} ms on the pieces of one request")
def stages_fall_silent(context: Any, ms: int) -> None:
    stages_crash(context)
    context.site.servers["encode-1"].silent_ms = ms


@when("this request comes {count:d} times beside sound ones through all daemons")
def pieces_come(context: Any, count: int) -> None:
    daemons = context.site.daemon_count
    headers = {"cowsliphitch-piece-key": CRASHING_KEY}
    come_and_leave(
        context,
        count,
        lambda n: send_one(
            context, "a generation", CRASHING_BODY, n % daemons, headers
        ),
        lambda n: send_one(context, "a generation", f"sound {n}", n % daemons),
    )


@then("at most {count:d} stage servers crashed")
def at_most_stage_servers(context: Any, count: int) -> None:
    crashes = context.site.servers["encode-1"].crashes
    assert 1 <= crashes <= count, crashes


@then("exactly {count:d} copies of it reached servers")
def exact_copies(context: Any, count: int) -> None:
    copies = copies_at_servers(context, CRASHING_BODY)
    assert copies == count, copies


def copies_at_servers(context: Any, body: str) -> int:
    return sum(
        req.body == body.encode()
        for server in context.site.servers.values()
        for req in server.received
    )


@then("at most {count:d} copies of it reached servers")
def at_most_copies(context: Any, count: int) -> None:
    copies = copies_at_servers(context, CRASHING_BODY)
    assert 1 <= copies <= count, copies


def send_until_answered(context: Any, body: str, daemon: int, max_tries: int) -> None:
    """Send a sound lookup, and again as callers do after a failure or a refusal."""
    statuses: list[int] = []
    context.sound_tries.append(statuses)
    for number in range(max_tries):
        try:
            answer = context.site.call(
                "/lookup/7", {}, (daemon + number) % context.site.daemon_count, body
            )
        except httpx.RemoteProtocolError:
            statuses.append(0)
            continue
        statuses.append(answer.status_code)
        if answer.status_code == 200:
            return
        time.sleep(float(answer.headers.get("retry-after", REPEAT_S)))


@when(
    "{crashing:d} crashing lookups come at the same moment as {sound:d} sound ones"
    " with their path, {waves:d} times"
)
def come_beside_sound(context: Any, crashing: int, sound: int, waves: int) -> None:
    context.crashing_bodies = [f"{CRASHING_BODY} {n}" for n in range(crashing)]
    for server in context.site.servers.values():
        server.crashing_bodies = frozenset(b.encode() for b in context.crashing_bodies)
        server.answer_delay_ms = LOOKUP_MS
    for wave in range(waves):
        with ThreadPoolExecutor(crashing + sound) as pool:
            for number in range(sound):
                pool.submit(
                    send_until_answered, context, f"sound {wave} {number}", number, 8
                )
            for number, body in enumerate(context.crashing_bodies):
                pool.submit(send_one, context, "a lookup", body, number)
        wait_for_restarts(context)


@then("at most {count:d} copies of each crashing lookup reached servers")
def at_most_copies_of_each(context: Any, count: int) -> None:
    copies = [copies_at_servers(context, body) for body in context.crashing_bodies]
    assert all(1 <= number <= count for number in copies), copies


@when("all order desks crash {waves:d} times while {count:d} lookups are at them")
def all_crash(context: Any, waves: int, count: int) -> None:
    desks = [s for s in context.site.servers.values() if s.service == "desk"]
    for server in desks:
        server.answer_delay_ms = LOOKUP_MS
    with ThreadPoolExecutor(count) as pool:
        for number in range(count):
            pool.submit(send_until_answered, context, f"sound {number}", number, 20)
        for _ in range(waves):
            time.sleep(LOOKUP_MS / 2_000)
            for server in desks:
                context.site.portal.call(server.crash)
            wait_for_restarts(context)


@when(
    "all daemons have answered a lookup, and all order desks crash while"
    " {count:d} like it are at them"
)
def all_crash_under_equal(context: Any, count: int) -> None:
    for daemon in range(context.site.daemon_count):
        assert context.site.call("/lookup/7", {}, daemon, "same").status_code == 200
    desks = [s for s in context.site.servers.values() if s.service == "desk"]
    for server in desks:
        server.answer_delay_ms = 4 * LOOKUP_MS
    with ThreadPoolExecutor(count) as pool:
        for number in range(count):
            pool.submit(send_until_answered, context, "same", number, 20)
        time.sleep(LOOKUP_MS * 3 / 1_000)
        for server in desks:
            context.site.portal.call(server.crash)
        wait_for_restarts(context)


@then("each sound lookup was answered within {count:d} tries")
def sound_were_answered(context: Any, count: int) -> None:
    assert context.sound_tries
    for statuses in context.sound_tries:
        assert statuses[-1] == 200 and len(statuses) <= count, context.sound_tries
