"""JSON encoding and decoding of attrs classes, with cattrs.

Attribute names and enum values of an encoded class are part of the stored and wire
formats.  Fields at their default are omitted and unknown keys ignored, so processes of
different versions can read each other's data.
"""

import json
from typing import Any, TypeVar

import cattrs
from result import Err, Ok, Result

T = TypeVar("T")

_CONVERTER = cattrs.Converter(omit_if_default=True, forbid_extra_keys=False)


def to_json(value: object) -> str:
    """Encode an attrs value as compact JSON."""
    return json.dumps(_CONVERTER.unstructure(value), separators=(",", ":"))


def to_builtins(value: object) -> Any:
    """Convert an attrs value to dicts, lists and scalars, for a JSON response."""
    return _CONVERTER.unstructure(value)


def from_json(text: str | bytes, target_type: type[T]) -> Result[T, str]:
    """Decode an attrs value from JSON.

    :returns: the value, or one sentence that describes the problem
    """
    try:
        return Ok(_CONVERTER.structure(json.loads(text), target_type))
    except RecursionError:
        return Err("the JSON is nested too deeply")
    except (ValueError, TypeError, KeyError, AttributeError, ExceptionGroup) as exc:
        return Err(f"not a valid {target_type.__name__}: {type(exc).__name__}")
