"""Check a settings document and turn it into the typed tree.

Every problem is reported with its path, its line and what was expected.
"""

import enum
import json
from collections.abc import Callable, Iterator
from typing import Any, TypeVar

import attrs
import cattrs
import yaml
from cattrs.errors import ForbiddenExtraKeysError
from result import Err, Ok, Result

from . import const, units
from .models import Settings
from .references import check_references

T = TypeVar("T")
Path = tuple[str, ...]


@attrs.frozen
class Problem:
    """One thing that is wrong in a settings document.

    :param path: where in the tree, such as ``teams.depot.share``
    :param line: line in the document, counted from 1
    :param expected: what was expected there
    """

    path: str
    line: int
    expected: str

    def __str__(self) -> str:
        """Return the problem as one line for a person."""
        return f"line {self.line}: {self.path or 'document'}: {self.expected}"


class _Loader(yaml.SafeLoader):
    """A YAML loader that refuses aliases, which could expand without bound."""

    def compose_node(self, parent: yaml.Node | None, index: Any) -> yaml.Node | None:
        """Compose one node, unless it is an alias."""
        if self.check_event(yaml.events.AliasEvent):
            raise yaml.MarkedYAMLError(
                problem="aliases are not allowed",
                problem_mark=self.peek_event().start_mark,  # type: ignore[no-untyped-call]
            )
        return super().compose_node(parent, index)


def make_converter() -> cattrs.Converter:
    """Return a converter that refuses unknown keys and wrong units."""
    converter = cattrs.Converter(forbid_extra_keys=True)
    hooks: list[tuple[Any, Callable[[Any, Any], Any]]] = [
        (units.Duration, units.parse_duration),
        (units.Size, units.parse_size),
        (units.Ratio, units.parse_ratio),
        (units.Name, units.parse_name),
        (int, units.parse_int),
        (bool, units.parse_bool),
        (str, units.parse_str),
    ]
    for kind, hook in hooks:
        converter.register_structure_hook(kind, hook)
    converter.register_structure_hook_func(_is_enum, _parse_enum)
    converter.register_unstructure_hook(units.Duration, lambda value: f"{int(value)}ms")
    converter.register_unstructure_hook(units.Size, lambda value: f"{int(value)}B")
    converter.register_unstructure_hook(units.Ratio, float)
    converter.register_unstructure_hook(units.Name, str)
    return converter


def _is_enum(kind: Any) -> bool:
    return isinstance(kind, type) and issubclass(kind, enum.Enum)


def _parse_enum(value: object, kind: type[enum.Enum]) -> enum.Enum:
    members = {member.value: member for member in kind}
    if not isinstance(value, str) or value not in members:
        raise ValueError(f"expected one of {', '.join(members)}")
    return members[value]


_CONVERTER = make_converter()


def load_document(text: str, kind: type[T]) -> Result[T, tuple[Problem, ...]]:
    """Check a YAML document against an attrs class.

    :param text: the document
    :param kind: the class that the document describes
    """
    if len(text.encode()) > const.MAX_DOCUMENT_BYTES:
        limit = const.MAX_DOCUMENT_BYTES
        return Err((Problem("", 1, f"expected at most {limit} bytes"),))
    try:
        node = _compose(text)
    except (yaml.YAMLError, RecursionError) as exc:
        return Err((Problem("", _line_of_error(exc), _yaml_problem(exc)),))
    if node is None:
        return Err((Problem("", 1, "expected a mapping"),))
    duplicates = tuple(_shape_problems(node, ()))
    if duplicates:
        return Err(duplicates)
    try:
        return Ok(_CONVERTER.structure(yaml.load(text, _Loader), kind))
    except Exception as exc:
        found = [
            Problem(".".join(path), _line(node, path), expected)
            for path, expected in _leaves(exc, ())
        ]
        return Err(tuple(found))


def load_branch(path: str, text: str, kind: Any) -> Result[Any, tuple[Problem, ...]]:
    """Check a stored branch, which is JSON.

    :param path: where the branch stands in the tree
    :param kind: the type that the branch describes
    """
    try:
        return Ok(_CONVERTER.structure(json.loads(text), kind))
    except Exception as exc:
        found = [
            Problem(".".join((path, *inner)), 1, expected)
            for inner, expected in _leaves(exc, ())
        ]
        return Err(tuple(found))


