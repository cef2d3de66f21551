"""The fields of a line on the simulator's wire, and the errors of this package."""


class SimulatorError(Exception):
    """Base class of the errors of the simulator's adapter."""


class WireError(SimulatorError):
    """The input does not follow the wire's format."""


class FieldReader:
    """The fields of one line, read from left to right; `-` and nothing stand for an absent value."""

    def __init__(self, fields: list[str]) -> None:
        self.fields = fields
        self.position = 0

    def text(self) -> str:
        """The next field; raises WireError where it is absent."""
        if self.position >= len(self.fields) or self.fields[self.position] in ("", "-"):
            raise WireError(f"field {self.position + 1} is missing")
        self.position += 1
        return self.fields[self.position - 1]

    def is_present(self) -> bool:
        """Whether the next field has a value; an absent one is skipped."""
        if self.position >= len(self.fields):
            return False
        if self.fields[self.position] in ("", "-"):
            self.position += 1
            return False
        return True

    def integer(self, default: int | None = None) -> int:
        """An integer, or the default where it is absent; raises WireError or ValueError."""
        if default is not None and not self.is_present():
            return default
        return int(self.text())

    def number(self, default: float | None = None) -> float:
        """A number, or the default where it is absent; raises WireError or ValueError."""
        if default is not None and not self.is_present():
            return default
        return float(self.text())

    def flag(self) -> bool:
        """A flag, 0 or 1; raises WireError for anything else."""
        text = self.text()
        if text not in ("0", "1"):
            raise WireError(f"'{text}' is not 0 or 1")
        return text == "1"

    def octets(self) -> bytes:
        """Bytes in hexadecimal digits, none where they are absent; raises ValueError."""
        return bytes.fromhex(self.text()) if self.is_present() else b""
