"""One address of discovery: a watch that is kept open, and opened anew when it has broken.

The shell of `calling`: it makes the calls, hands on what they bring, and ends those that have failed.
"""

import asyncio
import contextlib
import json
import logging
import math
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from molereach.discovery.endpoint_mapping import Catalog, LongNews, News
from molereach.discovery.poll_backoff import CallPacing
from molereach.discovery.watch_stream import Steps, WatchConnection
from molereach.discovery.watch_supervisor import Calling
from molereach.policy.interface.events import EndpointListKind
from molereach.proxy.config import Address
from molereach.subsetting.interface import EntryBudgetExceededError, StagedEndpoints

log = logging.getLogger(__name__)

CONNECT_S = 1.0
LIST = "/catalog/members"
FAULT_S = 1.0  # before it goes on after a fault of its own
TURN_S = 0.001  # for the loop to read what has come
LIST_S = 30.0  # from an object's first part to its last

Done = TypeVar("Done")


@dataclass(frozen=True, slots=True)
class Staging:
    """Parts of an object that does not count yet, and when it should have ended, in seconds."""

    staged: StagedEndpoints
    until_s: float


class Source:
    """One address of discovery, with its news handed on as they come."""

    def __init__(
        self,
        address: Address,
        catalog: Catalog,
        version: int | None,
        heard: Callable[["Source", News | LongNews], Steps | None],
        pacing: CallPacing,
        draw: Callable[[], float],
        stage: Callable[[], StagedEndpoints],
        make_room: Callable[["Source", int], bool] = lambda source, number: False,
    ) -> None:
        """`make_room`: whether what else is staged gives way to what a call of this one brings."""
        self.address, self.catalog, self.heard, self.stage = address, catalog, heard, stage
        self.make_room = make_room
        self.version = version  # None: the whole list comes first
        self.pacing, self.draw = pacing, draw
        self.calling = Calling(pacing, draw)
        self.calls: dict[int, tuple[asyncio.Task[None], WatchConnection]] = {}
        self.staged: dict[int, Staging] = {}  # parts of objects that do not count yet, by their calls
        self.changed = asyncio.Event()
        self.closed = False

    async def run(self) -> None:
        try:
            if self.version:
                await asyncio.sleep(self.pacing.first(self.draw()))
            while not self.closed:
                self.changed.clear()
                wait_s = self.go_on(time.monotonic())
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(None if math.isinf(wait_s) else wait_s):
                        await self.changed.wait()
        finally:
            self.close()

    def go_on(self, now_s: float) -> float:
        """Do what is due; how long until there is more to do. A fault must not let the list grow old."""
        try:
            self.step(now_s)
        except Exception:
            log.exception("the watch on discovery failed")
            return FAULT_S
        return max(TURN_S, self.calling.wait_s(now_s))

    def step(self, now_s: float) -> None:
        """End what has failed and make the call that is due."""
        if self.calling.wait_s(now_s):
            return
        if any(connection.unread() for _, connection in self.calls.values()):
            return  # it is this process that stood still, and not discovery: the loop reads first
        for number in self.calling.failed(now_s):
            log.warning("discovery is silent")
            self.drop(number)
            self.calling.ended(number, now_s)
        if opened := self.calling.open(now_s):
            self.call(opened)
        for number in self.calling.surplus():
            self.drop(number)
            self.calling.over(number)

    def call(self, number: int) -> None:
        whole = self.version is None
        connection = WatchConnection(
            LIST if whole else f"{LIST}?watch=1&after={self.version}",
            "{}:{}".format(*self.address),
            lambda word: self.word(number, whole, word),
            lambda begun: self.bytes_came(number, begun),
            lambda text: self.part(number, text),
        )
        task = asyncio.get_running_loop().create_task(self.play(number, connection))
        self.calls[number] = task, connection

    async def play(self, number: int, connection: WatchConnection) -> None:
        """A call until its end."""
        try:
            async with asyncio.timeout(CONNECT_S):
                await asyncio.get_running_loop().create_connection(lambda: connection, *self.address)
            await connection.ended
        except (OSError, TimeoutError) as error:
            log.warning("no watch on discovery: %s", str(error) or "it does not answer")
        except Exception:
            log.exception("a call to discovery failed")
        finally:
            connection.close()
        self.staged.pop(number, None)
        if self.calls.pop(number, None):
            self.calling.ended(number, time.monotonic())
            self.changed.set()

    def drop(self, number: int) -> None:
        """End a call from here; nothing more of it is heard."""
        task, connection = self.calls.pop(number)
        self.staged.pop(number, None)  # with `close` all that is held of it has gone
        connection.close()
        task.cancel()

    def bytes_came(self, number: int, begun: bool) -> None:
        if begun and number in self.calls:
            self.calling.heard(number, time.monotonic())
            self.changed.set()

    def keep(self, number: int) -> None:
        """A call has brought something: it is the one that is kept."""
        for other in self.calling.word(number, time.monotonic()):
            self.drop(other)
            self.calling.over(other)
        self.changed.set()

    def part(self, number: int, text: bytes) -> None:
        """Entries of a long object; nothing of them counts before its end."""
        if number not in self.calls:
            return
        self.keep(number)
        now_s = time.monotonic()
        staged = self.staged.get(number)
        if staged is None:
            staged = self.staged[number] = Staging(self.stage(), now_s + LIST_S)
        if now_s > staged.until_s:
            raise ValueError(f"a list that takes over {LIST_S:.0f} s")
        servers, addresses = self.catalog.part(text)
        self.with_room(number, lambda: staged.staged.add(servers, addresses))

    def with_room(self, number: int, add: Callable[[], Done]) -> Done:
        """RoomError where nothing gives way to it."""
        try:
            return add()
        except EntryBudgetExceededError:
            if not self.make_room(self, number):
                raise
            return add()

    def give_way(self) -> bool:
        """End the call of which entries are held; whether there was one. It is called again as after a
        failure, and brings them again."""
        holding = list(self.staged)
        for number in holding:
            log.warning("entries of a list from %s:%d give way to those of another address", *self.address)
            self.drop(number)
            self.calling.ended(number, time.monotonic())
        self.changed.set()
        return bool(holding)

    def word(self, number: int, whole: bool, word: bytes) -> Steps | None:
        """A whole object, or an empty line. Where it fails, the version stays, and the next watch brings it
        again."""
        if number not in self.calls or (whole and not word):
            return None  # what is still in the pipe must not undo what a newer call or source has told
        self.keep(number)
        if not word:
            self.calling.taken()
            return None
        news = self.news(json.loads(word), EndpointListKind.FULL if whole else None, number)
        version = news.version if isinstance(news, LongNews) else news.event.version
        if steps := self.heard(self, news):
            return self.take_over(steps, number, whole, version)
        self.taken(number, whole, version)
        return None

    def news(self, value: Mapping[str, Any], kind: EndpointListKind | None, number: int) -> News | LongNews:
        if staging := self.staged.get(number):
            return self.with_room(number, lambda: self.catalog.long_news(value, staging.staged, kind))
        return self.catalog.news(value, kind)

    def take_over(self, steps: Steps, number: int, whole: bool, version: int) -> Steps:
        yield from steps
        self.taken(number, whole, version)

    def taken(self, number: int, whole: bool, version: int) -> None:
        """An object counts."""
        self.version = version
        self.staged.pop(number, None)
        self.calling.taken()
        if number not in self.calls:
            return
        if whole:  # the list is whole, however long the answer still takes to end
            self.drop(number)
            self.calling.over(number)
            self.calling.at_once(time.monotonic())
        else:
            self.calling.word(number, time.monotonic())  # to take it over is no silence of discovery
        self.changed.set()

    def close(self) -> None:
        self.closed = True
        for number in list(self.calls):
            self.drop(number)
        self.changed.set()
