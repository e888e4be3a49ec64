"""Steps on the command that checks settings documents."""

import json
import tempfile
from pathlib import Path
from typing import Any

from behave import given, then, when
from cleo.testers.command_tester import CommandTester
from deployment_check_steps import KEYS

from cowsliphitch.operators.cli.deployment import DeploymentCheckCommand
from cowsliphitch.standins.processes import free_port
from cowsliphitch.standins.site import document

IN_FORCE = document(7, KEYS)
CONTENT_BY_STATE = {"older": IN_FORCE, "not JSON": "{", "not decoded": "{}"}


@when("{count:d} routes of an unknown service are added")
def add_routes(context: Any, count: int) -> None:
    route = context.doc["routes"][0] | {"service": "unknown"}
    context.doc["routes"] += [
        route | {"name": f"added {number}", "prefix": f"/added/{number}/"}
        for number in range(count)
    ]


@given("a version in force that is {state}")
def create_version_in_force(context: Any, state: str) -> None:
    directory = Path(tempfile.mkdtemp())
    context.file = directory / "new.json"
    context.options = f"--in-force {directory / 'old.json'}"
    if state == "unreachable":
        context.options = f"--store 127.0.0.1:{free_port()}"
    elif state in CONTENT_BY_STATE:
        (directory / "old.json").write_text(CONTENT_BY_STATE[state])


@when("an operator checks it against the version in force")
def run_check(context: Any) -> None:
    context.file.write_text(json.dumps(context.doc))
    tester = CommandTester(DeploymentCheckCommand())
    context.status = tester.execute(f"{context.options} {context.file}")
    context.output = tester.io.fetch_output() + tester.io.fetch_error()


@then('the check ends with status {status:d} and prints "{words}"')
def check_printed(context: Any, status: int, words: str) -> None:
    assert context.status == status, (context.status, context.output)
    assert words in context.output, context.output


@then("it prints no API key")
def check_no_key(context: Any) -> None:
    assert not any(key in context.output for key in KEYS), context.output
