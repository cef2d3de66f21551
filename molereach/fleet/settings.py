"""The fleet's file, which tools and agents share, and an agent's file: typed and checked as a whole.

Both name files with secrets; one that other users can read is an error. Keys are field names in kebab case.
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

from molereach.fleet.errors import FleetError

MAX_FILE_BYTES = 1 << 20
MAX_SECRET_BYTES = 64 << 10
MAX_AGENTS = 256
MIN_TOKEN_BYTES = 16
LOOPBACK_NAMES = ("localhost",)

Seconds = Annotated[float, Meta(gt=0.0, le=600.0)]
Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]
T = TypeVar("T")


class SettingsError(FleetError):
    """A file is not usable; the text is one line that names it."""


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="kebab"):
    """A table of such a file."""


class AgentEntry(Table, frozen=True):
    """One agent of the fleet."""

    name: Name
    url: str
    # The proxies that it should know; one that it does not know is reported.
    proxies: tuple[Name, ...] = msgspec.field(name="doors", default=())

    def __post_init__(self) -> None:
        """Raise ValueError for a URL that is not usable."""
        address = urlsplit(self.url)
        beyond = address.path.strip("/") or address.query
        if address.scheme not in ("http", "https") or not address.hostname or beyond:
            raise ValueError(f"url: '{self.url}' is not http(s)://HOST:PORT")
        if address.scheme == "http" and not is_loopback(address.hostname):
            raise ValueError(f"url: '{self.url}' would carry a token in the clear; https, or loopback")


class FleetFile(Table, frozen=True, kw_only=True):
    """The agents of a fleet, and how to call them."""

    agents: Annotated[tuple[AgentEntry, ...], Meta(min_length=1, max_length=MAX_AGENTS)]
    floor: Annotated[int, Meta(ge=0, le=1000)] = 1  # ready servers that a drain leaves in each building
    timeout_s: Seconds = 2.0  # for one call
    agree_s: Seconds = 5.0  # for a majority of agents
    confirm_s: Seconds = 3.0  # for the confirmations of the proxies
    token: str  # a file with a bearer token
    ca: str = ""  # a file with the certificates that agents are verified by
    cert: str = ""  # of this client, where agents want one
    key: str = ""

    def __post_init__(self) -> None:
        """Raise ValueError for names that are not unique, or a certificate without its key."""
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
        """The names of all agents."""
        return tuple(agent.name for agent in self.agents)

    def expected_proxies(self) -> dict[str, tuple[str, ...]]:
        """Return the proxies that each agent should know, for agents that list any."""
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
    sockets: str  # a folder: NAME.sock in it is the control socket of proxy NAME
    journal: str
    listen: str
    tokens: str  # a file: a line `ROLE NAME TOKEN` for each client, ROLE read or operate
    start_alone_s: Seconds = 3.0  # then orders are sent without a majority of agents
    tls: TlsTable | None = None

    def __post_init__(self) -> None:
        """Raise ValueError for an address that is not usable, or not safe without TLS."""
        host, _, port = self.listen.rpartition(":")
        if not host or not port.isdigit() or int(port) > 65535:
            raise ValueError(f"listen: '{self.listen}' is not HOST:PORT")
        if self.tls is None and not is_loopback(host.strip("[]")):
            raise ValueError(f"listen: '{self.listen}' is beyond loopback, which takes [tls]")


def is_loopback(host: str) -> bool:
    """Return whether a host is a loopback address or name."""
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return host in LOOPBACK_NAMES


def one_line(error: object) -> str:
    """Return an error's text as one line."""
    return " ".join(str(error).split())


def load(path: Path, kind: type[T]) -> T:
    """Return a TOML file as `kind`; SettingsError names the file, the key and the reason."""
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
    """Return a path that a file names, relative to the folder of the file."""
    return file.parent / name


def read_secret(path: Path) -> str:
    """Return the text of a secret; raise SettingsError if it cannot be read, or others can read it."""
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
    """Return a client's bearer token; raise SettingsError if the file holds none."""
    token = read_secret(path)
    if len(token) < MIN_TOKEN_BYTES or not token.isprintable() or " " in token:
        raise SettingsError(f"{path}: not a token of {MIN_TOKEN_BYTES} or more characters without spaces")
    return token


def client_tls(file: Path, fleet: FleetFile) -> ssl.SSLContext:
    """Return the TLS context of a client of the agents; raise SettingsError if a file is not usable."""
    try:
        context = ssl.create_default_context(cafile=str(resolve(file, fleet.ca)) if fleet.ca else None)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        if fleet.cert:
            context.load_cert_chain(resolve(file, fleet.cert), resolve(file, fleet.key))
        return context
    except (OSError, ssl.SSLError) as error:
        raise SettingsError(f"{file}: ca, cert or key: {one_line(error)}") from error
