"""Fixtures for entries of the registry that differ from valid ones in one value."""

import json
from collections.abc import Callable

from ibisrack.errors import MessageError
from ibisrack.registry.messages import Entry


def with_value(content: bytes, path: tuple[str | int, ...], value: object) -> bytes:
    """Returns a JSON object in which the value at a path is replaced."""
    body = json.loads(content)
    parent = body
    for name in path[:-1]:
        parent = parent[name]
    parent[path[-1]] = value
    return json.dumps(body).encode()


def assert_refused(decode: Callable[[Entry], object], content: bytes) -> None:
    """Asserts that an entry is refused with the error that its reader handles."""
    try:
        decoded = decode(Entry("servers/i-1", content, 1))
    except MessageError:
        return
    raise AssertionError(f"{content[:300]} was decoded to {str(decoded)[:300]}")
