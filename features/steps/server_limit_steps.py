"""Steps on the limits that servers name, with emulated daemons and servers."""

import itertools
import math
from collections.abc import Callable
from typing import Any

from behave import given, then, when

from cowsliphitch.core.fleet.members import Member, MemberTable
from cowsliphitch.core.limits.grants import RateGrants
from cowsliphitch.core.limits.models import (
    Granted,
    LimitReport,
    NamedLimit,
    RequestRate,
    Unlimited,
    UnreadableLimit,
)
from cowsliphitch.core.limits.table import LimitTable
from cowsliphitch.core.servers.models import Server, ServerState
from cowsliphitch.platform.servers import decode_limit
from cowsliphitch.standins.emulator.limits import LimitedFleet, result_of
from cowsliphitch.upstreams.http1.models import AnswerHead, UpstreamError

# Seeds of a run in CI; more are run by hand with ``behave -D seeds=50``.
DEFAULT_SEEDS = 2
LIMITED_FROM_MS = 3_000

# The limit counts from 3 s after a server first named it.
COUNTED_FROM_MS = LIMITED_FROM_MS + 3_000
USED_FROM_MS = COUNTED_FROM_MS + 2_000


def restart_granting(fleet: LimitedFleet) -> None:
    for ms in (8_000, 11_000, 20_000):
        fleet.at(ms, lambda: fleet.restart(fleet.granting_daemon()))


def freeze_granting(fleet: LimitedFleet) -> None:
    for ms in (8_000, 17_000):
        fleet.at(ms, lambda: fleet.freeze(fleet.granting_daemon(), 2_500))


def restart_in_turn(fleet: LimitedFleet) -> None:
    for n in range(len(fleet.daemons)):
        fleet.at(8_000 + 900 * n, lambda n=n: fleet.restart(n))


def cut_domain(fleet: LimitedFleet) -> None:
    fleet.at(8_000, lambda: fleet.cut("d1", 5_000))


def delay_heartbeats(fleet: LimitedFleet) -> None:
    for ms, delay_ms in ((8_000, 700), (15_000, 2)):
        fleet.at(ms, lambda d=delay_ms: setattr(fleet, "heartbeat_delay_ms", d))


def disturb_repeatedly(fleet: LimitedFleet) -> None:
    delay_heartbeats(fleet)
    fleet.at(9_000, lambda: fleet.cut("d2", 3_000))
    fleet.at(11_000, lambda: fleet.freeze(fleet.granting_daemon(), 2_500))
    fleet.at(16_000, lambda: fleet.cut("d0", 4_000))
    fleet.at(17_000, lambda: fleet.restart(fleet.granting_daemon()))


DISTURBANCES: dict[str, Callable[[LimitedFleet], None]] = {
    "nothing else happens": lambda _fleet: None,
    "one daemon gets all of them": lambda _fleet: None,
    "the granting daemon restarts": restart_granting,
    "the granting daemon freezes": freeze_granting,
    "all daemons restart in turn": restart_in_turn,
    "a failure domain is cut off": cut_domain,
    "heartbeats arrive late": delay_heartbeats,
    "late heartbeats, partitions, a freeze and a restart overlap": disturb_repeatedly,
}
NAMED: dict[str, NamedLimit] = {
    "nothing": Unlimited(),
    "endless": RequestRate(math.inf),
    "unreadable": UnreadableLimit("ten"),
}


def seeds(context: Any) -> range:
    """Return the seeds of this run."""
    count = int(context.config.userdata.get("seeds", DEFAULT_SEEDS))
    return range(1, count + 1)


def named(text: str) -> NamedLimit:
    return NAMED.get(text) or RequestRate(float(text))


@given(
    "{count:d} daemons and {servers:d} servers that name {limit} requests a second"
    " from 3 s on"
)
def given_fleet(context: Any, count: int, servers: int, limit: str) -> None:
    rows = [(0, Unlimited()), (LIMITED_FROM_MS, named(limit))]
    context.fleets = [
        LimitedFleet(count, [rows] * servers, seed) for seed in seeds(context)
    ]


@given("{count:d} daemons and a server that names {before} and after 12 s {after}")
def given_changing(context: Any, count: int, before: str, after: str) -> None:
    rows = [(0, named(before)), (12_000, named(after))]
    context.fleets = [LimitedFleet(count, [rows], seed) for seed in seeds(context)]


