"""Reads the fields of a line of the simulator's protocol; defines the errors of this package."""


class SimulatorError(Exception):
    """Base class of the errors of the simulator adapter."""


class WireError(SimulatorError):
    """The input violates the simulator's protocol."""


class FieldReader:
    """Reads the fields of one line from left to right; `-` or an empty field stands for an absent value."""

    def __init__(self, fields: list[str]) -> None:
        self.fields = fields
        self.position = 0

    def text(self) -> str:
        """Read the next field; raises WireError if it is absent."""
        if self.position >= len(self.fields) or self.fields[self.position] in ("", "-"):
            raise WireError(f"field {self.position + 1} is missing")
        self.position += 1
        return self.fields[self.position - 1]

    def is_present(self) -> bool:
        """Whether the next field has a value; an absent value is skipped."""
        if self.position >= len(self.fields):
            return False
        if self.fields[self.position] in ("", "-"):
            self.position += 1
            return False
        return True

    def integer(self, default: int | None = None) -> int:
        """Read an integer, or use the default if it is absent; raises WireError or ValueError."""
        if default is not None and not self.is_present():
            return default
        return int(self.text())

    def number(self, default: float | None = None) -> float:
        """Read a number, or use the default if it is absent; raises WireError or ValueError."""
        if default is not None and not self.is_present():
            return default
        return float(self.text())

    def flag(self) -> bool:
        """Read a flag, which is 0 or 1; raises WireError for anything else."""
        text = self.text()
        if text not in ("0", "1"):
            raise WireError(f"'{text}' is not 0 or 1")
        return text == "1"

    def hex_bytes(self) -> bytes:
        """Read bytes from hexadecimal digits, empty if the field is absent; raises ValueError."""
        return bytes.fromhex(self.text()) if self.is_present() else b""
