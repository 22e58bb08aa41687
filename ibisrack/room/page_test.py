"""Tests of the script of the wall screen."""

import re
from collections import Counter
from importlib.resources import files

from ibisrack.testing.functions import function_tests

_FUNCTION = re.compile(r"^(?:async )?function (\w+)\(", re.MULTILINE)


def test_every_function_is_defined_once():
    """Guards against a second definition, which silently replaces an edited first one."""
    script = (files("ibisrack.room") / "page" / "room.js").read_text(encoding="utf-8")
    definitions = Counter(_FUNCTION.findall(script))
    assert {"poll", "show", "fill"} <= definitions.keys()
    assert [name for name, count in definitions.items() if count > 1] == []


load_tests = function_tests(__name__)
