"""Folders on a real disk: one that cannot be used is rejected with one line and left unchanged."""

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


def open_folder(folder: Path, node_name: str = "d1") -> OpenedFolder:
    return LogFolder.open(folder, node_name)


def fill_folder(folder: Path, base: bytes | None = None, count: int = 3) -> str:
    opened = open_folder(folder)
    if base is not None:
        opened.folder.write([Persist(0, (), base)])
    for number in range(count):
        opened.folder.write([Persist(number, (b"record %d" % number,))])
    opened.folder.close()
    return opened.identity


def newest_file(folder: Path, kind: str) -> Path:
    return max(folder.glob(f"{kind}.*"), key=lambda path: int(path.suffix[1:]))


def assert_rejected(folder: Path, reason: str, node_name: str = "d1") -> None:
    """The folder is rejected with one line that names the path, and its files are unchanged."""
    before = {path.name: path.read_bytes() for path in folder.iterdir()}
    with pytest.raises(FolderError, match=reason) as caught:
        open_folder(folder, node_name)
    assert str(caught.value).startswith((f"{folder}: ", f"{folder}/")) and "\n" not in str(caught.value)
    assert {path.name: path.read_bytes() for path in folder.iterdir()} == before


def test_written_records_and_identity_are_read_again(tmp_path: Path) -> None:
    folder = tmp_path / "log"
    first = open_folder(folder)
    assert (first.base, first.records) == (None, [])
    assert len(first.identity) == 32 and int(first.identity, 16)
    first.folder.write([Persist(1, (b"a", b"")), Persist(2, (b"b",))])
    first.folder.close()
    second = open_folder(folder)
    assert (second.identity, second.base, second.records) == (first.identity, None, [b"a", b"", b"b"])
    second.folder.write([Persist(3, (b"c",), b"base")])
    second.folder.write([Persist(4, (b"d",))])
    second.folder.close()
    third = open_folder(folder)
    assert (third.identity, third.base, third.records) == (first.identity, b"base", [b"c", b"d"])
    assert sorted(path.name for path in folder.iterdir()) == ["base.3", "identity", "tail.3"]
    assert {path.stat().st_mode & 0o777 for path in folder.iterdir()} == {0o600}
    assert folder.stat().st_mode & 0o777 == 0o700
    third.folder.close()
    with pytest.raises(FolderError, match="is closed"):
        third.folder.write([Persist(5, (b"e",))])
    assert open_folder(tmp_path / "other").identity != first.identity


def test_uncompleted_folder_is_overwritten(tmp_path: Path) -> None:
    for name in ("identity.new", "base.0.new", "tail.0"):
        (tmp_path / name).write_bytes(b"left by a crash" * 99)
    identity = fill_folder(tmp_path, None, 1)
    opened = open_folder(tmp_path)
    assert (opened.identity, opened.records) == (identity, [b"record 0"])


def test_files_and_folders_are_synced_and_a_failure_names_its_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    synced: list[str] = []
    for call in ("fsync", "fdatasync"):
        monkeypatch.setattr(
            os, call, lambda descriptor: synced.append(os.readlink(f"/proc/self/fd/{descriptor}"))
        )
    opened = open_folder(tmp_path / "log")
    folder = str(tmp_path / "log")
    files = [f"{folder}/{name}" for name in ("identity.new", "base.0.new", "tail.0")]
    assert synced == [str(tmp_path), files[0], folder, files[1], folder, files[2], folder, folder, folder]

    def failing_sync(descriptor: int) -> None:
        raise OSError(errno.EIO, "Input/output error")

    monkeypatch.setattr(os, "fdatasync", failing_sync)
    with pytest.raises(FolderError, match=rf"^{folder}/tail\.0: Input/output error$"):
        opened.folder.write([Persist(1, (b"a",))])


@pytest.mark.parametrize("mode", [0o750, 0o701, 0o720])
def test_folder_with_permissions_for_others_is_rejected(tmp_path: Path, mode: int) -> None:
    fill_folder(tmp_path / "log")
    (tmp_path / "log").chmod(mode)
    assert_rejected(tmp_path / "log", "others can read or write it")


