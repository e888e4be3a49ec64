"""Validation that the schema cannot express, such as references between branches."""

from collections.abc import Iterator
from itertools import chain

from . import const
from .models import Pipeline, PoolKind, Service, Settings

Violation = tuple[tuple[str, ...], str]


def check_references(settings: Settings) -> Iterator[Violation]:
    """Yield every problem of a settings tree.

    :returns: pairs of a path in the tree and what was expected there
    """
    yield from chain(
        _check_teams(settings),
        _check_fleet(settings),
        chain.from_iterable(
            _check_pipeline(settings, name, pipeline)
            for name, pipeline in settings.pipelines.items()
        ),
        chain.from_iterable(
            _check_service(settings, name, service)
            for name, service in settings.services.items()
        ),
    )


def _check_teams(settings: Settings) -> Iterator[Violation]:
    for name, team in settings.teams.items():
        if team.share < 1:
            yield ("teams", name, "share"), "expected a share of at least 1"


def _check_fleet(settings: Settings) -> Iterator[Violation]:
    shards = settings.fleet.orders.shards
    if not 1 <= shards <= const.MAX_ORDER_SHARDS:
        expected = f"expected from 1 to {const.MAX_ORDER_SHARDS} shards"
        yield ("fleet", "orders", "shards"), expected
    for name, pool in settings.fleet.pools.items():
        if pool.slots < 1:
            yield ("fleet", "pools", name, "slots"), "expected at least 1 slot"
        if pool.adapters and pool.kind is not PoolKind.ENGINE:
            yield ("fleet", "pools", name, "adapters"), "expected a pool of kind engine"


def _check_deadline(branch: str, name: str, deadline_ms: int) -> Iterator[Violation]:
    if not 1 <= deadline_ms <= const.MAX_DEADLINE_MS:
        expected = f"expected from 1ms to {const.MAX_DEADLINE_MS}ms"
        yield (branch, name, "deadline"), expected


def _check_pipeline(
    settings: Settings, name: str, pipeline: Pipeline
) -> Iterator[Violation]:
    yield from _check_deadline("pipelines", name, pipeline.deadline)
    if not pipeline.stages:
        yield ("pipelines", name, "stages"), "expected at least one stage"
    for index, stage in enumerate(pipeline.stages):
        path = ("pipelines", name, "stages", str(index))
        pool = settings.fleet.pools.get(stage.pool)
        is_last = index == len(pipeline.stages) - 1
        if pool is None:
            yield (*path, "pool"), "expected a pool of the fleet"
        elif pool.kind is PoolKind.SERVICE:
            yield (*path, "pool"), "expected a pool of kind engine or stage"
        elif pool.kind is PoolKind.ENGINE and not is_last:
            yield (*path, "pool"), "expected an engine pool only in the last stage"


def _check_service(
    settings: Settings, name: str, service: Service
) -> Iterator[Violation]:
    yield from _check_deadline("services", name, service.deadline)
    pool = settings.fleet.pools.get(service.pool)
    if pool is None:
        yield ("services", name, "pool"), "expected a pool of the fleet"
    elif pool.kind is not PoolKind.SERVICE:
        yield ("services", name, "pool"), "expected a pool of kind service"
