"""The writer thread: the loop is not blocked, queued writes are grouped, a failure is reported once."""

import asyncio
import errno
from collections.abc import Callable
from pathlib import Path
from threading import Event

import pytest

from molereach.coordination.interface.disk import DiskFailed, Persisted
from molereach.coordination.storage import worker as module
from molereach.coordination.storage.folder import LogFolder
from molereach.coordination.storage.worker import PERSIST_OVERHEAD_BYTES, QUEUE_FULL, WriterThread
from tests.coordination.storage.medium import Medium, MemoryDisk

TIMEOUT_S = 10


class SlowDisk(MemoryDisk):
    """Signals the start of each sync, and blocks it until the test lets it proceed."""

    def __init__(self, medium: Medium) -> None:
        super().__init__(medium)
        self.sync_allowed, self.sync_begun = Event(), Event()
        self.sync_allowed.set()

    def sync(self, file) -> None:  # noqa: ANN001
        self.sync_begun.set()
        assert self.sync_allowed.wait(TIMEOUT_S)
        super().sync(file)


class Harness:
    """A writer thread on a slow disk, with the results that it reported."""

    def __init__(self) -> None:
        self.medium = Medium()
        self.disk = SlowDisk(self.medium)
        folder = LogFolder.open(Path("/folder"), "d1", lambda: bytes(16), lambda folder: self.disk).folder
        self.results: list[Persisted | DiskFailed] = []
        self.changed = asyncio.Event()
        self.worker = WriterThread(folder, self.handle_result)

    def handle_result(self, event: Persisted | DiskFailed) -> None:
        self.results.append(event)
        self.changed.set()

    async def wait_for_results(self, count: int) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while len(self.results) < count:
                self.changed.clear()
                await self.changed.wait()

    async def block_first_write(self) -> None:
        """Start a first write, which blocks in its sync."""
        self.disk.sync_allowed.clear()
        self.disk.sync_begun.clear()
        self.worker.append(0, [b"first"])
        assert await asyncio.to_thread(self.disk.sync_begun.wait, TIMEOUT_S)


def run(scenario: Callable) -> Harness:
    async def main() -> Harness:
        harness = Harness()
        await scenario(harness)
        return harness

    return asyncio.run(main())


def stored_contents(harness: Harness) -> tuple[bytes | None, list[bytes]]:
    harness.medium.locked = False
    opened = LogFolder.open(Path("/folder"), "d1", lambda: bytes(16), MemoryDisk.opener_for(harness.medium))
    return opened.base, opened.records


def test_loop_is_not_blocked_by_a_sync_and_queued_writes_form_one_group() -> None:
    async def scenario(harness: Harness) -> None:
        await harness.block_first_write()
        for token in range(1, 100):
            harness.worker.append(token, [b"%d" % token])
        await asyncio.sleep(0)
        assert not harness.results  # for neither the blocked write nor the queued ones
        call_count = len(harness.medium.calls)
        harness.disk.sync_allowed.set()
        await harness.wait_for_results(100)
        assert harness.medium.calls[call_count:] == ["sync tail.0", "write tail.0", "sync tail.0"]
        assert await harness.worker.close(TIMEOUT_S)

    harness = run(scenario)
    assert harness.results == [Persisted(token) for token in range(100)]
    assert stored_contents(harness) == (None, [b"first", *(b"%d" % token for token in range(1, 100))])


def test_queued_base_replaces_all_records_before_it() -> None:
    async def scenario(harness: Harness) -> None:
        await harness.block_first_write()
        harness.worker.append(1, [b"gone"])
        harness.worker.append(2, [b"kept"], b"base")
        harness.worker.append(3, [b"more"])
        harness.disk.sync_allowed.set()
        await harness.wait_for_results(4)
        assert (
            sorted(harness.medium.names) == ["base.1", "identity", "tail.1"]
            and len(harness.disk.open_files) == 1
        )

    harness = run(scenario)
    assert harness.results == [Persisted(token) for token in range(4)]
    assert stored_contents(harness) == (b"base", [b"kept", b"more"])


