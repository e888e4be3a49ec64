"""Slopes for CAPACITY.md: what one more of something costs a daemon."""

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

WALL_MS = 1_790_000_000_000
BYTES_PER_KB = 1_024
REPEATS = 5
MEMBERS = 27
TEAMS = 340
UPSTREAMS = 733
RECORDS = 400
HEARTBEAT_SPREAD_MS = 90
RECORD_SPREAD_MS = 200_000


def best_ms(call: Callable[[], Any]) -> float:
    """Return the least time of several calls, in ms."""
    times: list[float] = []
    for _ in range(REPEATS):
        started = time.perf_counter()
        call()
        times.append(time.perf_counter() - started)
    return min(times) * process.MS_PER_SECOND


def memory_kb(build: Callable[[], Any]) -> float:
    """Return the memory that a structure holds, in KB."""
    tracemalloc.start()
    kept = build()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return held / BYTES_PER_KB


def member(number: int, demands: int) -> MemberRecord:
    """Return a daemon as it describes itself."""
    wants = tuple(PoolDemand("engines", f"team-{n:03d}", 1.5) for n in range(demands))
    name = f"entry-{number:03d}"
    return MemberRecord(
        name=name,
        failure_domain="domain-01",
        address="10.0.0.1:8082",
        operators_address="10.0.0.1:8081",
        version=WALL_MS,
        config_revision=9,
        demands=wants,
    )


def view_of(members: int) -> MembershipView:
    """Return the view of a group of daemons."""
    view = MembershipView(member(0, 0), 0, WALL_MS)
    for number in range(1, members):
        age_ms = number * HEARTBEAT_SPREAD_MS
        version_ms = number * RECORD_SPREAD_MS
        record = attrs.evolve(member(number, 0), version=WALL_MS - version_ms)
        view.merge_record(record, WALL_MS - age_ms, 0)
    return view


def digest_bytes(members: int) -> int:
    """Return the size of a digest without records."""
    digest = pb.Digest(
        sender="entry-001", config_revision=9, listing_ms=WALL_MS, listing_checksum=1
    )
    convert.write_summary(digest, view_of(members).summary())
    return digest.ByteSize()


def settings_text(teams: int) -> str:
    """Return a settings tree of 10 pipelines and some teams."""
    stages = [{"name": f"s{n}", "pool": f"p{n}"} for n in range(4)]
    tree = {
        "fleet": {"pools": {f"p{n}": {"kind": "stage"} for n in range(6)}},
        "pipelines": {f"pipeline-{n}": {"stages": stages} for n in range(10)},
        "teams": {
            f"team-{n:03d}": {"share": 1, "tokens": [f"sha256$0011${n:064d}"]}
            for n in range(teams)
        },
    }
    return json.dumps(tree)


def upstream(number: int, prefixes: int) -> UpstreamState:
    """Return what a daemon keeps of an upstream."""
    state = UpstreamState(
        f"engine-{number:05d}",
        f"http://10.1.0.{number}:80",
        "engines",
        "domain-01",
        8,
        0,
    )
    for prefix in range(prefixes):
        record_prefix(state, f"{number:016x}{prefix:016x}")
    return state


def order(number: int) -> Record:
    """Return an order that ran, with a short answer kept."""
    attempt = ids.new_id(WALL_MS)
    answer = Answer(200, "x" * 64)
    return Record(
        f"{number:032x}", WALL_MS, attempt, f"{number:032x}", State.RAN, answer
    )


def _take_over(view: MembershipView, summary: Summary) -> None:
    view.merge_summary(summary, 1)
    view.records_newer_than(summary)


def _change_ms(builder: SettingsBuilder, old: Snapshot, new: Snapshot) -> float:
    """Return the time to take a change of one branch."""
    builder.build(old)
    started = time.perf_counter()
    builder.build(new).unwrap()
    return (time.perf_counter() - started) * process.MS_PER_SECOND


