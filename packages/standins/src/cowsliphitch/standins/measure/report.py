"""Store the results of a measurement, and render the page that shows all of them."""

import json
from pathlib import Path
from typing import Any

import attrs

from cowsliphitch.core.codec import from_json, to_json

REPOSITORY_ROOT = Path(__file__).parents[6]
REPORTS_DIR = REPOSITORY_ROOT / "docs" / "measurements"
PAGE_PATH = REPOSITORY_ROOT / "docs" / "MEASUREMENTS.md"

INTRODUCTION = """\
# Measurements

Each part is made by `script/measure PART` from fixed seeds on one machine of 8 cores
and 24 GiB, with daemons, stand-ins and callers as processes of that machine.  The page
is written by the same command from `docs/measurements/`; figures are as the run gave
them.  What was tried and reverted stands in `docs/design/tried.md`.
"""


@attrs.frozen
class Report:
    """The results of one measurement.

    :param name: argument of ``script/measure``, and the name of the stored file
    :param headers: names of the columns, with units
    :param target: the target in words, empty if there is none
    :param met: whether the target was met in this run, None without a target
    :param notes: conditions of the measurement, and what the results leave out
    """

    name: str
    title: str
    headers: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]
    target: str = ""
    met: bool | None = None
    notes: str = ""


def write_report(report: Report) -> None:
    """Store a report, and render the page again from all stored reports."""
    REPORTS_DIR.mkdir(parents=True, exist_ok=True)
    document: Any = json.loads(to_json(report))
    path = REPORTS_DIR / f"{report.name}.json"
    path.write_text(json.dumps(document, indent=1) + "\n")
    reports = [
        from_json(report_path.read_text(), Report).unwrap()
        for report_path in sorted(REPORTS_DIR.glob("*.json"))
    ]
    PAGE_PATH.write_text("\n".join([INTRODUCTION, *map(render_report, reports)]))


def render_report(report: Report) -> str:
    """Return a report as a Markdown section of the page."""
    lines = [f"## {report.title}", "", f"`script/measure {report.name}`", ""]
    lines += [
        _format_row(report.headers),
        _format_row(tuple("---" for _ in report.headers)),
    ]
    lines += [_format_row(row) for row in report.rows]
    if report.target:
        result = {True: "met", False: "missed", None: "not judged"}[report.met]
        lines += ["", f"Target: {report.target}: **{result}**."]
    if report.notes:
        lines += ["", report.notes]
    return "\n".join([*lines, ""])


def _format_row(cells: tuple[str, ...]) -> str:
    return f"| {' | '.join(cells)} |"
