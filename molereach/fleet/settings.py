"""The fleet's file, which tools and agents share, and an agent's own: typed, and checked as a whole.

Secrets are files that these name; one that others can read is refused.
"""

import ipaddress
import ssl
import stat
import tomllib
from pathlib import Path
from typing import Annotated, TypeVar
from urllib.parse import urlsplit

import msgspec
from msgspec import Meta

MAX_FILE_BYTES = 1 << 20
MAX_SECRET_BYTES = 64 << 10
MAX_AGENTS = 256
MIN_TOKEN_BYTES = 16
LOOPBACK_NAMES = ("localhost",)

Seconds = Annotated[float, Meta(gt=0.0, le=600.0)]
Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]
T = TypeVar("T")


class SettingsError(Exception):
    """A file is not usable; the text is one plain line that names it."""


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="kebab"):
    """A table of a file."""


class AgentEntry(Table, frozen=True):
    """One agent of the fleet."""

    name: Name
    url: str
    # The proxies that it should know; one that it does not know is reported.
    proxies: tuple[Name, ...] = msgspec.field(name="doors", default=())

    def __post_init__(self) -> None:
        parts = urlsplit(self.url)
        beyond = parts.path.strip("/") or parts.query
        if parts.scheme not in ("http", "https") or not parts.hostname or beyond:
            raise ValueError(f"url: '{self.url}' is not http(s)://HOST:PORT")
        if parts.scheme == "http" and not is_loopback(parts.hostname):
            raise ValueError(f"url: '{self.url}' would carry a token in the clear; https, or loopback")


class FleetFile(Table, frozen=True, kw_only=True):
    """All agents, and how to speak with them."""

    agents: Annotated[tuple[AgentEntry, ...], Meta(min_length=1, max_length=MAX_AGENTS)]
    floor: Annotated[int, Meta(ge=0, le=1000)] = 1  # ready servers that a drain leaves in each building
    timeout_s: Seconds = 2.0  # for one call
    agree_s: Seconds = 5.0  # for a majority of agents
    confirm_s: Seconds = 3.0  # for the front doors' word
    token: str  # a file with a bearer token
    ca: str = ""  # a file with the certificates that agents are verified by
    cert: str = ""  # of this client, where agents want one
    key: str = ""

    def __post_init__(self) -> None:
        for what, names in (
            ("agents", [agent.name for agent in self.agents]),
            ("doors", [door for agent in self.agents for door in agent.proxies]),
        ):
            for name in names:
                if names.count(name) > 1:
                    raise ValueError(f"{what}: '{name}' stands there twice")
        if bool(self.cert) != bool(self.key):
            raise ValueError("cert and key: one without the other")

    @property
    def names(self) -> tuple[str, ...]:
        return tuple(agent.name for agent in self.agents)

    def expected_proxies(self) -> dict[str, tuple[str, ...]]:
        """The front doors that each agent should know."""
        return {agent.name: agent.proxies for agent in self.agents if agent.proxies}


class TlsTable(Table, frozen=True):
    """`[tls]` of an agent: certificates from files."""

    cert: str
    key: str
    client_ca: str = ""  # clients must show a certificate of these


class AgentFile(Table, frozen=True, kw_only=True):
    """One agent."""

    name: Name
    fleet: str  # the fleet's file, in which it stands
    sockets: str  # a folder: each NAME.sock in it is the control socket of front door NAME
    journal: str
    listen: str
    tokens: str  # a file: a line `ROLE NAME TOKEN` for each client, ROLE read or operate
    start_alone_s: Seconds = 3.0  # without a majority of agents, front doors are told of orders after that
    tls: TlsTable | None = None

    def __post_init__(self) -> None:
        host, _, port = self.listen.rpartition(":")
        if not host or not port.isdigit() or int(port) > 65535:
            raise ValueError(f"listen: '{self.listen}' is not HOST:PORT")
        if self.tls is None and not is_loopback(host.strip("[]")):
            raise ValueError(f"listen: '{self.listen}' is beyond loopback, which takes [tls]")


def is_loopback(host: str) -> bool:
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return host in LOOPBACK_NAMES


def one_line(error: object) -> str:
    return " ".join(str(error).split())


def load(path: Path, kind: type[T]) -> T:
    """A TOML file as `kind`; SettingsError names the file, the key and the reason."""
    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
        if len(data) > MAX_FILE_BYTES:
            raise SettingsError(f"{path}: larger than {MAX_FILE_BYTES} bytes")
        return msgspec.convert(tomllib.loads(data.decode("utf-8")), kind)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror or one_line(error)}") from error
    except (ValueError, msgspec.ValidationError) as error:
        raise SettingsError(f"{path}: {one_line(error)}") from error


def resolve(file: Path, name: str) -> Path:
    """A path that a file names, from the folder that the file is in."""
    return file.parent / name


def read_secret(path: Path) -> str:
    """The text of a secret; SettingsError where it cannot be read, or others can."""
    try:
        with path.open("rb") as file:
            mode = stat.S_IMODE(path.stat().st_mode)
            data = file.read(MAX_SECRET_BYTES + 1)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    if mode & 0o077:
        raise SettingsError(f"{path}: others may read it (mode {mode:o}); a secret is for its owner only")
    if len(data) > MAX_SECRET_BYTES:
        raise SettingsError(f"{path}: larger than {MAX_SECRET_BYTES} bytes")
    try:
        return data.decode("ascii").strip()
    except UnicodeDecodeError:
        raise SettingsError(f"{path}: not plain text") from None


def load_token(path: Path) -> str:
    """A client's bearer token."""
    token = read_secret(path)
    if len(token) < MIN_TOKEN_BYTES or not token.isprintable() or " " in token:
        raise SettingsError(f"{path}: not a token of {MIN_TOKEN_BYTES} or more characters without spaces")
    return token


def client_tls(file: Path, fleet: FleetFile) -> ssl.SSLContext:
    """What agents are verified by, and this client's own certificate; SettingsError if it cannot be had."""
    try:
        context = ssl.create_default_context(cafile=str(resolve(file, fleet.ca)) if fleet.ca else None)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        if fleet.cert:
            context.load_cert_chain(resolve(file, fleet.cert), resolve(file, fleet.key))
        return context
    except (OSError, ssl.SSLError) as error:
        raise SettingsError(f"{file}: ca, cert or key: {one_line(error)}") from error
