"""Check of a settings document before the operator writes it.

Fault: a document that can be decoded takes effect at all daemons at once, also where it
contradicts itself: a route that never matches, a key that two teams hold, a stage
without a pool, a version that daemons ignore.  The check finds these beforehand and
changes nothing.
"""

import enum
from collections.abc import Iterable, Iterator
from typing import Any, Final

import attrs

from ..overload.buffers import budget_bytes
from .models import Deployment, Route, RouteKind, StageSpec

# Findings that are reported; a fault of each of 1,200 routes must not hide the others.
MAX_FINDINGS: Final = 100
MAX_TEXT_LENGTH: Final = 80

# Leading characters of an API key that may be printed.
_KEY_CHARACTERS: Final = 4


class Severity(enum.Enum):
    """Whether a finding prevents correct service."""

    ERROR = "error"
    WARNING = "warning"


@attrs.frozen
class Finding:
    """A problem of a settings document.

    :param path: place in the document, by section and number, such as
        ``routes[3].objective``
    :param detail: a sentence with the value and its limit
    """

    path: str
    severity: Severity
    detail: str


@attrs.frozen
class DocumentRows:
    """What a document lists, in its order, including what a deployment merges.

    :param routes: each with its host as written
    :param teams: name and API keys of each
    :param services: names
    """

    routes: tuple[tuple[str, Route], ...]
    teams: tuple[tuple[str, tuple[Any, ...]], ...]
    services: tuple[str, ...]


@attrs.frozen
class CheckLimits:
    """What a document is checked against besides itself.

    :param memory_mb: memory of the smallest VM that runs a daemon
    :param version: version in force, ``None`` if it is not known
    :param required_key: the version in force requires keys, ``None`` if it is not known
    """

    memory_mb: float
    version: int | None = None
    required_key: bool | None = None


def mask_key(key: object) -> str:
    """Return an API key in a form that may be printed.

    At most four characters are shown, and at most half of a short key.
    """
    text = str(key)
    return f"{text[: min(_KEY_CHARACTERS, len(text) // 2)]}…"


def check_deployment(
    deployment: Deployment, rows: DocumentRows, limits: CheckLimits
) -> tuple[Finding, ...]:
    """Return the problems of a document, errors first and each in document order."""
    found = [
        *_check_version(deployment, limits),
        *_check_routes(deployment, rows),
        *_check_services(deployment, rows),
        *_check_access(deployment, limits),
        *_check_teams(rows),
        *_check_body_limit(deployment, limits),
    ]
    return tuple(sorted(found, key=lambda f: f.severity is not Severity.ERROR))


def _error(path: str, detail: str) -> Finding:
    return Finding(path, Severity.ERROR, detail)


def _warning(path: str, detail: str) -> Finding:
    return Finding(path, Severity.WARNING, detail)


def _quoted(value: object) -> str:
    """Return a value of the document with bounded length and without control codes."""
    text = str(value)
    shown = text if len(text) <= MAX_TEXT_LENGTH else f"{text[:MAX_TEXT_LENGTH]}…"
    return ascii(shown) if not shown.isprintable() else f"'{shown}'"


def _check_version(deployment: Deployment, limits: CheckLimits) -> Iterator[Finding]:
    if limits.version is not None and deployment.version <= limits.version:
        yield _error(
            "version",
            f"{deployment.version} is not above {limits.version}, the version in "
            "force; daemons ignore the document",
        )


def _check_routes(deployment: Deployment, rows: DocumentRows) -> Iterator[Finding]:
    first_by_match: dict[tuple[str, str], int] = {}
    host_by_lower: dict[str, str] = {}
    for number, (host, route) in enumerate(rows.routes):
        path = f"routes[{number}]"
        first = first_by_match.setdefault((route.host, route.prefix), number)
        if first != number:
            yield _error(
                f"{path}.prefix",
                f"route {_quoted(route.name)} never matches: routes[{first}] has the "
                f"same host and prefix {_quoted(route.prefix)}",
            )
        elif route.prefix and not route.prefix.startswith("/"):
            yield _error(
                f"{path}.prefix",
                f"route {_quoted(route.name)} never matches: its prefix "
                f"{_quoted(route.prefix)} does not begin with /",
            )
        other = host_by_lower.setdefault(route.host, host)
        if other != host:
            yield _warning(
                f"{path}.host",
                f"{_quoted(host)} and {_quoted(other)} differ only in case and are "
                "the same host",
            )
        yield from _check_times(path, route)
        for index, target in enumerate(route.targets):
            if not _is_service(deployment, target.service):
                yield _error(
                    f"{path}.targets[{index}].service",
                    f"there is no service {_quoted(target.service)}",
                )
        for index, stage in enumerate(route.stages):
            yield from _check_stage(f"{path}.stages[{index}]", deployment, stage, index)


