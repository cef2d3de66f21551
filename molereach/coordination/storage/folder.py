"""The log folder of one node: opens it and makes writes durable; errors are one line each.

The contents are a base, which is a snapshot, and a tail of records that were written after it. Each write
appends its records to the tail as one frame. A base and its tail form a generation.

Each opening copies the valid contents into a new generation. Data that is read may exist only in the page
cache, after a sync that failed in the previous run (Rebello, "Can Applications Recover from fsync Failures?",
2020), so a run relies only on data that it has written and synced itself. The copy also drops a torn frame.
"""

import contextlib
import secrets
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec

from molereach.coordination.interface.disk import Persist
from molereach.coordination.storage import sealed_files
from molereach.coordination.storage.disk import Disk, OpenFile
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
    """An open folder with its contents: a base or None, and the records after it, in order."""

    identity: str  # 32 hex digits, constant for the lifetime of the folder
    base: bytes | None
    records: list[bytes]
    folder: "LogFolder"


@dataclass(slots=True)
class _Tail:
    """The tail that is being written."""

    generation: int
    file: OpenFile
    chain: FrameChain
    frame_bytes: int = 0  # of all its frames


def random_identity() -> bytes:
    """Draw the identity of a new folder: 128 random bits."""
    return secrets.token_bytes(IDENTITY_BYTES)


class LogFolder:
    """One open folder. Not thread-safe; a write returns once everything is on the disk."""

    def __init__(self, disk: Disk, path: Path, owner: FolderOwner) -> None:
        self.disk = disk
        self.path = path
        self.owner = owner
        self.tail: _Tail | None = None
        # Set by `close`, and once a write or sync fails: the contents of the disk are then unknown until the
        # next start.
        self.write_disabled = False

    @staticmethod
    def open(
        path: Path,
        node_name: str,
        draw_identity: Callable[[], bytes] = random_identity,
        open_disk: Callable[[Path], Disk] = Disk,
    ) -> OpenedFolder:
        """Open a folder, or create it if it does not exist.

        Raises `FolderError`; valid contents are then unchanged, and the folder is not locked.
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
        """Write a batch with one write and one sync.

        After a `FolderError` nothing more is written, and the caller must promise nothing more: a second sync
        may report success although the data is lost.
        """
        if self.write_disabled:
            raise FolderError(f"{self.path}: is closed, or a write has failed before; start again")
        try:
            self._write(batch)
        except Exception as error:
            self.write_disabled = True
            if isinstance(error, OSError | ValueError):
                raise folder_error(self.path, error) from error
            raise

    def close(self) -> None:
        """Close the tail and release the folder."""
        self.write_disabled = True
        if self.tail:
            with contextlib.suppress(OSError):  # everything reported as written is already synced
                self.disk.close(self.tail.file)
        self.disk.release()

    def _write(self, batch: Sequence[Persist]) -> None:
        base_indexes = [index for index, persist in enumerate(batch) if persist.base is not None]
        first = base_indexes[-1] if base_indexes else 0
        records = [record for persist in batch[first:] for record in persist.records]
        assert self.tail
        if base_indexes:  # the last base replaces everything before it, also within the batch
            self._begin_generation(self.tail.generation + 1, batch[first].base, records)
        elif records:
            self.disk.write(self.tail.file, self._encode_frame(self.tail, records))
            self.disk.sync(self.tail.file)

    def _encode_frame(self, tail: _Tail, records: Sequence[bytes]) -> bytes:
        frame = tail.chain.frame(records)
        tail.frame_bytes += len(frame)
        if tail.frame_bytes > MAX_TAIL_BYTES:
            raise ValueError(
                f"{tail_name(tail.generation)} would hold {tail.frame_bytes} bytes without a new base; "
                f"{MAX_TAIL_BYTES} at most"
            )
        return frame

    def _begin_generation(self, generation: int, base: bytes | None, records: Sequence[bytes]) -> None:
        """Write a new base and tail; the previous ones stay valid until the new base has its final name."""
        previous = self.tail
        disk = self.disk
        name = base_name(generation)
        data = sealed_files.encode_base(self.owner, generation, base)
        seed = sealed_files.tail_seed(data)
        self._write_file(name + NEW_SUFFIX, data)
        tail = _Tail(generation, disk.create(tail_name(generation)), FrameChain(seed))
        header = sealed_files.seal("tail", seed)
        disk.write(tail.file, header + (self._encode_frame(tail, records) if records else b""))
        disk.sync(tail.file)
        disk.sync_folder()
        disk.rename(name + NEW_SUFFIX, name)
        disk.sync_folder()
        self.tail = tail
        if previous:
            disk.close(previous.file)
            disk.remove(tail_name(previous.generation))
            disk.remove(base_name(previous.generation))

    def _write_file(self, name: str, data: bytes) -> None:
        """Write a complete file, and sync the file and its directory entry."""
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
    """The error as one line, with the path of the file that it concerns, if any."""
    if isinstance(error, OSError):
        return FolderError(f"{path / (error.filename or '')}: {error.strerror or error}")
    separator = "/" if isinstance(error, InvalidFileError) else ": "
    return FolderError(f"{path}{separator}{' '.join(str(error).split())}")


def _open(disk: Disk, path: Path, node_name: str, draw_identity: Callable[[], bytes]) -> OpenedFolder:
    if disk.is_accessible_to_others():
        raise FolderError(f"{path}: others can read or write it; its mode must be 0700")
    if not disk.lock():
        raise FolderError(f"{path}: another process has it")
    names = disk.list(MAX_NAMES + 1)
    if len(names) > MAX_NAMES:
        raise FolderError(f"{path}: holds more than {MAX_NAMES} files")
    opening_plan = plan_opening(names)
    if isinstance(opening_plan, NewFolder):
        return _create(disk, path, node_name, draw_identity)
    return _open_existing(disk, path, node_name, opening_plan)


def _create(disk: Disk, path: Path, node_name: str, draw_identity: Callable[[], bytes]) -> OpenedFolder:
    owner = msgspec.convert({"door": node_name, "identity": draw_identity().hex()}, FolderOwner)
    folder = LogFolder(disk, path, owner)
    folder._write_file(IDENTITY + NEW_SUFFIX, sealed_files.encode_owner(owner))
    folder._begin_generation(0, None, ())
    disk.rename(IDENTITY + NEW_SUFFIX, IDENTITY)
    disk.sync_folder()
    return OpenedFolder(owner.identity, None, [], folder)


def _open_existing(disk: Disk, path: Path, node_name: str, opening_plan: ExistingFolder) -> OpenedFolder:
    """Open an existing folder; it is read and checked completely before anything is changed."""
    contents = read_folder(disk, node_name, opening_plan.generation)
    folder = LogFolder(disk, path, contents.owner)
    disk.sync_folder()  # a rename of the previous run may not be on the disk yet
    folder._remove(opening_plan.names_to_remove)
    folder._begin_generation(opening_plan.generation + 1, contents.base, contents.records)
    folder._remove((tail_name(opening_plan.generation), base_name(opening_plan.generation)))
    return OpenedFolder(contents.owner.identity, contents.base, contents.records, folder)
