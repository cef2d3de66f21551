"""The system calls of a store, and nothing else: each can fail or be the last before a crash.

All names are within the folder, which is held open: one that is put in its place meanwhile is not written to.
"""

import fcntl
import os
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

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
    """An OSError that says which file it is about."""
    try:
        yield
    except OSError as error:
        raise OSError(error.errno, error.strerror, name) from error


class Disk:
    """One folder, made if it is missing, locked for as long as it is open; OSError with the file's name."""

    def __init__(self, folder: Path) -> None:
        with named(""):
            try:
                folder.mkdir(mode=PRIVATE_FOLDER)
            except FileExistsError:
                pass
            else:
                sync_at(folder.parent)  # a folder that a crash takes back has another identity after it
            self.folder = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)

    def open_to_others(self) -> bool:
        with named(""):
            return bool(os.fstat(self.folder).st_mode & OTHERS)

    def lock(self) -> bool:
        """False where another process has it."""
        with named(""):
            try:
                fcntl.flock(self.folder, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                return False
            return True

    def list(self, most: int) -> list[str]:
        """At most `most` names."""
        with named(""), os.scandir(self.folder) as entries:
            return [entry.name for entry, _ in zip(entries, range(most), strict=False)]

    def read(self, name: str, most: int) -> bytes:
        """The file's first `most` bytes."""
        with named(name):
            file = os.open(name, os.O_RDONLY | SAFE, dir_fd=self.folder)
            with os.fdopen(file, "rb") as reader:
                return reader.read(most)

    def create(self, name: str) -> File:
        """An empty file; one of that name is cut to nothing."""
        with named(name):
            flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | SAFE
            return File(name, os.open(name, flags, PRIVATE_FILE, dir_fd=self.folder))

    def write(self, file: File, data: bytes) -> None:
        """All of it; after an error any part of it may be there."""
        with named(file.name):
            left = memoryview(data)
            while left:
                left = left[os.write(file.number, left) :]

    def sync(self, file: File) -> None:
        with named(file.name):
            os.fdatasync(file.number)

    def close(self, file: File) -> None:
        with named(file.name):
            os.close(file.number)

    def rename(self, old: str, new: str) -> None:
        with named(new):
            os.rename(old, new, src_dir_fd=self.folder, dst_dir_fd=self.folder)

    def remove(self, name: str) -> None:
        with named(name):
            os.unlink(name, dir_fd=self.folder)

    def sync_folder(self) -> None:
        with named(""):
            os.fsync(self.folder)

    def release(self) -> None:
        """Gives up the lock."""
        os.close(self.folder)


def sync_at(folder: Path) -> None:
    number = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(number)
    finally:
        os.close(number)
