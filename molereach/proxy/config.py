"""The configuration of a proxy: values of its JSON file and environment variables, checked and typed."""

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

MIN_SOCKETS = 48  # with fewer, the sockets that the proxy itself needs would exceed the limit
SEED = re.compile(r"[0-9a-fA-F]{1,64}")


class ConfigError(ProxyError):
    """The environment or the configuration is invalid; the message is one line."""


@dataclass(frozen=True, slots=True)
class Config:
    """The addresses of the proxy and of its peers, its resource limits and the policy's settings.

    When a changed value takes effect only after a restart, operators are shown the name of its field.
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
    known: Mapping[str, Any]  # the saved endpoint list, without the entries in `known_entry_lists`
    peer_listen: EndpointAddress | None = None
    peers: tuple[EndpointAddress, ...] = ()
    # Entries of a long `known`, as texts of JSON lists. The start empties this list as it reads them, so that
    # they are not held in memory twice.
    known_entry_lists: list[bytes] = field(default_factory=list, compare=False)


def configured_address(
    values: Mapping[str, Any], key: str, env: Mapping[str, str] | None = None
) -> EndpointAddress:
    """Read an address from the environment if it is set there, otherwise from the file.

    ConfigError if it is missing or malformed.
    """
    variable = f"PROXY_{key.upper()}"
    text = env.get(variable) if env else None
    if not text and values.get(key) is None:
        raise ConfigError(f"{key}: is missing")
    try:
        return read_address(text or values[key])
    except EndpointAddressError as error:
        raise ConfigError(f"{variable if text else key}: {error}") from None


def flatten(value: object, path: str = "") -> Iterator[tuple[str, object]]:
    """Yield the values in nested JSON with their paths, which are those of the simulator's protocol.

    Objects and lists are yielded too, so that one in place of a setting is reported as a wrong value.
    """
    if path:
        yield path, value
    if isinstance(value, dict):
        for name, member in value.items():
            yield from flatten(member, f"{path}.{name}" if path else name)
    elif isinstance(value, list) and all(isinstance(item, dict) for item in value):
        yield f"{path}.count", len(value)
        for index, item in enumerate(value):
            yield from flatten(item, f"{path}.{index}")


def read_section(
    values: Mapping[str, Any], key: str, section_type: type[Section], path_prefix: str = ""
) -> Section:
    """Return an object or a list in `values`, empty if it is absent; ConfigError for another type."""
    value = values.get(key)
    if value is None:
        return section_type()
    if not isinstance(value, section_type):
        raise ConfigError(
            f"{path_prefix}{key}: is {abbreviated(value)}, "
            f"not {'a list' if section_type is list else 'an object'}"
        )
    return value


def index_by_name(settings: Mapping[str, Any], key: str, must_be_objects: bool) -> dict[str, int]:
    """Return the index of each name in a list of objects with names, or of plain names.

    `must_be_objects`: plain names and an empty list are errors. Raises ConfigError.
    """
    indexes: dict[str, int] = {}
    for index, value in enumerate(read_section(settings, key, list, "settings.")):
        name = value.get("name") if isinstance(value, dict) else value
        if not isinstance(name, str) or (must_be_objects and not isinstance(value, dict)):
            raise ConfigError(f"settings.{key}.{index}: is {abbreviated(value)}, which has no name")
        if indexes.setdefault(name, index) != index:
            raise ConfigError(f"settings.{key}.{index}: the name {abbreviated(name)} is there twice")
    if must_be_objects and not indexes:
        raise ConfigError(f"settings.{key}: is missing or empty")
    return indexes


def parse(values: object, env: Mapping[str, str]) -> Config:
    """Build the configuration from the values of the file; environment variables take precedence.

    ConfigError or SettingsError if a value is missing or invalid.
    """
    if not isinstance(values, dict):
        raise ConfigError(f"the file holds {abbreviated(values)}, not an object")
    settings = read_section(values, "settings", dict)
    for key in ("ceilings", "extra", "obligations", "prices"):
        read_section(settings, key, dict, "settings.")
    settings_reader = SettingsReader(dict(flatten(settings)), False, "settings.")
    file_reader = SettingsReader(values, False)
    limits_reader = SettingsReader(read_section(values, "limits", dict), False, "limits.")
    seed = file_reader.text("seed", None)
    peers = read_section(values, "peers", list)
    if not SEED.fullmatch(seed):
        raise ConfigError(f"seed: is {abbreviated(seed)}, which is no hexadecimal number")
    has_peer_listen = values.get("peer_listen") not in (None, "")
    config = Config(
        name=env.get("PROXY_NAME") or file_reader.text("name", None),
        listen=configured_address(values, "listen", env),
        discovery=configured_address(values, "discovery", env),
        class_numbers=index_by_name(settings, "categories", must_be_objects=True),
        plan_numbers=index_by_name(settings, "plans", must_be_objects=True),
        zone_numbers=index_by_name(settings, "zones", must_be_objects=False),
        kind_numbers=index_by_name(settings, "kinds", must_be_objects=False),
        settings=read_settings(int(seed, 16), settings_reader),
        conn_idle_us=settings_reader.integer("ceilings.conn-idle-us", 30_000_000, 1),
        connect_timeout_us=settings_reader.integer("ceilings.connect-timeout-us", 250_000, 1),
        max_open=settings_reader.integer("ceilings.max-open", 20_000, 1),
        sockets=limits_reader.integer("sockets", 1024, MIN_SOCKETS),
        memory_mb=limits_reader.integer("memory_mb", 64, 1),
        known=values.get("known") or {},  # not checked here: a malformed saved list must not prevent a start
        peer_listen=configured_address(values, "peer_listen") if has_peer_listen else None,
        peers=tuple(
            configured_address({f"peers.{index}": text}, f"peers.{index}") for index, text in enumerate(peers)
        ),
    )
    return with_consistent_settings(config)


def with_consistent_settings(config: Config) -> Config:
    """Turn off gossip if there is no address for it or no peer; ConfigError for an unknown zone."""
    if not (config.peers and config.peer_listen):
        config = replace(config, settings=replace(config.settings, may_gossip=False))
    if config.zone_numbers and config.settings.zone >= len(config.zone_numbers):
        raise ConfigError(f"settings.zone: is {config.settings.zone}, of {len(config.zone_numbers)} zones")
    return config
