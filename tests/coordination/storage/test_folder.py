"""Folders on a real disk: each that cannot be used is refused in one line, and left as it was."""

import errno
import os
import shutil
import signal
import subprocess
import sys
from pathlib import Path
from random import Random

import pytest

from molereach.coordination.interface.disk import Persist
from molereach.coordination.storage import frames, plan, sealed_files
from molereach.coordination.storage.errors import FolderError
from molereach.coordination.storage.folder import LogFolder, OpenedFolder

ROOT = Path(__file__).parents[3]


def opened(folder: Path, door: str = "d1") -> OpenedFolder:
    return LogFolder.open(folder, door)


def filled(folder: Path, base: bytes | None = None, count: int = 3) -> str:
    found = opened(folder)
    if base is not None:
        found.folder.write([Persist(0, (), base)])
    for number in range(count):
        found.folder.write([Persist(number, (b"record %d" % number,))])
    found.folder.close()
    return found.identity


def last(folder: Path, kind: str) -> Path:
    return max(folder.glob(f"{kind}.*"), key=lambda path: int(path.suffix[1:]))


def refused(folder: Path, reason: str, door: str = "d1") -> None:
    """In one line that names the place, and nothing in the folder is another."""
    before = {path.name: path.read_bytes() for path in folder.iterdir()}
    with pytest.raises(FolderError, match=reason) as caught:
        opened(folder, door)
    assert str(caught.value).startswith((f"{folder}: ", f"{folder}/")) and "\n" not in str(caught.value)
    assert {path.name: path.read_bytes() for path in folder.iterdir()} == before


def test_what_is_written_is_there_with_its_identity(tmp_path: Path) -> None:
    folder = tmp_path / "seat"
    first = opened(folder)
    assert (first.base, first.records) == (None, [])
    assert len(first.identity) == 32 and int(first.identity, 16)
    first.folder.write([Persist(1, (b"a", b"")), Persist(2, (b"b",))])
    first.folder.close()
    second = opened(folder)
    assert (second.identity, second.base, second.records) == (first.identity, None, [b"a", b"", b"b"])
    second.folder.write([Persist(3, (b"c",), b"base")])
    second.folder.write([Persist(4, (b"d",))])
    second.folder.close()
    third = opened(folder)
    assert (third.identity, third.base, third.records) == (first.identity, b"base", [b"c", b"d"])
    assert sorted(path.name for path in folder.iterdir()) == ["base.3", "identity", "tail.3"]
    assert {path.stat().st_mode & 0o777 for path in folder.iterdir()} == {0o600}
    assert folder.stat().st_mode & 0o777 == 0o700
    third.folder.close()
    with pytest.raises(FolderError, match="is closed"):
        third.folder.write([Persist(5, (b"e",))])
    assert opened(tmp_path / "other").identity != first.identity


def test_folder_that_was_not_finished_is_written_over(tmp_path: Path) -> None:
    for name in ("identity.new", "base.0.new", "tail.0"):
        (tmp_path / name).write_bytes(b"left by a crash" * 99)
    identity = filled(tmp_path, None, 1)
    found = opened(tmp_path)
    assert (found.identity, found.records) == (identity, [b"record 0"])


def test_files_folder_and_its_name_are_synced_and_a_failure_names_its_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    synced: list[str] = []
    for call in ("fsync", "fdatasync"):
        monkeypatch.setattr(os, call, lambda number: synced.append(os.readlink(f"/proc/self/fd/{number}")))
    found = opened(tmp_path / "seat")
    seat = str(tmp_path / "seat")
    files = [f"{seat}/{name}" for name in ("identity.new", "base.0.new", "tail.0")]
    assert synced == [str(tmp_path), files[0], seat, files[1], seat, files[2], seat, seat, seat]

    def fails(number: int) -> None:
        raise OSError(errno.EIO, "Input/output error")

    monkeypatch.setattr(os, "fdatasync", fails)
    with pytest.raises(FolderError, match=rf"^{seat}/tail\.0: Input/output error$"):
        found.folder.write([Persist(1, (b"a",))])


@pytest.mark.parametrize("mode", [0o750, 0o701, 0o720])
def test_folder_that_others_can_use_is_refused(tmp_path: Path, mode: int) -> None:
    filled(tmp_path / "seat")
    (tmp_path / "seat").chmod(mode)
    refused(tmp_path / "seat", "others can read or write it")


