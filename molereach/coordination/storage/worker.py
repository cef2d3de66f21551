"""A thread that writes, so that no turn of the loop waits for a sync.

What waits while a write is under way goes into the next one together, up to a bound (group commit; DeWitt et
al., "Implementation Techniques for Main Memory Database Systems", 1984, section 5.2). The thread has batches
and the store alone; all else is the loop's, so there is no lock.
"""

import asyncio
import contextlib
import logging
from collections import deque
from collections.abc import Callable, Sequence
from queue import SimpleQueue
from threading import Thread

from molereach.coordination.interface.disk import DiskFailed, Persist, Persisted
from molereach.coordination.storage.frames import size
from molereach.coordination.storage.store import Store, StoreError

MOST_GROUP_BYTES = 4 << 20  # in one write; a larger one goes alone
MOST_WAITING_BYTES = 32 << 20  # a base and a full tail behind it
PERSIST_BYTES = 256  # what one takes in memory, however empty
TOO_MUCH = "too much waits for the disk"

log = logging.getLogger(__name__)


def weight(persist: Persist) -> int:
    """Bytes that it takes while it waits."""
    return PERSIST_BYTES + size(persist.records) + len(persist.base or b"")


class Worker:
    """Writes to one store. `done` is called by the loop, in the order of tokens; `DiskFailed` once, then
    nothing. A disk that hangs says nothing, until too much waits."""

    def __init__(self, store: Store, done: Callable[[Persisted | DiskFailed], None]) -> None:
        """Within a running loop."""
        self.store, self.done = store, done
        self.loop = asyncio.get_running_loop()
        self.waiting: deque[Persist] = deque()
        self.waiting_bytes = 0  # also of the batch under way
        self.under_way = self.failed = self.closing = False
        self.ended = asyncio.Event()
        self.batches: SimpleQueue[list[Persist] | None] = SimpleQueue()
        # A daemon: a disk that hangs must not keep the front door from its end.
        Thread(target=self._run, name="council-store", daemon=True).start()

    def append(self, token: int, records: Sequence[bytes], base: bytes | None = None) -> None:
        """Queue it and return at once; nothing comes of it once the disk has failed or the end was asked."""
        if self.failed or self.closing:
            return
        persist = Persist(token, tuple(records), base)
        self.waiting_bytes += weight(persist)
        if self.waiting_bytes > MOST_WAITING_BYTES:
            self._fail(TOO_MUCH)
            return
        self.waiting.append(persist)
        self._next()

    async def close(self, within_s: float) -> bool:
        """Write what waits and give the folder up; False if the disk took longer than that."""
        if not self.closing:
            self.closing = True
            self._next()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.ended.wait(), within_s)
        return self.ended.is_set()

    def _next(self) -> None:
        if self.under_way:
            return
        if self.waiting:
            self.under_way = True
            self.batches.put(self._group())
        elif self.closing:
            self.under_way = True
            self.batches.put(None)

    def _group(self) -> list[Persist]:
        """What goes into one write."""
        group = [self.waiting.popleft()]
        room = MOST_GROUP_BYTES - weight(group[0])
        while self.waiting and weight(self.waiting[0]) <= room:
            room -= weight(self.waiting[0])
            group.append(self.waiting.popleft())
        return group

    def _written(self, group: list[Persist], reason: str) -> None:
        self.under_way = False
        self.waiting_bytes -= sum(map(weight, group))
        if reason:
            self._fail(reason)
        for persist in group:
            if not self.failed:
                self._tell(Persisted(persist.token))
        self._next()

    def _fail(self, reason: str) -> None:
        if not self.failed:
            self.failed = True
            self.waiting.clear()
            self._tell(DiskFailed(reason))

    def _tell(self, event: Persisted | DiskFailed) -> None:
        try:
            self.done(event)
        except Exception:
            log.exception("the council's log failed at %r", event)

    # --- in the thread ---

    def _run(self) -> None:
        while (group := self.batches.get()) is not None:
            self._call(self._written, group, self._try(group))
        self.store.close()
        self._call(self.ended.set)

    def _try(self, group: list[Persist]) -> str:
        """The reason why not, or nothing."""
        try:
            self.store.write(group)
        except StoreError as error:
            return str(error)
        except Exception as error:
            log.exception("the council's store failed")
            return f"{type(error).__name__}: {' '.join(str(error).split())}"
        return ""

    def _call(self, what: Callable[..., None], *arguments: object) -> None:
        with contextlib.suppress(RuntimeError):  # the loop has ended meanwhile
            self.loop.call_soon_threadsafe(what, *arguments)
