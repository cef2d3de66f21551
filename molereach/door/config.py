"""What a front door is told at its start: the environment and the JSON file, checked and typed."""

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from fennelwinch import interface as i
from fennelwinch.settings import Pairs, read_settings

Address = tuple[str, int]


class ConfigError(Exception):
    """The environment or the configuration is not usable; the text is one plain line."""


@dataclass(frozen=True, slots=True)
class Config:
    """The front door's own address, whom it talks to, its limits and the module's settings."""

    name: str
    listen: Address
    discovery: Address
    settings: i.Settings
    class_numbers: Mapping[str, int]
    plan_numbers: Mapping[str, int]
    zone_numbers: Mapping[str, int]
    kind_numbers: Mapping[str, int]
    conn_idle_us: int
    connect_timeout_us: int
    max_open: int
    sockets: int
    memory_mb: int
    known: Mapping[str, Any]
    peer_listen: Address | None = None
    peers: tuple[Address, ...] = ()


def read_address(text: str) -> Address:
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ConfigError(f"'{text}' is not an address")
    return host, int(port)


def flatten(value: object, path: str = "") -> Iterator[tuple[str, str]]:
    """Nested JSON as the path=value pairs of the simulator's wire."""
    if isinstance(value, dict):
        for name, inner in value.items():
            yield from flatten(inner, f"{path}.{name}" if path else name)
    elif isinstance(value, list) and all(isinstance(item, dict) for item in value):
        yield f"{path}.count", str(len(value))
        for number, item in enumerate(value):
            yield from flatten(item, f"{path}.{number}")
    elif isinstance(value, list):
        yield path, ",".join(map(str, value))
    elif isinstance(value, bool):
        yield path, "true" if value else "false"
    elif value is not None:
        yield path, str(value)


def numbers(values: object) -> dict[str, int]:
    """The index of each name in a list of the settings: of plain names, or of objects with one."""
    if not isinstance(values, list):
        return {}
    names = [value["name"] if isinstance(value, dict) else value for value in values]
    return {str(name): number for number, name in enumerate(names)}


def parse(values: Mapping[str, Any], env: Mapping[str, str]) -> Config:
    """The configuration from the file's values, where the environment goes before them."""
    settings = values["settings"]
    pairs = Pairs(dict(flatten(settings)))
    peer_listen = values.get("peer_listen")
    limits = values.get("limits") or {}
    config = Config(
        name=env.get("PROXY_NAME") or values["name"],
        listen=read_address(env.get("PROXY_LISTEN") or values["listen"]),
        discovery=read_address(env.get("PROXY_DISCOVERY") or values["discovery"]),
        settings=read_settings(int(values["seed"], 16), pairs),
        class_numbers=numbers(settings["categories"]),
        plan_numbers=numbers(settings["plans"]),
        zone_numbers=numbers(settings.get("zones")),
        kind_numbers=numbers(settings.get("kinds")),
        conn_idle_us=pairs.whole("ceilings.conn-idle-us", 30_000_000),
        connect_timeout_us=pairs.whole("ceilings.connect-timeout-us", 250_000),
        max_open=pairs.whole("ceilings.max-open", 20_000),
        sockets=int(limits.get("sockets", 1024)),
        memory_mb=int(limits.get("memory_mb", 64)),
        known=values.get("known") or {},
        peer_listen=read_address(peer_listen) if peer_listen else None,
        peers=tuple(map(read_address, values.get("peers") or ())),
    )
    if not config.class_numbers or not config.plan_numbers:
        raise ConfigError("the settings name no class or no plan")
    if not 0 <= config.settings.me < config.settings.gateways:
        raise ConfigError(f"there is no front door {config.settings.me} of {config.settings.gateways}")
    return config


def load(env: Mapping[str, str]) -> Config:
    """The configuration that the environment points to."""
    path = env.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set")
    try:
        values = json.loads(Path(path).read_bytes())
    except (OSError, ValueError) as error:
        raise ConfigError(f"cannot read the configuration: {' '.join(str(error).split())}") from error
    try:
        return parse(values, env)
    except KeyError as error:
        raise ConfigError(f"the configuration lacks or does not know {error}") from error
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"the configuration is malformed: {' '.join(str(error).split())}") from error


def reload(env: Mapping[str, str]) -> Config:
    """The configuration anew. The environment is as old as the process: in a file that was replaced
    since, the address of discovery is the newer one."""
    return load({name: value for name, value in env.items() if name != "PROXY_DISCOVERY"})
