"""Encoding of suspect prompt parts and requests, for the store."""

import json
from collections.abc import Iterable
from typing import Any, Final

import attrs
from result import Err, Ok, Result

from cowsliphitch.core.json_values import decode_object, text, whole_number
from cowsliphitch.core.quarantine.prompt_parts import PartReport

# Largest values of the fields that heartbeats pass on.
_MAX_CHECKSUM: Final = 2**32 - 1
_MAX_COUNT: Final = 1_000_000


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
        rows = decode_object(value)
        return Ok(Suspects(_reports(rows["parts"]), _reports(rows["requests"])))
    except (ValueError, KeyError, TypeError) as exc:
        return Err(f"{type(exc).__name__}: {exc}")


def _reports(rows: Iterable[Any]) -> tuple[PartReport, ...]:
    return tuple(
        PartReport(
            text(part),
            frozenset(whole_number(crash, _MAX_CHECKSUM) for crash in crashes),
            frozenset(whole_number(crash, _MAX_CHECKSUM) for crash in cleared),
            whole_number(crash_count, _MAX_COUNT),
            frozenset(text(other) for other in company),
            whole_number(quarantine_left_ms, _MAX_COUNT),
        )
        for part, crashes, cleared, crash_count, company, quarantine_left_ms in rows
    )
