"""The folder of one front door: opens it or says in one line why not, and writes what must last.

Each opening copies what counts into a new generation. What a reader finds may be in the system's memory
alone, after a sync that failed in the run before (Rebello, "Can Applications Recover from fsync Failures?",
2020): a run builds only on what it has written and synced itself. The copy leaves a torn frame behind, too.
"""

import contextlib
import secrets
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec

from molereach.coordination.interface.disk import Persist
from molereach.coordination.storage import whole
from molereach.coordination.storage.disk import Disk, File
from molereach.coordination.storage.frames import MOST_TAIL_BYTES, Chain
from molereach.coordination.storage.plan import (
    IDENTITY,
    MOST_NAMES,
    NEW,
    FileError,
    Fresh,
    Kept,
    base_name,
    plan,
    tail_name,
)
from molereach.coordination.storage.reader import load
from molereach.coordination.storage.whole import IDENTITY_BYTES, Owner


class StoreError(Exception):
    """The folder cannot be opened or written; the text is one plain line that names the file."""


@dataclass(frozen=True, slots=True)
class Opened:
    """What the disk holds: a base or None, and the records since, in order."""

    identity: str  # 32 hex digits, the same for as long as the folder is
    base: bytes | None
    records: list[bytes]
    store: "Store"


@dataclass(slots=True)
class _Tail:
    """The journal that is written to."""

    generation: int
    file: File
    chain: Chain
    size: int = 0  # bytes of frames


def draw_identity() -> bytes:
    return secrets.token_bytes(IDENTITY_BYTES)


class Store:
    """One open folder. Not for two threads at once; a call returns once all is on the disk."""

    def __init__(self, disk: Disk, folder: Path, owner: Owner) -> None:
        self.disk, self.folder, self.owner = disk, folder, owner
        self.tail: _Tail | None = None
        self.broken = False  # a write or sync has failed: what is on the disk is open until the next start

    @staticmethod
    def open(
        folder: Path,
        door: str,
        draw: Callable[[], bytes] = draw_identity,
        disk: Callable[[Path], Disk] = Disk,
    ) -> Opened:
        """The folder's state; made anew where there is none. StoreError, and then nothing was changed that
        counts, and the folder is not locked."""
        try:
            at = disk(folder)
        except OSError as error:
            raise said(folder, error) from error
        try:
            return _open(at, folder, door, draw)
        except (OSError, ValueError, StoreError) as error:
            at.release()
            raise (error if isinstance(error, StoreError) else said(folder, error)) from error

    def write(self, batch: Sequence[Persist]) -> None:
        """All of the batch, in one write and one sync. After a StoreError nothing may be promised any more,
        and nothing is written: a second sync may say that all is well when it is not."""
        if self.broken:
            raise StoreError(f"{self.folder}: is closed, or a write has failed before; start again")
        try:
            self._write(batch)
        except Exception as error:
            self.broken = True
            if isinstance(error, OSError | ValueError):
                raise said(self.folder, error) from error
            raise

    def close(self) -> None:
        """Gives the folder up to others."""
        self.broken = True
        if self.tail:
            with contextlib.suppress(OSError):  # what was told is synced
                self.disk.close(self.tail.file)
        self.disk.release()

    def _write(self, batch: Sequence[Persist]) -> None:
        based = [at for at, persist in enumerate(batch) if persist.base is not None]
        records = [record for persist in batch[based[-1] if based else 0 :] for record in persist.records]
        assert self.tail
        if based:  # it takes the place of all before it, also of what waited with it
            self._begin(self.tail.generation + 1, batch[based[-1]].base, records)
        elif records:
            self.disk.write(self.tail.file, self._frame(self.tail, records))
            self.disk.sync(self.tail.file)

    def _frame(self, tail: _Tail, records: Sequence[bytes]) -> bytes:
        frame = tail.chain.frame(records)
        tail.size += len(frame)
        if tail.size > MOST_TAIL_BYTES:
            raise ValueError(
                f"{tail_name(tail.generation)} would hold {tail.size} bytes without a new base; "
                f"{MOST_TAIL_BYTES} at most"
            )
        return frame

    def _begin(self, generation: int, base: bytes | None, records: Sequence[bytes]) -> None:
        """A new base and its tail; the old ones count until the new base has its name on the disk."""
        old, disk, name = self.tail, self.disk, base_name(generation)
        data = whole.encode_base(self.owner, generation, base)
        seed = whole.seed_of(data)
        self._whole(name + NEW, data)
        tail = _Tail(generation, disk.create(tail_name(generation)), Chain(seed))
        disk.write(tail.file, whole.seal("tail", seed) + (self._frame(tail, records) if records else b""))
        disk.sync(tail.file)
        disk.sync_folder()
        disk.rename(name + NEW, name)
        disk.sync_folder()
        self.tail = tail
        if old:
            disk.close(old.file)
            disk.remove(tail_name(old.generation))
            disk.remove(base_name(old.generation))

    def _whole(self, name: str, data: bytes) -> None:
        """A file of its own, and its name, on the disk."""
        file = self.disk.create(name)
        self.disk.write(file, data)
        self.disk.sync(file)
        self.disk.close(file)
        self.disk.sync_folder()

    def _clear(self, names: Sequence[str]) -> None:
        for name in names:
            self.disk.remove(name)
            self.disk.sync_folder()


def said(folder: Path, error: OSError | ValueError) -> StoreError:
    """One line; what is about one file names it within the folder."""
    if isinstance(error, OSError):
        return StoreError(f"{folder / (error.filename or '')}: {error.strerror or error}")
    between = "/" if isinstance(error, FileError) else ": "
    return StoreError(f"{folder}{between}{' '.join(str(error).split())}")


def _open(disk: Disk, folder: Path, door: str, draw: Callable[[], bytes]) -> Opened:
    if disk.open_to_others():
        raise StoreError(f"{folder}: others can read or write it; its mode must be 0700")
    if not disk.lock():
        raise StoreError(f"{folder}: another process has it")
    names = disk.list(MOST_NAMES + 1)
    if len(names) > MOST_NAMES:
        raise StoreError(f"{folder}: holds more than {MOST_NAMES} files")
    found = plan(names)
    if isinstance(found, Fresh):
        return _make(disk, folder, door, draw)
    return _load(disk, folder, door, found)


def _make(disk: Disk, folder: Path, door: str, draw: Callable[[], bytes]) -> Opened:
    owner = msgspec.convert({"door": door, "identity": draw().hex()}, Owner)
    store = Store(disk, folder, owner)
    store._whole(IDENTITY + NEW, whole.encode_owner(owner))
    store._begin(0, None, ())
    disk.rename(IDENTITY + NEW, IDENTITY)
    disk.sync_folder()
    return Opened(owner.identity, None, [], store)


def _load(disk: Disk, folder: Path, door: str, found: Kept) -> Opened:
    """All is read and judged before anything is changed."""
    held = load(disk, door, found.generation)
    store = Store(disk, folder, held.owner)
    disk.sync_folder()  # a name that the run before gave may not be on the disk
    store._clear(found.remove)
    store._begin(found.generation + 1, held.base, held.records)
    store._clear((tail_name(found.generation), base_name(found.generation)))
    return Opened(held.owner.identity, held.base, held.records, store)
