"""Scalar types of the settings, and the functions that parse them.

Each ``parse_`` function raises ``ValueError`` if the value is invalid.  The message
names the expected format and is reported to the operator.
"""

import math
import re
import reprlib
from typing import Final, TypeGuard

from . import const

_DURATION_PATTERN: Final = re.compile(r"(\d+(?:\.\d+)?)(ms|s|m|h)")
_DURATION_MS: Final = {"ms": 1, "s": 1_000, "m": 60_000, "h": 3_600_000}
_SIZE_PATTERN: Final = re.compile(r"(\d+)(B|KB|MB)")
_SIZE_BYTES: Final = {"B": 1, "KB": 1_024, "MB": 1_048_576}
_NAME_PATTERN: Final = re.compile(r"[a-z0-9](?:[a-z0-9-]*[a-z0-9])?")


class Duration(int):
    """A duration in ms, written as ``250ms``, ``7.5s``, ``5m`` or ``1h``."""


class Size(int):
    """A size in bytes, written as ``512B``, ``64KB`` or ``1MB``."""


class Ratio(float):
    """A number from 0 to 1."""


class Amount(float):
    """A finite number, 0 or larger."""


class PositiveAmount(float):
    """A finite number above 0."""


class Name(str):
    """A name of lower-case letters, digits and hyphens."""

    __slots__ = ()


def parse_duration(value: object, _: object = None) -> Duration:
    """Parse a duration with its unit; a part of a millisecond is rounded."""
    if isinstance(value, Duration):
        return value
    match = _DURATION_PATTERN.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise _unexpected("a duration such as 250ms, 7.5s, 5m or 1h", value)
    return Duration(round(float(match[1]) * _DURATION_MS[match[2]]))


def parse_size(value: object, _: object = None) -> Size:
    """Parse a size with its unit."""
    match = _SIZE_PATTERN.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise _unexpected("a size such as 512B, 64KB or 1MB", value)
    return Size(int(match[1]) * _SIZE_BYTES[match[2]])


def parse_ratio(value: object, _: object = None) -> Ratio:
    """Parse a number from 0 to 1."""
    if not _is_number(value) or not 0 <= value <= 1:
        raise _unexpected("a number from 0 to 1", value)
    return Ratio(value)


def parse_amount(value: object, _: object = None) -> Amount:
    """Parse a finite number, 0 or larger."""
    if not _is_number(value) or not 0 <= value < math.inf:
        raise _unexpected("a finite number from 0", value)
    return Amount(value)


def parse_positive_amount(value: object, _: object = None) -> PositiveAmount:
    """Parse a finite number above 0."""
    if not _is_number(value) or not 0 < value < math.inf:
        raise _unexpected("a finite number above 0", value)
    return PositiveAmount(value)


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
        raise _unexpected("a whole number", value)
    return int(value)


def parse_bool(value: object, _: object = None) -> bool:
    """Parse a boolean, without conversion from strings or numbers."""
    if not isinstance(value, bool):
        raise _unexpected("true or false", value)
    return value


def parse_str(value: object, _: object = None) -> str:
    """Parse a string, without conversion from other scalars."""
    if not isinstance(value, str):
        raise _unexpected("a text", value)
    return value


def _is_number(value: object) -> TypeGuard[int | float]:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _unexpected(expected: str, value: object) -> ValueError:
    """Return the error for a value, which is quoted up to a limit."""
    quoted = reprlib.repr(value)
    return ValueError(f"expected {expected}, not {quoted}")
