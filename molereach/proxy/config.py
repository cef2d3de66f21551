"""What a front door is told at its start: the environment and the JSON file, checked and typed."""

import json
import os
import re
from collections.abc import Generator, Iterator, Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any, BinaryIO, TypeVar

from molereach.discovery.errors import JsonStreamError
from molereach.discovery.json_stream import EntryList, JsonStream
from molereach.endpoint_address import EndpointAddress, EndpointAddressError, read_address
from molereach.policy.interface.settings import Settings
from molereach.protocol.settings import read_settings
from molereach.protocol.settings_reader import SettingsError, SettingsReader, abbreviated

Section = TypeVar("Section", dict[str, Any], list[Any])
Result = TypeVar("Result")

MIN_SOCKETS = 48  # with fewer, those that a front door needs for itself would pass the limit
STREAMED_FILE_BYTES = 1 << 18  # a file of no more than this is read and parsed at once
READ_CHUNK_BYTES = 1 << 15  # of a long one
MAX_FILE_BYTES = 1 << 26
SEED = re.compile(r"[0-9a-fA-F]{1,64}")


class ConfigError(Exception):
    """The environment or the configuration is not usable; the text is one plain line."""


@dataclass(frozen=True, slots=True)
class Config:
    """The front door's own address, whom it talks to, its limits and the module's settings."""

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
    known: Mapping[str, Any]  # without the entries that are in the parts
    peer_listen: EndpointAddress | None = None
    peers: tuple[EndpointAddress, ...] = ()
    # Entries of a long `known`, as JSON lists; the start empties it, as they need not be held twice.
    known_parts: list[bytes] = field(default_factory=list, compare=False)


def configured_address(
    values: Mapping[str, Any], key: str, env: Mapping[str, str] | None = None
) -> EndpointAddress:
    """That of the environment, where it is set there, or the file's."""
    variable = f"PROXY_{key.upper()}"
    text = env.get(variable) if env else None
    if not text and values.get(key) is None:
        raise ConfigError(f"{key}: is missing")
    try:
        return read_address(text or values[key])
    except EndpointAddressError as error:
        raise ConfigError(f"{variable if text else key}: {error}") from None


def flatten(value: object, path: str = "") -> Iterator[tuple[str, object]]:
    """Nested JSON by the paths of the simulator's wire, with the objects and lists themselves, which are no
    good value where one is asked for."""
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
    """An object or a list; an empty one where it is absent."""
    value = values.get(key)
    if value is None:
        return kind()
    if not isinstance(value, kind):
        raise ConfigError(
            f"{at}{key}: is {abbreviated(value)}, not {'a list' if kind is list else 'an object'}"
        )
    return value