def load_settings(text: str) -> Result[Settings, tuple[Problem, ...]]:
    """Check the fleet's settings document, references included."""
    match load_document(text, Settings):
        case Err() as failed:
            return failed
        case Ok(settings):
            node = _compose(text)
            found = tuple(
                Problem(".".join(path), _line(node, path), expected)
                for path, expected in check_references(settings)
            )
            return Err(found) if found else Ok(settings)


def dump_json(value: object) -> str:
    """Return the canonical JSON text (also valid YAML) of an attrs value."""
    plain = _CONVERTER.unstructure(value)
    return json.dumps(plain, sort_keys=True, separators=(",", ":"))


def dump_yaml(value: object) -> str:
    """Return an attrs value as YAML for a person."""
    return yaml.safe_dump(_CONVERTER.unstructure(value), sort_keys=True)


def _compose(text: str) -> yaml.Node | None:
    return yaml.compose(text, _Loader)


def _yaml_problem(exc: Exception) -> str:
    problem = getattr(exc, "problem", None) or "nested too deeply"
    return f"expected valid YAML: {problem}"


def _line_of_error(exc: Exception) -> int:
    mark = getattr(exc, "problem_mark", None)
    return mark.line + 1 if mark is not None else 1


def _shape_problems(node: yaml.Node, path: Path) -> Iterator[Problem]:
    """Find keys that stand twice, and nesting that is too deep."""
    if len(path) > const.MAX_DEPTH:
        yield Problem(".".join(path), node.start_mark.line + 1, "expected less nesting")
        return
    if isinstance(node, yaml.MappingNode):
        seen: set[str] = set()
        for key, value in node.value:
            inner = (*path, str(key.value))
            if str(key.value) in seen:
                line = key.start_mark.line + 1
                yield Problem(".".join(inner), line, "expected each key once")
            seen.add(str(key.value))
            yield from _shape_problems(value, inner)
    if isinstance(node, yaml.SequenceNode):
        for index, value in enumerate(node.value):
            yield from _shape_problems(value, (*path, str(index)))


def _line(node: yaml.Node | None, path: Path) -> int:
    """Return the line of the deepest node on ``path`` that exists."""
    line = 1
    for step in path:
        child = _child(node, step)
        if child is None:
            return line
        line, node = child
    return line


def _child(node: yaml.Node | None, step: str) -> tuple[int, yaml.Node] | None:
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            if str(key.value) == step:
                return key.start_mark.line + 1, value
    if isinstance(node, yaml.SequenceNode) and step.isdigit():
        index = int(step)
        if index < len(node.value):
            return node.value[index].start_mark.line + 1, node.value[index]
    return None


def _leaves(exc: BaseException, path: Path) -> Iterator[tuple[Path, str]]:
    """Yield the path and the expectation of each inner error."""
    inner_path = path + tuple(_steps(exc))
    if isinstance(exc, BaseExceptionGroup):
        for inner in exc.exceptions:
            yield from _leaves(inner, inner_path)
        return
    yield from _explain(exc, inner_path)


def _steps(exc: BaseException) -> Iterator[str]:
    for note in getattr(exc, "__notes__", ()):
        if hasattr(note, "name"):
            yield note.name
        elif hasattr(note, "index"):
            yield str(note.index)


def _explain(exc: BaseException, path: Path) -> Iterator[tuple[Path, str]]:
    if isinstance(exc, ForbiddenExtraKeysError):
        known = sorted(field.name for field in attrs.fields(exc.cl))
        for key in sorted(exc.extra_fields):
            yield (*path, str(key)), f"unknown key, expected one of {', '.join(known)}"
        return
    if isinstance(exc, KeyError):
        yield (*path, str(exc.args[0])), "required key is missing"
        return
    if isinstance(exc, ValueError) and exc.args:
        yield path, str(exc.args[0])
        return
    yield path, "expected another type of value"