@when("callers send {load:d} requests a second for {s:d} s, and {disturbance}")
def send_load(context: Any, load: int, s: int, disturbance: str) -> None:
    context.ran_ms = s * 1_000
    for fleet in context.fleets:
        count = len(fleet.daemons)
        weights = [1 / (n + 1) for n in range(count)]
        fleet.rng.shuffle(weights)
        if disturbance == "one daemon gets all of them":
            weights = [1.0] + [0.0] * (count - 1)
        fleet.send_load(load, weights, context.ran_ms)
        DISTURBANCES[disturbance](fleet)
        fleet.run(context.ran_ms)


@then(
    "no server gets more than {count:d} requests in {s:d} s from daemons that know"
    " its limit"
)
def keeps_limit(context: Any, count: int, s: int) -> None:
    for seed, fleet in enumerate(context.fleets, start=1):
        for server in fleet.servers:
            most = fleet.most_in_window(server, COUNTED_FROM_MS, context.ran_ms)
            assert most <= count, f"seed {seed}: {most} requests"


@then("at least {share:f} of each limit is used")
def uses_limit(context: Any, share: float) -> None:
    for seed, fleet in enumerate(context.fleets, start=1):
        for server in fleet.servers:
            from_ms = fleet.start_ms + USED_FROM_MS
            count = sum(ms >= from_ms for ms, _ in server.arrivals)
            used = count / ((context.ran_ms - USED_FROM_MS) / 1_000)
            assert used >= share, f"seed {seed}: {used:.2f} of the limit was used"


@then("at most 1 in {count:d} requests are denied")
def few_denied(context: Any, count: int) -> None:
    for seed, fleet in enumerate(context.fleets, start=1):
        outcomes = fleet.outcomes
        total = outcomes.sent + outcomes.denied
        assert outcomes.denied * count <= total, f"seed {seed}: {outcomes}"


@then("it gets {least:d} to {most:d} requests in the last {s:d} s")
def gets_between(context: Any, least: int, most: int, s: int) -> None:
    for seed, fleet in enumerate(context.fleets, start=1):
        from_ms = fleet.start_ms + context.ran_ms - s * 1_000
        count = sum(ms >= from_ms for ms, _ in fleet.servers[0].arrivals)
        assert least <= count <= most, f"seed {seed}: {count} requests"


@then("no request is denied in the last {s:d} s, and it gets all of them")
def none_is_denied(context: Any, s: int) -> None:
    for seed, fleet in enumerate(context.fleets, start=1):
        from_ms = fleet.start_ms + context.ran_ms - s * 1_000
        denied = [ms for ms in fleet.outcomes.denied_ms if ms >= from_ms]
        assert not denied, f"seed {seed}: denied at {denied}"
        arrivals = [ms for ms, _ in fleet.servers[0].arrivals if ms >= from_ms]
        assert len(arrivals) >= 5 * s, f"seed {seed}: {len(arrivals)} requests"


@when('a server\'s answer names the limit "{text}"')
def decode_named(context: Any, text: str) -> None:
    head = AnswerHead(200, ((b"server-limit", text.encode()),))
    context.named = decode_limit(head)


@when('a server\'s answer names the limit ""')
def decode_empty(context: Any) -> None:
    decode_named(context, "")


@then("it is read as {meaning}")
def is_read_as(context: Any, meaning: str) -> None:
    match context.named:
        case RequestRate(per_s):
            assert meaning == f"{per_s} a second", per_s
        case UnreadableLimit():
            assert meaning == "unreadable"
        case _:
            raise AssertionError(context.named)


NOW_MS = 1_000_000


@given("a daemon that heard nothing")
def heard_nothing(context: Any) -> None:
    context.limit_table = LimitTable()


@given('a daemon that heard a limit of {per_s:f} for "{server}" {ms:d} ms ago')
def heard_limit(context: Any, per_s: float, server: str, ms: int) -> None:
    context.limit_table = LimitTable()
    context.limit_table.observe(server, RequestRate(per_s), NOW_MS - ms)
    context.limit_table.retain_servers([listed(server, 1)], NOW_MS)


def listed(server: str, started_ms: int) -> Server:
    return Server(server, "desk", "a:1", "d0", ServerState.READY, 4, started_ms)


@when('a peer reports a limit of {per_s:f} for "{server}" that it heard {ms:d} ms ago')
def peer_reports(context: Any, per_s: float, server: str, ms: int) -> None:
    context.limit_table.merge({server: LimitReport(per_s, ms, 0)}, "peer", NOW_MS)


@when('a peer reports that "{server}" named no limit {ms:d} ms ago')
def peer_reports_end(context: Any, server: str, ms: int) -> None:
    context.limit_table.merge({server: LimitReport(None, ms, 0)}, "peer", NOW_MS)


