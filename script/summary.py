"""Count a run's scenarios, pass over the known failures, and print both."""

import itertools
import json
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final

KNOWN_PREFIX: Final = "test: "


def scenarios(report: list[dict[str, Any]]) -> Iterator[tuple[str, str]]:
    """Yield the name and the status of each scenario that was run."""
    for feature in report:
        place = feature["location"].rpartition(":")[0]
        for element in feature.get("elements", []):
            if element["type"] == "scenario":
                yield f"{place}: {element['name']}", element.get("status", "failed")


def known_failures(text: str) -> set[str]:
    """Return the scenarios that KNOWN-RED.txt lists."""
    lines = (line.strip() for line in text.splitlines())
    return {
        line.removeprefix(KNOWN_PREFIX)
        for line in lines
        if line.startswith(KNOWN_PREFIX)
    }


def main() -> int:
    """Print failures and the closing line; 0 only if nothing unknown failed."""
    report_path, known_path = map(Path, sys.argv[1:3])
    if not report_path.exists():
        print("the tests wrote no report")
        return 1
    try:
        found = list(scenarios(json.loads(report_path.read_text())))
    except ValueError:
        print("the tests' report is not whole")
        return 1
    known = known_failures(known_path.read_text())
    ran = [item for item in found if item[1] not in ("skipped", "untested")]
    failed = {name for name, status in ran if status != "passed"}
    for name in sorted(failed - known):
        print(f"FAILED {name}")
    for name in sorted(failed & known):
        print(f"KNOWN RED {name}")
    passed = list(itertools.filterfalse(lambda item: item[0] in failed, ran))
    unknown = failed - known
    print(f"{len(passed)} passed, {len(unknown)} failed")
    return 0 if passed and not unknown else 1


if __name__ == "__main__":
    sys.exit(main())
