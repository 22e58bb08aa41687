"""Generates the settings page, docs/settings.md, from the settings classes.

``python -m ibisrack.settings.document`` prints the page.  A test compares it with the file, so that
the file cannot become out of date.
"""

import inspect
import re
from typing import Any, get_args, get_origin

import attrs

from ibisrack.settings.node import NodeSettings
from ibisrack.settings.room import RoomSettings
from ibisrack.settings.standins import (
    CallerSettings,
    StandinPlatformSettings,
    StandinUpstreamSettings,
)

SETTINGS_BY_PROCESS = {
    "ibis-node": NodeSettings,
    "ibis-room": RoomSettings,
    "ibis-standin-platform": StandinPlatformSettings,
    "ibis-standin-upstream": StandinUpstreamSettings,
    "ibis-caller": CallerSettings,
}

_INTRODUCTION = """\
# Settings

Each process takes one JSON object: `ibis-node --settings=FILE`. Unknown keys, missing keys, wrong
types and values out of range are errors; all of them are reported together with their JSON path,
and the process exits with code 2. `ibisctl` has flags and no settings file. Examples are under
`examples/pilbara` and `examples/chapa-maya`.

`python -m ibisrack.settings.document > docs/settings.md` writes this page from the classes.
"""

_ATTRIBUTE = re.compile(r"^  (\w+): (.*)$")


def field_descriptions(cls: type) -> dict[str, str]:
    """Returns the description of each field from the Attributes section of a class's docstring."""
    descriptions: dict[str, str] = {}
    name = ""
    for line in inspect.getdoc(cls).splitlines():
        found = _ATTRIBUTE.match(line)
        if found:
            name, descriptions[found.group(1)] = found.group(1), found.group(2)
        elif name and line.strip():
            descriptions[name] += " " + line.strip()
    return descriptions


def type_name(kind: Any) -> str:
    """Returns the name that the page shows for a field's type."""
    names = {int: "integer", float: "number", str: "text", bool: "true or false"}
    if get_origin(kind) is tuple:
        return f"list of {type_name(get_args(kind)[0])}"
    return names.get(kind, "object")


def _default(field: attrs.Attribute) -> str:
    if field.default is attrs.NOTHING:
        return "required"
    if isinstance(field.default, attrs.Factory):
        return "its defaults"
    return f"`{list(field.default) if isinstance(field.default, tuple) else field.default}`"


def _requirement(field: attrs.Attribute) -> str:
    doc = inspect.getdoc(field.validator) if field.validator else None
    return doc.partition("\n")[0].removeprefix("Requires ").rstrip(".") if doc else ""


def _nested_class(kind: Any) -> type | None:
    """Returns the settings class of a field or of its list items, or None if there is none."""
    item = get_args(kind)[0] if get_origin(kind) is tuple else kind
    return item if attrs.has(item) else None


def _rows(cls: type, path: str) -> list[str]:
    rows = []
    descriptions = field_descriptions(cls)
    for field in attrs.fields(cls):
        nested = _nested_class(field.type)
        name = f"{path}{field.name}"
        meaning = descriptions.get(field.name) or inspect.getdoc(nested).partition("\n")[0]
        kind = type_name(field.type)
        rows.append(
            f"| `{name}` | {kind} | {_default(field)} | {_requirement(field)} | {meaning} |"
        )
        if nested:
            rows += _rows(nested, f"{name}[]." if get_origin(field.type) is tuple else f"{name}.")
    return rows


def render_page() -> str:
    """Returns the settings page as Markdown."""
    parts = [_INTRODUCTION]
    for name, cls in SETTINGS_BY_PROCESS.items():
        table_head = "| key | type | default | must be | meaning |\n|---|---|---|---|---|"
        parts.append("\n".join([f"## {name}", "", table_head, *_rows(cls, "")]) + "\n")
    return "\n".join(parts)


if __name__ == "__main__":
    print(render_page(), end="")
