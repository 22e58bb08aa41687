"""Runs plain test functions of a module under unittest.

A test module ends with ``load_tests = function_tests(__name__)``.  Every function whose name starts
with ``test_`` then becomes one unittest.FunctionTestCase; each coroutine function runs in a new
event loop.
"""

import asyncio
import inspect
import sys
import unittest
from collections.abc import Callable


def _synchronous(function: Callable) -> Callable[[], None]:
    if not inspect.iscoroutinefunction(inspect.unwrap(function)):
        return function

    def run() -> None:
        asyncio.run(function())

    return run


def function_tests(module_name: str) -> Callable:
    """Returns a load_tests hook for the functions of a test module.

    Args:
      module_name: The module's __name__.
    """

    def load_tests(loader, tests, pattern) -> unittest.TestSuite:
        module = sys.modules[module_name]
        suite = unittest.TestSuite()
        for name, function in sorted(vars(module).items()):
            if name.startswith("test_") and callable(function):
                description = f"{module_name}.{name}"
                suite.addTest(
                    unittest.FunctionTestCase(_synchronous(function), description=description)
                )
        return suite

    return load_tests
