"""Client for one address of discovery, which keeps a watch open and reopens it after a failure.

It opens and closes connections as `watch_supervisor` decides, and passes on the updates that they receive.
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
FAULT_RETRY_DELAY_S = 1.0  # after an unexpected exception in this module
MIN_WAIT_S = 0.001  # so that the event loop can read received data
STAGING_TIMEOUT_S = 30.0  # from the first staged entries of an object to its end

Result = TypeVar("Result")
Update = EndpointUpdate | StagedEndpointUpdate


@dataclass(frozen=True, slots=True)
class StagedObject:
    """Staged entries of an incomplete object, and when its time limit ends, in seconds."""

    staged: StagedEndpoints
    expires_at_s: float


class OpenWatch(NamedTuple):
    """An open watch: its connection, and the task that connects and waits for its end."""

    task: asyncio.Task[None]
    connection: WatchConnection


class DiscoveryClient:
    """Watches the endpoint list at one address and passes on its updates."""

    def __init__(
        self,
        address: EndpointAddress,
        mapping: EndpointMapping,
        version: int | None,
        on_update: Callable[["DiscoveryClient", Update], Steps | None],
        backoff: PollBackoff,
        draw: Callable[[], float],
        open_staging: Callable[[], StagedEndpoints],
        reclaim_capacity: Callable[["DiscoveryClient", int], bool] = lambda client, attempt_id: False,
    ) -> None:
        """`version`: that of the current list; None to request the full list first.

        `on_update` applies an update, or returns the steps that apply it. `draw` returns uniformly
        distributed random numbers between 0 and 1. `open_staging` returns staging for a long object.
        `reclaim_capacity` frees other staged entries for those of a watch; it returns whether there were any.
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
        self.staged_objects: dict[int, StagedObject] = {}  # by the id of their watch
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
        """Do what is due; returns the time in seconds until something is due again.

        An unexpected exception is logged and must not end the client, as its list would become outdated.
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
            return  # this process was stalled, not discovery: the event loop has to read the data first
        for attempt_id in self.supervisor.expired(now_s):
            log.warning("endpoint watch silent, reconnecting")
            self.abandon(attempt_id)
            self.supervisor.record_failure(attempt_id, now_s)
        if opened := self.supervisor.open_if_due(now_s):
            self.open_watch(opened)
        for attempt_id in self.supervisor.surplus():
            self.abandon(attempt_id)
            self.supervisor.forget_attempt(attempt_id)

    def open_watch(self, attempt_id: int) -> None:
        """Start a watch, or a request for the full list if no version is known."""
        is_full = self.version is None
        connection = WatchConnection(
            ENDPOINT_LIST_PATH if is_full else f"{ENDPOINT_LIST_PATH}?watch=1&after={self.version}",
            "{}:{}".format(*self.address),
            lambda text: self.object_received(attempt_id, is_full, text),
            lambda response_started: self.bytes_received(attempt_id, response_started),
            lambda text: self.entries_received(attempt_id, text),
        )
        task = asyncio.get_running_loop().create_task(self.run_watch(attempt_id, connection))
        self.watches[attempt_id] = OpenWatch(task, connection)

    async def run_watch(self, attempt_id: int, connection: WatchConnection) -> None:
        """Connect and wait for the end of a watch; it counts as a failure unless it was abandoned."""
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
        self.staged_objects.pop(attempt_id, None)
        if self.watches.pop(attempt_id, None):
            self.supervisor.record_failure(attempt_id, time.monotonic())
            self.state_changed.set()

    def abandon(self, attempt_id: int) -> None:
        """Close a watch, free its staged entries and deliver nothing more of it."""
        watch = self.watches.pop(attempt_id)
        self.staged_objects.pop(attempt_id, None)  # `close` drops the remaining references to staged entries
        watch.connection.close()
        watch.task.cancel()

    def bytes_received(self, attempt_id: int, response_started: bool) -> None:
        """Record received bytes if the response of a watch has begun."""
        if response_started and attempt_id in self.watches:
            self.supervisor.record_bytes(attempt_id, time.monotonic())
            self.state_changed.set()

    def keep_only(self, attempt_id: int) -> None:
        """Close all watches but the one that received an object, entries or an empty line."""
        for other in self.supervisor.record_object(attempt_id, time.monotonic()):
            self.abandon(other)
            self.supervisor.forget_attempt(other)
        self.state_changed.set()

    def entries_received(self, attempt_id: int, text: bytes) -> None:
        """Stage entries of a long object; they are not in use before its end.

        Raises StagingTimeoutError if the object takes too long.
        """
        if attempt_id not in self.watches:
            return
        self.keep_only(attempt_id)
        now_s = time.monotonic()
        staged_object = self.staged_objects.get(attempt_id)
        if staged_object is None:
            staged_object = StagedObject(self.open_staging(), now_s + STAGING_TIMEOUT_S)
            self.staged_objects[attempt_id] = staged_object
        if now_s > staged_object.expires_at_s:
            raise StagingTimeoutError(f"a list that takes over {STAGING_TIMEOUT_S:.0f} s")
        listed = self.mapping.read_entry_list(text)
        self.add_with_reclaim(attempt_id, lambda: staged_object.staged.add(*listed))

    def add_with_reclaim(self, attempt_id: int, add: Callable[[], Result]) -> Result:
        """Call `add`, which stages entries; if the budget is exceeded, reclaim capacity and call it again.

        Raises EntryBudgetExceededError if there was nothing to reclaim, or too little.
        """
        try:
            return add()
        except EntryBudgetExceededError:
            if not self.reclaim_capacity(self, attempt_id):
                raise
            return add()

    def release_staged(self) -> bool:
        """Close the watches that have staged entries; returns whether there were any.

        They are reopened as after a failure, and receive the entries again.
        """
        attempt_ids = list(self.staged_objects)
        for attempt_id in attempt_ids:
            log.warning("staged entries of %s:%d dropped for those of another address", *self.address)
            self.abandon(attempt_id)
            self.supervisor.record_failure(attempt_id, time.monotonic())
        self.state_changed.set()
        return bool(attempt_ids)

    def object_received(self, attempt_id: int, is_full: bool, text: bytes) -> Steps | None:
        """Apply a complete object, or record an empty line; returns the remaining steps, if any.

        If this fails, the version stays as it is and the next watch receives the object again.
        """
        if attempt_id not in self.watches or (is_full and not text):
            return (
                None  # an abandoned watch must not overwrite the update of a newer one or of another client
            )
        self.keep_only(attempt_id)
        if not text:
            self.supervisor.record_applied()
            return None
        update = self.read_update(json.loads(text), EndpointListKind.FULL if is_full else None, attempt_id)
        version = update.version if isinstance(update, StagedEndpointUpdate) else update.event.version
        if steps := self.on_update(self, update):
            return self.apply_in_steps(steps, attempt_id, is_full, version)
        self.mark_applied(attempt_id, is_full, version)
        return None

    def read_update(self, value: Mapping[str, Any], kind: EndpointListKind | None, attempt_id: int) -> Update:
        """Parse the update in an object, whose first entries may have been staged."""
        if staged_object := self.staged_objects.get(attempt_id):
            return self.add_with_reclaim(
                attempt_id, lambda: self.mapping.read_staged_update(value, staged_object.staged, kind)
            )
        return self.mapping.read_update(value, kind)

    def apply_in_steps(self, steps: Steps, attempt_id: int, is_full: bool, version: int) -> Steps:
        """Run the steps that apply an update; it is marked as applied after the last one."""
        yield from steps
        self.mark_applied(attempt_id, is_full, version)

    def mark_applied(self, attempt_id: int, is_full: bool, version: int) -> None:
        """Record that an update was applied: the next watch requests the changes after it."""
        self.version = version
        self.staged_objects.pop(attempt_id, None)
        self.supervisor.record_applied()
        if attempt_id not in self.watches:
            return
        if is_full:  # the list is complete, so there is no need to wait for the end of the response
            self.abandon(attempt_id)
            self.supervisor.forget_attempt(attempt_id)
            self.supervisor.open_now(time.monotonic())
        else:
            # The time taken to apply it must not count as silence of discovery.
            self.supervisor.record_object(attempt_id, time.monotonic())
        self.state_changed.set()

    def close(self) -> None:
        """Close all watches and end `run`."""
        self.closed = True
        for attempt_id in list(self.watches):
            self.abandon(attempt_id)
        self.state_changed.set()
