"""Steps on evacuated failure domains and cold servers, without a network."""

from typing import Any
from unittest import mock

from batching_steps import SINGLE_STAGE, PlannerBench
from behave import given, then, when
from server_limit_steps import NOW_MS, seeds
from server_steps import SERVICE, server, servers

from cowsliphitch.core.batching.requests import StagesDone, StagesFailed
from cowsliphitch.core.clock import Clock
from cowsliphitch.core.deployment.models import Service
from cowsliphitch.core.fleet.members import Member, MemberTable
from cowsliphitch.core.kv.models import Deleted, Entry, Listing, Unavailable
from cowsliphitch.core.limits.cold import cold_rates, without_waits
from cowsliphitch.core.limits.const import UNHEARD_AGE_MS
from cowsliphitch.core.limits.grants import RateGrants
from cowsliphitch.core.limits.models import LimitedServer, LimitReport, Unlimited
from cowsliphitch.core.revisions import Revision
from cowsliphitch.core.verdict import Reason, not_run
from cowsliphitch.gateway.state import GatewayState
from cowsliphitch.gateway.store_coordinator import StoreCoordinator
from cowsliphitch.standins.emulator.limits import LimitedFleet

COLD_PER_S = 6.6


def split(names: str) -> frozenset[str]:
    return frozenset(names.split(", "))


@when('the domains "{names}" are evacuated')
def evacuate(context: Any, names: str) -> None:
    context.registry.set_evacuated_domains(split(names))


@then('"{name}" may get no request that was on its way to it')
def is_not_usable(context: Any, name: str) -> None:
    assert not context.registry.is_usable(server(name))


@then("the whole service counts as evacuated")
def service_is_evacuated(context: Any) -> None:
    assert context.registry.is_evacuated(SERVICE)
    assert not context.registry.ready(SERVICE)


@given('a store coordinator that has listed the keys "{keys}"')
def coordinator_with_keys(context: Any, keys: str) -> None:
    clock = Clock()
    members = MemberTable(Member("d0:1", "d0", "domain"), clock.now_ms())
    context.state = GatewayState(clock, 1, members)
    context.coordinator = StoreCoordinator(None, context.state, lambda: None)
    list_keys(context, keys)


@when('it lists the keys "{keys}"')
def list_keys(context: Any, keys: str) -> None:
    at = Revision(1, 50)
    entries = tuple(Entry(key, "{}", at) for key in keys.split(", "))
    context.coordinator._apply_listing(Listing(entries, at))


@when("the store becomes unavailable")
def lose_store(context: Any) -> None:
    context.coordinator._record_store_failure(Unavailable("no answer"))


@when('it reads that "{deleted}" was deleted and "{written}" written')
def read_changes(context: Any, deleted: str, written: str) -> None:
    at = Revision(1, 60)
    changes = (Deleted(deleted, at), Entry(written, "{}", at))
    context.coordinator._apply_changes(changes, at)


@then('the domains "{names}" are evacuated in its registry')
def are_evacuated(context: Any, names: str) -> None:
    actual = context.state.servers.evacuated_domains
    assert actual == split(names), actual


@given(
    'servers "{names}" of a service that takes {per_s:f} requests a second when cold'
)
def cold_service(context: Any, names: str, per_s: float) -> None:
    servers(context, names)
    context.service = Service(SERVICE, 10, cold_start_ms=3_000, cold_per_s=per_s)


@when('the entry of "{name}" of revision {number:d} says that it is cold for {ms:d} ms')
def read_cold_entry(context: Any, name: str, number: int, ms: int) -> None:
    entry = server(name, warmup_remaining_ms=ms)
    context.registry.put(entry, Revision(1, number), context.now_ms)


@when('the domain "{domain}" is taken back')
def take_back(context: Any, domain: str) -> None:
    cold_ms = {SERVICE: context.service.cold_start_ms}
    context.registry.mark_cold(frozenset({domain}), cold_ms, context.now_ms)


def limited(context: Any) -> dict[str, float]:
    services = {SERVICE: context.service}
    return cold_rates(context.registry, services, context.now_ms)


