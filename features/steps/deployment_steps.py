"""Steps on the settings of a deployment and their versions."""

from typing import Any

from behave import given, then

from cowsliphitch.core.deployment.models import (
    CallerLimits,
    Deployment,
    Route,
    RouteKind,
    StageSpec,
    Target,
    index_routes,
)
from cowsliphitch.core.deployment.versions import ActiveDeployment, VersionGuard


def deployment(version: int, routes: list[Route]) -> Deployment:
    return Deployment(version, index_routes(routes), {}, CallerLimits(), {}, False)


def route(name: str, host: str = "h", prefix: str = "/", **fields: Any) -> Route:
    defaults: dict[str, Any] = {
        "kind": RouteKind.IDEMPOTENT,
        "timeout_ms": 1_000,
        "objective_ms": 500,
        "priority": 0,
        "targets": (Target("service", 1),),
        "max_attempts": 2,
    }
    return Route(name=name, host=host, prefix=prefix, **(defaults | fields))


@given('a daemon that receives versions "{versions}"')
def receive_versions(context: Any, versions: str) -> None:
    guard = VersionGuard()
    context.activated = []
    for version in map(int, versions.split(", ")):
        candidate = ActiveDeployment(deployment(version, []), b"", "peer", 0)
        if guard.activate_if_newer(candidate):
            context.activated.append(guard.version)
        assert guard.version == max(context.activated)


@then('the active versions were "{versions}"')
def active_versions(context: Any, versions: str) -> None:
    assert context.activated == list(map(int, versions.split(", "))), context.activated


@given('routes "{first}", "{second}" and "{third}"')
def routes(context: Any, first: str, second: str, third: str) -> None:
    found = []
    for name in (first, second, third):
        host, _, path = name.partition("/")
        found.append(route(name, host, f"/{path}"))
    context.deployment = deployment(1, found)


@then('"{target}" matches route "{name}"')
def matches_route(context: Any, target: str, name: str) -> None:
    host, _, path = target.partition("/")
    found = context.deployment.route_for(host, f"/{path}")
    assert found is not None and found.name == name, found


@then('"{target}" matches no route')
def matches_no_route(context: Any, target: str) -> None:
    host, _, path = target.partition("/")
    assert context.deployment.route_for(host, f"/{path}") is None


@given('routes with the stages "{first}", "{second}" and "{third}"')
def routes_with_stages(context: Any, first: str, second: str, third: str) -> None:
    context.routes = [
        route(
            f"r{n}",
            prefix=f"/{n}/",
            stages=tuple(StageSpec(s, (), 1) for s in names.split()),
        )
        for n, names in enumerate((first, second, third))
    ]
    context.deployment = deployment(1, context.routes)


@then("the first two routes share a pool group and the third does not")
def share_pool_group(context: Any) -> None:
    groups = [context.deployment.stage_group(r) for r in context.routes]
    assert groups[0] == groups[1] != groups[2], groups
