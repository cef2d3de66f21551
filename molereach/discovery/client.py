"""One address of discovery: a watch that is kept open, and opened anew when it has broken.

It makes the attempts that `watch_supervisor` decides on, hands on what they bring, and closes those that have
failed.
"""

import asyncio
import contextlib
import json
import logging
import math
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple, TypeVar

from molereach.discovery.endpoint_mapping import EndpointMapping, EndpointUpdate, StagedEndpointUpdate
from molereach.discovery.errors import StagingTimeoutError
from molereach.discovery.poll_backoff import PollBackoff
from molereach.discovery.watch_stream import Steps, WatchConnection
from molereach.discovery.watch_supervisor import WatchSupervisor
from molereach.endpoint_address import EndpointAddress
from molereach.policy.interface.events import EndpointListKind
from molereach.subsetting.interface import EntryBudgetExceededError, StagedEndpoints

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.0
ENDPOINT_LIST_PATH = "/catalog/members"
FAULT_RETRY_DELAY_S = 1.0  # before it goes on after a programming error
MIN_WAIT_S = 0.001  # for the loop to read what has come
STAGING_TIMEOUT_S = 30.0  # from an object's first entries to its end

Result = TypeVar("Result")
Update = EndpointUpdate | StagedEndpointUpdate


@dataclass(frozen=True, slots=True)
class StagedObject:
    """Entries of an object that does not count yet, and when it should have ended, in seconds."""

    staged: StagedEndpoints
    expires_at_s: float


class OpenWatch(NamedTuple):
    """A watch that is open: its connection, and the task that runs it to its end."""

    task: asyncio.Task[None]
    connection: WatchConnection


