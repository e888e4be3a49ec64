"""Steps on logs, and on the commands that read them."""

import json
import logging
import os
import tempfile
from pathlib import Path
from typing import Any

from behave import given, then, when
from cleo.testers.command_tester import CommandTester

from cowsliphitch.core.clock import ManualClock
from cowsliphitch.operators.cli.platform import DeploymentCheckCommand, ExplainCommand
from cowsliphitch.telemetry.logs import BoundedHandler, event

LINES = {
    "one.log": [
        {"timestamp": "T3", "event": "request.ended", "request": "a1"},
        {"timestamp": "T1", "event": "attempt.failed", "request": "b2"},
    ],
    "two.log": [
        {"timestamp": "T2", "event": "stage.call_failed", "requests": ["a1", "b2"]},
        {"timestamp": "T1", "event": "attempt.failed", "request": "a1"},
        {"timestamp": "T4", "event": "attempt.failed", "cause": "a1"},
    ],
}


@given('the logs of two daemons with lines on the requests "a1" and "b2"')
def logs(context: Any) -> None:
    context.folder = Path(tempfile.mkdtemp())
    for name, rows in LINES.items():
        text = "".join(f" 1.5 vm-1 {json.dumps(row)}\n" for row in rows)
        (context.folder / name).write_text(text + "not a line of ours {\n")


@when('an operator asks to explain "{request}"')
def explain(context: Any, request: str) -> None:
    context.tester = CommandTester(ExplainCommand())
    files = " ".join(str(context.folder / name) for name in LINES)
    context.exit_code = context.tester.execute(f"{request} {files}")


@then('the lines on "{request}" are printed in the order of their times')
def printed(context: Any, request: str) -> None:
    lines = context.tester.io.fetch_output().splitlines()
    context.lines = lines
    assert [line.split()[0] for line in lines] == ["T1", "T2", "T3"], lines


@then('no line on "{request}" is printed')
def not_printed(context: Any, request: str) -> None:
    assert len(context.lines) == 3, context.lines


@then('the operator is told that no line names "{request}"')
def unknown(context: Any, request: str) -> None:
    assert context.exit_code != 0
    assert request in context.tester.io.fetch_error()


@given("a document of settings whose second route has no kind")
def bad_document(context: Any) -> None:
    route = {
        "name": "first",
        "hostname": "h",
        "prefix": "/",
        "kind": "idempotent",
        "timeout_ms": 100,
        "service": "s",
    }
    second = {k: v for k, v in route.items() if k != "kind"} | {"name": "second"}
    document = {"version": 3, "routes": [route, second], "services": []}
    context.document = Path(tempfile.mkdtemp()) / "config.json"
    context.document.write_text(json.dumps(document))


@when("an operator checks the document")
def check(context: Any) -> None:
    context.tester = CommandTester(DeploymentCheckCommand())
    context.exit_code = context.tester.execute(str(context.document))


@then('the operator is told that "{place}" lacks "{field}"')
def lacks(context: Any, place: str, field: str) -> None:
    assert context.exit_code != 0
    error = context.tester.io.fetch_error()
    assert place in error and field in error, error


@given("a log whose reader takes nothing")
def stalled_log(context: Any) -> None:
    context.pipe = os.pipe()
    os.set_blocking(context.pipe[1], False)
    context.handler = BoundedHandler(ManualClock(), context.pipe[1])


@when("{count:d} lines are written to it within a second")
def write_lines(context: Any, count: int) -> None:
    logger = logging.Logger("stalled")
    logger.addHandler(context.handler)
    for number in range(count):
        event(logger, "line", number=number, text="x" * 100)
        context.handler.write_pending()


@then("no write waited and {count:d} lines or more were counted as dropped")
def dropped(context: Any, count: int) -> None:
    assert context.handler.dropped >= count, context.handler.dropped
    for descriptor in context.pipe:
        os.close(descriptor)
