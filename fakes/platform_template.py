"""Renders a settings template in the format that the users' platform publishes.

Placeholders are ``{{a.b}}`` and ``{{a.b|json}}``. ``{{#a}} .. {{/a}}`` is rendered for
each item of a list or table, or once for any other true value; ``{{^a}} .. {{/a}}`` if
the value is empty or missing. Within a section, ``{{.}}`` is the item and ``{{@}}`` its
key or index.
"""

from __future__ import annotations

import json
import re
from typing import Any, NamedTuple

SECTION = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
PLACEHOLDER = re.compile(r"\{\{([\w.@]+)(\|json)?\}\}")


class Scope(NamedTuple):
    """Namespaces for lookups: the item of a section first, then all fields."""

    fields: Any
    item: Any = None
    key: str = ""


def render(template: str, fields: dict[str, Any]) -> str:
    """Render a template with the fields of one process."""
    return _render(template, Scope(fields))


def _render(text: str, scope: Scope) -> str:
    text = SECTION.sub(lambda match: _render_section(match, scope), text)
    return PLACEHOLDER.sub(lambda match: _value_text(match, scope), text)


def _render_section(match: re.Match[str], scope: Scope) -> str:
    kind, name, section_body = match.groups()
    value = _look_up(name, scope)
    if kind == "^":
        return "" if value else _render(section_body, scope)
    if isinstance(value, dict):
        items = [(key, item) for key, item in value.items()]
    elif isinstance(value, list):
        items = [(str(index), item) for index, item in enumerate(value)]
    else:
        items = [("", value)] if value else []
    return "".join(
        _render(section_body, Scope(scope.fields, item, key)) for key, item in items
    )


def _value_text(match: re.Match[str], scope: Scope) -> str:
    value = _look_up(match[1], scope)
    if match[2]:
        return json.dumps(value)
    if isinstance(value, list):
        return ",".join(map(str, value))
    return "" if value is None else str(value)


def _look_up(name: str, scope: Scope) -> Any:
    if name == ".":
        return scope.fields if scope.item is None else scope.item
    if name == "@":
        return scope.key
    for namespace in (scope.item, scope.fields):
        value = namespace
        for part in name.split("."):
            if isinstance(value, list) and part.isdecimal():
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        if value is not None:
            return value
    return None
