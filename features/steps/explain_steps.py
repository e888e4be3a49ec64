"""Steps on logs and on the operator commands that read logs and settings."""

import json
import logging
import os
import tempfile
from pathlib import Path
from typing import Any

from behave import given, then, when
from cleo.testers.command_tester import CommandTester

from cowsliphitch.core.clock import ManualClock
from cowsliphitch.operators.cli.deployment import DeploymentCheckCommand
from cowsliphitch.operators.cli.platform import ExplainCommand
from cowsliphitch.telemetry.logs import BoundedHandler, event

LOG_LINES = {
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
def write_logs(context: Any) -> None:
    context.log_directory = Path(tempfile.mkdtemp())
    for name, rows in LOG_LINES.items():
        text = "".join(f" 1.5 vm-1 {json.dumps(row)}\n" for row in rows)
        (context.log_directory / name).write_text(text + "not a line of ours {\n")


@when('an operator explains request "{request}"')
def explain_request(context: Any, request: str) -> None:
    context.tester = CommandTester(ExplainCommand())
    files = " ".join(str(context.log_directory / name) for name in LOG_LINES)
    context.exit_code = context.tester.execute(f"{request} {files}")


@then('the lines on "{request}" are printed sorted by time')
def check_sorted_by_time(context: Any, request: str) -> None:
    lines = context.tester.io.fetch_output().splitlines()
    context.lines = lines
    assert [line.split()[0] for line in lines] == ["T1", "T2", "T3"], lines


@then('no line on "{request}" is printed')
def check_not_printed(context: Any, request: str) -> None:
    assert len(context.lines) == 3, context.lines


@then('an error reports that no line names "{request}"')
def check_unknown_request(context: Any, request: str) -> None:
    assert context.exit_code != 0
    assert request in context.tester.io.fetch_error()


@given("a settings document whose second route has no kind")
def write_invalid_document(context: Any) -> None:
    route = {
        "name": "first",
        "hostname": "h",
        "prefix": "/",
        "kind": "idempotent",
        "timeout_ms": 100,
        "service": "s",
    }
    incomplete = {k: v for k, v in route.items() if k != "kind"} | {"name": "second"}
    document = {"version": 3, "routes": [route, incomplete], "services": []}
    context.document = Path(tempfile.mkdtemp()) / "config.json"
    context.document.write_text(json.dumps(document))


@when("an operator checks the document")
def check_document(context: Any) -> None:
    context.tester = CommandTester(DeploymentCheckCommand())
    context.exit_code = context.tester.execute(str(context.document))


@then('an error reports that "{place}" lacks "{field}"')
def check_missing_field(context: Any, place: str, field: str) -> None:
    assert context.exit_code != 0
    error = context.tester.io.fetch_error()
    assert place in error and field in error, error


@given("a log whose reader has stalled")
def create_stalled_log(context: Any) -> None:
    context.pipe = os.pipe()
    os.set_blocking(context.pipe[1], False)
    context.handler = BoundedHandler(ManualClock(), context.pipe[1])
    context.handler.setFormatter(logging.Formatter("%(message)s %(text)s"))


@when("{count:d} lines are written to it within a second")
def write_short_lines(context: Any, count: int) -> None:
    write_lines(context, count, 100)


@when("{count:d} lines of {size:d} bytes are written to it within a second")
def write_lines(context: Any, count: int, size: int) -> None:
    logger = logging.Logger("stalled")
    logger.addHandler(context.handler)
    for number in range(count):
        event(logger, "line", number=number, text="x" * size)
        context.handler.write_pending()


@then("no write blocked and at least {count:d} lines were counted as dropped")
def check_dropped(context: Any, count: int) -> None:
    assert context.handler.dropped >= count, context.handler.dropped
    for descriptor in context.pipe:
        os.close(descriptor)
