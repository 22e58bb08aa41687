"""Loads a JSON settings file into an attrs class and reports all faults together.

cattrs reports wrong types and missing and unknown fields, each with its JSON path.  The attrs
validators of the classes check the values; they run field by field after structuring, so that one
invalid value does not hide the next.
"""

import json
from functools import cache
from pathlib import Path
from typing import Any, TypeVar

import attrs
from cattrs import Converter, transform_error
from cattrs.v import format_exception

from ibisrack.errors import Fault, SettingsError

T = TypeVar("T")


class _WrongTypeError(ValueError):
    """A value has another type than its field."""


def _error_message(error: BaseException, kind: type | None) -> str:
    """Returns the message of an error; that of cattrs would not name the type found."""
    return str(error) if isinstance(error, _WrongTypeError) else format_exception(error, kind)


def _strict_hook(expected: type) -> Any:
    """Returns a cattrs hook that accepts only this type, and also an int for a float."""

    def structure(value: Any, _: type) -> Any:
        if expected is float and type(value) is int:
            return float(value)
        if type(value) is not expected:
            raise _WrongTypeError(f"expected {expected.__name__}, got {type(value).__name__}")
        return value

    return structure


@cache
def _converter() -> Converter:
    converter = Converter(forbid_extra_keys=True, detailed_validation=True)
    for primitive in (int, float, str, bool):
        converter.register_structure_hook(primitive, _strict_hook(primitive))
    return converter


def _validate(value: Any, path: str, file: str) -> list[Fault]:
    """Runs the validators of a settings object and of its nested objects; returns all faults."""
    if not attrs.has(type(value)):
        return []
    faults = []
    for field in attrs.fields(type(value)):
        item = getattr(value, field.name)
        item_path = f"{path}.{field.name}"
        if field.validator is not None:
            try:
                field.validator(value, field, item)
            except (ValueError, TypeError) as error:
                faults.append(Fault(file, 0, str(error.args[0]), item_path))
        faults += _validate(item, item_path, file)
    return faults


def parse_settings(data: Any, cls: type[T], file: str) -> T:
    """Builds a settings object from decoded JSON.

    Args:
      data: The decoded JSON document.
      cls: The attrs class to build.
      file: Name of the file for fault messages.

    Raises:
      SettingsError: The document has faults; the error holds all of them.
    """
    with attrs.validators.disabled():
        try:
            settings = _converter().structure(data, cls)
        except Exception as error:  # cattrs raises exception groups of many types.
            faults = (
                _split_fault(file, text)
                for text in transform_error(error, format_exception=_error_message)
            )
            raise SettingsError(tuple(faults)) from error
    faults = _validate(settings, "$", file)
    if faults:
        raise SettingsError(tuple(faults))
    return settings


def _split_fault(file: str, text: str) -> Fault:
    message, separator, path = text.rpartition(" @ ")
    return Fault(file, 0, message, path) if separator else Fault(file, 0, text)


def load_settings(path: str, cls: type[T]) -> T:
    """Loads a JSON settings file.

    Args:
      path: Path of the file.
      cls: The attrs class to build.

    Raises:
      SettingsError: The file can't be read, is not JSON, or has faults.
    """
    try:
        data = json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError((Fault(path, 0, error.strerror or str(error)),)) from error
    except UnicodeDecodeError as error:
        raise SettingsError((Fault(path, 0, "the file is not UTF-8 text"),)) from error
    except json.JSONDecodeError as error:
        raise SettingsError((Fault(path, error.lineno, f"not JSON: {error.msg}"),)) from error
    except (RecursionError, ValueError) as error:  # Nested too deeply, or a number too long.
        raise SettingsError((Fault(path, 0, f"not valid JSON: {error}"),)) from error
    return parse_settings(data, cls, path)
