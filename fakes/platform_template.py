"""Fills in a settings template as the users' platform does, from its published format.

Placeholders are ``{{a.b}}`` and ``{{a.b|json}}``; ``{{#a}} .. {{/a}}`` is rendered for
each entry of a list or table, or once if the value is true; ``{{^a}} .. {{/a}}`` if
there is none. Inside, ``{{.}}`` is the entry and ``{{@}}`` its key.
"""

from __future__ import annotations

import json
import re
from typing import Any, NamedTuple

SECTION = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
PLACEHOLDER = re.compile(r"\{\{([\w.@]+)(\|json)?\}\}")


class Scope(NamedTuple):
    """Where names are looked up: the entry of a section, then all fields."""

    fields: Any
    entry: Any = None
    key: str = ""


def render(template: str, fields: dict[str, Any]) -> str:
    """Return the settings of one process."""
    return _render(template, Scope(fields))


def _render(text: str, scope: Scope) -> str:
    text = SECTION.sub(lambda found: _render_section(found, scope), text)
    return PLACEHOLDER.sub(lambda found: _value_text(found, scope), text)


def _render_section(found: re.Match[str], scope: Scope) -> str:
    kind, name, inner = found.groups()
    value = _look_up(name, scope)
    if kind == "^":
        return "" if value else _render(inner, scope)
    if isinstance(value, dict):
        entries = [(key, item) for key, item in value.items()]
    elif isinstance(value, list):
        entries = [(str(index), item) for index, item in enumerate(value)]
    else:
        entries = [("", value)] if value else []
    return "".join(
        _render(inner, Scope(scope.fields, item, key)) for key, item in entries
    )


def _value_text(found: re.Match[str], scope: Scope) -> str:
    value = _look_up(found[1], scope)
    if found[2]:
        return json.dumps(value)
    if isinstance(value, list):
        return ",".join(map(str, value))
    return "" if value is None else str(value)


def _look_up(name: str, scope: Scope) -> Any:
    if name == ".":
        return scope.fields if scope.entry is None else scope.entry
    if name == "@":
        return scope.key
    for start in (scope.entry, scope.fields):
        value = start
        for part in name.split("."):
            if isinstance(value, list) and part.isdecimal():
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        if value is not None:
            return value
    return None
