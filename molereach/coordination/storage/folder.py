"""The log folder of one node: opens it, or says in one line why not, and writes what must be durable.

Each opening copies the valid contents into a new generation. What a reader finds may be in the system's
memory alone, after a sync that failed in the run before (Rebello, "Can Applications Recover from fsync
Failures?", 2020): a run builds only on what it has written and synced itself. The copy drops a torn frame,
too.
"""

import contextlib
import secrets
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec

from molereach.coordination.interface.disk import Persist
from molereach.coordination.storage import sealed_files
from molereach.coordination.storage.disk import Disk, File
from molereach.coordination.storage.errors import FolderError, InvalidFileError
from molereach.coordination.storage.frames import MAX_TAIL_BYTES, FrameChain
from molereach.coordination.storage.plan import (
    IDENTITY,
    MAX_NAMES,
    NEW_SUFFIX,
    ExistingFolder,
    NewFolder,
    base_name,
    plan_opening,
    tail_name,
)
from molereach.coordination.storage.reader import read_folder
from molereach.coordination.storage.sealed_files import IDENTITY_BYTES, FolderOwner


@dataclass(frozen=True, slots=True)
class OpenedFolder:
    """What the disk holds: a base or None, and the records since, in order."""

    identity: str  # 32 hex digits, the same for as long as the folder exists
    base: bytes | None
    records: list[bytes]
    folder: "LogFolder"


@dataclass(slots=True)
class _Tail:
    """The tail that is written to."""

    generation: int
    file: File
    chain: FrameChain
    size: int = 0  # bytes of frames


def random_identity() -> bytes:
    """A new folder's identity: 128 random bits."""
    return secrets.token_bytes(IDENTITY_BYTES)


class LogFolder:
    """One open folder. Not for two threads at once; a call returns once everything is on the disk."""

    def __init__(self, disk: Disk, path: Path, owner: FolderOwner) -> None:
        self.disk = disk
        self.path = path
        self.owner = owner
        self.tail: _Tail | None = None
        # A write or sync has failed: what is on the disk is unknown until the next start.
        self.failed = False

    @staticmethod
    def open(
        path: Path,
        node_name: str,
        draw_identity: Callable[[], bytes] = random_identity,
        open_disk: Callable[[Path], Disk] = Disk,
    ) -> OpenedFolder:
        """Open a folder, or make it where there is none.

        Raises `FolderError`; then no valid contents were changed, and the folder is not locked.
        """
        try:
            disk = open_disk(path)
        except OSError as error:
            raise folder_error(path, error) from error
        try:
            return _open(disk, path, node_name, draw_identity)
        except FolderError:
            disk.release()
            raise
        except (OSError, ValueError) as error:
            disk.release()
            raise folder_error(path, error) from error

    def write(self, batch: Sequence[Persist]) -> None:
        """Write the whole batch, in one write and one sync.

        After a `FolderError` nothing may be promised any more, and nothing is written: a second sync may
        report success when the data is lost.
        """
        if self.failed:
            raise FolderError(f"{self.path}: is closed, or a write has failed before; start again")
        try:
            self._write(batch)
        except Exception as error:
            self.failed = True
            if isinstance(error, OSError | ValueError):
                raise folder_error(self.path, error) from error
            raise

    def close(self) -> None:
        """Release the folder."""
        self.failed = True
        if self.tail:
            with contextlib.suppress(OSError):  # what was reported as written is synced
                self.disk.close(self.tail.file)
        self.disk.release()

    def _write(self, batch: Sequence[Persist]) -> None:
        with_base = [index for index, persist in enumerate(batch) if persist.base is not None]
        first = with_base[-1] if with_base else 0
        records = [record for persist in batch[first:] for record in persist.records]
        assert self.tail
        if with_base:  # it replaces everything before it, also what waited with it
            self._begin_generation(self.tail.generation + 1, batch[first].base, records)
        elif records:
            self.disk.write(self.tail.file, self._frame(self.tail, records))
            self.disk.sync(self.tail.file)

    def _frame(self, tail: _Tail, records: Sequence[bytes]) -> bytes:
        frame = tail.chain.frame(records)
        tail.size += len(frame)
        if tail.size > MAX_TAIL_BYTES:
            raise ValueError(
                f"{tail_name(tail.generation)} would hold {tail.size} bytes without a new base; "
                f"{MAX_TAIL_BYTES} at most"
            )
        return frame

    def _begin_generation(self, generation: int, base: bytes | None, records: Sequence[bytes]) -> None:
        """A new base and its tail; the old ones stay valid until the new base has its name on the disk."""
        old = self.tail
        disk = self.disk
        name = base_name(generation)
        data = sealed_files.encode_base(self.owner, generation, base)
        seed = sealed_files.tail_seed(data)
        self._write_file(name + NEW_SUFFIX, data)
        tail = _Tail(generation, disk.create(tail_name(generation)), FrameChain(seed))
        head = sealed_files.seal("tail", seed)
        disk.write(tail.file, head + (self._frame(tail, records) if records else b""))
        disk.sync(tail.file)
        disk.sync_folder()
        disk.rename(name + NEW_SUFFIX, name)
        disk.sync_folder()
        self.tail = tail
        if old:
            disk.close(old.file)
            disk.remove(tail_name(old.generation))
            disk.remove(base_name(old.generation))

    def _write_file(self, name: str, data: bytes) -> None:
        """Write a complete file, and sync it and its name."""
        file = self.disk.create(name)
        self.disk.write(file, data)
        self.disk.sync(file)
        self.disk.close(file)
        self.disk.sync_folder()

    def _remove(self, names: Sequence[str]) -> None:
        for name in names:
            self.disk.remove(name)
            self.disk.sync_folder()


