"""Steps on the settings tree."""

from typing import Any

from behave import given, then, when
from result import Err, Ok

from cowsliphitch.core.config.build import build_settings
from cowsliphitch.core.config.models import (
    Manifest,
    Snapshot,
    branch_values,
)
from cowsliphitch.core.settings.const import MAX_DOCUMENT_BYTES
from cowsliphitch.core.settings.schema import load_settings

DOCUMENT = """\
fleet:
  orders:
    shards: 16
  pools:
    enc: {kind: stage}
    gen: {kind: engine, slots: 4}
    desk: {kind: service}
pipelines:
  diagnosis: {deadline: 10s,
    stages: [
      {name: encode, pool: enc},
      {name: generate, pool: gen, max_tokens: 32}]}
services:
  order: {pool: desk, repeat: once, deadline: 5s}
teams:
  depot: {share: 2, tokens: ["sha256$a$b"]}
"""

SPECIAL = {
    "<40 nested lists>": "a: " + "[" * 40 + "]" * 40,
    "<too long>": "#" * (MAX_DOCUMENT_BYTES + 1),
}


@given("a valid settings document")
def valid_document(context: Any) -> None:
    context.document = DOCUMENT


@when("the document is checked")
def check(context: Any) -> None:
    context.checked = load_settings(context.document)


@when('"{old}" is replaced by "{new}" and the document is checked')
def replace_and_check(context: Any, old: str, new: str) -> None:
    assert old in context.document
    context.checked = load_settings(context.document.replace(old, new, 1))


@when('the document is "{text}"')
def check_text(context: Any, text: str) -> None:
    context.checked = load_settings(SPECIAL.get(text, text.replace("\\n", "\n")))


@when('the document is ""')
def check_empty(context: Any) -> None:
    context.checked = load_settings("")


@then("it is valid")
def is_valid(context: Any) -> None:
    assert isinstance(context.checked, Ok), context.checked


@then("splitting it into branches and joining them gives the same settings")
def round_trip(context: Any) -> None:
    settings = context.checked.ok_value
    snapshot = Snapshot(Manifest(), branch_values(settings))
    assert build_settings(snapshot) == Ok(settings)


@then('a problem at "{path}" on line {line:d} says "{expected}"')
def problem_at(context: Any, path: str, line: int, expected: str) -> None:
    assert isinstance(context.checked, Err), "the document was accepted"
    found = [(p.path, p.line, p.expected) for p in context.checked.err_value]
    assert any(p == path and n == line and expected in text for p, n, text in found), (
        found
    )


@then('it is refused with "{expected}"')
def refused_with(context: Any, expected: str) -> None:
    assert isinstance(context.checked, Err), "the document was accepted"
    found = [p.expected for p in context.checked.err_value]
    assert any(expected in text for text in found), found
