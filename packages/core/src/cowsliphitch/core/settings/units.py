"""Scalar types of the settings, and the functions that parse them.

Each ``parse_`` function raises ``ValueError`` with what was expected; the message is
reported to the operator.
"""

import re
from typing import Final

from . import const

_DURATION_PATTERN: Final = re.compile(r"(\d+)(ms|s|m|h)")
_DURATION_MS: Final = {"ms": 1, "s": 1_000, "m": 60_000, "h": 3_600_000}
_SIZE_PATTERN: Final = re.compile(r"(\d+)(B|KB|MB)")
_SIZE_BYTES: Final = {"B": 1, "KB": 1_024, "MB": 1_048_576}
_NAME_PATTERN: Final = re.compile(r"[a-z0-9](?:[a-z0-9-]*[a-z0-9])?")


class Duration(int):
    """A duration in ms, written as ``250ms``, ``10s``, ``5m`` or ``1h``."""


class Size(int):
    """A size in bytes, written as ``512B``, ``64KB`` or ``1MB``."""


class Ratio(float):
    """A number from 0 to 1."""


class Name(str):
    """A name of lower-case letters, digits and hyphens."""

    __slots__ = ()


def parse_duration(value: object, _: object = None) -> Duration:
    """Parse a duration with its unit."""
    if isinstance(value, Duration):
        return value
    match = _DURATION_PATTERN.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise ValueError("expected a duration such as 250ms, 10s, 5m or 1h")
    return Duration(int(match[1]) * _DURATION_MS[match[2]])


def parse_size(value: object, _: object = None) -> Size:
    """Parse a size with its unit."""
    match = _SIZE_PATTERN.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise ValueError("expected a size such as 512B, 64KB or 1MB")
    return Size(int(match[1]) * _SIZE_BYTES[match[2]])


def parse_ratio(value: object, _: object = None) -> Ratio:
    """Parse a number from 0 to 1."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError("expected a number from 0 to 1")
    if not 0 <= value <= 1:
        raise ValueError("expected a number from 0 to 1")
    return Ratio(value)


def parse_name(value: object, _: object = None) -> Name:
    """Parse a name, such as that of a pool or a team."""
    if not isinstance(value, str) or _NAME_PATTERN.fullmatch(value) is None:
        raise ValueError("expected a name of lower-case letters, digits and hyphens")
    if len(value) > const.MAX_NAME_CHARS:
        raise ValueError(f"expected at most {const.MAX_NAME_CHARS} characters")
    return Name(value)


def parse_int(value: object, _: object = None) -> int:
    """Parse an integer, without conversion from strings or booleans."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError("expected a whole number")
    return int(value)


def parse_bool(value: object, _: object = None) -> bool:
    """Parse a boolean, without conversion from strings or numbers."""
    if not isinstance(value, bool):
        raise ValueError("expected true or false")
    return value


def parse_str(value: object, _: object = None) -> str:
    """Parse a string, without conversion from other scalars."""
    if not isinstance(value, str):
        raise ValueError("expected a text")
    return value
