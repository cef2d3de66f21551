"""Reads the operator file, which has one TOML table for each subsystem; a subsystem without one is off.

Each table is a frozen struct in `OperatorFile` whose field names are the keys. An invalid file is an
`OperatorError`, a line with the file, the key and the reason, and nothing of the file is applied.
"""

import tomllib
from enum import Enum
from pathlib import Path
from typing import Annotated, Any

import msgspec

MAX_FILE_BYTES = 1 << 20
MAX_SOCKET_PATH_BYTES = 100  # the limit of the kernel is 107
ENVIRONMENT_VARIABLE = "MOLEREACH_OPERATOR"  # the operator file, if `--operator` does not name it


class OperatorError(Exception):
    """The operator file is invalid or cannot be read; the message is one line."""


class Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A table of the operator file.

    `__post_init__` raises ValueError for errors that the types of the fields cannot express, such as two
    settings that exclude each other.
    """


class LogLevel(Enum):
    """The lowest severity of the log lines that are written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogSection(Section, frozen=True):
    """`[log]`: the log of the proxy on standard error."""

    level: LogLevel = LogLevel.INFO


class ControlSection(Section, frozen=True):
    """`[control]`: a private Unix domain socket through which an agent operates this proxy."""

    socket: str  # its path, in a directory that other users cannot write to
    # How long the start waits for the agent's orders, in seconds.
    wait_for_orders_s: Annotated[float, msgspec.Meta(ge=0.0, le=30.0)] = 0.0

    def __post_init__(self) -> None:
        """Raise ValueError for an invalid path."""
        if not self.socket.startswith("/") or len(self.socket.encode()) > MAX_SOCKET_PATH_BYTES:
            raise ValueError(f"socket: not an absolute path of at most {MAX_SOCKET_PATH_BYTES} bytes")


class LimitsSection(Section, frozen=True):
    """`[limits]`: proxies lend each other unused parts of ceilings, and keep quotas during a partition."""

    lease_ms: Annotated[int, msgspec.Meta(ge=200, le=30_000)] = 2000  # duration of a loan
    # Maximum error of a clock's rate, as a fraction, in either direction.
    drift: Annotated[float, msgspec.Meta(ge=0.0, le=0.05)] = 0.001
    beat_ms: Annotated[int, msgspec.Meta(ge=50, le=5000)] = 250  # interval of heartbeats to each peer
    # Fraction of its own share of a ceiling that a proxy never lends.
    floor: Annotated[float, msgspec.Meta(ge=0.0, le=0.9)] = 0.05
    key_file: str | None = None  # the key of the tier, needed if the network is not trusted


class CoordinationSection(Section, frozen=True):
    """`[council]`: coordination among proxies. All keys but `folder` have the same values at all proxies."""

    doors: dict[str, str]  # HOST:PORT at which each proxy listens for the others, by proxy name
    panel: tuple[str, ...]  # names of the three, five or seven initial acceptors
    key_file: str  # the key that all members share
    folder: str | None = None  # directory on durable storage, mode 0700, which acceptors need
    forming: bool = False  # whether an initial acceptor may start with a new directory
    beat_ms: Annotated[int, msgspec.Meta(ge=50, le=10_000)] = 500  # interval of heartbeats
    session_ms: Annotated[int, msgspec.Meta(ge=200, le=120_000)] = 5000  # duration of a session
    # Maximum error of a clock's rate, as a fraction, in either direction.
    drift: Annotated[float, msgspec.Meta(ge=0.0, le=0.05)] = 0.001

    def __post_init__(self) -> None:
        """Raise ValueError for a malformed address, or `forming` without `folder`."""
        for name, address in self.doors.items():
            host, _, port = address.rpartition(":")
            if not host or not port.isdecimal() or not 0 < int(port) < 65536:
                raise ValueError(f"doors.{name}: '{address}' is not HOST:PORT")
        if self.forming and self.folder is None:
            raise ValueError("forming: without a folder")


class OperatorFile(Section, frozen=True):
    """The settings of the operator file; a subsystem whose section is None is off."""

    log: LogSection | None = None
    control: ControlSection | None = None
    limits: LimitsSection | None = None
    council: CoordinationSection | None = None

    def sections_on(self) -> list[str]:
        """Return the names of the sections in the file, in the order of the fields above."""
        return [name for name in self.__struct_fields__ if getattr(self, name) is not None]


def one_line(error: object) -> str:
    """Return the message of an error as one line."""
    return " ".join(str(error).split())


def decode(text: str) -> OperatorFile:
    """Parse the text of an operator file; ValueError or msgspec.ValidationError, which names the key."""
    values: dict[str, Any] = tomllib.loads(text)
    return msgspec.convert(values, OperatorFile)


def load(path: Path) -> OperatorFile:
    """Load the operator file at `path`; OperatorError if it cannot be read or is invalid."""
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