class DiscoveryClient:
    """Watches the endpoint list at one address, and hands on its updates as they come."""

    def __init__(
        self,
        address: EndpointAddress,
        mapping: EndpointMapping,
        version: int | None,
        on_update: Callable[["DiscoveryClient", Update], Steps | None],
        backoff: PollBackoff,
        draw: Callable[[], float],
        open_staging: Callable[[], StagedEndpoints],
        reclaim_capacity: Callable[["DiscoveryClient", int], bool] = lambda client, number: False,
    ) -> None:
        """`version`: that of the list known already; None: the full list comes first.

        `on_update` applies an update, or returns the steps that do; `draw`: a random source, evenly
        distributed from 0 to 1; `open_staging`: new staging for a long object; `reclaim_capacity`: whether
        what else is staged was dropped for what a watch of this client brings.
        """
        self.address = address
        self.mapping = mapping
        self.version = version
        self.on_update = on_update
        self.backoff = backoff
        self.draw = draw
        self.open_staging = open_staging
        self.reclaim_capacity = reclaim_capacity
        self.supervisor = WatchSupervisor(backoff, draw)
        self.watches: dict[int, OpenWatch] = {}
        self.staged_objects: dict[int, StagedObject] = {}  # by the number of their watch
        self.state_changed = asyncio.Event()
        self.closed = False

    async def run(self) -> None:
        """Keep a watch open until the client is closed."""
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
        """Do what is due; how long until there is more to do, in seconds.

        A programming error must not end the watch and let the list grow old.
        """
        try:
            self.supervise(now_s)
        except Exception:
            log.exception("discovery client failed")
            return FAULT_RETRY_DELAY_S
        return max(MIN_WAIT_S, self.supervisor.wait_s(now_s))

    def supervise(self, now_s: float) -> None:
        """Close the watches that have failed and open the one that is due."""
        if self.supervisor.wait_s(now_s):
            return
        if any(watch.connection.has_unread_data() for watch in self.watches.values()):
            return  # it is this process that stood still, and not discovery: the loop reads first
        for number in self.supervisor.expired(now_s):
            log.warning("endpoint watch silent, reconnecting")
            self.abandon(number)
            self.supervisor.record_failure(number, now_s)
        if opened := self.supervisor.open_if_due(now_s):
            self.open_watch(opened)
        for number in self.supervisor.surplus():
            self.abandon(number)
            self.supervisor.complete(number)

    def open_watch(self, number: int) -> None:
        """Start a watch, or a request for the full list where none is known."""
        is_full = self.version is None
        connection = WatchConnection(
            ENDPOINT_LIST_PATH if is_full else f"{ENDPOINT_LIST_PATH}?watch=1&after={self.version}",
            "{}:{}".format(*self.address),
            lambda text: self.object_received(number, is_full, text),
            lambda response_started: self.bytes_received(number, response_started),
            lambda text: self.entries_received(number, text),
        )
        task = asyncio.get_running_loop().create_task(self.run_watch(number, connection))
        self.watches[number] = OpenWatch(task, connection)

    async def run_watch(self, number: int, connection: WatchConnection) -> None:
        """Connect and wait for the watch's end; then its failure counts, unless it was abandoned."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().create_connection(lambda: connection, *self.address)
            await connection.finished
        except (OSError, TimeoutError) as error:
            log.warning("no watch on discovery: %s", str(error) or "it does not answer")
        except Exception:
            log.exception("endpoint watch failed")
        finally:
            connection.close()
        self.staged_objects.pop(number, None)
        if self.watches.pop(number, None):
            self.supervisor.record_failure(number, time.monotonic())
            self.state_changed.set()

    def abandon(self, number: int) -> None:
        """Close a watch; nothing more of it is delivered."""
        watch = self.watches.pop(number)
        self.staged_objects.pop(number, None)  # with `close` all that is staged for it is freed
        watch.connection.close()
        watch.task.cancel()

    def bytes_received(self, number: int, response_started: bool) -> None:
        """A watch has brought bytes, maybe only of the response's head."""
        if response_started and number in self.watches:
            self.supervisor.record_bytes(number, time.monotonic())
            self.state_changed.set()

    def keep_only(self, number: int) -> None:
        """A watch has brought something: close the others."""
        for other in self.supervisor.record_object(number, time.monotonic()):
            self.abandon(other)
            self.supervisor.complete(other)
        self.state_changed.set()

    def entries_received(self, number: int, text: bytes) -> None:
        """Stage entries of a long object; none of them counts before its end.

        StagingTimeoutError where the object takes too long.
        """
        if number not in self.watches:
            return
        self.keep_only(number)
        now_s = time.monotonic()
        staged_object = self.staged_objects.get(number)
        if staged_object is None:
            staged_object = StagedObject(self.open_staging(), now_s + STAGING_TIMEOUT_S)
            self.staged_objects[number] = staged_object
        if now_s > staged_object.expires_at_s:
            raise StagingTimeoutError(f"a list that takes over {STAGING_TIMEOUT_S:.0f} s")
        listed = self.mapping.read_entry_list(text)
        self.with_capacity(number, lambda: staged_object.staged.add(*listed))

    def with_capacity(self, number: int, add: Callable[[], Result]) -> Result:
        """Add to what is staged, once more after capacity was reclaimed.

        EntryBudgetExceededError where none could be.
        """
        try:
            return add()
        except EntryBudgetExceededError:
            if not self.reclaim_capacity(self, number):
                raise
            return add()

    def release_staged(self) -> bool:
        """Close the watches for which entries are staged; whether there was one.

        They are opened again as after a failure, and bring the entries again.
        """
        numbers = list(self.staged_objects)
        for number in numbers:
            log.warning("staged entries of %s:%d dropped for those of another address", *self.address)
            self.abandon(number)
            self.supervisor.record_failure(number, time.monotonic())
        self.state_changed.set()
        return bool(numbers)

    def object_received(self, number: int, is_full: bool, text: bytes) -> Steps | None:
        """Apply a complete object, or count an empty line; the steps that are left to do.

        Where it fails, the version stays, and the next watch brings the object again.
        """
        if number not in self.watches or (is_full and not text):
            return None  # a watch that was abandoned must not undo what a newer one or another client brought
        self.keep_only(number)
        if not text:
            self.supervisor.record_applied()
            return None
        update = self.read_update(json.loads(text), EndpointListKind.FULL if is_full else None, number)
        version = update.version if isinstance(update, StagedEndpointUpdate) else update.event.version
        if steps := self.on_update(self, update):
            return self.apply_in_steps(steps, number, is_full, version)
        self.mark_applied(number, is_full, version)
        return None

    def read_update(self, value: Mapping[str, Any], kind: EndpointListKind | None, number: int) -> Update:
        """The update in an object, whose first entries may have been staged."""
        if staged_object := self.staged_objects.get(number):
            return self.with_capacity(
                number, lambda: self.mapping.read_staged_update(value, staged_object.staged, kind)
            )
        return self.mapping.read_update(value, kind)

    def apply_in_steps(self, steps: Steps, number: int, is_full: bool, version: int) -> Steps:
        """Apply an update in steps; it counts at the end of the last."""
        yield from steps
        self.mark_applied(number, is_full, version)

    def mark_applied(self, number: int, is_full: bool, version: int) -> None:
        """An object counts: the next watch is for what comes after it."""
        self.version = version
        self.staged_objects.pop(number, None)
        self.supervisor.record_applied()
        if number not in self.watches:
            return
        if is_full:  # the list is complete, however long the response still takes to end
            self.abandon(number)
            self.supervisor.complete(number)
            self.supervisor.open_now(time.monotonic())
        else:
            self.supervisor.record_object(number, time.monotonic())  # applying it was no silence of discovery
        self.state_changed.set()

    def close(self) -> None:
        """Close all watches and end `run`."""
        self.closed = True
        for number in list(self.watches):
            self.abandon(number)
        self.state_changed.set()
