"""A secret of the whole tier in a file: read once at the start, refused where others can read it."""

import stat
from pathlib import Path

MIN_KEY_BYTES, MAX_KEY_BYTES = 16, 64  # of BLAKE2b's key at most


class KeyFileError(Exception):
    """The key cannot be used; the text is one plain line that names key, file and reason."""


def read_key(path: Path, setting: str) -> bytes:
    """The key in a file that nobody but its owner can read; `setting` names it in the operator file."""
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
