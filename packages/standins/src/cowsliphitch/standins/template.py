"""Rendering of settings templates with the fields that the platform knows of a VM.

Only the forms that the templates of this project use: a value by its path, and a
section that is left out if its value is absent or false.
"""

import re
from collections.abc import Mapping
from typing import Any, Final

_SECTION: Final = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
_VALUE: Final = re.compile(r"\{\{([\w.]+)\}\}")


def render(template: str, fields: Mapping[str, Any]) -> str:
    """Fill in a template.

    :param fields: nested fields; a list's entries are named by their index
    """

    def section(match: re.Match[str]) -> str:
        value = _look_up(fields, match[1])
        return "" if value is None or value is False else match[2]

    def value(match: re.Match[str]) -> str:
        found = _look_up(fields, match[1])
        return "" if found is None else str(found)

    return _VALUE.sub(value, _SECTION.sub(section, template))


def _look_up(fields: Any, path: str) -> Any:
    value = fields
    for name in path.split("."):
        if isinstance(value, list) and name.isdecimal() and int(name) < len(value):
            value = value[int(name)]
        elif isinstance(value, Mapping):
            value = value.get(name)
        else:
            return None
    return value
