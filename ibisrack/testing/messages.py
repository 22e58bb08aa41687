"""Generated messages of links, from the types of their fields."""

from collections.abc import Callable
from functools import reduce
from operator import or_
from types import UnionType
from typing import Any, Union, get_args, get_origin, get_type_hints

import attrs
from hypothesis import given
from hypothesis import strategies as st

from ibisrack.links.codec import MESSAGE_TYPES
from ibisrack.testing.fuzz import fuzz

# MessagePack holds integers of 64 bits; NaN is left out because it does not equal itself.
_VALUES = {
    bool: st.booleans(),
    int: st.integers(-(2**63), 2**64 - 1),
    float: st.floats(allow_nan=False),
    str: st.text(max_size=40),
    bytes: st.binary(max_size=40),
}


def values_of(kind: Any) -> st.SearchStrategy:
    """Returns the strategy for the values of a field's type."""
    items = get_args(kind)
    if get_origin(kind) is tuple and items[-1] is Ellipsis:
        return st.lists(values_of(items[0]), max_size=4).map(tuple)
    if get_origin(kind) is tuple:
        return st.tuples(*map(values_of, items))
    if get_origin(kind) in (Union, UnionType):
        return reduce(or_, map(values_of, items))
    if attrs.has(kind):
        return instances_of(kind)
    return _VALUES[kind] if kind in _VALUES else st.from_type(kind)


def instances_of(cls: type) -> st.SearchStrategy:
    """Returns the strategy for the instances of a message class, from the types of its fields."""
    hints = get_type_hints(cls)
    return st.builds(
        cls, **{field.name: values_of(hints[field.name]) for field in attrs.fields(cls)}
    )


def check_messages(check: Callable[[Any], None], cases: int) -> None:
    """Calls a check with generated messages of every type, a number of cases for each."""
    for cls in MESSAGE_TYPES:
        fuzz(cases)(given(instances_of(cls))(check))()
