"""Steps for the summary of a test run."""

import json
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

from behave import given, then, when

SCRIPT = Path(__file__).parents[2] / "script" / "summary.py"


def _feature(name: str, status: str, scenario: str) -> dict[str, Any]:
    """Return a feature as behave reports it, without elements if none was reached."""
    feature: dict[str, Any] = {
        "location": f"features/{name}.feature:1",
        "name": name,
        "status": status,
    }
    if scenario != "none":
        element = {"type": "scenario", "name": f"{name} works", "status": scenario}
        feature["elements"] = [element]
    return feature


@given("a report of a feature that {status:Word} with a scenario that {scenario:Word}")
def write_report(context: Any, status: str, scenario: str) -> None:
    context.report = [
        _feature("first", status, scenario),
        _feature("second", "passed", "passed"),
    ]


@given('a report of a scenario whose step "{step}" failed with "{error}"')
def write_failed_step(context: Any, step: str, error: str) -> None:
    feature = _feature("first", "failed", "failed")
    result = {"status": "failed", "error_message": ["Traceback", error]}
    feature["elements"][0]["steps"] = [
        {"keyword": "Then", "name": "a step before", "result": {"status": "passed"}},
        {"keyword": "Then", "name": step, "result": result},
    ]
    context.report = [feature]


@when("the report is summarized")
def summarize_report(context: Any) -> None:
    with tempfile.TemporaryDirectory() as folder:
        report, known = Path(folder, "report.json"), Path(folder, "known.txt")
        report.write_text(json.dumps(context.report))
        known.write_text("")
        context.done = subprocess.run(
            [sys.executable, str(SCRIPT), str(report), str(known)],
            capture_output=True,
            text=True,
            check=False,
        )


@then('the exit status is {status:d} and the last line is "{line}"')
def check_summary(context: Any, status: int, line: str) -> None:
    assert context.done.returncode == status, context.done
    assert context.done.stdout.splitlines()[-1] == line, context.done.stdout


@then("the summary contains")
def check_lines(context: Any) -> None:
    assert context.text in context.done.stdout, context.done.stdout
