"""Reads the configuration file: a short one at once, a long one in steps with requests between them."""

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

STREAMED_FILE_BYTES = 1 << 18  # a file of no more than this is read and parsed at once
READ_CHUNK_BYTES = 1 << 15  # of a long one
MAX_FILE_BYTES = 1 << 26
SAVED_ENTRIES_PATH = ("known", "instances")  # the keys that lead to the entries of the saved list

Result = TypeVar("Result")


def load(env: Mapping[str, str]) -> Config:
    """The configuration that the environment points to; ConfigError where it cannot be used."""
    return run_to_end(load_in_steps(env))


def load_in_steps(env: Mapping[str, str], start: bool = True) -> Generator[None, None, Config]:
    """`load`, with a step for each chunk of a long file.

    `start`: whether the entries of the saved list are needed.
    """
    path = env.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set")
    entry_lists: list[bytes] = []
    try:
        with Path(path).open("rb") as file:
            if os.fstat(file.fileno()).st_size <= STREAMED_FILE_BYTES:
                values = json.loads(file.read())
            else:
                values = yield from read_long_file(file, entry_lists if start else None)
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: cannot read the configuration: {' '.join(str(error).split())}") from error
    try:
        return replace(parse(values, env), known_entry_lists=entry_lists)
    except RecursionError as error:
        raise ConfigError(f"{path}: is nested too deep") from error
    except (ConfigError, SettingsError) as error:
        raise ConfigError(f"{path}: {error}") from error


def read_long_file(file: BinaryIO, entry_lists: list[bytes] | None) -> Generator[None, None, object]:
    """The object in a long file without entries of the saved list: these go to `entry_lists`, or nowhere.

    JsonStreamError where the file is not one object.
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
    """The configuration anew, for a proxy that serves; ConfigError where it cannot be used.

    The environment is as old as the process: in a file that was replaced since, the address of discovery is
    the newer one.
    """
    return run_to_end(reload_in_steps(env))


def reload_in_steps(env: Mapping[str, str]) -> Generator[None, None, Config]:
    """`reload`, in the steps of `load_in_steps`."""
    file_first = {name: value for name, value in env.items() if name != "PROXY_DISCOVERY"}
    return load_in_steps(file_first, start=False)


def is_long(env: Mapping[str, str]) -> bool:
    """Whether the file is one that should be read in steps."""
    try:
        return Path(env.get("PROXY_CONFIG", "")).stat().st_size > STREAMED_FILE_BYTES
    except (OSError, ValueError):
        return False  # whoever reads it reports what is wrong


def run_to_end(steps: Generator[None, None, Result]) -> Result:
    """All steps at once, for when nothing is served yet or there are few; the result of the last."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            result: Result = end.value
            return result