def numbers(settings: Mapping[str, Any], key: str, named: bool) -> dict[str, int]:
    """The index of each name in a list of the settings: of objects with one, or of plain names."""
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
    """The configuration from the file's values, where the environment goes before them."""
    if not isinstance(values, dict):
        raise ConfigError(f"the file holds {abbreviated(values)}, not an object")
    settings = section(values, "settings", dict)
    for key in ("ceilings", "extra", "obligations", "prices"):
        section(settings, key, dict, "settings.")
    pairs, own = SettingsReader(dict(flatten(settings)), False, "settings."), SettingsReader(values, False)
    limits = SettingsReader(section(values, "limits", dict), False, "limits.")
    seed, peers = own.text("seed", None), section(values, "peers", list)
    if not SEED.fullmatch(seed):
        raise ConfigError(f"seed: is {abbreviated(seed)}, which is no hexadecimal number")
    config = Config(
        name=env.get("PROXY_NAME") or own.text("name", None),
        listen=configured_address(values, "listen", env),
        discovery=configured_address(values, "discovery", env),
        class_numbers=numbers(settings, "categories", named=True),
        plan_numbers=numbers(settings, "plans", named=True),
        zone_numbers=numbers(settings, "zones", named=False),
        kind_numbers=numbers(settings, "kinds", named=False),
        settings=read_settings(int(seed, 16), pairs),
        conn_idle_us=pairs.integer("ceilings.conn-idle-us", 30_000_000, 1),
        connect_timeout_us=pairs.integer("ceilings.connect-timeout-us", 250_000, 1),
        max_open=pairs.integer("ceilings.max-open", 20_000, 1),
        sockets=limits.integer("sockets", 1024, MIN_SOCKETS),
        memory_mb=limits.integer("memory_mb", 64, 1),
        known=values.get("known") or {},  # what is wrong there must not keep it from a start
        peer_listen=None
        if values.get("peer_listen") in (None, "")
        else configured_address(values, "peer_listen"),
        peers=tuple(configured_address({f"peers.{n}": text}, f"peers.{n}") for n, text in enumerate(peers)),
    )
    if not (config.peers and config.peer_listen):  # nobody to tell, or no way to hear what they answer
        config = replace(config, settings=replace(config.settings, may_gossip=False))
    if config.zone_numbers and config.settings.zone >= len(config.zone_numbers):
        raise ConfigError(f"settings.zone: is {config.settings.zone}, of {len(config.zone_numbers)} zones")
    return config


def load(env: Mapping[str, str]) -> Config:
    """The configuration that the environment points to."""
    return run_to_end(load_in_steps(env))


def load_in_steps(env: Mapping[str, str], start: bool = True) -> Generator[None, None, Config]:
    """`load`, with a step for each piece of a long file. Only a start needs the entries of the known list."""
    path = env.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set")
    parts: list[bytes] = []
    try:
        with Path(path).open("rb") as file:
            if os.fstat(file.fileno()).st_size <= STREAMED_FILE_BYTES:
                values = json.loads(file.read())
            else:
                values = yield from read_long(file, parts if start else None)
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: cannot read the configuration: {' '.join(str(error).split())}") from error
    try:
        return replace(parse(values, env), known_parts=parts)
    except RecursionError as error:
        raise ConfigError(f"{path}: is nested too deep") from error
    except (ConfigError, SettingsError) as error:
        raise ConfigError(f"{path}: {error}") from error


def read_long(file: BinaryIO, parts: list[bytes] | None) -> Generator[None, None, object]:
    """The object in a long file, but for entries of the known list: they go to `parts`, or nowhere."""
    documents, found = JsonStream(MAX_FILE_BYTES, ("known", "instances")), []
    while data := file.read(READ_CHUNK_BYTES):
        for one in documents.feed(data):
            if isinstance(one, EntryList):
                if parts is not None:
                    parts.append(one.text)
            elif one:
                found.append(one)
        if len(found) > 1:
            raise JsonStreamError("more than one object")
        yield
    if documents.unfinished or not found:
        raise JsonStreamError("the file ends within an object" if documents.unfinished else "no object")
    return json.loads(found[0])


def reload(env: Mapping[str, str]) -> Config:
    """The configuration anew. The environment is as old as the process: in a file that was replaced
    since, the address of discovery is the newer one."""
    return run_to_end(reload_in_steps(env))


def is_long(env: Mapping[str, str]) -> bool:
    """Whether the file is one that should be read in steps."""
    try:
        return Path(env.get("PROXY_CONFIG", "")).stat().st_size > STREAMED_FILE_BYTES
    except (OSError, ValueError):
        return False  # whoever reads it says what is wrong


def reload_in_steps(env: Mapping[str, str]) -> Generator[None, None, Config]:
    """`reload`, in the steps of `load_in_steps`."""
    file_first = {name: value for name, value in env.items() if name != "PROXY_DISCOVERY"}
    return load_in_steps(file_first, start=False)


def run_to_end(steps: Generator[None, None, Result]) -> Result:
    """All steps at once: nobody is served yet, or there are few."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            result: Result = end.value
            return result
