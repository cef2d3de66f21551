"""The operator file: one TOML table for each subsystem, typed and checked; without its table one is off.

A section is a frozen struct in `OperatorFile`, and field names are the keys. A file that is not usable is an
`OperatorError`, one line that names the file, the key and the reason; nothing of such a file is applied.
"""

import tomllib
from enum import Enum
from pathlib import Path
from typing import Annotated, Any

import msgspec

MAX_FILE_BYTES = 1 << 20
MAX_SOCKET_PATH_BYTES = 100  # the kernel's limit is 107
ENVIRONMENT = "MOLEREACH_OPERATOR"  # names the file where `--operator` does not


class OperatorError(Exception):
    """The operator file is not usable; the text is one line."""


class Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A table of the operator file.

    `__post_init__` raises ValueError for what the fields' types cannot express, such as two settings that
    exclude each other.
    """


class LogLevel(Enum):
    """The least severe lines of the log that are written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogSection(Section, frozen=True):
    """`[log]`: the proxy's log on standard error."""

    level: LogLevel = LogLevel.INFO


class ControlSection(Section, frozen=True):
    """`[control]`: a private Unix-domain socket through which an agent operates this proxy."""

    socket: str  # its path, in a folder that other users cannot write to
    wait_for_orders_s: Annotated[float, msgspec.Meta(ge=0.0, le=30.0)] = 0.0  # at the start

    def __post_init__(self) -> None:
        """Raise ValueError for a path that is not usable."""
        if not self.socket.startswith("/") or len(self.socket.encode()) > MAX_SOCKET_PATH_BYTES:
            raise ValueError(f"socket: not an absolute path of at most {MAX_SOCKET_PATH_BYTES} bytes")


class LimitsSection(Section, frozen=True):
    """`[limits]`: ceilings whose unused parts proxies lend to each other, and quotas during a partition."""

    lease_ms: Annotated[int, msgspec.Meta(ge=200, le=30_000)] = 2000  # duration of a loan
    drift: Annotated[float, msgspec.Meta(ge=0.0, le=0.05)] = (
        0.001  # greatest error of a clock's rate, in either direction
    )
    beat_ms: Annotated[int, msgspec.Meta(ge=50, le=5000)] = 250  # interval of heartbeats to every peer
    floor: Annotated[float, msgspec.Meta(ge=0.0, le=0.9)] = (
        0.05  # fraction of its share that a proxy never lends
    )
    key_file: str | None = None  # the key of the tier, if the network is not trusted


class CoordinationSection(Section, frozen=True):
    """`[council]`: coordination among proxies. The same at all of them, except for the folder."""

    doors: dict[str, str]  # HOST:PORT at which each proxy listens for the others, by its name
    panel: tuple[str, ...]  # the first three, five or seven acceptors
    key_file: str  # the key that all members share
    folder: str | None = None  # durable, mode 0700; acceptors need one
    forming: bool = False  # allows a new folder for one of the first acceptors
    beat_ms: Annotated[int, msgspec.Meta(ge=50, le=10_000)] = 500
    session_ms: Annotated[int, msgspec.Meta(ge=200, le=120_000)] = 5000
    drift: Annotated[float, msgspec.Meta(ge=0.0, le=0.05)] = (
        0.001  # greatest error of a clock's rate, in either direction
    )

    def __post_init__(self) -> None:
        """Raise ValueError for a wrong address, or `forming` without a folder."""
        for name, address in self.doors.items():
            host, _, port = address.rpartition(":")
            if not host or not port.isdecimal() or not 0 < int(port) < 65536:
                raise ValueError(f"doors.{name}: '{address}' is not HOST:PORT")
        if self.forming and self.folder is None:
            raise ValueError("forming: without a folder")


class OperatorFile(Section, frozen=True):
    """The whole file; a subsystem whose section is None is off."""

    log: LogSection | None = None
    control: ControlSection | None = None
    limits: LimitsSection | None = None
    council: CoordinationSection | None = None

    def sections_on(self) -> list[str]:
        """Return the names of the sections that the file has, in the order of their definition."""
        return [name for name in self.__struct_fields__ if getattr(self, name) is not None]


def one_line(error: object) -> str:
    """Return an error's text as one line."""
    return " ".join(str(error).split())


def decode(text: str) -> OperatorFile:
    """Return the settings in `text`; raise ValueError or msgspec.ValidationError, which name the key."""
    values: dict[str, Any] = tomllib.loads(text)
    return msgspec.convert(values, OperatorFile)


def load(path: Path) -> OperatorFile:
    """Return the operator file at `path`; raise OperatorError if it cannot be read or is not usable."""
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