def test_two_processes_do_not_share_a_folder_and_a_refused_one_is_not_held_open(tmp_path: Path) -> None:
    identity = filled(tmp_path)
    held = opened(tmp_path)
    program = (
        "import sys; from pathlib import Path; from molereach.coordination.storage.folder import LogFolder\n"
        "LogFolder.open(Path(sys.argv[1]), 'd1')"
    )
    command = [sys.executable, "-c", program, str(tmp_path)]
    child = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    assert child.returncode and "another process has it" in child.stderr
    held.folder.close()
    refused(tmp_path, "is of front door 'd1', not 'd2'", "d2")
    assert opened(tmp_path).identity == identity


def test_lost_file_of_the_set_is_refused(tmp_path: Path) -> None:
    filled(tmp_path / "seat", b"base")
    for name, reason in (
        ("identity", "identity: is missing"),
        ("base", "base: there is none"),
        ("tail", r"tail\.\d+: is missing"),
    ):
        folder = tmp_path / name
        shutil.copytree(tmp_path / "seat", folder)
        (folder / "identity" if name == "identity" else last(folder, name)).unlink()
        refused(folder, reason)


def test_every_flipped_byte_of_every_file_is_refused(tmp_path: Path) -> None:
    filled(tmp_path, b"the base", 2)
    for path in (tmp_path / "identity", last(tmp_path, "base"), last(tmp_path, "tail")):
        data = path.read_bytes()
        for at in range(len(data)):
            path.write_bytes(data[:at] + bytes([data[at] ^ 0x41]) + data[at + 1 :])
            with pytest.raises(FolderError, match=path.name):
                opened(tmp_path)
        path.write_bytes(data)
    assert opened(tmp_path).records == [b"record 0", b"record 1"]


def test_damage_before_complete_frames_is_refused_and_a_torn_end_is_cut_away(tmp_path: Path) -> None:
    filled(tmp_path)
    tail = last(tmp_path, "tail")
    data = tail.read_bytes()
    before, after = data.split(b"record 1")
    for damaged in (b"Record 1", bytes(8), b""):
        tail.write_bytes(before + damaged + after)
        refused(tmp_path, r"tail\.0: is damaged at byte \d+, with whole frames behind it")
    tail.write_bytes(data[:-3])
    found = opened(tmp_path)
    assert found.records == [b"record 0", b"record 1"]
    found.folder.write([Persist(1, (b"again",))])
    found.folder.close()
    assert opened(tmp_path).records == [b"record 0", b"record 1", b"again"]


