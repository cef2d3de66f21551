"""Typed access to settings by path; each error names the path of the invalid setting.

The type and range of each value are checked. An absent setting has its default; if it has none, that is an
error.
"""

import contextlib
import math
from collections.abc import Mapping
from typing import TypeVar

Value = TypeVar("Value")

BOOLEAN_BY_TEXT = {"true": True, "1": True, "false": False, "0": False}
MAX_VALUE = 1e15  # above it, sums of times in floating point are no longer exact to the microsecond


class SettingsError(ValueError):
    """A setting is missing, has the wrong type or is out of range; the message starts with its path."""


class SettingsReader:
    """Settings by path, such as `plans.0.burst`; paths that are never read are ignored."""

    def __init__(
        self, values: Mapping[str, object], values_are_texts: bool = True, path_prefix: str = ""
    ) -> None:
        """Read from `values`; errors show `path_prefix` before each path.

        If `values_are_texts`, as in the simulator's protocol, all values are strings and are converted.
        Otherwise numbers and booleans have their JSON types, and a number in quotes is an error.
        """
        self.values = values
        self.values_are_texts = values_are_texts
        self.path_prefix = path_prefix

    def error(self, path: str, value: object, reason: str) -> SettingsError:
        """Create the error that says why the value at a path is not accepted."""
        return SettingsError(f"{self.path_prefix}{path}: is {abbreviated(value)}, {reason}")

    def default(self, path: str, default: Value | None) -> Value:
        """Return the default of an absent setting; raises SettingsError if it has none."""
        if default is None:
            raise SettingsError(f"{self.path_prefix}{path}: is missing")
        return default

    def value_at(self, path: str) -> object:
        """Return the unchecked value at a path, or None if it is absent; `-` also stands for absent."""
        value = self.values.get(path)
        return None if value == "-" else value

    def text(self, path: str, default: str | None = "") -> str:
        """Read a string; raises SettingsError for another type."""
        value = self.value_at(path)
        if value is None:
            value = self.default(path, default)
        if not isinstance(value, str):
            raise self.error(path, value, "which is no text")
        return value

    def number(
        self, path: str, default: float | None = 0.0, minimum: float = 0.0, maximum: float = MAX_VALUE
    ) -> float:
        """Read a number from `minimum` to `maximum`; raises SettingsError for any other value."""
        value = self.value_at(path)
        if value is None:
            return self.default(path, default)
        number = math.nan
        if isinstance(value, str) == self.values_are_texts and isinstance(value, str | int | float):
            with contextlib.suppress(ValueError, OverflowError):
                number = math.nan if isinstance(value, bool) else float(value)
        if math.isnan(number):
            raise self.error(path, value, "which is no number")
        if not minimum <= number <= maximum:
            raise self.error(path, value, f"not from {minimum:g} to {maximum:g}")
        return number

    def integer(
        self, path: str, default: int | None = 0, minimum: int = 0, maximum: float = MAX_VALUE
    ) -> int:
        """Read a number of microseconds or a count; a fraction is truncated."""
        return int(self.number(path, default, minimum, maximum))

    def flag(self, path: str) -> bool:
        """Read a boolean, False if it is absent; raises SettingsError for any other value."""
        value = self.value_at(path)
        flag = BOOLEAN_BY_TEXT.get(value) if self.values_are_texts and isinstance(value, str) else value
        if value is not None and not isinstance(flag, bool):
            raise self.error(path, value, "not true or false")
        return bool(flag)

    def choice(self, path: str, values: Mapping[str, Value], default: str | None = None) -> Value:
        """Map the string at a path through `values`; raises SettingsError if it is not one of its keys."""
        text = self.text(path, default)
        if text not in values:
            raise self.error(path, text, f"not one of {', '.join(values)}")
        return values[text]


def abbreviated(value: object) -> str:
    """The representation of a value, shortened to fit into a one-line error message."""
    return f"{value!r:.40}"
