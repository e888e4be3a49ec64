"""Parse and validate settings documents, and write them back.

Validation runs in stages: YAML syntax, duplicate keys and nesting, types, references.
The first stage that fails reports its problems, each with its path, its line and the
value that was expected.
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
KeyPath = tuple[str, ...]


@attrs.frozen
class Problem:
    """A problem in a settings document.

    :param path: path in the tree, such as ``teams.depot.share``; empty for the document
    :param line: line in the document, counted from 1
    :param expected: description of the value that was expected there
    """

    path: str
    line: int
    expected: str

    def __str__(self) -> str:
        """Return the problem as one human-readable line."""
        return f"line {self.line}: {self.path or 'document'}: {self.expected}"


class _Loader(yaml.SafeLoader):
    """A safe YAML loader that rejects aliases, which can expand without bound."""

    def compose_node(self, parent: yaml.Node | None, index: Any) -> yaml.Node | None:
        """Compose one node.

        :raises yaml.MarkedYAMLError: if the node is an alias
        """
        if self.check_event(yaml.events.AliasEvent):
            raise yaml.MarkedYAMLError(
                problem="aliases are not allowed",
                problem_mark=self.peek_event().start_mark,  # type: ignore[no-untyped-call]
            )
        return super().compose_node(parent, index)


def make_converter() -> cattrs.Converter:
    """Return a converter that rejects unknown keys and wrong types or units."""
    converter = cattrs.Converter(forbid_extra_keys=True)
    hooks: list[tuple[Any, Callable[[Any, Any], Any]]] = [
        (units.Duration, units.parse_duration),
        (units.Size, units.parse_size),
        (units.Ratio, units.parse_ratio),
        (units.Amount, units.parse_amount),
        (units.PositiveAmount, units.parse_positive_amount),
        (units.Name, units.parse_name),
        (int, units.parse_int),
        (bool, units.parse_bool),
        (str, units.parse_str),
    ]
    for target_type, hook in hooks:
        converter.register_structure_hook(target_type, hook)
    converter.register_structure_hook_func(_is_enum, _parse_enum)
    converter.register_unstructure_hook(units.Duration, lambda value: f"{int(value)}ms")
    converter.register_unstructure_hook(units.Size, lambda value: f"{int(value)}B")
    converter.register_unstructure_hook(units.Ratio, float)
    converter.register_unstructure_hook(units.Amount, float)
    converter.register_unstructure_hook(units.PositiveAmount, float)
    converter.register_unstructure_hook(units.Name, str)
    return converter


def _is_enum(target_type: Any) -> bool:
    return isinstance(target_type, type) and issubclass(target_type, enum.Enum)


def _parse_enum(value: object, target_type: type[enum.Enum]) -> enum.Enum:
    members = {member.value: member for member in target_type}
    if not isinstance(value, str) or value not in members:
        raise ValueError(f"expected one of {', '.join(members)}")
    return members[value]


_CONVERTER = make_converter()


def load_document(
    text: str, target_type: type[T], null_is_absent: bool = False
) -> Result[T, tuple[Problem, ...]]:
    """Parse and validate a YAML document.

    :param text: the document
    :param target_type: the attrs class to build
    :param null_is_absent: a key without a value gets its default
    :returns: an instance of the class, or the problems
    """
    if len(text.encode()) > const.MAX_DOCUMENT_BYTES:
        limit = const.MAX_DOCUMENT_BYTES
        return Err((Problem("", 1, f"expected at most {limit} bytes"),))
    try:
        node = _compose(text)
    except (yaml.YAMLError, RecursionError) as exc:
        return Err((Problem("", _line_of_error(exc), _describe_yaml_error(exc)),))
    if node is None:
        return Err((Problem("", 1, "expected a mapping"),))
    structure_problems = tuple(_structure_problems(node, ()))
    if structure_problems:
        return Err(structure_problems)
    try:
        content = yaml.load(text, _Loader)
        if null_is_absent:
            content = _without_nulls(content)
        return Ok(_CONVERTER.structure(content, target_type))
    except Exception as exc:
        problems = [
            Problem(".".join(path), _line_of_path(node, path), expected)
            for path, expected in _flatten_errors(exc, ())
        ]
        return Err(tuple(problems))


def _without_nulls(value: Any) -> Any:
    """Return a value without the keys of mappings that have no value."""
    if not isinstance(value, dict):
        return value
    return {k: _without_nulls(v) for k, v in value.items() if v is not None}


def load_branch(
    path: str, text: str, target_type: Any
) -> Result[Any, tuple[Problem, ...]]:
    """Parse and validate a stored branch, which is JSON.

    :param path: path of the branch in the tree
    :param target_type: the type to build
    :returns: an instance of the type, or the problems, all on line 1
    """
    try:
        return Ok(_CONVERTER.structure(json.loads(text), target_type))
    except Exception as exc:
        problems = [
            Problem(".".join((path, *inner_path)), 1, expected)
            for inner_path, expected in _flatten_errors(exc, ())
        ]
        return Err(tuple(problems))


def load_settings(text: str) -> Result[Settings, tuple[Problem, ...]]:
    """Parse and validate the fleet's settings document, including references."""
    match load_document(text, Settings):
        case Err() as failed:
            return failed
        case Ok(settings):
            node = _compose(text)
            problems = tuple(
                Problem(".".join(path), _line_of_path(node, path), expected)
                for path, expected in check_references(settings)
            )
            return Err(problems) if problems else Ok(settings)