def measure_slopes() -> Report:
    """Measure one more member, demand, upstream, team and order."""
    demands = [
        Demand(f"entry-{daemon}", f"team-{team}", 0.3)
        for daemon in range(MEMBERS)
        for team in range(TEAMS)
    ]
    shares = {f"team-{t}": 1 for t in range(TEAMS)}
    text = settings_text(TEAMS)
    settings = load_settings(text).unwrap()
    snapshot = Snapshot(Manifest(1, "x"), branch_values(settings))
    head = Head(0, (), tuple(order(n) for n in range(RECORDS)))
    head_text = to_json(head)
    per_member = (digest_bytes(MEMBERS) - digest_bytes(1)) / (MEMBERS - 1)
    wire = convert.member_to_wire
    per_demand = (wire(member(1, 100)).ByteSize() - wire(member(1, 0)).ByteSize()) / 100
    view = view_of(MEMBERS)
    summary = view.summary()
    merge = best_ms(lambda: _take_over(view, summary))
    bare = memory_kb(lambda: [upstream(n, 0) for n in range(UPSTREAMS)]) / UPSTREAMS
    full = memory_kb(lambda: [upstream(n, 64) for n in range(20)]) / 20
    order_kb = memory_kb(lambda: [order(n) for n in range(RECORDS)]) / RECORDS
    tree_kb = memory_kb(lambda: load_settings(text).unwrap())
    many = f"{MEMBERS} daemons x {TEAMS} teams"
    stored_kb = sum(map(len, snapshot.values.values())) / BYTES_PER_KB
    builder = SettingsBuilder()
    build = best_ms(lambda: SettingsBuilder().build(snapshot))
    builder.build(snapshot)
    changed = dict(snapshot.values)
    changed["teams/team-000"] = changed["teams/team-000"].replace(":1,", ":2,")
    again = Snapshot(Manifest(2, "y"), changed)
    change = min(_change_ms(builder, snapshot, again) for _ in range(REPEATS))
    roomy = best_ms(lambda: compute_caps(5_000, demands, shares, "entry-0"))
    tight = best_ms(lambda: compute_caps(500, demands, shares, "entry-0"))
    writing = best_ms(lambda: to_json(head))
    reading = best_ms(lambda: from_json(head_text, Head))
    rows = (
        ("digest, each member", f"{per_member:.1f} bytes"),
        ("record, each demand of a team", f"{per_demand:.1f} bytes"),
        ("record without demands", f"{wire(member(1, 0)).ByteSize()} bytes"),
        (f"taking over a digest of {MEMBERS} members", f"{merge:.3f} ms"),
        (f"caps of one pool, {many}, room for all", f"{roomy:.1f} ms"),
        (f"caps of one pool, {many}, all want too much", f"{tight:.1f} ms"),
        (f"settings of {TEAMS} teams, stored", f"{stored_kb:.0f} KB"),
        (f"settings of {TEAMS} teams, memory", f"{tree_kb:.0f} KB"),
        (f"settings of {TEAMS} teams, check and build", f"{build:.0f} ms"),
        (f"settings of {TEAMS} teams, one branch changed", f"{change:.1f} ms"),
        ("upstream without prefixes, memory", f"{bare:.2f} KB"),
        ("upstream with 64 prefixes, memory", f"{full:.1f} KB"),
        ("order in a log, stored", f"{len(head_text) / RECORDS:.0f} bytes"),
        ("order in a log, memory", f"{order_kb:.2f} KB"),
        (f"a head of {RECORDS} orders, written as JSON", f"{writing:.1f} ms"),
        (f"a head of {RECORDS} orders, read", f"{reading:.1f} ms"),
    )
    return Report(
        "slopes",
        "What one more of something costs a daemon",
        ("what", "cost"),
        rows,
        notes="One process; times are the least of five runs.  CAPACITY.md uses them.",
    )
