"""Reads and checks the files of a folder without changing anything."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple, TypeVar

from molereach.coordination.storage import frames, sealed_files
from molereach.coordination.storage.disk import Disk
from molereach.coordination.storage.errors import InvalidFileError
from molereach.coordination.storage.plan import IDENTITY, base_name, tail_name
from molereach.coordination.storage.sealed_files import FolderOwner

Decoded = TypeVar("Decoded")


@dataclass(frozen=True, slots=True)
class FolderContents:
    """The contents of the valid generation of a folder."""

    owner: FolderOwner
    base: bytes | None
    records: list[bytes]


class _BaseFile(NamedTuple):
    """A base, and the seed of the tail that follows it."""

    seed: bytes
    base: bytes | None


def read_folder(disk: Disk, node_name: str, generation: int) -> FolderContents:
    """Read a generation; raises an OSError or `InvalidFileError` for the first invalid file."""
    owner = read_file(disk, IDENTITY, sealed_files.MAX_IDENTITY_FILE_BYTES, sealed_files.decode_owner)
    if owner.node_name != node_name:
        raise InvalidFileError(f"{IDENTITY}: is of front door '{owner.node_name}', not '{node_name}'")

    def decode_base(data: bytes) -> _BaseFile:
        return _BaseFile(sealed_files.tail_seed(data), sealed_files.decode_base(owner, generation, data))

    max_base_bytes = sealed_files.BASE_HEADER_BYTES + sealed_files.MAX_BASE_BYTES
    base_file = read_file(disk, base_name(generation), max_base_bytes, decode_base)

    def decode_tail(data: bytes) -> list[bytes]:
        sealed_files.check_tail_header(base_file.seed, data)
        return frames.read_records(data, base_file.seed, sealed_files.TAIL_HEADER_BYTES)

    max_tail_bytes = sealed_files.TAIL_HEADER_BYTES + frames.MAX_TAIL_BYTES
    records = read_file(disk, tail_name(generation), max_tail_bytes, decode_tail)
    return FolderContents(owner, base_file.base, records)


def read_file(disk: Disk, name: str, max_bytes: int, decode: Callable[[bytes], Decoded]) -> Decoded:
    """Read and decode a file of at most `max_bytes`; raises `InvalidFileError` if it is invalid."""
    data = disk.read(name, max_bytes + 1)
    if len(data) > max_bytes:
        raise InvalidFileError(f"{name}: is larger than {max_bytes} bytes")
    try:
        return decode(data)
    except ValueError as error:
        raise InvalidFileError(f"{name}: {error}") from error
