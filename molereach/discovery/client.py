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

from molereach.discovery.endpoint_mapping import EndpointMapping, EndpointUpdate, StagedEndpointUpdate
from molereach.discovery.poll_backoff import PollBackoff
from molereach.discovery.watch_stream import Steps, WatchConnection
from molereach.discovery.watch_supervisor import WatchSupervisor
from molereach.policy.interface.events import EndpointListKind
from molereach.proxy.config import Address
from molereach.subsetting.interface import RoomError, Staged

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.0
ENDPOINT_LIST_PATH = "/catalog/members"
FAULT_RETRY_DELAY_S = 1.0  # before it goes on after a fault of its own
MIN_WAIT_S = 0.001  # for the loop to read what has come
STAGING_TIMEOUT_S = 30.0  # from an object's first part to its last

Result = TypeVar("Result")


@dataclass(frozen=True, slots=True)
class StagedObject:
    """Parts of an object that does not count yet, and when it should have ended, in seconds."""

    staged: Staged
    expires_at_s: float


class DiscoveryClient:
    """One address of discovery, with its news handed on as they come."""

    def __init__(
        self,
        address: Address,
        catalog: EndpointMapping,
        version: int | None,
        heard: Callable[["DiscoveryClient", EndpointUpdate | StagedEndpointUpdate], Steps | None],
        pacing: PollBackoff,
        draw: Callable[[], float],
        stage: Callable[[], Staged],
        make_room: Callable[["DiscoveryClient", int], bool] = lambda source, number: False,
    ) -> None:
        """`make_room`: whether what else is staged gives way to what a call of this one brings."""
        self.address, self.mapping, self.on_update, self.open_staging = address, catalog, heard, stage
        self.reclaim_capacity = make_room
        self.version = version  # None: the whole list comes first
        self.backoff, self.draw = pacing, draw
        self.supervisor = WatchSupervisor(pacing, draw)
        self.watches: dict[int, tuple[asyncio.Task[None], WatchConnection]] = {}
        self.staged_objects: dict[
            int, StagedObject
        ] = {}  # parts of objects that do not count yet, by their calls
        self.state_changed = asyncio.Event()
        self.closed = False

    async def run(self) -> None:
        try:
            if self.version:
                await asyncio.sleep(self.backoff.initial_delay_s(self.draw()))
            while not self.closed:
                self.state_changed.clear()
                wait_s = self.run_due(time.monotonic())
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(None if math.isinf(wait_s) else wait_s):
                        await self.state_changed.wait()
        finally:
            self.close()

    def run_due(self, now_s: float) -> float:
        """Do what is due; how long until there is more to do. A fault must not let the list grow old."""
        try:
            self.supervise(now_s)
        except Exception:
            log.exception("the watch on discovery failed")
            return FAULT_RETRY_DELAY_S
        return max(MIN_WAIT_S, self.supervisor.wait_s(now_s))

    def supervise(self, now_s: float) -> None:
        """End what has failed and make the call that is due."""
        if self.supervisor.wait_s(now_s):
            return
        if any(connection.has_unread_data() for _, connection in self.watches.values()):
            return  # it is this process that stood still, and not discovery: the loop reads first
        for number in self.supervisor.expired(now_s):
            log.warning("discovery is silent")
            self.abandon(number)
            self.supervisor.record_failure(number, now_s)
        if opened := self.supervisor.open_if_due(now_s):
            self.open_watch(opened)
        for number in self.supervisor.surplus():
            self.abandon(number)
            self.supervisor.complete(number)

    def open_watch(self, number: int) -> None:
        whole = self.version is None
        connection = WatchConnection(
            ENDPOINT_LIST_PATH if whole else f"{ENDPOINT_LIST_PATH}?watch=1&after={self.version}",
            "{}:{}".format(*self.address),
            lambda word: self.object_received(number, whole, word),
            lambda begun: self.bytes_received(number, begun),
            lambda text: self.entries_received(number, text),
        )
        task = asyncio.get_running_loop().create_task(self.run_watch(number, connection))
        self.watches[number] = task, connection

    async def run_watch(self, number: int, connection: WatchConnection) -> None:
        """A call until its end."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().create_connection(lambda: connection, *self.address)
            await connection.finished
        except (OSError, TimeoutError) as error:
            log.warning("no watch on discovery: %s", str(error) or "it does not answer")
        except Exception:
            log.exception("a call to discovery failed")
        finally:
            connection.close()
        self.staged_objects.pop(number, None)
        if self.watches.pop(number, None):
            self.supervisor.record_failure(number, time.monotonic())
            self.state_changed.set()

    def abandon(self, number: int) -> None:
        """End a call from here; nothing more of it is heard."""
        task, connection = self.watches.pop(number)
        self.staged_objects.pop(number, None)  # with `close` all that is held of it has gone
        connection.close()
        task.cancel()

    def bytes_received(self, number: int, begun: bool) -> None:
        if begun and number in self.watches:
            self.supervisor.record_bytes(number, time.monotonic())
            self.state_changed.set()

    def keep_only(self, number: int) -> None:
        """A call has brought something: it is the one that is kept."""
        for other in self.supervisor.record_object(number, time.monotonic()):
            self.abandon(other)
            self.supervisor.complete(other)
        self.state_changed.set()

    def entries_received(self, number: int, text: bytes) -> None:
        """Entries of a long object; nothing of them counts before its end."""
        if number not in self.watches:
            return
        self.keep_only(number)
        now_s = time.monotonic()
        staged = self.staged_objects.get(number)
        if staged is None:
            staged = self.staged_objects[number] = StagedObject(
                self.open_staging(), now_s + STAGING_TIMEOUT_S
            )
        if now_s > staged.expires_at_s:
            raise ValueError(f"a list that takes over {STAGING_TIMEOUT_S:.0f} s")
        servers, addresses = self.mapping.read_entry_list(text)
        self.with_capacity(number, lambda: staged.staged.add(servers, addresses))

    def with_capacity(self, number: int, add: Callable[[], Result]) -> Result:
        """RoomError where nothing gives way to it."""
        try:
            return add()
        except RoomError:
            if not self.reclaim_capacity(self, number):
                raise
            return add()

    def release_staged(self) -> bool:
        """End the call of which entries are held; whether there was one. It is called again as after a
        failure, and brings them again."""
        holding = list(self.staged_objects)
        for number in holding:
            log.warning("entries of a list from %s:%d give way to those of another address", *self.address)
            self.abandon(number)
            self.supervisor.record_failure(number, time.monotonic())
        self.state_changed.set()
        return bool(holding)

    def object_received(self, number: int, whole: bool, word: bytes) -> Steps | None:
        """A whole object, or an empty line. Where it fails, the version stays, and the next watch brings it
        again."""
        if number not in self.watches or (whole and not word):
            return None  # what is still in the pipe must not undo what a newer call or source has told
        self.keep_only(number)
        if not word:
            self.supervisor.record_applied()
            return None
        news = self.read_update(json.loads(word), EndpointListKind.FULL if whole else None, number)
        version = news.version if isinstance(news, StagedEndpointUpdate) else news.event.version
        if steps := self.on_update(self, news):
            return self.apply_in_steps(steps, number, whole, version)
        self.mark_applied(number, whole, version)
        return None

    def read_update(
        self, value: Mapping[str, Any], kind: EndpointListKind | None, number: int
    ) -> EndpointUpdate | StagedEndpointUpdate:
        if staging := self.staged_objects.get(number):
            return self.with_capacity(
                number, lambda: self.mapping.read_staged_update(value, staging.staged, kind)
            )
        return self.mapping.read_update(value, kind)

    def apply_in_steps(self, steps: Steps, number: int, whole: bool, version: int) -> Steps:
        yield from steps
        self.mark_applied(number, whole, version)

    def mark_applied(self, number: int, whole: bool, version: int) -> None:
        """An object counts."""
        self.version = version
        self.staged_objects.pop(number, None)
        self.supervisor.record_applied()
        if number not in self.watches:
            return
        if whole:  # the list is whole, however long the answer still takes to end
            self.abandon(number)
            self.supervisor.complete(number)
            self.supervisor.open_now(time.monotonic())
        else:
            self.supervisor.record_object(
                number, time.monotonic()
            )  # to take it over is no silence of discovery
        self.state_changed.set()

    def close(self) -> None:
        self.closed = True
        for number in list(self.watches):
            self.abandon(number)
        self.state_changed.set()
