"""Count the scenarios of a test run, and report known and new failures separately.

Usage: ``script/summary.py REPORT KNOWN_FAILURES``, with behave's JSON report.
"""

import itertools
import json
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final

KNOWN_PREFIX: Final = "test: "
MAX_ERROR_LINES: Final = 12

# Statuses of features whose scenarios were executed or deselected.
FEATURE_STATUSES: Final = frozenset({"passed", "failed", "error", "skipped"})


def scenarios(report: list[dict[str, Any]]) -> Iterator[tuple[str, str]]:
    """Yield location, name and status of each scenario in a report.

    A scenario without a status counts as failed.  A feature whose fleet did not start
    has no scenarios in the report, and is yielded itself.
    """
    for feature in report:
        feature_path = feature["location"].rpartition(":")[0]
        if feature["status"] not in FEATURE_STATUSES:
            yield f"{feature_path}: {feature['name'].strip()}", feature["status"]
        for element in feature.get("elements", []):
            if element["type"] == "scenario":
                yield (
                    f"{feature_path}: {element['name'].strip()}",
                    element.get("status", "failed"),
                )


def failed_steps(report: list[dict[str, Any]]) -> Iterator[tuple[str, str, list[str]]]:
    """Yield the scenario, the step and the last lines of the error of failed steps."""
    for feature in report:
        feature_path = feature["location"].rpartition(":")[0]
        for element in feature.get("elements", []):
            for step in element.get("steps", []):
                error = step.get("result", {}).get("error_message")
                if not error:
                    continue
                lines = error.splitlines() if isinstance(error, str) else error
                yield (
                    f"{feature_path}: {element['name'].strip()}",
                    f"{step['keyword']} {step['name']}",
                    lines[-MAX_ERROR_LINES:],
                )


def known_failures(text: str) -> set[str]:
    """Return the scenarios that the text of KNOWN-RED.txt lists."""
    lines = (line.strip() for line in text.splitlines())
    return {
        line.removeprefix(KNOWN_PREFIX)
        for line in lines
        if line.startswith(KNOWN_PREFIX)
    }


def main() -> int:
    """Print the failures and the counts.

    :returns: exit status, 0 if a scenario passed and all failures are known
    """
    report_path, known_path = map(Path, sys.argv[1:3])
    if not report_path.exists():
        print("the tests wrote no report")
        return 1
    try:
        report = json.loads(report_path.read_text())
        results = list(scenarios(report))
    except ValueError:
        print("the tests' report is not whole")
        return 1
    known = known_failures(known_path.read_text())
    executed = [item for item in results if item[1] != "skipped"]
    failed = {name for name, status in executed if status != "passed"}
    for name, step, lines in failed_steps(report):
        print("\n  ".join((f"in {name}: {step}", *lines)))
    for name in sorted(failed - known):
        print(f"FAILED {name}")
    for name in sorted(failed & known):
        print(f"KNOWN RED {name}")
    passed = list(itertools.filterfalse(lambda item: item[0] in failed, executed))
    new_failures = failed - known
    print(f"{len(passed)} passed, {len(new_failures)} failed")
    return 0 if passed and not new_failures else 1


if __name__ == "__main__":
    sys.exit(main())
