"""Steps on the check of settings documents."""

import json
from typing import Any

from behave import given, then, when

from cowsliphitch.core.deployment.check import (
    CheckLimits,
    Finding,
    Severity,
    check_deployment,
)
from cowsliphitch.core.deployment.difference import Difference, find_differences
from cowsliphitch.platform.operator_document import (
    SECRET_SECTION,
    decode_document,
    decode_rows,
)
from cowsliphitch.standins.site import document

KEYS = {"first-key": "one", "second-key": "two"}


def findings(doc: dict[str, Any], had_teams: bool | None = None) -> tuple[Finding, ...]:
    deployment = decode_document(json.dumps(doc)).unwrap()
    limits = CheckLimits(160, 7, required_key=had_teams)
    return check_deployment(deployment, decode_rows(doc), limits)


@given("an operator's valid document")
def create_document(context: Any) -> None:
    context.doc = json.loads(document(8, KEYS))


@when('"{path}" is set to {value}')
def set_field(context: Any, path: str, value: str) -> None:
    *parents, field = [int(p) if p.isdigit() else p for p in path.split(".")]
    place = context.doc
    for parent in parents:
        place = place[parent]
    if isinstance(place, list) and field == len(place):
        place.append(None)
    place[field] = json.loads(value)


@when("the teams of the document are {teams}")
def set_teams(context: Any, teams: str) -> None:
    if teams == "absent":
        del context.doc["tenants"]
    else:
        context.doc["tenants"] = json.loads(teams)


@when("all its routes are public")
def open_routes(context: Any) -> None:
    for route in context.doc["routes"]:
        route["public"] = True


@then(
    "its check after a version {before} teams has only the {severity} at "
    '"{path}" with "{words}"'
)
def check_only_finding_after(
    context: Any, before: str, severity: str, path: str, words: str
) -> None:
    found = findings(context.doc, had_teams=before == "with")
    assert [(f.path, f.severity) for f in found] == [(path, Severity(severity))], found
    assert words in found[0].detail, found


@then('it is refused with "{cause}"')
def check_refused(context: Any, cause: str) -> None:
    detail = decode_document(json.dumps(context.doc)).err()
    assert detail is not None and detail.startswith(cause), detail


@then('it is decoded as without "{path}"')
def check_absent(context: Any, path: str) -> None:
    decoded = decode_document(json.dumps(context.doc)).unwrap()
    *parents, field = [int(p) if p.isdigit() else p for p in path.split(".")]
    place = context.doc
    for parent in parents:
        place = place[parent]
    del place[field]
    assert decoded == decode_document(json.dumps(context.doc)).unwrap()


@then("its check has no findings")
def check_no_findings(context: Any) -> None:
    assert findings(context.doc) == ()


@then('its check has only the {severity} at "{path}" with "{words}"')
def check_only_finding(context: Any, severity: str, path: str, words: str) -> None:
    found = findings(context.doc)
    assert [(f.path, f.severity) for f in found] == [(path, Severity(severity))], found
    assert words in found[0].detail, found


@then('its check has the error at "{path}" with "{words}"')
def check_error(context: Any, path: str, words: str) -> None:
    first = findings(context.doc)[0]
    assert first.path == path and first.severity is Severity.ERROR, first
    assert words in first.detail, first


@then('its only difference is "{path}" from {old} to {new}')
def check_difference(context: Any, path: str, old: str, new: str) -> None:
    in_force = json.loads(document(8, KEYS))
    found = find_differences(in_force, context.doc, SECRET_SECTION)
    sides = [None if side == "nothing" else side for side in (old, new)]
    assert found == (Difference(path, *sides),), found
