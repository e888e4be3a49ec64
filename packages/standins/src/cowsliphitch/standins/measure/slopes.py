"""Measure the marginal costs that CAPACITY.md uses.

They are what one more member, demand, upstream, team or order costs a daemon in bytes,
memory and time.
"""

import json
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import attrs

from cowsliphitch.core import ids
from cowsliphitch.core.codec import from_json, to_json
from cowsliphitch.core.config.build import SettingsBuilder
from cowsliphitch.core.config.models import Manifest, Snapshot, branch_values
from cowsliphitch.core.membership.models import MemberRecord, PoolDemand, Summary
from cowsliphitch.core.membership.view import MembershipView
from cowsliphitch.core.orders.models import Answer, Head, Record, State
from cowsliphitch.core.routing.models import UpstreamState
from cowsliphitch.core.routing.selector import record_prefix
from cowsliphitch.core.scheduling.division import Demand, compute_caps
from cowsliphitch.core.settings.schema import load_settings
from cowsliphitch.peers.wire import convert, peers_pb2 as pb

from . import process
from .report import Report

START_WALL_MS = 1_790_000_000_000
BYTES_PER_KB = 1_024
REPEAT_COUNT = 5
MEMBER_COUNT = 27
TEAM_COUNT = 340
UPSTREAM_COUNT = 733
RECORD_COUNT = 400
HEARTBEAT_AGE_STEP_MS = 90
RECORD_AGE_STEP_MS = 200_000


def min_duration_ms(operation: Callable[[], Any]) -> float:
    """Return the shortest duration of several calls, in ms."""
    durations_s: list[float] = []
    for _ in range(REPEAT_COUNT):
        started = time.perf_counter()
        operation()
        durations_s.append(time.perf_counter() - started)
    return min(durations_s) * process.MS_PER_SECOND


def measure_memory_kb(build: Callable[[], Any]) -> float:
    """Return the memory that a newly built structure holds, in KB."""
    tracemalloc.start()
    structure = build()
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del structure
    return held_bytes / BYTES_PER_KB


def member_record(number: int, demand_count: int) -> MemberRecord:
    """Return the record that a daemon publishes about itself.

    :param demand_count: teams with a demand in one pool
    """
    demands = tuple(
        PoolDemand("engines", f"team-{n:03d}", 1.5) for n in range(demand_count)
    )
    name = f"entry-{number:03d}"
    return MemberRecord(
        name=name,
        failure_domain="domain-01",
        address="10.0.0.1:8082",
        operators_address="10.0.0.1:8081",
        version=START_WALL_MS,
        config_revision=9,
        demands=demands,
    )


def membership_view(member_count: int) -> MembershipView:
    """Return a daemon's view of a membership, with heartbeats of different ages."""
    view = MembershipView(member_record(0, 0), 0, START_WALL_MS)
    for number in range(1, member_count):
        age_ms = number * HEARTBEAT_AGE_STEP_MS
        version_ms = number * RECORD_AGE_STEP_MS
        record = attrs.evolve(
            member_record(number, 0), version=START_WALL_MS - version_ms
        )
        view.merge_record(record, START_WALL_MS - age_ms, 0)
    return view


def digest_size_bytes(member_count: int) -> int:
    """Return the size of a digest without records, in bytes."""
    digest = pb.Digest(
        sender="entry-001",
        config_revision=9,
        listing_ms=START_WALL_MS,
        listing_checksum=1,
    )
    convert.write_summary(digest, membership_view(member_count).summary())
    return digest.ByteSize()


def settings_text(team_count: int) -> str:
    """Return a JSON settings document of 10 pipelines and the given number of teams."""
    stages = [{"name": f"s{n}", "pool": f"p{n}"} for n in range(4)]
    document = {
        "fleet": {"pools": {f"p{n}": {"kind": "stage"} for n in range(6)}},
        "pipelines": {f"pipeline-{n}": {"stages": stages} for n in range(10)},
        "teams": {
            f"team-{n:03d}": {"share": 1, "tokens": [f"sha256$0011${n:064d}"]}
            for n in range(team_count)
        },
    }
    return json.dumps(document)


def upstream_state(number: int, prefix_count: int) -> UpstreamState:
    """Return the state that a daemon holds of an upstream."""
    state = UpstreamState(
        f"engine-{number:05d}",
        f"http://10.1.0.{number}:80",
        "engines",
        "domain-01",
        8,
        0,
    )
    for prefix in range(prefix_count):
        record_prefix(state, f"{number:016x}{prefix:016x}")
    return state


def order_record(number: int) -> Record:
    """Return the record of an order that ran, with a stored answer of 64 characters."""
    attempt = ids.new_id(START_WALL_MS)
    answer = Answer(200, "x" * 64)
    return Record(
        f"{number:032x}", START_WALL_MS, attempt, f"{number:032x}", State.RAN, answer
    )


def _exchange_summary(view: MembershipView, summary: Summary) -> None:
    view.merge_summary(summary, 1)
    view.records_newer_than(summary)


