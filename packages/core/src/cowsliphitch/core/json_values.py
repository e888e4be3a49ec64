"""Bounded decoding of JSON and of its values.

Fault: another writer, a faulty server or a caller sends values that are valid JSON and
nothing else: nested without end, numbers beyond any range, text that can't be a header.
Everything here raises :class:`ValueError` for what it does not accept.
"""

import json
import math
import re
from typing import Any, Final

# Largest whole number that all readers of JSON and protobuf represent exactly.
MAX_WHOLE_NUMBER: Final = 2**53

MAX_TEXT_LENGTH: Final = 200
MAX_PORT: Final = 65_535
_ADDRESS: Final = re.compile(r"([A-Za-z0-9._-]+):([0-9]{1,5})")


def decode_json(content: str | bytes) -> Any:
    """Decode JSON.

    :raises ValueError: it is not valid, or nested too deeply
    """
    try:
        return json.loads(content)
    except RecursionError as exc:
        raise ValueError("the JSON is nested too deeply") from exc


def decode_object(content: str | bytes) -> dict[str, Any]:
    """Decode a JSON object.

    :raises ValueError: it is not a valid object, or nested too deeply
    """
    return mapping(decode_json(content))


def mapping(value: object) -> dict[str, Any]:
    """Return a JSON object, of any content.

    :raises ValueError: the value is not an object
    """
    if not isinstance(value, dict):
        raise ValueError(f"expected an object, not {type(value).__name__}")
    return value


def array(value: object) -> list[Any]:
    """Return a JSON array, of any content.

    :raises ValueError: the value is not an array
    """
    if not isinstance(value, list):
        raise ValueError(f"expected a list, not {type(value).__name__}")
    return value


def boolean(value: object) -> bool:
    """Return a truth value; a text or a number is none.

    :raises ValueError: the value is not a truth value
    """
    if not isinstance(value, bool):
        raise ValueError(f"expected true or false, not {type(value).__name__}")
    return value


def integral_part(value: object) -> int:
    """Return the integral part of a number from 0.

    :raises ValueError: the value is not such a number
    """
    return int(number(value))


def whole_number(value: object, maximum: int = MAX_WHOLE_NUMBER) -> int:
    """Return a whole number from 0 to a maximum; 2.0 is one, 2.5 is not.

    :raises ValueError: the value is not such a number
    """
    checked = number(value, maximum)
    if checked != int(checked):
        raise ValueError(f"{checked} is not a whole number")
    return int(checked)


def number(value: object, maximum: float = MAX_WHOLE_NUMBER) -> float:
    """Return a finite number from 0 to a maximum.

    :raises ValueError: the value is not such a number
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"expected a number, not {type(value).__name__}")
    if not 0 <= value <= maximum or math.isnan(value):
        raise ValueError(f"expected a number from 0 to {maximum}")
    return value


def string(value: object) -> str:
    """Return a text of any length and content.

    :raises ValueError: the value is not a text
    """
    if not isinstance(value, str):
        raise ValueError(f"expected a text, not {type(value).__name__}")
    return value


def text(value: object) -> str:
    """Return a printable, non-empty text of bounded length.

    :raises ValueError: the value is not such a text
    """
    if not isinstance(value, str) or not 0 < len(value) <= MAX_TEXT_LENGTH:
        raise ValueError(f"expected a text of 1 to {MAX_TEXT_LENGTH} characters")
    if not value.isprintable():
        raise ValueError("expected a text of printable characters")
    return value


def token(value: object) -> str:
    """Return a text that can be part of a header: ASCII without spaces and commas.

    :raises ValueError: the value is not such a text
    """
    checked = text(value)
    if not checked.isascii() or " " in checked or "," in checked:
        raise ValueError("expected ASCII characters without spaces and commas")
    return checked


def address(value: object) -> str:
    """Return an address of the form host:port.

    :raises ValueError: the value is not such an address
    """
    match = _ADDRESS.fullmatch(text(value))
    if match is None or not 0 < int(match[2]) <= MAX_PORT:
        raise ValueError("expected an address of the form host:port")
    return match[0]
