"""The system calls of a log folder, kept apart because each may fail or be the last one before a crash.

File names are relative to the open folder, so a folder that later replaces it under the same path is never
written to.
"""

import fcntl
import os
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

from molereach.coordination.storage.errors import FileSystemError

PRIVATE_FILE_MODE = 0o600
PRIVATE_FOLDER_MODE = 0o700
GROUP_AND_OTHERS_MODE = 0o077
COMMON_OPEN_FLAGS = os.O_CLOEXEC | os.O_NOFOLLOW


@dataclass(frozen=True, slots=True)
class OpenFile:
    """A file that is open for appending."""

    name: str
    descriptor: int


@contextmanager
def naming_errors(name: str) -> Iterator[None]:
    """Convert an `OSError` of the block to a `FileSystemError` with the file name."""
    try:
        yield
    except OSError as error:
        raise FileSystemError(error.errno, error.strerror, name) from error


class Disk:
    """One folder, created if it is missing; the calls raise `FileSystemError` with the file name."""

    def __init__(self, folder: Path) -> None:
        with naming_errors(""):
            try:
                folder.mkdir(mode=PRIVATE_FOLDER_MODE)
            except FileExistsError:
                pass
            else:
                # If a crash lost the folder, it would be created again with another identity.
                sync_closed_folder(folder.parent)
            self.folder = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)

    def is_accessible_to_others(self) -> bool:
        """Whether the mode of the folder gives any permission to other users."""
        with naming_errors(""):
            return bool(os.fstat(self.folder).st_mode & GROUP_AND_OTHERS_MODE)

    def lock(self) -> bool:
        """Lock the folder; returns False if another process holds the lock."""
        with naming_errors(""):
            try:
                fcntl.flock(self.folder, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                return False
            return True

    def list(self, max_names: int) -> list[str]:
        """Up to `max_names` names of files in the folder."""
        with naming_errors(""), os.scandir(self.folder) as entries:
            return [entry.name for entry, _ in zip(entries, range(max_names), strict=False)]

    def read(self, name: str, max_bytes: int) -> bytes:
        """Read up to `max_bytes` bytes from the start of a file."""
        with naming_errors(name):
            descriptor = os.open(name, os.O_RDONLY | COMMON_OPEN_FLAGS, dir_fd=self.folder)
            with os.fdopen(descriptor, "rb") as reader:
                return reader.read(max_bytes)

    def create(self, name: str) -> OpenFile:
        """Create an empty file; an existing one is truncated."""
        with naming_errors(name):
            flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | COMMON_OPEN_FLAGS
            return OpenFile(name, os.open(name, flags, PRIVATE_FILE_MODE, dir_fd=self.folder))

    def write(self, file: OpenFile, data: bytes) -> None:
        """Append `data`; after an error, any part of it may have been written."""
        with naming_errors(file.name):
            remaining = memoryview(data)
            while remaining:
                remaining = remaining[os.write(file.descriptor, remaining) :]

    def sync(self, file: OpenFile) -> None:
        """Sync the data of a file to the disk."""
        with naming_errors(file.name):
            os.fdatasync(file.descriptor)

    def close(self, file: OpenFile) -> None:
        """Close a file."""
        with naming_errors(file.name):
            os.close(file.descriptor)

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing an existing file of the new name."""
        with naming_errors(new):
            os.rename(old, new, src_dir_fd=self.folder, dst_dir_fd=self.folder)

    def remove(self, name: str) -> None:
        """Remove a file."""
        with naming_errors(name):
            os.unlink(name, dir_fd=self.folder)

    def sync_folder(self) -> None:
        """Sync the directory entries of the folder to the disk."""
        with naming_errors(""):
            os.fsync(self.folder)

    def release(self) -> None:
        """Release the lock and close the folder."""
        os.close(self.folder)


def sync_closed_folder(folder: Path) -> None:
    """Open a folder, sync its directory entries and close it."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