def folder_error(path: Path, error: OSError | ValueError) -> FolderError:
    """The error in one line; where it is about one file, it names that within the folder."""
    if isinstance(error, OSError):
        return FolderError(f"{path / (error.filename or '')}: {error.strerror or error}")
    separator = "/" if isinstance(error, InvalidFileError) else ": "
    return FolderError(f"{path}{separator}{' '.join(str(error).split())}")


def _open(disk: Disk, path: Path, node_name: str, draw_identity: Callable[[], bytes]) -> OpenedFolder:
    if disk.open_to_others():
        raise FolderError(f"{path}: others can read or write it; its mode must be 0700")
    if not disk.lock():
        raise FolderError(f"{path}: another process has it")
    names = disk.list(MAX_NAMES + 1)
    if len(names) > MAX_NAMES:
        raise FolderError(f"{path}: holds more than {MAX_NAMES} files")
    found = plan_opening(names)
    if isinstance(found, NewFolder):
        return _make(disk, path, node_name, draw_identity)
    return _load(disk, path, node_name, found)


def _make(disk: Disk, path: Path, node_name: str, draw_identity: Callable[[], bytes]) -> OpenedFolder:
    owner = msgspec.convert({"door": node_name, "identity": draw_identity().hex()}, FolderOwner)
    folder = LogFolder(disk, path, owner)
    folder._write_file(IDENTITY + NEW_SUFFIX, sealed_files.encode_owner(owner))
    folder._begin_generation(0, None, ())
    disk.rename(IDENTITY + NEW_SUFFIX, IDENTITY)
    disk.sync_folder()
    return OpenedFolder(owner.identity, None, [], folder)


def _load(disk: Disk, path: Path, node_name: str, found: ExistingFolder) -> OpenedFolder:
    """Everything is read and checked before anything is changed."""
    contents = read_folder(disk, node_name, found.generation)
    folder = LogFolder(disk, path, contents.owner)
    disk.sync_folder()  # a name that the run before gave may not be on the disk
    folder._remove(found.remove)
    folder._begin_generation(found.generation + 1, contents.base, contents.records)
    folder._remove((tail_name(found.generation), base_name(found.generation)))
    return OpenedFolder(contents.owner.identity, contents.base, contents.records, folder)
