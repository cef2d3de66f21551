"""The operator file: one TOML table for each subsystem, typed, checked, and off where it is absent.

A section is a frozen struct in `OperatorFile`. What cannot be used is an `OperatorError`, one line that names
the file, the key and the reason; nothing of such a file is taken over.
"""

import tomllib
from enum import Enum
from pathlib import Path
from typing import Annotated, Any

import msgspec

MAX_FILE_BYTES = 1 << 20
MAX_SOCKET_PATH_BYTES = 100  # the kernel takes 107
ENVIRONMENT = "MOLEREACH_OPERATOR"  # names the file where `--operator` does not


class OperatorError(Exception):
    """The operator file is not usable; the text is one plain line."""


class Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A table of the operator file. What its fields cannot say, such as two settings that cannot go together,
    `__post_init__` says by a ValueError."""


class LogLevel(Enum):
    """The least severe lines of the log that are written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogSection(Section, frozen=True):
    """`[log]`: the front door's own log on standard error."""

    level: LogLevel = LogLevel.INFO


class ControlSection(Section, frozen=True):
    """`[control]`: a private Unix-domain socket by which an agent sees and steers this front door."""

    socket: str  # its path, in a folder that nobody else may write to
    wait_for_orders_s: Annotated[float, msgspec.Meta(ge=0.0, le=30.0)] = 0.0  # at the start, for an agent

    def __post_init__(self) -> None:
        if not self.socket.startswith("/") or len(self.socket.encode()) > MAX_SOCKET_PATH_BYTES:
            raise ValueError(f"socket: not an absolute path of at most {MAX_SOCKET_PATH_BYTES} bytes")


class LimitsSection(Section, frozen=True):
    """`[limits]`: shares of ceilings that move between front doors, and quotas that survive a split."""

    lease_ms: Annotated[int, msgspec.Meta(ge=200, le=30_000)] = 2000  # how long a loan of a share lasts
    drift: Annotated[float, msgspec.Meta(ge=0.0, le=0.05)] = 0.001  # of a clock's rate, either way
    beat_ms: Annotated[int, msgspec.Meta(ge=50, le=5000)] = 250  # a word to every peer at least so often
    floor: Annotated[float, msgspec.Meta(ge=0.0, le=0.9)] = 0.05  # of its share that a front door never lends
    key_file: str | None = None  # a secret of the whole tier, where the network is not trusted


class CouncilSection(Section, frozen=True):
    """`[council]`: front doors that settle things among themselves. The same at all, but for the folder."""

    doors: dict[str, str]  # HOST:PORT where each listens for the others, by its name
    panel: tuple[str, ...]  # the three, five or seven that accepted first
    key_file: str  # a secret of the whole council
    folder: str | None = None  # that lasts, mode 0700: who has a seat on the panel needs one
    forming: bool = False  # a new folder takes the seat that the panel's first list gives this front door
    beat_ms: Annotated[int, msgspec.Meta(ge=50, le=10_000)] = 500
    session_ms: Annotated[int, msgspec.Meta(ge=200, le=120_000)] = 5000
    drift: Annotated[float, msgspec.Meta(ge=0.0, le=0.05)] = 0.001  # of a clock's rate, either way

    def __post_init__(self) -> None:
        for name, address in self.doors.items():
            host, _, port = address.rpartition(":")
            if not host or not port.isdecimal() or not 0 < int(port) < 65536:
                raise ValueError(f"doors.{name}: '{address}' is not HOST:PORT")
        if self.forming and self.folder is None:
            raise ValueError("forming: without a folder")


class OperatorFile(Section, frozen=True):
    """The whole file; a section that is None is off."""

    log: LogSection | None = None
    control: ControlSection | None = None
    limits: LimitsSection | None = None
    council: CouncilSection | None = None

    def sections_on(self) -> list[str]:
        """The names of the sections that the file switches on, in the order of their definition."""
        return [name for name in self.__struct_fields__ if getattr(self, name) is not None]


def one_line(error: object) -> str:
    return " ".join(str(error).split())


def decode(text: str) -> OperatorFile:
    """The settings in `text`; a ValueError or msgspec.ValidationError, with the key's path, if wrong."""
    values: dict[str, Any] = tomllib.loads(text)
    return msgspec.convert(values, OperatorFile)


def load(path: Path) -> OperatorFile:
    """The operator file at `path`; OperatorError where it cannot be read or used."""
    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
        if len(data) > MAX_FILE_BYTES:
            raise OperatorError(f"{path}: larger than {MAX_FILE_BYTES} bytes")
        return decode(data.decode("utf-8"))
    except OSError as error:
        raise OperatorError(f"{path}: {error.strerror or one_line(error)}") from error
    except (ValueError, msgspec.ValidationError) as error:
        raise OperatorError(f"{path}: {one_line(error)}") from error