def test_folder_is_locked_against_another_process_and_unlocked_after_a_rejection(tmp_path: Path) -> None:
    identity = fill_folder(tmp_path)
    held = open_folder(tmp_path)
    program = (
        "import sys; from pathlib import Path; from molereach.coordination.storage.folder import LogFolder\n"
        "LogFolder.open(Path(sys.argv[1]), 'd1')"
    )
    command = [sys.executable, "-c", program, str(tmp_path)]
    child = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    assert child.returncode and "another process has it" in child.stderr
    held.folder.close()
    assert_rejected(tmp_path, "is of front door 'd1', not 'd2'", "d2")
    assert open_folder(tmp_path).identity == identity


def test_missing_file_is_rejected(tmp_path: Path) -> None:
    fill_folder(tmp_path / "log", b"base")
    for name, reason in (
        ("identity", "identity: is missing"),
        ("base", "base: there is none"),
        ("tail", r"tail\.\d+: is missing"),
    ):
        folder = tmp_path / name
        shutil.copytree(tmp_path / "log", folder)
        (folder / "identity" if name == "identity" else newest_file(folder, name)).unlink()
        assert_rejected(folder, reason)


def test_any_flipped_byte_of_any_file_is_rejected(tmp_path: Path) -> None:
    fill_folder(tmp_path, b"the base", 2)
    for path in (tmp_path / "identity", newest_file(tmp_path, "base"), newest_file(tmp_path, "tail")):
        data = path.read_bytes()
        for index in range(len(data)):
            path.write_bytes(data[:index] + bytes([data[index] ^ 0x41]) + data[index + 1 :])
            with pytest.raises(FolderError, match=path.name):
                open_folder(tmp_path)
        path.write_bytes(data)
    assert open_folder(tmp_path).records == [b"record 0", b"record 1"]


def test_damage_before_complete_frames_is_rejected_and_a_torn_end_is_dropped(tmp_path: Path) -> None:
    fill_folder(tmp_path)
    tail = newest_file(tmp_path, "tail")
    data = tail.read_bytes()
    before, after = data.split(b"record 1")
    for damaged in (b"Record 1", bytes(8), b""):
        tail.write_bytes(before + damaged + after)
        assert_rejected(tmp_path, r"tail\.0: is damaged at byte \d+, with whole frames behind it")
    tail.write_bytes(data[:-3])
    opened = open_folder(tmp_path)
    assert opened.records == [b"record 0", b"record 1"]
    opened.folder.write([Persist(1, (b"again",))])
    opened.folder.close()
    assert open_folder(tmp_path).records == [b"record 0", b"record 1", b"again"]


def test_other_version_kind_folder_or_generation_is_rejected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    for name in ("log", "other"):
        fill_folder(tmp_path / name, b"base of " + name.encode())
    folder = tmp_path / "log"
    base, tail, other = (
        newest_file(folder, "base"),
        newest_file(folder, "tail"),
        newest_file(tmp_path / "other", "base"),
    )
    originals = {path: path.read_bytes() for path in (base, tail, folder / "identity")}
    for path, data, reason in (
        (base, other.read_bytes(), "is of another folder or another generation"),
        (tail, newest_file(tmp_path / "other", "tail").read_bytes(), "does not belong to the base"),
        (base, originals[tail], "is no base file"),
        (tail, b"", "is no tail file"),
        (base, originals[base] + b"x", "is not as long as it says"),
        (
            folder / "identity",
            sealed_files.seal("identity", b'{"door": "d1", "identity": "12"}'),
            "identity: ",
        ),
    ):
        path.write_bytes(data)
        assert_rejected(folder, reason)
        path.write_bytes(originals[path])
    base.rename(folder / "base.7")
    tail.rename(folder / "tail.7")
    assert_rejected(folder, r"base\.7: is of another folder or another generation")
    monkeypatch.setattr(sealed_files, "VERSION", 2)
    assert_rejected(folder, "identity: is of version 1; 2 is read here")


def test_file_or_folder_larger_than_its_bound_is_rejected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    fill_folder(tmp_path, b"12345678")
    tail_bytes = newest_file(tmp_path, "tail").stat().st_size
    with monkeypatch.context() as patch:
        patch.setattr(sealed_files, "MAX_BASE_BYTES", 7)
        assert_rejected(tmp_path, r"base\.1: is larger than \d+ bytes")
    with monkeypatch.context() as patch:
        patch.setattr(frames, "MAX_TAIL_BYTES", tail_bytes - sealed_files.TAIL_HEADER_BYTES - 1)
        assert_rejected(tmp_path, r"tail\.1: is larger than \d+ bytes")
    with monkeypatch.context() as patch:
        patch.setattr(sealed_files, "MAX_IDENTITY_FILE_BYTES", 20)
        assert_rejected(tmp_path, "identity: is larger than 20 bytes")
    for number in range(plan.MAX_NAMES):
        (tmp_path / f"x{number}").touch()
    assert_rejected(tmp_path, "holds more than 256 files")


