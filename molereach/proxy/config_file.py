"""Reads the configuration file: a small one at once, a large one in steps, with requests served between."""

import json
import os
from collections.abc import Generator, Mapping
from dataclasses import replace
from pathlib import Path
from typing import BinaryIO, TypeVar

from molereach.discovery.errors import JsonStreamError
from molereach.discovery.json_stream import EntryList, JsonStream
from molereach.protocol.settings_reader import SettingsError
from molereach.proxy.config import Config, ConfigError, parse

MAX_UNSTREAMED_FILE_BYTES = 1 << 18  # larger files are read in steps
READ_CHUNK_BYTES = 1 << 15  # read in one step
MAX_FILE_BYTES = 1 << 26
SAVED_ENTRIES_PATH = ("known", "instances")  # keys under which the entries of the saved endpoint list are

Result = TypeVar("Result")


def load(env: Mapping[str, str]) -> Config:
    """Load the configuration file that the environment names; ConfigError if it is invalid."""
    return run_to_end(load_in_steps(env))


def load_in_steps(env: Mapping[str, str], needs_saved_entries: bool = True) -> Generator[None, None, Config]:
    """The steps of `load`, one for each chunk of a large file.

    `needs_saved_entries`: whether the entries of a large saved list are kept; only the start needs them.
    """
    path = env.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set")
    entry_lists: list[bytes] = []
    try:
        with Path(path).open("rb") as file:
            if os.fstat(file.fileno()).st_size <= MAX_UNSTREAMED_FILE_BYTES:
                values = json.loads(file.read())
            else:
                values = yield from read_large_file(file, entry_lists if needs_saved_entries else None)
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: cannot read the configuration: {' '.join(str(error).split())}") from error
    try:
        return replace(parse(values, env), known_entry_lists=entry_lists)
    except RecursionError as error:
        raise ConfigError(f"{path}: is nested too deep") from error
    except (ConfigError, SettingsError) as error:
        raise ConfigError(f"{path}: {error}") from error


def read_large_file(file: BinaryIO, entry_lists: list[bytes] | None) -> Generator[None, None, object]:
    """Read the object in a large file, without most entries of the saved list.

    The text of those entries is appended to `entry_lists`, or discarded if that is None. JsonStreamError if
    the file does not consist of one object.
    """
    json_stream = JsonStream(MAX_FILE_BYTES, SAVED_ENTRIES_PATH)
    objects: list[bytes] = []
    while data := file.read(READ_CHUNK_BYTES):
        for received in json_stream.feed(data):
            if isinstance(received, EntryList):
                if entry_lists is not None:
                    entry_lists.append(received.text)
            elif received:
                objects.append(received)
        if len(objects) > 1:
            raise JsonStreamError("more than one object")
        yield
    if json_stream.unfinished:
        raise JsonStreamError("the file ends within an object")
    if not objects:
        raise JsonStreamError("no object")
    return json.loads(objects[0])


def reload(env: Mapping[str, str]) -> Config:
    """Load the configuration again while the proxy is serving; ConfigError if it is invalid.

    The discovery address is taken from the file even if the environment has one: the environment dates from
    the start of the process, while the file may have been replaced since.
    """
    return run_to_end(reload_in_steps(env))


def reload_in_steps(env: Mapping[str, str]) -> Generator[None, None, Config]:
    """The steps of `reload`, as of `load_in_steps`."""
    env_without_discovery = {name: value for name, value in env.items() if name != "PROXY_DISCOVERY"}
    return load_in_steps(env_without_discovery, needs_saved_entries=False)


def is_large(env: Mapping[str, str]) -> bool:
    """Whether the configuration file is so large that it is read in steps."""
    try:
        return Path(env.get("PROXY_CONFIG", "")).stat().st_size > MAX_UNSTREAMED_FILE_BYTES
    except (OSError, ValueError):
        return False  # the error is reported when the file is read


def run_to_end(steps: Generator[None, None, Result]) -> Result:
    """Run all steps at once and return their result; used if there are few or before requests are served."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            result: Result = stop.value
            return result
