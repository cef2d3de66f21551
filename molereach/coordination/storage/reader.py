"""What a folder holds: its files read and judged, and nothing changed."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from molereach.coordination.storage import frames, whole
from molereach.coordination.storage.disk import Disk
from molereach.coordination.storage.plan import IDENTITY, FileError, base_name, tail_name
from molereach.coordination.storage.whole import Owner

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Held:
    """All that counts of a folder."""

    owner: Owner
    base: bytes | None
    records: list[bytes]


def load(disk: Disk, door: str, generation: int) -> Held:
    """OSError or `FileError` for the first file that is wrong."""
    owner = judge(disk, IDENTITY, whole.MOST_IDENTITY_FILE_BYTES, whole.decode_owner)
    if owner.door != door:
        raise FileError(f"{IDENTITY}: is of front door '{owner.door}', not '{door}'")
    most = whole.BASE_HEAD_BYTES + whole.MOST_BASE_BYTES
    seed, base = judge(
        disk,
        base_name(generation),
        most,
        lambda data: (whole.seed_of(data), whole.decode_base(owner, generation, data)),
    )

    def records_of(data: bytes) -> list[bytes]:
        whole.check_tail_head(seed, data)
        return frames.read(data, seed, whole.TAIL_HEAD_BYTES)

    most = whole.TAIL_HEAD_BYTES + frames.MOST_TAIL_BYTES
    return Held(owner, base, judge(disk, tail_name(generation), most, records_of))


def judge(disk: Disk, name: str, most: int, decode: Callable[[bytes], T]) -> T:
    """What a file of at most `most` bytes says."""
    data = disk.read(name, most + 1)
    if len(data) > most:
        raise FileError(f"{name}: is larger than {most} bytes")
    try:
        return decode(data)
    except ValueError as error:
        raise FileError(f"{name}: {error}") from error
