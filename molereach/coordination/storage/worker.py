"""A thread that writes, so that no turn of the event loop waits for a sync.

What waits while a write is in progress goes into the next one together, up to a bound (group commit; DeWitt
et al., "Implementation Techniques for Main Memory Database Systems", 1984, section 5.2). The thread has
batches and the folder alone; everything else is the loop's, so there is no lock.
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

MAX_GROUP_BYTES = 4 << 20  # in one write; a larger one goes alone
MAX_WAITING_BYTES = 32 << 20  # a base and a full tail behind it
PERSIST_BYTES = 256  # what one takes in memory, however empty
QUEUE_FULL = "too much waits for the disk"

log = logging.getLogger(__name__)


def queued_bytes(persist: Persist) -> int:
    """Bytes that a write takes in memory while it waits."""
    return PERSIST_BYTES + body_size(persist.records) + len(persist.base or b"")


class WriterThread:
    """Writes to one folder.

    `on_result` is called by the loop, in the order of tokens; with `DiskFailed` once, then never more. A disk
    that hangs gives no result, until too much waits.
    """

    def __init__(self, folder: LogFolder, on_result: Callable[[Persisted | DiskFailed], None]) -> None:
        """Call it within a running loop."""
        self.folder = folder
        self.on_result = on_result
        self.loop = asyncio.get_running_loop()
        self.waiting: deque[Persist] = deque()
        self.waiting_bytes = 0  # also of the batch that is being written
        self.is_writing = False
        self.failed = False
        self.closing = False
        self.ended = asyncio.Event()
        self.batches: SimpleQueue[list[Persist] | None] = SimpleQueue()
        # A daemon: a disk that hangs must not keep the process from exiting.
        Thread(target=self._run, name="council-store", daemon=True).start()

    def append(self, token: int, records: Sequence[bytes], base: bytes | None = None) -> None:
        """Queue a write and return at once; it is dropped once the disk has failed or `close` was called."""
        if self.failed or self.closing:
            return
        persist = Persist(token, tuple(records), base)
        self.waiting_bytes += queued_bytes(persist)
        if self.waiting_bytes > MAX_WAITING_BYTES:
            self._fail(QUEUE_FULL)
            return
        self.waiting.append(persist)
        self._start_next()

    async def close(self, within_s: float) -> bool:
        """Write what waits and release the folder; False if that took longer than `within_s` seconds."""
        if not self.closing:
            self.closing = True
            self._start_next()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.ended.wait(), within_s)
        return self.ended.is_set()

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
        """The waiting writes that go into one write to the disk."""
        group = [self.waiting.popleft()]
        remaining_bytes = MAX_GROUP_BYTES - queued_bytes(group[0])
        while self.waiting and queued_bytes(self.waiting[0]) <= remaining_bytes:
            remaining_bytes -= queued_bytes(self.waiting[0])
            group.append(self.waiting.popleft())
        return group

    def _written(self, group: list[Persist], reason: str) -> None:
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

    # --- in the thread ---

    def _run(self) -> None:
        while (group := self.batches.get()) is not None:
            self._call(self._written, group, self._write(group))
        self.folder.close()
        self._call(self.ended.set)

    def _write(self, group: list[Persist]) -> str:
        """Write a group; the reason of the failure, or ""."""
        try:
            self.folder.write(group)
        except FolderError as error:
            return str(error)
        except Exception as error:
            log.exception("log folder write failed")
            return f"{type(error).__name__}: {' '.join(str(error).split())}"
        return ""

    def _call(self, callback: Callable[..., None], *arguments: object) -> None:
        with contextlib.suppress(RuntimeError):  # the loop has ended meanwhile
            self.loop.call_soon_threadsafe(callback, *arguments)
