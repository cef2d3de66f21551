"""A store's folder written in fixed steps, and its files after each step."""

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from molereach.coordination.interface.disk import Persist
from molereach.coordination.replicated_log import records as log_records
from molereach.coordination.storage.folder import LogFolder, OpenedFolder
from tests.compatibility import council_samples as samples

DOOR = samples.FIRST_DOOR.name
IDENTITY = bytes.fromhex(samples.FIRST_DISK)
STEPS = ("new", "written", "reopened")
SHORT_LINES = (b"", b"\x00", b"a line\n")  # records need not be messages


@dataclass(frozen=True, slots=True)
class Content:
    """What a folder holds, as a reader is given it."""

    identity: str
    base: bytes | None
    records: list[bytes]


def file_name(step: str) -> str:
    """The recorded file of a step."""
    return f"council_folder_{step}.hex"


def base_bytes() -> bytes:
    """The base that is written."""
    return log_records.encode(samples.log_base())


def record_bytes() -> list[bytes]:
    """The records that are written behind the base."""
    return [log_records.encode(record) for record in samples.log_record_samples().values()]


def expected_content() -> Content:
    """What the folder holds once all is written."""
    return Content(samples.FIRST_DISK, base_bytes(), [*record_bytes(), *SHORT_LINES])


def batches() -> list[list[Persist]]:
    """The writes: records without a base, then a base with records behind it, then a group of two."""
    first, second, *others = record_bytes()
    return [
        [Persist(token=1, records=(first,))],
        [Persist(token=2, records=(first, second), base=base_bytes())],
        [Persist(token=3, records=tuple(others)), Persist(token=4, records=SHORT_LINES)],
    ]


def open_folder(folder: Path) -> OpenedFolder:
    """Open a folder; a new one is given the fixed identity."""
    return LogFolder.open(folder, DOOR, draw_identity=lambda: IDENTITY)


def write_all(store: LogFolder) -> None:
    """Write all batches to a new folder."""
    for batch in batches():
        store.write(batch)


def files_of(folder: Path) -> dict[str, bytes]:
    """All files of a folder, by name."""
    return {path.name: path.read_bytes() for path in sorted(folder.iterdir())}


def place(folder: Path, files: Mapping[str, bytes]) -> None:
    """Make a folder that holds these files."""
    folder.mkdir(mode=0o700)
    for name, data in files.items():
        (folder / name).write_bytes(data)


def open_and_close(folder: Path) -> Content:
    """What a folder holds; opening it copies that into the next generation of files."""
    opened = open_folder(folder)
    opened.folder.close()
    return Content(opened.identity, opened.base, opened.records)


def folder_steps(folder: Path) -> dict[str, dict[str, bytes]]:
    """The files of a folder after each step; the folder must not be there yet."""
    opened = open_folder(folder)
    steps = {"new": files_of(folder)}
    write_all(opened.folder)
    opened.folder.close()
    steps["written"] = files_of(folder)
    open_and_close(folder)
    steps["reopened"] = files_of(folder)
    return steps
