"""The system calls of a log folder, and nothing else: each can fail or be the last before a crash.

All names are relative to the folder, which is held open: a folder that takes its place later is not written
to.
"""

import fcntl
import os
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

from molereach.coordination.storage.errors import FileSystemError

PRIVATE_FILE = 0o600
PRIVATE_FOLDER = 0o700
OTHERS = 0o077
SAFE = os.O_CLOEXEC | os.O_NOFOLLOW


@dataclass(frozen=True, slots=True)
class File:
    """A file that is open for writing at its end."""

    name: str
    number: int


@contextmanager
def named(name: str) -> Iterator[None]:
    """Raise an `OSError` of the block as a `FileSystemError` that names the file."""
    try:
        yield
    except OSError as error:
        raise FileSystemError(error.errno, error.strerror, name) from error


class Disk:
    """One folder, created if it is missing; each call raises `FileSystemError` with the file's name."""

    def __init__(self, folder: Path) -> None:
        with named(""):
            try:
                folder.mkdir(mode=PRIVATE_FOLDER)
            except FileExistsError:
                pass
            else:
                sync_at(folder.parent)  # a folder that is lost in a crash gets another identity
            self.folder = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)

    def open_to_others(self) -> bool:
        """Whether other users may read or write the folder."""
        with named(""):
            return bool(os.fstat(self.folder).st_mode & OTHERS)

    def lock(self) -> bool:
        """Lock the folder; False where another process has the lock."""
        with named(""):
            try:
                fcntl.flock(self.folder, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                return False
            return True

    def list(self, max_names: int) -> list[str]:
        """At most `max_names` names of the folder."""
        with named(""), os.scandir(self.folder) as entries:
            return [entry.name for entry, _ in zip(entries, range(max_names), strict=False)]

    def read(self, name: str, max_bytes: int) -> bytes:
        """The file's first `max_bytes` bytes."""
        with named(name):
            file = os.open(name, os.O_RDONLY | SAFE, dir_fd=self.folder)
            with os.fdopen(file, "rb") as reader:
                return reader.read(max_bytes)

    def create(self, name: str) -> File:
        """Create an empty file; an existing one is truncated."""
        with named(name):
            flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | SAFE
            return File(name, os.open(name, flags, PRIVATE_FILE, dir_fd=self.folder))

    def write(self, file: File, data: bytes) -> None:
        """Append all of `data`; after an error any part of it may be there."""
        with named(file.name):
            left = memoryview(data)
            while left:
                left = left[os.write(file.number, left) :]

    def sync(self, file: File) -> None:
        """Return once the file's data is on the disk."""
        with named(file.name):
            os.fdatasync(file.number)

    def close(self, file: File) -> None:
        """Close a file."""
        with named(file.name):
            os.close(file.number)

    def rename(self, old: str, new: str) -> None:
        """Rename a file; one that has the new name is replaced."""
        with named(new):
            os.rename(old, new, src_dir_fd=self.folder, dst_dir_fd=self.folder)

    def remove(self, name: str) -> None:
        """Remove a file."""
        with named(name):
            os.unlink(name, dir_fd=self.folder)

    def sync_folder(self) -> None:
        """Return once the folder's names are on the disk."""
        with named(""):
            os.fsync(self.folder)

    def release(self) -> None:
        """Release the lock and close the folder."""
        os.close(self.folder)


def sync_at(folder: Path) -> None:
    """Sync the names of a folder that is not open."""
    number = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(number)
    finally:
        os.close(number)