def _check_times(path: str, route: Route) -> Iterator[Finding]:
    if route.timeout_ms <= 0:
        yield _error(f"{path}.timeout", f"{route.timeout_ms} ms is not above 0")
    elif route.objective_ms > route.timeout_ms:
        yield _error(
            f"{path}.objective",
            f"{route.objective_ms} ms is above the timeout, {route.timeout_ms} ms",
        )
    elif (
        # Without an objective of its own, a route has its timeout as objective.
        route.kind is RouteKind.STREAM
        and route.objective_ms < route.timeout_ms < route.first_event_timeout_ms
    ):
        yield _warning(
            f"{path}.objective",
            f"callers wait {route.first_event_timeout_ms} ms for the first event, "
            f"longer than the timeout, {route.timeout_ms} ms",
        )


def _check_stage(
    path: str, deployment: Deployment, stage: StageSpec, index: int
) -> Iterator[Finding]:
    for source in stage.after:
        if not 0 <= source < index:
            yield _error(
                f"{path}.after", f"stage {source} is not one of the {index} before it"
            )
    if not _is_service(deployment, stage.service):
        yield _error(f"{path}.service", f"there is no service {_quoted(stage.service)}")
        return
    pool = deployment.services[stage.service].stage_pool
    if pool is None:
        yield _error(
            f"{path}.service", f"service {_quoted(stage.service)} has no stage pool"
        )
    elif stage.result_bytes > pool.result_memory_bytes:
        yield _error(
            f"{path}.result",
            f"{stage.result_bytes} bytes are above the result memory of a server of "
            f"{_quoted(stage.service)}, {pool.result_memory_bytes} bytes",
        )


def _is_service(deployment: Deployment, name: object) -> bool:
    return isinstance(name, str) and name in deployment.services


def _check_services(deployment: Deployment, rows: DocumentRows) -> Iterator[Finding]:
    routes = [route for _, route in rows.routes]
    used = {str(target.service) for route in routes for target in route.targets}
    used |= {str(stage.service) for route in routes for stage in route.stages}
    for number, first in _repeated(rows.services):
        yield _error(
            f"services[{number}].name",
            f"{_quoted(rows.services[number])} replaces services[{first}] of the same "
            "name",
        )
    for number, name in enumerate(rows.services):
        service = deployment.services[name]
        if name not in used:
            yield _warning(
                f"services[{number}]",
                f"no route and no stage uses service {_quoted(name)}",
            )
        if service.cold_start_ms > 0 and service.cold_per_s <= 0:
            yield _warning(
                f"services[{number}].cold_start",
                f"{service.cold_start_ms} ms has no effect without a rate for cold "
                "servers",
            )


def _check_access(deployment: Deployment, limits: CheckLimits) -> Iterator[Finding]:
    """Yield what a document without keys means for the routes that are not public."""
    count = sum(not route.public for route in deployment.all_routes())
    affected = f"all requests on {count} routes that are not public"
    if count == 0 or deployment.team_by_key:
        return
    if deployment.requires_key:
        yield _warning("teams", f"no team has a key: {affected} are refused with 401")
    elif limits.required_key:
        # A route can be opened on purpose by making it public.
        yield _error(
            "teams",
            f"the section is absent, and the version in force has it: {affected} would "
            "be served without a key; an empty list refuses them",
        )
    else:
        yield _warning(
            "teams", f"the section is absent: {affected} are served without a key"
        )


def _check_teams(rows: DocumentRows) -> Iterator[Finding]:
    names = [name for name, _ in rows.teams]
    for number, first in _repeated(names):
        yield _warning(
            f"teams[{number}].name",
            f"{_quoted(names[number])} is the name of teams[{first}] too",
        )
    holder_by_key: dict[Any, int] = {}
    for number, (name, keys) in enumerate(rows.teams):
        if not keys:
            yield _warning(f"teams[{number}].keys", f"team {_quoted(name)} has no key")
        for index, key in enumerate(keys):
            if not _is_header_value(key):
                yield _error(
                    f"teams[{number}].keys[{index}]",
                    f"requests with the key {_quoted(mask_key(key))} may be refused: a "
                    "key must be printable ASCII, not empty, and without spaces around "
                    "it",
                )
            holder = holder_by_key.setdefault(key, number)
            if holder != number:
                yield _error(
                    f"teams[{number}].keys[{index}]",
                    f"team {_quoted(names[holder])} (teams[{holder}]) holds the key "
                    f"{_quoted(mask_key(key))} too",
                )


def _is_header_value(key: object) -> bool:
    """Return whether any client can send a key unchanged in a header."""
    text = str(key)
    return text.isascii() and text.isprintable() and text == text.strip() != ""


def _check_body_limit(deployment: Deployment, limits: CheckLimits) -> Iterator[Finding]:
    budget = budget_bytes(limits.memory_mb)
    if deployment.limits.body_bytes > budget:
        yield _error(
            "limits.body",
            f"{deployment.limits.body_bytes} bytes are above the {budget} bytes that a "
            f"daemon with {limits.memory_mb:g} MB can buffer",
        )


def _repeated(names: Iterable[object]) -> Iterator[tuple[int, int]]:
    """Yield the number of each repeated name and that of its first occurrence."""
    first_by_name: dict[object, int] = {}
    for number, name in enumerate(names):
        first = first_by_name.setdefault(str(name), number)
        if first != number:
            yield number, first
