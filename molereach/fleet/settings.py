"""The fleet's file, which tools and agents share, and an agent's file: typed, and checked when loaded.

Both name files that hold secrets; a secret that other users can read is an error. Keys are the field names in
kebab case, or the name given to `msgspec.field`.
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
    """A file is not valid or not readable; the text is one line that names it."""


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="kebab"):
    """A table of a settings file."""


class AgentEntry(Table, frozen=True):
    """`[[agents]]` of the fleet's file: one agent."""

    name: Name
    url: str
    # The proxies that the agent is expected to know; a report names those that it does not know.
    proxies: tuple[Name, ...] = msgspec.field(name="doors", default=())

    def __post_init__(self) -> None:
        """Raise ValueError if the URL is not valid, or would send the token unencrypted over a network."""
        parsed_url = urlsplit(self.url)
        path_or_query = parsed_url.path.strip("/") or parsed_url.query
        if parsed_url.scheme not in ("http", "https") or not parsed_url.hostname or path_or_query:
            raise ValueError(f"url: '{self.url}' is not http(s)://HOST:PORT")
        if parsed_url.scheme == "http" and not is_loopback(parsed_url.hostname):
            raise ValueError(f"url: '{self.url}' would carry a token in the clear; https, or loopback")


class FleetFile(Table, frozen=True, kw_only=True):
    """The fleet's file: its agents, and how a client connects to them."""

    agents: Annotated[tuple[AgentEntry, ...], Meta(min_length=1, max_length=MAX_AGENTS)]
    floor: Annotated[int, Meta(ge=0, le=1000)] = 1  # ready servers that a drain must leave in each building
    timeout_s: Seconds = 2.0  # for one request to an agent
    agree_s: Seconds = 5.0  # for a majority of agents to agree on an order
    confirm_s: Seconds = 3.0  # for the proxies to confirm an order
    token: str  # a file that holds a bearer token
    ca: str = ""  # a file of CA certificates, which verify the agents' certificates
    cert: str = ""  # a file with this client's certificate, for agents that require one
    key: str = ""

    def __post_init__(self) -> None:
        """Raise ValueError if a name is not unique, or only one of certificate and key is given."""
        for key, names in (
            ("agents", [agent.name for agent in self.agents]),
            ("doors", [proxy for agent in self.agents for proxy in agent.proxies]),
        ):
            for name in names:
                if names.count(name) > 1:
                    raise ValueError(f"{key}: '{name}' stands there twice")
        if bool(self.cert) != bool(self.key):
            raise ValueError("cert and key: one without the other")

    @property
    def names(self) -> tuple[str, ...]:
        """The names of all agents."""
        return tuple(agent.name for agent in self.agents)

    def expected_proxies(self) -> dict[str, tuple[str, ...]]:
        """Return the proxies that each agent is expected to know, for agents that list any."""
        return {agent.name: agent.proxies for agent in self.agents if agent.proxies}


class TlsTable(Table, frozen=True):
    """`[tls]` of an agent's file: the files that hold its certificate and key."""

    cert: str
    key: str
    client_ca: str = ""  # a file of CA certificates; clients then need a certificate that one of them issued


class AgentFile(Table, frozen=True, kw_only=True):
    """An agent's file."""

    name: Name
    fleet: str  # the fleet's file, which must list this agent
    sockets: str  # a folder, in which NAME.sock is the control socket of proxy NAME
    journal: str
    listen: str
    tokens: str  # a file with a line `ROLE NAME TOKEN` for each client; ROLE is read or operate
    start_alone_s: Seconds = 3.0  # after this time orders are sent without a majority of agents
    tls: TlsTable | None = None

    def __post_init__(self) -> None:
        """Raise ValueError if the address is not valid, or is not loopback and there is no TLS."""
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
    """Return a TOML file as `kind`; raise SettingsError with the file, the key and the reason."""
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
    """Return a path that a settings file names, relative to the folder of that file."""
    return file.parent / name


def read_secret(path: Path) -> str:
    """Return the text of a secret; raise SettingsError if it is not readable, or readable by others."""
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
    """Return the bearer token in a file; raise SettingsError if there is no valid one."""
    token = read_secret(path)
    if len(token) < MIN_TOKEN_BYTES or not token.isprintable() or " " in token:
        raise SettingsError(f"{path}: not a token of {MIN_TOKEN_BYTES} or more characters without spaces")
    return token


def client_tls(file: Path, fleet: FleetFile) -> ssl.SSLContext:
    """Return the TLS context for requests to agents; raise SettingsError if a file cannot be loaded."""
    try:
        context = ssl.create_default_context(cafile=str(resolve(file, fleet.ca)) if fleet.ca else None)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        if fleet.cert:
            context.load_cert_chain(resolve(file, fleet.cert), resolve(file, fleet.key))
        return context
    except (OSError, ssl.SSLError) as error:
        raise SettingsError(f"{file}: ca, cert or key: {one_line(error)}") from error
