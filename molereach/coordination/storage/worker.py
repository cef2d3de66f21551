"""A writer thread, so that the event loop never waits for a sync.

Writes that are queued while another is in progress are combined into the next one, up to a bound (group
commit; DeWitt et al., "Implementation Techniques for Main Memory Database Systems", 1984, section 5.2). The
thread uses only the folder and the queue of batches; all other state belongs to the event loop, so no lock is
needed.
"""

import asyncio
import contextlib
import logging
from collections import deque
from collections.abc import Callable, Sequence
from queue import SimpleQueue
from threading import Thread

from molereach.coordination.interface.disk import DiskFailed, Persist, Persisted
from molereach.coordination.storage.errors import FolderError
from molereach.coordination.storage.folder import LogFolder
from molereach.coordination.storage.frames import body_size

MAX_GROUP_BYTES = 4 << 20  # in one write to the disk; a larger `Persist` is written alone
MAX_WAITING_BYTES = 32 << 20  # room for a base and a full tail after it
PERSIST_OVERHEAD_BYTES = 256  # memory of an empty `Persist`
QUEUE_FULL = "too much waits for the disk"

log = logging.getLogger(__name__)


def queued_bytes(persist: Persist) -> int:
    """The memory that a queued write occupies, in bytes."""
    return PERSIST_OVERHEAD_BYTES + body_size(persist.records) + len(persist.base or b"")


class WriterThread:
    """Writes to one folder.

    `on_result` is called in the event loop, in the order of tokens; a `DiskFailed` is always the last call. A
    disk that hangs produces no result until the queue exceeds its bound.
    """

    def __init__(self, folder: LogFolder, on_result: Callable[[Persisted | DiskFailed], None]) -> None:
        """Start the thread; must be called within a running event loop."""
        self.folder = folder
        self.on_result = on_result
        self.loop = asyncio.get_running_loop()
        self.waiting: deque[Persist] = deque()
        self.waiting_bytes = 0  # includes the batch that is being written
        self.is_writing = False
        self.failed = False
        self.closing = False
        self.closed = asyncio.Event()
        self.batches: SimpleQueue[list[Persist] | None] = SimpleQueue()
        # A daemon thread, so that a disk that hangs does not prevent the process from exiting.
        Thread(target=self._run, name="council-store", daemon=True).start()

    def append(self, token: int, records: Sequence[bytes], base: bytes | None = None) -> None:
        """Queue a write without blocking; it is dropped after a disk failure or a call of `close`."""
        if self.failed or self.closing:
            return
        persist = Persist(token, tuple(records), base)
        self.waiting_bytes += queued_bytes(persist)
        if self.waiting_bytes > MAX_WAITING_BYTES:
            self._fail(QUEUE_FULL)
            return
        self.waiting.append(persist)
        self._start_next()

    async def close(self, timeout_s: float) -> bool:
        """Write everything queued and release the folder; returns False if `timeout_s` elapsed first."""
        if not self.closing:
            self.closing = True
            self._start_next()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.closed.wait(), timeout_s)
        return self.closed.is_set()

    def _start_next(self) -> None:
        if self.is_writing:
            return
        if self.waiting:
            self.is_writing = True
            self.batches.put(self._next_group())
        elif self.closing:
            self.is_writing = True
            self.batches.put(None)

    def _next_group(self) -> list[Persist]:
        """Take the queued writes that form the next write to the disk."""
        group = [self.waiting.popleft()]
        remaining_bytes = MAX_GROUP_BYTES - queued_bytes(group[0])
        while self.waiting and queued_bytes(self.waiting[0]) <= remaining_bytes:
            remaining_bytes -= queued_bytes(self.waiting[0])
            group.append(self.waiting.popleft())
        return group

    def _handle_write_result(self, group: list[Persist], reason: str) -> None:
        self.is_writing = False
        self.waiting_bytes -= sum(map(queued_bytes, group))
        if reason:
            self._fail(reason)
        for persist in group:
            if not self.failed:
                self._notify(Persisted(persist.token))
        self._start_next()

    def _fail(self, reason: str) -> None:
        if not self.failed:
            self.failed = True
            self.waiting.clear()
            self._notify(DiskFailed(reason))

    def _notify(self, event: Persisted | DiskFailed) -> None:
        try:
            self.on_result(event)
        except Exception:
            log.exception("replicated log failed on disk event %r", event)

    # --- writer thread ---

    def _run(self) -> None:
        while (group := self.batches.get()) is not None:
            self._call_in_loop(self._handle_write_result, group, self._write(group))
        self.folder.close()
        self._call_in_loop(self.closed.set)

    def _write(self, group: list[Persist]) -> str:
        """Write a group; returns the reason of a failure, or ""."""
        try:
            self.folder.write(group)
        except FolderError as error:
            return str(error)
        except Exception as error:
            log.exception("log folder write failed")
            return f"{type(error).__name__}: {' '.join(str(error).split())}"
        return ""

    def _call_in_loop(self, callback: Callable[..., None], *arguments: object) -> None:
        with contextlib.suppress(RuntimeError):  # the event loop was closed meanwhile
            self.loop.call_soon_threadsafe(callback, *arguments)
