"""Encoding of suspect prompt parts and requests, for the store."""

import json
from collections.abc import Iterable
from typing import Any

import attrs
from result import Err, Ok, Result

from cowsliphitch.core.quarantine.prompt_parts import PartReport


@attrs.frozen
class Suspects:
    """What a daemon knows of prompt parts and requests that crash servers.

    :param requests: by digest instead of a part
    """

    parts: tuple[PartReport, ...]
    requests: tuple[PartReport, ...]


def encode(suspects: Suspects) -> str:
    """Encode suspects in JSON."""
    rows = {
        "parts": [_encode_report(report) for report in suspects.parts],
        "requests": [_encode_report(report) for report in suspects.requests],
    }
    return json.dumps(rows, separators=(",", ":"))


def _encode_report(report: PartReport) -> list[Any]:
    return [
        report.part,
        sorted(report.crashes),
        sorted(report.cleared),
        report.crash_count,
        sorted(report.company),
        report.quarantine_left_ms,
    ]


def decode(value: str) -> Result[Suspects, str]:
    """Decode suspects.

    :returns: the suspects, or why the value is not valid
    """
    try:
        rows = json.loads(value)
        return Ok(Suspects(_reports(rows["parts"]), _reports(rows["requests"])))
    except (ValueError, KeyError, TypeError, RecursionError) as exc:
        return Err(f"{type(exc).__name__}: {exc}")


def _reports(rows: Iterable[Any]) -> tuple[PartReport, ...]:
    return tuple(
        PartReport(
            str(part),
            frozenset(int(crash) for crash in crashes),
            frozenset(int(crash) for crash in cleared),
            int(crash_count),
            frozenset(str(other) for other in company),
            int(quarantine_left_ms),
        )
        for part, crashes, cleared, crash_count, company, quarantine_left_ms in rows
    )