def test_other_version_kind_or_place_is_refused(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("seat", "other"):
        filled(tmp_path / name, b"base of " + name.encode())
    seat = tmp_path / "seat"
    base, tail, other = last(seat, "base"), last(seat, "tail"), last(tmp_path / "other", "base")
    kept = {path: path.read_bytes() for path in (base, tail, seat / "identity")}
    for path, data, reason in (
        (base, other.read_bytes(), "is of another folder or another generation"),
        (tail, last(tmp_path / "other", "tail").read_bytes(), "does not belong to the base"),
        (base, kept[tail], "is no base file"),
        (tail, b"", "is no tail file"),
        (base, kept[base] + b"x", "is not as long as it says"),
        (seat / "identity", sealed_files.seal("identity", b'{"door": "d1", "identity": "12"}'), "identity: "),
    ):
        path.write_bytes(data)
        refused(seat, reason)
        path.write_bytes(kept[path])
    base.rename(seat / "base.7")
    tail.rename(seat / "tail.7")
    refused(seat, r"base\.7: is of another folder or another generation")
    monkeypatch.setattr(sealed_files, "VERSION", 2)
    refused(seat, "identity: is of version 1; 2 is read here")


def test_larger_than_the_bounds_is_refused_both_ways(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    filled(tmp_path, b"12345678")
    tail_bytes = last(tmp_path, "tail").stat().st_size
    with monkeypatch.context() as less:
        less.setattr(sealed_files, "MAX_BASE_BYTES", 7)
        refused(tmp_path, r"base\.1: is larger than \d+ bytes")
    with monkeypatch.context() as less:
        less.setattr(frames, "MAX_TAIL_BYTES", tail_bytes - sealed_files.TAIL_HEAD_BYTES - 1)
        refused(tmp_path, r"tail\.1: is larger than \d+ bytes")
    with monkeypatch.context() as less:
        less.setattr(sealed_files, "MAX_IDENTITY_FILE_BYTES", 20)
        refused(tmp_path, "identity: is larger than 20 bytes")
    for number in range(plan.MAX_NAMES):
        (tmp_path / f"x{number}").touch()
    refused(tmp_path, "holds more than 256 files")


@pytest.mark.parametrize(
    ("name", "most", "persist", "reason"),
    [
        ("sealed_files.MAX_BASE_BYTES", 4, Persist(1, (), b"12345"), "a base of 5 bytes; 4 at most"),
        ("frames.MAX_RECORD_BYTES", 4, Persist(1, (b"12345",)), "a record of 5 bytes; 4 at most"),
        ("folder.MAX_TAIL_BYTES", 60, Persist(1, (b"12345678901234",)), r"tail\.0 would hold 63 bytes"),
    ],
)
def test_too_large_to_write_disables_the_folder_and_writes_nothing(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    name: str,
    most: int,
    persist: Persist,
    reason: str,
) -> None:
    found = opened(tmp_path)
    before = {path.name: path.read_bytes() for path in tmp_path.iterdir()}
    monkeypatch.setattr(f"molereach.coordination.storage.{name}", most)
    with pytest.raises(FolderError, match=f"^{tmp_path}: {reason}"):
        found.folder.write([persist])
    with pytest.raises(FolderError, match="has failed before"):
        found.folder.write([Persist(2, (b"x",))])
    assert {path.name: path.read_bytes() for path in tmp_path.iterdir()} == before


def test_place_that_cannot_be_a_folder_is_one_line(tmp_path: Path) -> None:
    (tmp_path / "file").touch()
    with pytest.raises(FolderError, match="seat: Expected `str`"):
        opened(tmp_path / "seat", "no name")
    for place, reason in (("file", "Not a directory"), ("none/seat", "No such file")):
        with pytest.raises(FolderError, match=f"{place}: {reason}"):
            opened(tmp_path / place)
    filled(tmp_path / "seat")
    tail = last(tmp_path / "seat", "tail")
    tail.rename(tmp_path / "elsewhere")
    tail.symlink_to(tmp_path / "elsewhere")
    with pytest.raises(FolderError, match=rf"{tail.name}: Too many levels of symbolic links"):
        opened(tmp_path / "seat")


CHILD = """
import asyncio, sys
from pathlib import Path
from molereach.coordination.interface.disk import Persisted
from molereach.coordination.storage.folder import LogFolder
from molereach.coordination.storage.worker import WriterThread

async def main():
    found = LogFolder.open(Path(sys.argv[1]), "d1")
    first = max([int(found.base or 0), *map(int, found.records)])
    room = asyncio.Semaphore(5)
    def told(event):
        assert isinstance(event, Persisted), event
        print(event.token, flush=True)
        room.release()
    worker = WriterThread(found.folder, told)
    for token in range(first + 1, first + 100000):
        await room.acquire()
        worker.append(token, [b"%d" % token], b"%d" % (token - 1) if token % 23 == 0 else None)

asyncio.run(main())
"""


def test_killed_at_twenty_points_all_that_was_synced_is_there_in_order(tmp_path: Path) -> None:
    chance, told = Random(20), 0
    for _ in range(20):
        child = subprocess.Popen(
            [sys.executable, "-c", CHILD, str(tmp_path / "seat")], cwd=ROOT, stdout=subprocess.PIPE
        )
        assert child.stdout
        lines = [int(child.stdout.readline()) for _ in range(chance.randint(1, 40))]
        os.kill(child.pid, signal.SIGKILL)
        rest = child.stdout.read()  # what it printed before it died, less a line that was cut off
        lines += [int(line) for line in rest[: rest.rfind(b"\n") + 1].split()]
        child.wait()
        child.stdout.close()
        assert lines == list(range(lines[0], lines[0] + len(lines))) and lines[0] > told
        told = lines[-1]
        found = opened(tmp_path / "seat")
        since = int(found.base or 0)
        until = since + len(found.records)
        assert found.records == [b"%d" % number for number in range(since + 1, until + 1)] and until >= told
        found.folder.close()
    assert told > 200
