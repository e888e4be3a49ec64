"""Steps for the configuration of one daemon, without a network."""

from typing import Any, cast

import anyio
from behave import given, then, when
from result import Ok, Result

from cowsliphitch.core.clock import Clock
from cowsliphitch.core.codec import to_json
from cowsliphitch.core.config.models import (
    Change,
    Manifest,
    Snapshot,
    branch_values,
    plan_change,
)
from cowsliphitch.core.kv.models import Entry, KeyRead, KeyUnchanged
from cowsliphitch.core.revisions import NO_REVISION, Revision
from cowsliphitch.core.settings.models import EMPTY_SETTINGS
from cowsliphitch.platform.store.client import KeyValueClient
from cowsliphitch.state.config.coordinator import ConfigCoordinator
from cowsliphitch.state.config.models import Root


def make_snapshot(revision: int, **values: str) -> Snapshot:
    manifest = Manifest(revision, f"change-{revision}")
    return Snapshot(manifest, branch_values(EMPTY_SETTINGS) | values)


class CountingStore:
    """Replacement for the configuration store that counts the reads of values."""

    def __init__(self) -> None:
        self.reads = 0

    async def read_snapshot(
        self, manifest: Manifest, _cached: Snapshot | None
    ) -> Result[Snapshot, None]:
        self.reads += 1
        return Ok(make_snapshot(manifest.revision))


class WatchedRoot:
    """Replacement for the store's client: a root that does not change."""

    def __init__(self, revision: int) -> None:
        self.value = to_json(Manifest(revision, "change", era=1))
        self.reads = 0

    async def watch_key(
        self, key: str, after: Revision
    ) -> Result[KeyRead | KeyUnchanged, None]:
        await anyio.sleep(0.001)
        at = Revision(1, 9)
        if after != NO_REVISION:
            return Ok(KeyUnchanged(at))
        self.reads += 1
        return Ok(KeyRead(Entry(key, self.value, Revision(1, 5)), at))


@given("a daemon with configuration {revision:d} in force")
def start_with_configuration(context: Any, revision: int) -> None:
    client = cast(KeyValueClient, None)
    context.coordinator = ConfigCoordinator(client, Clock(), lambda: True)
    assert context.coordinator.offer(make_snapshot(revision))
    context.received = []
    context.coordinator.add_listener(context.received.append)


@when("it is offered configuration {revision:d}")
def offer_configuration(context: Any, revision: int) -> None:
    context.is_applied = context.coordinator.offer(make_snapshot(revision))


@when("it is offered configuration {revision:d} with a team that violates the schema")
def offer_invalid_configuration(context: Any, revision: int) -> None:
    invalid = make_snapshot(revision, **{"teams/red": '{"weight": "heavy"}'})
    context.is_applied = context.coordinator.offer(invalid)


@when("the store's root has configuration {revision:d}")
def apply_stored_root(context: Any, revision: int) -> None:
    context.store = CountingStore()
    context.coordinator._store = context.store
    root = Root(Manifest(revision, "change", era=1), Revision(1, 1))
    anyio.run(context.coordinator._apply_root, root, root.key_revision.era)


@when("it watches a root with configuration {revision:d} that does not change")
def watch_unchanged_root(context: Any, revision: int) -> None:
    context.root = WatchedRoot(revision)
    context.coordinator._kv = context.root

    async def watch() -> None:
        with anyio.move_on_after(0.5):
            await context.coordinator.run()

    anyio.run(watch)


@then("it reads the root {frequency:Word}")
def assert_root_reads(context: Any, frequency: str) -> None:
    is_repeated = context.root.reads > 1
    assert is_repeated is (frequency == "again"), context.root.reads


@then("configuration {revision:d} is in force and listeners were called once")
def assert_applied(context: Any, revision: int) -> None:
    assert context.is_applied
    assert context.coordinator.revision == revision
    assert len(context.received) == 1


@then("configuration {revision:d} is in force and no listener was called")
def assert_not_applied(context: Any, revision: int) -> None:
    assert not context.is_applied
    assert context.coordinator.revision == revision
    assert not context.received


@then("one configuration was refused as older")
def assert_refused_older(context: Any) -> None:
    assert context.coordinator.diagnostics.refused_older == 1


@then("a peer's configuration {newer:d} is newer and neither {same:d} nor {older:d} is")
def assert_newer(context: Any, newer: int, same: int, older: int) -> None:
    found = [
        n for n in (older, same, newer) if context.coordinator.is_newer_revision(n)
    ]
    assert found == [newer], found


@then("configuration {revision:d} is in force and no value was read")
def assert_no_reads(context: Any, revision: int) -> None:
    assert context.coordinator.revision == revision
    assert context.store.reads == 0


@given("a root with revision {revision:d}, stored in era {era:d}")
def root_of_era(context: Any, revision: int, era: int) -> None:
    context.manifest = Manifest(revision, "before" if revision else "", era=era)


@when("a change is planned in era {era:d}")
def plan_in_era(context: Any, era: int) -> None:
    entry = Change("change", 0, "", "olga", 0, "", ())
    base = context.manifest.revision
    plan = plan_change(context.manifest, base, EMPTY_SETTINGS, entry, era).ok_value
    context.revision = plan.manifest.revision


@then("its revision is {revision:d}")
def has_revision(context: Any, revision: int) -> None:
    assert context.revision == revision, context.revision
