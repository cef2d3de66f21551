"""A proxy's configuration: the values of its JSON file and the environment, checked and typed."""

import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field, replace
from typing import Any, TypeVar

from molereach.endpoint_address import EndpointAddress, EndpointAddressError, read_address
from molereach.policy.interface.settings import Settings
from molereach.protocol.settings import read_settings
from molereach.protocol.settings_reader import SettingsReader, abbreviated
from molereach.proxy.errors import ProxyError

Section = TypeVar("Section", dict[str, Any], list[Any])

MIN_SOCKETS = 48  # with fewer, those that a proxy needs for itself would pass the limit
SEED = re.compile(r"[0-9a-fA-F]{1,64}")


class ConfigError(ProxyError):
    """The environment or the configuration is not usable; the text is one plain line."""


@dataclass(frozen=True, slots=True)
class Config:
    """The proxy's addresses, whom it talks to, its limits and the policy's settings.

    The names of its fields are shown to operators where a new value needs a restart.
    """

    name: str
    listen: EndpointAddress
    discovery: EndpointAddress
    settings: Settings
    class_numbers: Mapping[str, int]
    plan_numbers: Mapping[str, int]
    zone_numbers: Mapping[str, int]
    kind_numbers: Mapping[str, int]
    conn_idle_us: int
    connect_timeout_us: int
    max_open: int
    sockets: int
    memory_mb: int
    known: Mapping[str, Any]  # without the entries that are in the lists below
    peer_listen: EndpointAddress | None = None
    peers: tuple[EndpointAddress, ...] = ()
    # Entries of a long `known`, as JSON lists; the start empties it, as they need not be in memory twice.
    known_entry_lists: list[bytes] = field(default_factory=list, compare=False)


def configured_address(
    values: Mapping[str, Any], key: str, env: Mapping[str, str] | None = None
) -> EndpointAddress:
    """An address of the environment, where it is set there, or of the file; ConfigError for none."""
    variable = f"PROXY_{key.upper()}"
    text = env.get(variable) if env else None
    if not text and values.get(key) is None:
        raise ConfigError(f"{key}: is missing")
    try:
        return read_address(text or values[key])
    except EndpointAddressError as error:
        raise ConfigError(f"{variable if text else key}: {error}") from None


def flatten(value: object, path: str = "") -> Iterator[tuple[str, object]]:
    """Nested JSON by the paths of the simulator's wire, with the objects and lists themselves: where a
    setting is expected, these are reported as wrong values.
    """
    if path:
        yield path, value
    if isinstance(value, dict):
        for name, inner in value.items():
            yield from flatten(inner, f"{path}.{name}" if path else name)
    elif isinstance(value, list) and all(isinstance(item, dict) for item in value):
        yield f"{path}.count", len(value)
        for number, item in enumerate(value):
            yield from flatten(item, f"{path}.{number}")


def section(values: Mapping[str, Any], key: str, kind: type[Section], at: str = "") -> Section:
    """An object or a list of `values`, empty where it is absent; ConfigError for anything else."""
    value = values.get(key)
    if value is None:
        return kind()
    if not isinstance(value, kind):
        raise ConfigError(
            f"{at}{key}: is {abbreviated(value)}, not {'a list' if kind is list else 'an object'}"
        )
    return value


def numbers(settings: Mapping[str, Any], key: str, named: bool) -> dict[str, int]:
    """The index of each name in a list of the settings: of objects with one, or of plain names.

    `named`: only objects are allowed, and there must be one. ConfigError otherwise.
    """
    found: dict[str, int] = {}
    for number, value in enumerate(section(settings, key, list, "settings.")):
        name = value.get("name") if isinstance(value, dict) else value
        if not isinstance(name, str) or (named and not isinstance(value, dict)):
            raise ConfigError(f"settings.{key}.{number}: is {abbreviated(value)}, which has no name")
        if found.setdefault(name, number) != number:
            raise ConfigError(f"settings.{key}.{number}: the name {abbreviated(name)} is there twice")
    if named and not found:
        raise ConfigError(f"settings.{key}: is missing or empty")
    return found


def parse(values: object, env: Mapping[str, str]) -> Config:
    """The configuration from the file's values, where the environment goes before them.

    ConfigError or SettingsError for what is missing or wrong.
    """
    if not isinstance(values, dict):
        raise ConfigError(f"the file holds {abbreviated(values)}, not an object")
    settings = section(values, "settings", dict)
    for key in ("ceilings", "extra", "obligations", "prices"):
        section(settings, key, dict, "settings.")
    settings_reader = SettingsReader(dict(flatten(settings)), False, "settings.")
    file_reader = SettingsReader(values, False)
    limits = SettingsReader(section(values, "limits", dict), False, "limits.")
    seed = file_reader.text("seed", None)
    peers = section(values, "peers", list)
    if not SEED.fullmatch(seed):
        raise ConfigError(f"seed: is {abbreviated(seed)}, which is no hexadecimal number")
    has_peer_listen = values.get("peer_listen") not in (None, "")
    config = Config(
        name=env.get("PROXY_NAME") or file_reader.text("name", None),
        listen=configured_address(values, "listen", env),
        discovery=configured_address(values, "discovery", env),
        class_numbers=numbers(settings, "categories", named=True),
        plan_numbers=numbers(settings, "plans", named=True),
        zone_numbers=numbers(settings, "zones", named=False),
        kind_numbers=numbers(settings, "kinds", named=False),
        settings=read_settings(int(seed, 16), settings_reader),
        conn_idle_us=settings_reader.integer("ceilings.conn-idle-us", 30_000_000, 1),
        connect_timeout_us=settings_reader.integer("ceilings.connect-timeout-us", 250_000, 1),
        max_open=settings_reader.integer("ceilings.max-open", 20_000, 1),
        sockets=limits.integer("sockets", 1024, MIN_SOCKETS),
        memory_mb=limits.integer("memory_mb", 64, 1),
        known=values.get("known") or {},  # what is wrong there must not keep it from a start
        peer_listen=configured_address(values, "peer_listen") if has_peer_listen else None,
        peers=tuple(configured_address({f"peers.{n}": text}, f"peers.{n}") for n, text in enumerate(peers)),
    )
    return consistent(config)


def consistent(config: Config) -> Config:
    """The configuration, without gossip where nobody can receive it; ConfigError for an unknown zone."""
    if not (config.peers and config.peer_listen):
        config = replace(config, settings=replace(config.settings, may_gossip=False))
    if config.zone_numbers and config.settings.zone >= len(config.zone_numbers):
        raise ConfigError(f"settings.zone: is {config.settings.zone}, of {len(config.zone_numbers)} zones")
    return config
