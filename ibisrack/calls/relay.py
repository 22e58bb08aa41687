"""Headers that a node passes on between caller and upstream, in both directions."""

from collections.abc import Mapping

from multidict import CIMultiDict

from ibisrack.calls.headers import NOT_FORWARDED

# Only nodes set headers with this prefix.  Passing on those of a caller or an upstream would let
# them name another deadline, or claim an outcome that the node did not find.
RESERVED_PREFIX = "ibis-"


def relayed(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Returns the headers to pass on, repeated ones included.

    Hop-by-hop headers, those that the Connection header names and the reserved ones are left out.
    """
    kept: CIMultiDict[str] = CIMultiDict()
    named = _named_by_connection(headers)
    for name, value in headers.items():
        lower = name.lower()
        if lower not in NOT_FORWARDED and lower not in named:
            if not lower.startswith(RESERVED_PREFIX):
                kept.add(name, value)
    return kept


def _named_by_connection(headers: Mapping[str, str]) -> frozenset[str]:
    value = headers.get("Connection")
    if value is None:
        return frozenset()
    return frozenset(part.strip().lower() for part in value.split(","))
