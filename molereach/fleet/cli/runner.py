"""Carries out the actions of a rollout and passes it the results as events."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any

from molereach.fleet.agreement import Accept, Accepted, Behind, Known, Message, Outbid, Prepare, Promise
from molereach.fleet.api_bodies import AgentSnapshot
from molereach.fleet.cli.client import CallError, Fleet
from molereach.fleet.rollout import events
from molereach.fleet.rollout.report import Report
from molereach.fleet.rollout.stages import TICK_INTERVAL_US, Rollout

FINAL_CALLS_TIMEOUT_S = 0.3  # for the calls in progress when the report is complete
US_PER_S = 1e6
NS_PER_US = 1000
Replies = tuple[Prepare | Promise | Accept | Accepted | Outbid | Known | Behind, ...]


class RolloutRunner:
    """Runs one rollout on a fleet; `on_step` is called with the name of each step as it is reached."""

    def __init__(self, fleet: Fleet, rollout: Rollout, on_step: Callable[[str], None]) -> None:
        """Create the runner; `run` starts the rollout."""
        self.fleet = fleet
        self.rollout = rollout
        self.on_step = on_step
        self.event_queue: asyncio.Queue[events.Event] = asyncio.Queue()
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> Report:
        """Run the rollout and return its report; give calls in progress a short time, then cancel them."""
        rollout = self.rollout
        self.perform_actions(rollout.begin(now_us()))
        last_tick_us = now_us()
        try:
            while rollout.report is None:
                remaining_us = last_tick_us + TICK_INTERVAL_US - now_us()
                if remaining_us <= 0:
                    last_tick_us = now_us()
                    self.perform_actions(rollout.handle(last_tick_us, events.Tick()))
                    continue
                try:
                    event = await asyncio.wait_for(self.event_queue.get(), remaining_us / US_PER_S)
                except TimeoutError:
                    continue
                self.perform_actions(rollout.handle(now_us(), event))
            if self.tasks:
                await asyncio.wait(self.tasks, timeout=FINAL_CALLS_TIMEOUT_S)
        finally:
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
        return rollout.report

    def perform_actions(self, actions: list[events.Action]) -> None:
        """Start the calls for the actions, and report steps."""
        for action in actions:
            match action:
                case events.Step():
                    self.on_step(action.name)
                case events.RequestSnapshot():
                    self.spawn(self.request_snapshot(action.agent))
                case events.SendMessage():
                    self.spawn(self.send_message(action.agent, action.message))

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task that is cancelled when the rollout ends."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def request_snapshot(self, agent: str) -> None:
        """Request an agent's snapshot and queue the result as an event."""
        try:
            snapshot = await self.fleet.call(agent, "/v1/view", AgentSnapshot)
            self.event_queue.put_nowait(events.SnapshotReceived(agent, snapshot))
        except CallError as error:
            self.event_queue.put_nowait(events.RequestFailed(agent, str(error), snapshot_requested=True))

    async def send_message(self, agent: str, message: Message) -> None:
        """Send an agent a message and queue its replies as events."""
        try:
            for reply in await self.fleet.call(agent, "/v1/agreement", Replies, message):
                self.event_queue.put_nowait(events.ReplyReceived(agent, reply))
        except CallError as error:
            self.event_queue.put_nowait(events.RequestFailed(agent, str(error)))


def now_us() -> int:
    """Return the monotonic clock in microseconds."""
    return time.monotonic_ns() // NS_PER_US