@when('a peer reports that it has sent {count:d} requests to "{server}" within 4 s')
def peer_has_sent(context: Any, count: int, server: str) -> None:
    context.limit_table.merge({server: LimitReport(1.0, 0, count)}, "peer", NOW_MS)


@then('the daemon lets a request to "{server}" wait for {ms:d} ms')
def request_waits(context: Any, server: str, ms: int) -> None:
    grants = RateGrants(context.limit_table)
    assert grants.wait_ms(server, 1.0, NOW_MS) == ms


@when('the daemon decides on {count:d} urgent requests to "{server}"')
def decide_requests(context: Any, count: int, server: str) -> None:
    grants = RateGrants(context.limit_table)
    context.decisions = [grants.decide((server,), 1.0, 0, NOW_MS) for _ in range(count)]


@then("the first is granted, the others return after {first:d} and {second:d} ms")
def promised_places(context: Any, first: int, second: int) -> None:
    granted, *denied = context.decisions
    assert isinstance(granted, Granted), granted
    assert [d.retry_after_ms for d in denied] == [first, second], denied


@given("a daemon that lists {count:d} daemons and hears {heard:d} others")
def listed_daemons(context: Any, count: int, heard: int) -> None:
    own, *others = (Member(f"d{n}:1", f"d{n}", "d0") for n in range(count))
    context.members = MemberTable(own, NOW_MS)
    context.members.set_listed(others, NOW_MS)
    for member in others[:heard]:
        context.members.record_heartbeat(member, 1, False, NOW_MS)


@then("it may grant {share:f} of a rate")
def granted_share(context: Any, share: float) -> None:
    actual = context.members.fleet_share(NOW_MS)
    assert round(actual, 3) == share, actual


@then('the limit of "{server}" is {per_s:f}')
def limit_is(context: Any, server: str, per_s: float) -> None:
    assert context.limit_table.rate_of(server) == per_s, context.limit_table.rate_of(
        server
    )


@then('"{server}" has no limit')
def has_no_limit(context: Any, server: str) -> None:
    assert context.limit_table.rate_of(server) is None, context.limit_table.rate_of(
        server
    )


@then("the daemon reports no limit to its peers")
def reports_nothing(context: Any) -> None:
    assert not context.limit_table.next_reports(NOW_MS)


@when('"{server}" has restarted under its identifier')
def has_restarted(context: Any, server: str) -> None:
    context.limit_table.retain_servers([listed(server, 2)], NOW_MS)


@given("a daemon that heard limits of {count:d} servers")
def heard_limits(context: Any, count: int) -> None:
    context.limit_table = LimitTable()
    context.names = {f"s{n}" for n in range(count)}
    for name in context.names:
        context.limit_table.observe(name, RequestRate(1.0), NOW_MS)
    for n in range(2 * count):
        context.limit_table.next_reports(NOW_MS + n)


@when('the limit of "{server}" changes')
def limit_changes(context: Any, server: str) -> None:
    context.limit_table.observe(server, RequestRate(2.0), NOW_MS + 2_000)


@then('the next heartbeat reports "{server}" and at most {count:d} servers')
def next_reports(context: Any, server: str, count: int) -> None:
    reports = context.limit_table.next_reports(NOW_MS + 2_001)
    assert server in reports and len(reports) <= count, reports


@then("{count:d} heartbeats report all servers")
def all_are_reported(context: Any, count: int) -> None:
    reported: set[str] = set()
    for n in range(count):
        reported |= context.limit_table.next_reports(NOW_MS + 3_000 + n).keys()
    assert reported == context.names, len(reported)


@given(
    "a daemon and a server that names {per_s:f} requests a second, which has no place"
)
def server_without_place(context: Any, per_s: float) -> None:
    fleet = LimitedFleet(1, [[(0, RequestRate(per_s))]], 1)
    fleet.send_load(20, [1.0], 4_000)
    fleet.run(4_000)
    context.fleets = [fleet]


@when("{count:d} callers are denied at the same moment")
def callers_are_denied(context: Any, count: int) -> None:
    (fleet,) = context.fleets
    fleet.run(500)
    (daemon,) = fleet.daemons
    server = fleet.servers[0].server
    context.retry_after_ms = []
    while len(context.retry_after_ms) < count:
        try:
            result_of(daemon.client.choose_permitted([server], 0, "r"))
        except UpstreamError as exc:
            context.retry_after_ms.append(exc.refusal.retry_after_ms)


@then("they are told to return at least {ms:d} ms apart")
def return_apart(context: Any, ms: int) -> None:
    times = context.retry_after_ms
    gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
    assert min(gaps) >= ms, times
