"""Difference between two settings documents, by the names of their rows.

Fault: a comparison by position shows every route after an inserted one as changed, and
a comparison of texts prints API keys.
"""

import json
from collections import Counter
from collections.abc import Iterator
from typing import Any, Final

import attrs

from .check import mask_key

# Differences that are reported, and the length of each value in them.
MAX_DIFFERENCES: Final = 200
MAX_VALUE_LENGTH: Final = 120

# Field that identifies a row of a list.
_NAME: Final = "name"
# Shorter numbers are not masked, and shorter keys only in their own place, since they
# may be part of ordinary words.
_MIN_KEY_LENGTH: Final = 8
_ABSENT: Final = object()


@attrs.frozen
class Difference:
    """One difference between two documents.

    :param old: previous value as JSON, ``None`` if it was absent
    :param new: new value as JSON, ``None`` if it is absent
    """

    path: str
    old: str | None
    new: str | None


def find_differences(
    old: dict[str, Any], new: dict[str, Any], secret_section: str
) -> tuple[Difference, ...]:
    """Return the differences between two decoded documents.

    :param secret_section: section whose values are API keys, which are masked
    :raises ValueError: the documents are nested too deeply to be compared
    """
    found: list[Difference] = []
    try:
        for key in sorted(old.keys() | new.keys()):
            sides = old.get(key, _ABSENT), new.get(key, _ABSENT)
            found += _compare(_shortened(key), *sides, key == secret_section)
    except RecursionError as exc:
        raise ValueError("the documents are nested too deeply") from exc
    return tuple(found)


def find_keys(*documents: Any) -> frozenset[str]:
    """Return the texts that decoded documents have in lists, which are API keys.

    A key that was also pasted elsewhere, as into a name, is masked with their help.
    """
    found: set[str] = set()
    pending: list[Any] = list(documents)
    while pending:
        match pending.pop():
            case dict() as fields:
                pending += fields.values()
            case list() as items:
                found.update(item for item in items if isinstance(item, str))
                pending += items
    return frozenset(key for key in found if len(key) >= _MIN_KEY_LENGTH)


def _compare(path: str, old: Any, new: Any, is_secret: bool) -> Iterator[Difference]:
    match old, new:
        case (dict(), dict()) if not is_secret or (_is_row(old) and _is_row(new)):
            for key in sorted(old.keys() | new.keys()):
                sides = old.get(key, _ABSENT), new.get(key, _ABSENT)
                yield from _compare(f"{path}.{_shortened(key)}", *sides, is_secret)
        case (list(), list()):
            yield from _compare_lists(path, old, new, is_secret)
        case _ if old is _ABSENT or new is _ABSENT or not _is_equal(old, new):
            yield Difference(path, _shown(old, is_secret), _shown(new, is_secret))


def _compare_lists(
    path: str, old: list[Any], new: list[Any], is_secret: bool
) -> Iterator[Difference]:
    if _has_names(old) and _has_names(new):
        olds = {row[_NAME]: row for row in old}
        news = {row[_NAME]: row for row in new}
        for name in (*olds, *(name for name in news if name not in olds)):
            sides = olds.get(name, _ABSENT), news.get(name, _ABSENT)
            yield from _compare(f"{path}[{_shortened(name)}]", *sides, is_secret)
    elif all(isinstance(value, str) for value in (*old, *new)):
        for value in (Counter(old) - Counter(new)).elements():
            yield Difference(path, _shown([value], is_secret), None)
        for value in (Counter(new) - Counter(old)).elements():
            yield Difference(path, None, _shown([value], is_secret))
    elif not _is_equal(old, new):
        for number in range(max(len(old), len(new))):
            old_row = old[number] if number < len(old) else _ABSENT
            new_row = new[number] if number < len(new) else _ABSENT
            yield from _compare(f"{path}[{number}]", old_row, new_row, is_secret)


def _is_row(value: Any) -> bool:
    return isinstance(value, dict) and isinstance(value.get(_NAME), str)


def _has_names(rows: list[Any]) -> bool:
    """Return whether the rows can be identified by their names."""
    names = [row[_NAME] for row in rows if _is_row(row)]
    return len(set(names)) == len(rows)


def _is_equal(old: Any, new: Any) -> bool:
    """Return whether two values are the same JSON; in Python, 1 and True are equal."""
    return json.dumps(old, sort_keys=True) == json.dumps(new, sort_keys=True)


def _shortened(name: str) -> str:
    """Return a name with bounded length and without control codes."""
    shown = f"{name[:MAX_VALUE_LENGTH]}…" if len(name) > MAX_VALUE_LENGTH else name
    return shown if shown.isprintable() else ascii(shown)


def _shown(value: Any, is_secret: bool) -> str | None:
    if value is _ABSENT:
        return None
    shown = _masked(value) if is_secret else _with_masked_lists(value)
    return _shortened(json.dumps(shown, ensure_ascii=False, sort_keys=True))


def _with_masked_lists(value: Any) -> Any:
    """Return a value with masked texts in its lists.

    Only API keys are listed as texts.  The section that holds them may be misspelt.
    """
    match value:
        case dict():
            return {key: _with_masked_lists(field) for key, field in value.items()}
        case list():
            return [
                mask_key(item) if isinstance(item, str) else _with_masked_lists(item)
                for item in value
            ]
    return value


def _masked(value: Any) -> Any:
    """Return a value without API keys; the names of teams remain."""
    match value:
        case dict() if _is_row(value):
            masked = {key: _masked(field) for key, field in value.items()}
            return masked | {_NAME: value[_NAME]}
        case dict():
            return {mask_key(key): _masked(field) for key, field in value.items()}
        case list():
            return [_masked(item) for item in value]
        case str():
            return mask_key(value)
        case int() | float() if len(str(value)) >= _MIN_KEY_LENGTH:
            return mask_key(value)
    return value