@then('the cold servers are limited: "{names}"')
def are_limited(context: Any, names: str) -> None:
    assert limited(context) == dict.fromkeys(split(names), COLD_PER_S)


@then("no server is limited")
def none_is_limited(context: Any) -> None:
    assert limited(context) == {}, limited(context)


@when('"{name}" is cold and takes {per_s:f} requests a second')
def is_cold(context: Any, name: str, per_s: float) -> None:
    context.limit_table.set_cold({name: per_s}, NOW_MS)


@when('"{name}" is warm')
def is_warm(context: Any, name: str) -> None:
    (change,) = context.limit_table.set_cold({}, NOW_MS)
    assert (change.server_id, change.per_s) == (name, None)


@when('a peer that only knows "{name}" as cold reports {count:d} requests')
def peer_counts(context: Any, name: str, count: int) -> None:
    report = LimitReport(None, UNHEARD_AGE_MS, count)
    assert context.limit_table.merge({name: report}, "peer", NOW_MS) == []


@when('a peer asks it for a permit of the cold server "{name}"')
def peer_asks(context: Any, name: str) -> None:
    cold = LimitedServer(name, COLD_PER_S, UNHEARD_AGE_MS)
    context.limit_table.learn([cold], "peer", NOW_MS)


@when("{ms:d} ms later it has still read no entry")
def has_read_nothing(context: Any, ms: int) -> None:
    assert context.limit_table.set_cold({}, NOW_MS + ms) == []


@then('after a request to "s1", "s1, s2" are left with "s2", and "s1" with "s1"')
def left_without_waits(context: Any) -> None:
    grants = RateGrants(context.limit_table)
    grants.decide(("s1",), 1.0, 0, NOW_MS)
    rates = mock.Mock(wait_ms=lambda s, now_ms: grants.wait_ms(s.id, 1.0, now_ms))

    def left(*names: str) -> list[str]:
        offered = [server(name) for name in names]
        free = without_waits(offered, rates, context.limit_table, NOW_MS)
        return [s.id for s in free]

    assert (left("s1", "s2"), left("s1")) == (["s2"], ["s1"])


@given("{count:d} daemons and a cold server that takes {per_s:f} requests a second")
def cold_fleet(context: Any, count: int, per_s: float) -> None:
    context.fleets = [
        LimitedFleet(count, [[(0, Unlimited())]], seed) for seed in seeds(context)
    ]
    for fleet in context.fleets:
        fleet.set_cold({"s0": per_s})


@then(
    "the server gets at most {count:d} requests in any second, and at least {total:d}"
    " in all"
)
def survives(context: Any, count: int, total: int) -> None:
    for seed, fleet in enumerate(context.fleets, start=1):
        times = [ms for ms, _ in fleet.servers[0].arrivals]
        most = max(sum(t <= u < t + 1_000 for u in times) for t in times)
        assert most <= count, f"seed {seed}: {most} requests in a second"
        assert len(times) >= total, f"seed {seed}: only {len(times)} requests"


@given("a stage pool whose only server has an overdue call, and a request that waits")
def overdue_and_waiting(context: Any) -> None:
    bench = context.bench = PlannerBench()
    context.called = bench.admit(SINGLE_STAGE, (2,))
    (context.call,) = bench.planner.plan_calls(0)
    context.waiting = bench.admit(SINGLE_STAGE, (1,))
    assert not bench.planner.plan_calls(2_000)
    assert bench.planner.queues["s"].waiting_pieces == 3


@then("an evacuation refuses the request that waits, and the other one completes")
def refuses_waiting(context: Any) -> None:
    planner, refusal = context.bench.planner, not_run(Reason.NO_UPSTREAM, "x", 1_000)
    commands = planner.refuse_waiting("s", refusal, 2_000)
    assert commands == [StagesFailed(context.waiting, 0, refusal)], commands
    results = tuple(context.bench.make_result() for _ in context.call.pieces)
    (done,) = planner.complete_call(context.call, results, 2_100)
    assert isinstance(done, StagesDone) and done.execution_id == context.called
