"""Typed access to settings by their paths; each error names the path of the setting that is wrong.

A value that is given is checked for type and range. One that is absent takes its default; a setting
without a default is an error.
"""

import contextlib
import math
from collections.abc import Mapping
from typing import TypeVar

Value = TypeVar("Value")

BOOLEAN_BY_TEXT = {"true": True, "1": True, "false": False, "0": False}
MAX_VALUE = 1e15  # past it, sums of times in floating point are no longer whole microseconds


class SettingsError(ValueError):
    """A setting is missing, of the wrong type or out of its range; the text names its path first."""


class SettingsReader:
    """Settings by their paths, such as `plans.0.burst`; paths that nobody reads are ignored."""

    def __init__(
        self, values: Mapping[str, object], values_are_texts: bool = True, path_prefix: str = ""
    ) -> None:
        """Read `values`, whose paths stand behind `path_prefix` in errors.

        Where `values_are_texts`, as on the simulator's wire, all values are texts and are converted;
        elsewhere a number in quotes is no number.
        """
        self.values = values
        self.values_are_texts = values_are_texts
        self.path_prefix = path_prefix

    def error(self, path: str, value: object, reason: str) -> SettingsError:
        """The error that says why the value of a path is not accepted."""
        return SettingsError(f"{self.path_prefix}{path}: is {abbreviated(value)}, {reason}")

    def default(self, path: str, default: Value | None) -> Value:
        """The default of an absent setting; raises SettingsError where it has none."""
        if default is None:
            raise SettingsError(f"{self.path_prefix}{path}: is missing")
        return default

    def value_at(self, path: str) -> object:
        """The value as it was given, or None where it is absent."""
        value = self.values.get(path)
        return None if value == "-" else value

    def text(self, path: str, default: str | None = "") -> str:
        """A text; raises SettingsError for another type."""
        value = self.value_at(path)
        if value is None:
            value = self.default(path, default)
        if not isinstance(value, str):
            raise self.error(path, value, "which is no text")
        return value

    def number(
        self, path: str, default: float | None = 0.0, minimum: float = 0.0, maximum: float = MAX_VALUE
    ) -> float:
        """A number from `minimum` to `maximum`; raises SettingsError for any other value."""
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
        """A number of microseconds or of things; its fraction is cut off."""
        return int(self.number(path, default, minimum, maximum))

    def flag(self, path: str) -> bool:
        """True or false, false where it is absent; raises SettingsError for any other value."""
        value = self.value_at(path)
        flag = BOOLEAN_BY_TEXT.get(value) if self.values_are_texts and isinstance(value, str) else value
        if value is not None and not isinstance(flag, bool):
            raise self.error(path, value, "not true or false")
        return bool(flag)

    def choice(self, path: str, values: Mapping[str, Value], default: str | None = None) -> Value:
        """What `values` has for the text at a path; raises SettingsError for a text it does not have."""
        text = self.text(path, default)
        if text not in values:
            raise self.error(path, text, f"not one of {', '.join(values)}")
        return values[text]


def abbreviated(value: object) -> str:
    """A value as it may stand in an error of one line."""
    return f"{value!r:.40}"