@pytest.mark.parametrize(
    ("constant", "limit", "persist", "reason"),
    [
        ("sealed_files.MAX_BASE_BYTES", 4, Persist(1, (), b"12345"), "a base of 5 bytes; 4 at most"),
        ("frames.MAX_RECORD_BYTES", 4, Persist(1, (b"12345",)), "a record of 5 bytes; 4 at most"),
        ("folder.MAX_TAIL_BYTES", 60, Persist(1, (b"12345678901234",)), r"tail\.0 would hold 63 bytes"),
    ],
)
def test_too_large_write_disables_the_folder_and_writes_nothing(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    constant: str,
    limit: int,
    persist: Persist,
    reason: str,
) -> None:
    opened = open_folder(tmp_path)
    before = {path.name: path.read_bytes() for path in tmp_path.iterdir()}
    monkeypatch.setattr(f"molereach.coordination.storage.{constant}", limit)
    with pytest.raises(FolderError, match=f"^{tmp_path}: {reason}"):
        opened.folder.write([persist])
    with pytest.raises(FolderError, match="has failed before"):
        opened.folder.write([Persist(2, (b"x",))])
    assert {path.name: path.read_bytes() for path in tmp_path.iterdir()} == before


def test_unusable_path_or_name_is_reported_in_one_line(tmp_path: Path) -> None:
    (tmp_path / "file").touch()
    with pytest.raises(FolderError, match="log: Expected `str`"):
        open_folder(tmp_path / "log", "no name")
    for path, reason in (("file", "Not a directory"), ("none/log", "No such file")):
        with pytest.raises(FolderError, match=f"{path}: {reason}"):
            open_folder(tmp_path / path)
    fill_folder(tmp_path / "log")
    tail = newest_file(tmp_path / "log", "tail")
    tail.rename(tmp_path / "elsewhere")
    tail.symlink_to(tmp_path / "elsewhere")
    with pytest.raises(FolderError, match=rf"{tail.name}: Too many levels of symbolic links"):
        open_folder(tmp_path / "log")


WRITER_PROGRAM = """
import asyncio, sys
from pathlib import Path
from molereach.coordination.interface.disk import Persisted
from molereach.coordination.storage.folder import LogFolder
from molereach.coordination.storage.worker import WriterThread

async def main():
    opened = LogFolder.open(Path(sys.argv[1]), "d1")
    first = max([int(opened.base or 0), *map(int, opened.records)])
    free_slots = asyncio.Semaphore(5)
    def on_result(event):
        assert isinstance(event, Persisted), event
        print(event.token, flush=True)
        free_slots.release()
    worker = WriterThread(opened.folder, on_result)
    for token in range(first + 1, first + 100000):
        await free_slots.acquire()
        worker.append(token, [b"%d" % token], b"%d" % (token - 1) if token % 23 == 0 else None)

asyncio.run(main())
"""


def test_records_reported_before_a_kill_survive_in_order_at_twenty_points(tmp_path: Path) -> None:
    rng, reported = Random(20), 0
    for _ in range(20):
        child = subprocess.Popen(
            [sys.executable, "-c", WRITER_PROGRAM, str(tmp_path / "log")], cwd=ROOT, stdout=subprocess.PIPE
        )
        assert child.stdout
        tokens = [int(child.stdout.readline()) for _ in range(rng.randint(1, 40))]
        os.kill(child.pid, signal.SIGKILL)
        rest = child.stdout.read()  # its output before the kill; an incomplete last line is ignored
        tokens += [int(line) for line in rest[: rest.rfind(b"\n") + 1].split()]
        child.wait()
        child.stdout.close()
        assert tokens == list(range(tokens[0], tokens[0] + len(tokens))) and tokens[0] > reported
        reported = tokens[-1]
        opened = open_folder(tmp_path / "log")
        start = int(opened.base or 0)
        end = start + len(opened.records)
        assert opened.records == [b"%d" % number for number in range(start + 1, end + 1)] and end >= reported
        opened.folder.close()
    assert reported > 200
