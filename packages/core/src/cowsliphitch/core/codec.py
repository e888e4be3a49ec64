"""JSON for the attrs classes that leave the process, by cattrs."""

import json
from typing import Any, TypeVar

import cattrs
from result import Err, Ok, Result

T = TypeVar("T")

_CONVERTER = cattrs.Converter(omit_if_default=True, forbid_extra_keys=False)


def to_json(value: object) -> str:
    """Return the compact JSON text of an attrs value."""
    return json.dumps(_CONVERTER.unstructure(value), separators=(",", ":"))


def to_builtins(value: object) -> Any:
    """Return an attrs value as plain data for a JSON response."""
    return _CONVERTER.unstructure(value)


def from_json(text: str | bytes, kind: type[T]) -> Result[T, str]:
    """Read an attrs value from JSON text.

    :returns: the value, or one sentence on what is wrong
    """
    try:
        return Ok(_CONVERTER.structure(json.loads(text), kind))
    except RecursionError:
        return Err("the JSON is nested too deeply")
    except (ValueError, TypeError, KeyError, AttributeError, ExceptionGroup) as exc:
        return Err(f"not a valid {kind.__name__}: {type(exc).__name__}")
