"""The thread that writes: the loop goes on, what waits goes together, and a failure is told once."""

import asyncio
import errno
from collections.abc import Callable
from pathlib import Path
from threading import Event

import pytest

from molereach.coordination.interface.disk import DiskFailed, Persisted
from molereach.coordination.storage import worker as module
from molereach.coordination.storage.folder import LogFolder
from molereach.coordination.storage.worker import PERSIST_BYTES, QUEUE_FULL, WriterThread
from tests.coordination.storage.medium import Medium, MemoryDisk

TIMEOUT_S = 10


class SlowDisk(MemoryDisk):
    """Its syncs of a tail wait until they are let go, and say that they have begun."""

    def __init__(self, medium: Medium) -> None:
        super().__init__(medium)
        self.go, self.begun = Event(), Event()
        self.go.set()

    def sync(self, file) -> None:  # noqa: ANN001
        self.begun.set()
        assert self.go.wait(TIMEOUT_S)
        super().sync(file)


class Case:
    """A worker on a slow disk, and what it told."""

    def __init__(self) -> None:
        self.medium = Medium()
        self.disk = SlowDisk(self.medium)
        store = LogFolder.open(Path("/folder"), "d1", lambda: bytes(16), lambda folder: self.disk).folder
        self.told: list[Persisted | DiskFailed] = []
        self.changed = asyncio.Event()
        self.worker = WriterThread(store, self.done)

    def done(self, event: Persisted | DiskFailed) -> None:
        self.told.append(event)
        self.changed.set()

    async def until(self, count: int) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while len(self.told) < count:
                self.changed.clear()
                await self.changed.wait()

    async def held(self) -> None:
        """A first write is under way and waits in its sync."""
        self.disk.go.clear()
        self.disk.begun.clear()
        self.worker.append(0, [b"first"])
        assert await asyncio.to_thread(self.disk.begun.wait, TIMEOUT_S)


def run(play: Callable) -> Case:
    async def main() -> Case:
        case = Case()
        await play(case)
        return case

    return asyncio.run(main())


def state(case: Case) -> tuple[bytes | None, list[bytes]]:
    case.medium.locked = False
    found = LogFolder.open(Path("/folder"), "d1", lambda: bytes(16), MemoryDisk.on(case.medium))
    return found.base, found.records


def test_loop_goes_on_while_a_sync_hangs_and_what_waits_goes_in_one_write() -> None:
    async def play(case: Case) -> None:
        await case.held()
        for token in range(1, 100):
            case.worker.append(token, [b"%d" % token])
        await asyncio.sleep(0)
        assert not case.told  # neither the one under way nor those that wait
        before = len(case.medium.calls)
        case.disk.go.set()
        await case.until(100)
        assert case.medium.calls[before:] == ["sync tail.0", "write tail.0", "sync tail.0"]
        assert await case.worker.close(TIMEOUT_S)

    case = run(play)
    assert case.told == [Persisted(token) for token in range(100)]
    assert state(case) == (None, [b"first", *(b"%d" % token for token in range(1, 100))])


def test_base_that_waits_takes_the_place_of_all_before_it() -> None:
    async def play(case: Case) -> None:
        await case.held()
        case.worker.append(1, [b"gone"])
        case.worker.append(2, [b"kept"], b"base")
        case.worker.append(3, [b"more"])
        case.disk.go.set()
        await case.until(4)
        assert sorted(case.medium.names) == ["base.1", "identity", "tail.1"] and len(case.disk.open) == 1

    case = run(play)
    assert case.told == [Persisted(token) for token in range(4)]
    assert state(case) == (b"base", [b"kept", b"more"])


def test_group_has_a_bound_and_a_larger_one_goes_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MAX_GROUP_BYTES", 2 * (PERSIST_BYTES + 4 + 10))

    async def play(case: Case) -> None:
        await case.held()
        before = len(case.medium.calls)
        for token, size in enumerate((10, 10, 10, 1000, 10), 1):
            case.worker.append(token, [bytes(size)])
        case.disk.go.set()
        await case.until(6)
        assert case.medium.calls[before:].count("write tail.0") == 4

    assert run(play).told == [Persisted(token) for token in range(6)]


@pytest.mark.parametrize("call", ["write", "sync"])
def test_failed_write_or_sync_is_reported_once_and_nothing_more_is_written(call: str) -> None:
    async def play(case: Case) -> None:
        number = len(case.medium.calls) + ("write", "sync").index(call)
        case.medium.fail = {number: OSError(errno.EIO, "Input/output error", "tail.0")}
        case.worker.append(0, [b"first"])
        case.worker.append(1, [b"waits"])
        await case.until(1)
        case.worker.append(2, [b"too late"])
        assert not case.worker.is_writing
        assert await case.worker.close(TIMEOUT_S)
        assert len(case.medium.calls) == number + 1

    assert run(play).told == [DiskFailed("/folder/tail.0: Input/output error")]


def test_too_much_that_waits_is_a_failure_and_is_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MAX_WAITING_BYTES", 10 * (PERSIST_BYTES + 8))

    async def play(case: Case) -> None:
        await case.held()
        for token in range(1, 50):
            case.worker.append(token, [])
        assert case.told == [DiskFailed(QUEUE_FULL)]
        assert not case.worker.waiting
        case.medium.fail = {len(case.medium.calls): OSError(errno.EIO, "Input/output error", "tail.0")}
        case.disk.go.set()
        assert await case.worker.close(TIMEOUT_S)

    case = run(play)
    assert case.told == [DiskFailed(QUEUE_FULL)]
    assert state(case) == (None, [b"first"])


def test_what_was_written_makes_room(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MAX_WAITING_BYTES", 3 * (PERSIST_BYTES + 5))

    async def play(case: Case) -> None:
        for token in range(20):
            case.worker.append(token, [b"x"])
            await case.until(token + 1)

    assert run(play).told == [Persisted(token) for token in range(20)]


def test_fault_of_the_log_or_of_the_folder_does_not_end_the_writer(caplog: pytest.LogCaptureFixture) -> None:
    async def play(case: Case) -> None:
        def fault(event: Persisted | DiskFailed) -> None:
            case.done(event)
            raise RuntimeError("a fault of the log's")

        case.worker.on_result = fault
        case.worker.append(0, [b"a"])
        case.worker.append(1, [b"b"])
        await case.until(2)
        case.worker.append(2, ["no bytes"])  # type: ignore[list-item]
        await case.until(3)
        assert await case.worker.close(TIMEOUT_S)

    *told, failed = run(play).told
    assert told == [Persisted(0), Persisted(1)] and isinstance(failed, DiskFailed)
    assert "TypeError" in failed.reason and "a fault of the log's" in caplog.text


def test_close_writes_what_waits_and_does_not_wait_for_ever() -> None:
    async def play(case: Case) -> None:
        await case.held()
        case.worker.append(1, [b"one"])
        assert not await case.worker.close(0.01)
        case.worker.append(2, [b"too late"])
        assert case.medium.locked
        case.disk.go.set()
        assert await case.worker.close(TIMEOUT_S)
        assert not case.medium.locked and not case.disk.open

    case = run(play)
    assert case.told == [Persisted(0), Persisted(1)]
    assert state(case) == (None, [b"first", b"one"])
