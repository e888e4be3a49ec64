"""Steps on the configuration in force, without a network."""

from typing import Any, cast

import anyio
from behave import given, then, when
from result import Ok, Result

from cowsliphitch.core.clock import Clock
from cowsliphitch.core.config.models import Manifest, Snapshot, branch_values
from cowsliphitch.core.settings.models import EMPTY_SETTINGS
from cowsliphitch.platform.store.client import KeyValueClient
from cowsliphitch.state.config.coordinator import ConfigCoordinator
from cowsliphitch.state.config.models import Root


def snapshot(revision: int, **values: str) -> Snapshot:
    manifest = Manifest(revision, f"change-{revision}")
    return Snapshot(manifest, branch_values(EMPTY_SETTINGS) | values)


class CountingStore:
    """Counts the reads of values."""

    def __init__(self) -> None:
        self.reads = 0

    async def read_snapshot(
        self, manifest: Manifest, _known: Snapshot | None
    ) -> Result[Snapshot, None]:
        self.reads += 1
        return Ok(snapshot(manifest.revision))


@given("a daemon with configuration {revision:d} in force")
def in_force(context: Any, revision: int) -> None:
    client = cast(KeyValueClient, None)
    context.coordinator = ConfigCoordinator(client, Clock(), lambda: True)
    assert context.coordinator.offer(snapshot(revision))
    context.told = []
    context.coordinator.add_listener(context.told.append)


@when("it is offered configuration {revision:d}")
def offered(context: Any, revision: int) -> None:
    context.accepted = context.coordinator.offer(snapshot(revision))


@when("it is offered configuration {revision:d} with a team that breaks the schema")
def offered_invalid(context: Any, revision: int) -> None:
    broken = snapshot(revision, **{"teams/red": '{"weight": "heavy"}'})
    context.accepted = context.coordinator.offer(broken)


@when("the store's root names configuration {revision:d}")
def root_names(context: Any, revision: int) -> None:
    context.store = CountingStore()
    context.coordinator._store = context.store
    root = Root(Manifest(revision, "change"), 1)
    anyio.run(context.coordinator._apply_root, root)


@then("configuration {revision:d} is in force and was told once")
def told_once(context: Any, revision: int) -> None:
    assert context.accepted
    assert context.coordinator.revision == revision
    assert len(context.told) == 1


@then("configuration {revision:d} is in force and nothing was told")
def told_nothing(context: Any, revision: int) -> None:
    assert not context.accepted
    assert context.coordinator.revision == revision
    assert not context.told


@then("one configuration was refused as older")
def refused_older(context: Any) -> None:
    assert context.coordinator.diagnostics.refused_older == 1


@then("it wants a peer's configuration {newer:d} and neither {same:d} nor {older:d}")
def wants(context: Any, newer: int, same: int, older: int) -> None:
    wanted = [
        n for n in (older, same, newer) if context.coordinator.is_newer_revision(n)
    ]
    assert wanted == [newer], wanted


@then("configuration {revision:d} is in force and no value was read")
def no_read(context: Any, revision: int) -> None:
    assert context.coordinator.revision == revision
    assert context.store.reads == 0
