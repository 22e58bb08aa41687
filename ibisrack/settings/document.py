"""Writes docs/settings.md from the settings classes, so that the page can't go stale.

``python -m ibisrack.settings.document`` prints the page; a test compares it with the file.
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

PROCESSES = {
    "ibis-node": NodeSettings,
    "ibis-room": RoomSettings,
    "ibis-standin-platform": StandinPlatformSettings,
    "ibis-standin-upstream": StandinUpstreamSettings,
    "ibis-caller": CallerSettings,
}

_HEAD = """\
# Settings

Each process takes one JSON object: `ibis-node --settings=FILE`. Unknown keys, missing keys, wrong
types and values out of range are errors; all of them are reported together with their JSON path,
and the process exits with code 2. `ibisctl` has flags and no settings file. Examples are under
`examples/pilbara` and `examples/chapa-maya`.

`python -m ibisrack.settings.document > docs/settings.md` writes this page from the classes.
"""

_ATTRIBUTE = re.compile(r"^  (\w+): (.*)$")


def attribute_texts(cls: type) -> dict[str, str]:
    """Returns the text of each field from the class's docstring."""
    texts: dict[str, str] = {}
    name = ""
    for line in inspect.getdoc(cls).splitlines():
        found = _ATTRIBUTE.match(line)
        if found:
            name, texts[found.group(1)] = found.group(1), found.group(2)
        elif name and line.strip():
            texts[name] += " " + line.strip()
    return texts


def type_name(kind: Any) -> str:
    """Returns a JSON name of a field's type."""
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


def _bounds(field: attrs.Attribute) -> str:
    text = inspect.getdoc(field.validator) if field.validator else None
    return text.partition("\n")[0].removeprefix("Requires ").rstrip(".") if text else ""


def _nested(kind: Any) -> type | None:
    """Returns the settings class inside a field's type, None when there is none."""
    inner = get_args(kind)[0] if get_origin(kind) is tuple else kind
    return inner if attrs.has(inner) else None


def _rows(cls: type, path: str) -> list[str]:
    rows = []
    texts = attribute_texts(cls)
    for field in attrs.fields(cls):
        nested = _nested(field.type)
        name = f"{path}{field.name}"
        text = texts.get(field.name) or inspect.getdoc(nested).partition("\n")[0]
        kind = type_name(field.type)
        rows.append(f"| `{name}` | {kind} | {_default(field)} | {_bounds(field)} | {text} |")
        if nested:
            rows += _rows(nested, f"{name}[]." if get_origin(field.type) is tuple else f"{name}.")
    return rows


def page() -> str:
    """Returns the page as Markdown."""
    parts = [_HEAD]
    for name, cls in PROCESSES.items():
        head = "| key | type | default | must be | meaning |\n|---|---|---|---|---|"
        parts.append("\n".join([f"## {name}", "", head, *_rows(cls, "")]) + "\n")
    return "\n".join(parts)


if __name__ == "__main__":
    print(page(), end="")