def _rebuild_ms(builder: SettingsBuilder, old: Snapshot, new: Snapshot) -> float:
    """Return the time to rebuild the settings after a change of one branch, in ms."""
    builder.build(old)
    started = time.perf_counter()
    builder.build(new).unwrap()
    return (time.perf_counter() - started) * process.MS_PER_SECOND


def measure_slopes() -> Report:
    """Measure the cost of one more member, demand, upstream, team and order."""
    demands = [
        Demand(f"entry-{daemon}", f"team-{team}", 0.3)
        for daemon in range(MEMBER_COUNT)
        for team in range(TEAM_COUNT)
    ]
    shares = {f"team-{t}": 1 for t in range(TEAM_COUNT)}
    document = settings_text(TEAM_COUNT)
    settings = load_settings(document).unwrap()
    snapshot = Snapshot(Manifest(1, "x"), branch_values(settings))
    head = Head(0, (), tuple(order_record(n) for n in range(RECORD_COUNT)))
    head_text = to_json(head)
    bytes_per_member = (digest_size_bytes(MEMBER_COUNT) - digest_size_bytes(1)) / (
        MEMBER_COUNT - 1
    )
    to_wire = convert.member_to_wire
    bytes_per_demand = (
        to_wire(member_record(1, 100)).ByteSize()
        - to_wire(member_record(1, 0)).ByteSize()
    ) / 100
    view = membership_view(MEMBER_COUNT)
    summary = view.summary()
    exchange_ms = min_duration_ms(lambda: _exchange_summary(view, summary))
    bare_upstream_kb = (
        measure_memory_kb(lambda: [upstream_state(n, 0) for n in range(UPSTREAM_COUNT)])
        / UPSTREAM_COUNT
    )
    full_upstream_kb = (
        measure_memory_kb(lambda: [upstream_state(n, 64) for n in range(20)]) / 20
    )
    order_kb = (
        measure_memory_kb(lambda: [order_record(n) for n in range(RECORD_COUNT)])
        / RECORD_COUNT
    )
    settings_kb = measure_memory_kb(lambda: load_settings(document).unwrap())
    scale = f"{MEMBER_COUNT} daemons x {TEAM_COUNT} teams"
    stored_kb = sum(map(len, snapshot.values.values())) / BYTES_PER_KB
    builder = SettingsBuilder()
    build_ms = min_duration_ms(lambda: SettingsBuilder().build(snapshot))
    builder.build(snapshot)
    changed_values = dict(snapshot.values)
    changed_values["teams/team-000"] = changed_values["teams/team-000"].replace(
        ":1,", ":2,"
    )
    changed_snapshot = Snapshot(Manifest(2, "y"), changed_values)
    rebuild_ms = min(
        _rebuild_ms(builder, snapshot, changed_snapshot) for _ in range(REPEAT_COUNT)
    )
    uncontended_ms = min_duration_ms(
        lambda: compute_caps(5_000, demands, shares, "entry-0")
    )
    contended_ms = min_duration_ms(
        lambda: compute_caps(500, demands, shares, "entry-0")
    )
    encode_ms = min_duration_ms(lambda: to_json(head))
    decode_ms = min_duration_ms(lambda: from_json(head_text, Head))
    rows = (
        ("digest, each member", f"{bytes_per_member:.1f} bytes"),
        ("record, each demand of a team", f"{bytes_per_demand:.1f} bytes"),
        ("record without demands", f"{to_wire(member_record(1, 0)).ByteSize()} bytes"),
        (f"taking over a digest of {MEMBER_COUNT} members", f"{exchange_ms:.3f} ms"),
        (f"caps of one pool, {scale}, room for all", f"{uncontended_ms:.1f} ms"),
        (f"caps of one pool, {scale}, all want too much", f"{contended_ms:.1f} ms"),
        (f"settings of {TEAM_COUNT} teams, stored", f"{stored_kb:.0f} KB"),
        (f"settings of {TEAM_COUNT} teams, memory", f"{settings_kb:.0f} KB"),
        (f"settings of {TEAM_COUNT} teams, check and build", f"{build_ms:.0f} ms"),
        (f"settings of {TEAM_COUNT} teams, one branch changed", f"{rebuild_ms:.1f} ms"),
        ("upstream without prefixes, memory", f"{bare_upstream_kb:.2f} KB"),
        ("upstream with 64 prefixes, memory", f"{full_upstream_kb:.1f} KB"),
        ("order in a log, stored", f"{len(head_text) / RECORD_COUNT:.0f} bytes"),
        ("order in a log, memory", f"{order_kb:.2f} KB"),
        (f"a head of {RECORD_COUNT} orders, written as JSON", f"{encode_ms:.1f} ms"),
        (f"a head of {RECORD_COUNT} orders, read", f"{decode_ms:.1f} ms"),
    )
    return Report(
        "slopes",
        "What one more of something costs a daemon",
        ("what", "cost"),
        rows,
        notes="One process; times are the least of five runs.  CAPACITY.md uses them.",
    )