def test_group_is_bounded_and_a_larger_record_is_written_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MAX_GROUP_BYTES", 2 * (PERSIST_OVERHEAD_BYTES + 4 + 10))

    async def scenario(harness: Harness) -> None:
        await harness.block_first_write()
        call_count = len(harness.medium.calls)
        for token, size in enumerate((10, 10, 10, 1000, 10), 1):
            harness.worker.append(token, [bytes(size)])
        harness.disk.sync_allowed.set()
        await harness.wait_for_results(6)
        assert harness.medium.calls[call_count:].count("write tail.0") == 4

    assert run(scenario).results == [Persisted(token) for token in range(6)]


@pytest.mark.parametrize("call", ["write", "sync"])
def test_failed_write_or_sync_is_reported_once_and_nothing_more_is_written(call: str) -> None:
    async def scenario(harness: Harness) -> None:
        call_number = len(harness.medium.calls) + ("write", "sync").index(call)
        harness.medium.failures = {call_number: OSError(errno.EIO, "Input/output error", "tail.0")}
        harness.worker.append(0, [b"first"])
        harness.worker.append(1, [b"waits"])
        await harness.wait_for_results(1)
        harness.worker.append(2, [b"too late"])
        assert not harness.worker.is_writing
        assert await harness.worker.close(TIMEOUT_S)
        assert len(harness.medium.calls) == call_number + 1

    assert run(scenario).results == [DiskFailed("/folder/tail.0: Input/output error")]


def test_full_queue_is_a_failure_and_is_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MAX_WAITING_BYTES", 10 * (PERSIST_OVERHEAD_BYTES + 8))

    async def scenario(harness: Harness) -> None:
        await harness.block_first_write()
        for token in range(1, 50):
            harness.worker.append(token, [])
        assert harness.results == [DiskFailed(QUEUE_FULL)]
        assert not harness.worker.waiting
        harness.medium.failures = {
            len(harness.medium.calls): OSError(errno.EIO, "Input/output error", "tail.0")
        }
        harness.disk.sync_allowed.set()
        assert await harness.worker.close(TIMEOUT_S)

    harness = run(scenario)
    assert harness.results == [DiskFailed(QUEUE_FULL)]
    assert stored_contents(harness) == (None, [b"first"])


def test_written_bytes_leave_the_queue(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MAX_WAITING_BYTES", 3 * (PERSIST_OVERHEAD_BYTES + 5))

    async def scenario(harness: Harness) -> None:
        for token in range(20):
            harness.worker.append(token, [b"x"])
            await harness.wait_for_results(token + 1)

    assert run(scenario).results == [Persisted(token) for token in range(20)]


def test_exception_in_the_callback_or_the_folder_does_not_end_the_writer(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def scenario(harness: Harness) -> None:
        def failing_callback(event: Persisted | DiskFailed) -> None:
            harness.handle_result(event)
            raise RuntimeError("callback failed")

        harness.worker.on_result = failing_callback
        harness.worker.append(0, [b"a"])
        harness.worker.append(1, [b"b"])
        await harness.wait_for_results(2)
        harness.worker.append(2, ["no bytes"])  # type: ignore[list-item]
        await harness.wait_for_results(3)
        assert await harness.worker.close(TIMEOUT_S)

    *results, failed = run(scenario).results
    assert results == [Persisted(0), Persisted(1)] and isinstance(failed, DiskFailed)
    assert "TypeError" in failed.reason and "callback failed" in caplog.text


def test_close_writes_queued_records_and_does_not_wait_forever() -> None:
    async def scenario(harness: Harness) -> None:
        await harness.block_first_write()
        harness.worker.append(1, [b"one"])
        assert not await harness.worker.close(0.01)
        harness.worker.append(2, [b"too late"])
        assert harness.medium.locked
        harness.disk.sync_allowed.set()
        assert await harness.worker.close(TIMEOUT_S)
        assert not harness.medium.locked and not harness.disk.open_files

    harness = run(scenario)
    assert harness.results == [Persisted(0), Persisted(1)]
    assert stored_contents(harness) == (None, [b"first", b"one"])
