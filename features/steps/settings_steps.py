"""Steps for loading and storing the settings tree."""

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

GENERATED_DOCUMENTS = {
    "<40 nested lists>": "a: " + "[" * 40 + "]" * 40,
    "<too long>": "#" * (MAX_DOCUMENT_BYTES + 1),
}


@given("a valid settings document")
def use_valid_document(context: Any) -> None:
    context.document = DOCUMENT


@when("the document is loaded")
def load(context: Any) -> None:
    context.loaded = load_settings(context.document)


@when('"{old}" is replaced by "{new}" and the document is loaded')
def replace_and_load(context: Any, old: str, new: str) -> None:
    assert old in context.document
    context.loaded = load_settings(context.document.replace(old, new, 1))


@when('the document is "{text}"')
def load_text(context: Any, text: str) -> None:
    context.loaded = load_settings(
        GENERATED_DOCUMENTS.get(text, text.replace("\\n", "\n"))
    )


@when('the document is ""')
def load_empty_document(context: Any) -> None:
    context.loaded = load_settings("")


@then("it is valid")
def assert_valid(context: Any) -> None:
    assert isinstance(context.loaded, Ok), context.loaded


@then("settings built from its stored branches are the same")
def assert_round_trip(context: Any) -> None:
    settings = context.loaded.ok_value
    snapshot = Snapshot(Manifest(), branch_values(settings))
    assert build_settings(snapshot) == Ok(settings)


@then('a problem at "{path}" on line {line:d} says "{expected}"')
def assert_problem_at(context: Any, path: str, line: int, expected: str) -> None:
    assert isinstance(context.loaded, Err), "the document was accepted"
    problems = [(p.path, p.line, p.expected) for p in context.loaded.err_value]
    assert any(
        p == path and n == line and expected in text for p, n, text in problems
    ), problems


@then('it is rejected with "{expected}"')
def assert_rejected_with(context: Any, expected: str) -> None:
    assert isinstance(context.loaded, Err), "the document was accepted"
    problems = [p.expected for p in context.loaded.err_value]
    assert any(expected in text for text in problems), problems
