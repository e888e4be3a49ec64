"""Figures of one measurement, and the page that shows all of them."""

import json
from pathlib import Path
from typing import Any

import attrs

from cowsliphitch.core.codec import from_json, to_json

ROOT = Path(__file__).parents[6]
FOLDER = ROOT / "docs" / "measurements"
PAGE = ROOT / "docs" / "MEASUREMENTS.md"

INTRODUCTION = """\
# Measurements

Each part is made by `script/measure PART` from fixed seeds on one machine of 8 cores
and 24 GiB, with daemons, stand-ins and callers as processes of that machine.  The page
is written by the same command from `docs/measurements/`; figures are as the run gave
them.  What was tried and reverted stands in `docs/design/tried.md`.
"""


@attrs.frozen
class Report:
    """The figures of one measurement.

    :param headers: names of the columns, with units
    :param target: the stated target, empty if there is none
    :param met: whether the target was met in this run
    :param notes: what limits the figures, and what they leave out
    """

    name: str
    title: str
    headers: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]
    target: str = ""
    met: bool | None = None
    notes: str = ""


def write(report: Report) -> None:
    """Keep the figures, and write the page anew from all that are kept."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    plain: Any = json.loads(to_json(report))
    path = FOLDER / f"{report.name}.json"
    path.write_text(json.dumps(plain, indent=1) + "\n")
    kept = [
        from_json(file.read_text(), Report).unwrap()
        for file in sorted(FOLDER.glob("*.json"))
    ]
    PAGE.write_text("\n".join([INTRODUCTION, *map(render, kept)]))


def render(report: Report) -> str:
    """Return one measurement as a part of the page."""
    lines = [f"## {report.title}", "", f"`script/measure {report.name}`", ""]
    lines += [_row(report.headers), _row(tuple("---" for _ in report.headers))]
    lines += [_row(row) for row in report.rows]
    if report.target:
        verdict = {True: "met", False: "missed", None: "not judged"}[report.met]
        lines += ["", f"Target: {report.target}: **{verdict}**."]
    if report.notes:
        lines += ["", report.notes]
    return "\n".join([*lines, ""])


def _row(cells: tuple[str, ...]) -> str:
    return f"| {' | '.join(cells)} |"
