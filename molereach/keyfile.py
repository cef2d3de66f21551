"""Reads the file with the secret key that all proxies of a tier share; other users must not have access."""

import stat
from pathlib import Path

MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 64  # the longest key of BLAKE2b


class KeyFileError(Exception):
    """The key is invalid or cannot be read; the message is one line with setting, file and reason."""


def read_key(path: Path, setting: str) -> bytes:
    """Read the key in the file at `path`, which is the value of `setting` in the operator file.

    KeyFileError if it cannot be read, if other users have access to it, or if its length is invalid.
    """
    try:
        with path.open("rb") as file:
            if stat.S_IMODE(path.stat().st_mode) & 0o077:
                raise KeyFileError(f"{setting}: {path}: others may read it")
            key = file.read(MAX_KEY_BYTES + 2).strip()
    except OSError as error:
        raise KeyFileError(f"{setting}: {path}: {error.strerror}") from error
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        raise KeyFileError(f"{setting}: {path}: not {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes")
    return key