def dump_json(value: object) -> str:
    """Return an attrs value as canonical JSON, which is also valid YAML.

    Equal values give equal text, so its digest identifies the value.
    """
    builtins = _CONVERTER.unstructure(value)
    return json.dumps(builtins, sort_keys=True, separators=(",", ":"))


def dump_yaml(value: object) -> str:
    """Return an attrs value as human-readable YAML."""
    return yaml.safe_dump(_CONVERTER.unstructure(value), sort_keys=True)


def _compose(text: str) -> yaml.Node | None:
    return yaml.compose(text, _Loader)


def _describe_yaml_error(exc: Exception) -> str:
    problem = getattr(exc, "problem", None) or "nested too deeply"
    return f"expected valid YAML: {problem}"


def _line_of_error(exc: Exception) -> int:
    mark = getattr(exc, "problem_mark", None)
    return mark.line + 1 if mark is not None else 1


def _structure_problems(node: yaml.Node, path: KeyPath) -> Iterator[Problem]:
    """Yield duplicate keys, which loading would overwrite, and too deep nesting."""
    if len(path) > const.MAX_NESTING_DEPTH:
        yield Problem(".".join(path), node.start_mark.line + 1, "expected less nesting")
        return
    if isinstance(node, yaml.MappingNode):
        keys: set[str] = set()
        for key, value in node.value:
            inner_path = (*path, str(key.value))
            if str(key.value) in keys:
                line = key.start_mark.line + 1
                yield Problem(".".join(inner_path), line, "expected each key once")
            keys.add(str(key.value))
            yield from _structure_problems(value, inner_path)
    if isinstance(node, yaml.SequenceNode):
        for index, value in enumerate(node.value):
            yield from _structure_problems(value, (*path, str(index)))


def line_of(text: str, path: KeyPath) -> int:
    """Return the line of a path in a valid document, counted from 1."""
    return _line_of_path(_compose(text), path)


def _line_of_path(node: yaml.Node | None, path: KeyPath) -> int:
    """Return the line of the deepest existing node on a path, counted from 1."""
    line = 1
    for segment in path:
        child = _child_node(node, segment)
        if child is None:
            return line
        line, node = child
    return line


def _child_node(node: yaml.Node | None, segment: str) -> tuple[int, yaml.Node] | None:
    """Return the line and the node of a child, or ``None`` if it does not exist."""
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            if str(key.value) == segment:
                return key.start_mark.line + 1, value
    if isinstance(node, yaml.SequenceNode) and segment.isdigit():
        index = int(segment)
        if index < len(node.value):
            return node.value[index].start_mark.line + 1, node.value[index]
    return None


def _flatten_errors(exc: BaseException, path: KeyPath) -> Iterator[tuple[KeyPath, str]]:
    """Yield the path and the expectation of each error in a nested exception group."""
    inner_path = path + tuple(_path_segments(exc))
    if isinstance(exc, BaseExceptionGroup):
        for inner in exc.exceptions:
            yield from _flatten_errors(inner, inner_path)
        return
    yield from _describe_error(exc, inner_path)


def _path_segments(exc: BaseException) -> Iterator[str]:
    """Yield the keys and indexes that cattrs added to an error as notes."""
    for note in getattr(exc, "__notes__", ()):
        if hasattr(note, "name"):
            yield note.name
        elif hasattr(note, "index"):
            yield str(note.index)


def _describe_error(exc: BaseException, path: KeyPath) -> Iterator[tuple[KeyPath, str]]:
    if isinstance(exc, ForbiddenExtraKeysError):
        allowed = sorted(field.name for field in attrs.fields(exc.cl))
        for key in sorted(exc.extra_fields):
            yield (
                (*path, str(key)),
                f"unknown key, expected one of {', '.join(allowed)}",
            )
        return
    if isinstance(exc, KeyError):
        yield (*path, str(exc.args[0])), "required key is missing"
        return
    if isinstance(exc, ValueError) and exc.args:
        yield path, str(exc.args[0])
        return
    yield path, "expected another type of value"
