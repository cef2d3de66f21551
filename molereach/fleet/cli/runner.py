"""Carries out the actions of a rollout and hands it the results as events."""

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

FINAL_CALLS_TIMEOUT_S = 0.3  # for calls that are still in progress when the report is complete
US_PER_S = 1e6
NS_PER_US = 1000
Replies = tuple[Prepare | Promise | Accept | Accepted | Outbid | Known | Behind, ...]


class RolloutRunner:
    """Runs one rollout on a fleet; `on_step` gets the name of each step that it reaches."""

    def __init__(self, fleet: Fleet, rollout: Rollout, on_step: Callable[[str], None]) -> None:
        """Prepare a run; `run` starts it."""
        self.fleet = fleet
        self.rollout = rollout
        self.on_step = on_step
        self.events: asyncio.Queue[events.Event] = asyncio.Queue()
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> Report:
        """Roll the order out; return the report. Calls that are still in progress then are cancelled."""
        rollout = self.rollout
        self.perform(rollout.begin(now_us()))
        tick_us = now_us()
        try:
            while rollout.report is None:
                left_us = tick_us + TICK_INTERVAL_US - now_us()
                if left_us <= 0:
                    tick_us = now_us()
                    self.perform(rollout.handle(tick_us, events.Tick()))
                    continue
                try:
                    event = await asyncio.wait_for(self.events.get(), left_us / US_PER_S)
                except TimeoutError:
                    continue
                self.perform(rollout.handle(now_us(), event))
            if self.tasks:
                await asyncio.wait(self.tasks, timeout=FINAL_CALLS_TIMEOUT_S)
        finally:
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
        return rollout.report

    def perform(self, actions: list[events.Action]) -> None:
        """Start the calls that the actions ask for."""
        for action in actions:
            match action:
                case events.Step():
                    self.on_step(action.name)
                case events.RequestSnapshot():
                    self.spawn(self.request_snapshot(action.agent))
                case events.SendMessage():
                    self.spawn(self.send_message(action.agent, action.message))

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task that ends with the rollout."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def request_snapshot(self, agent: str) -> None:
        """Request an agent's snapshot and queue the result as an event."""
        try:
            snapshot = await self.fleet.call(agent, "/v1/view", AgentSnapshot)
            self.events.put_nowait(events.SnapshotReceived(agent, snapshot))
        except CallError as error:
            self.events.put_nowait(events.RequestFailed(agent, str(error), snapshot_requested=True))

    async def send_message(self, agent: str, message: Message) -> None:
        """Send an agent a message and queue its replies as events."""
        try:
            for reply in await self.fleet.call(agent, "/v1/agreement", Replies, message):
                self.events.put_nowait(events.ReplyReceived(agent, reply))
        except CallError as error:
            self.events.put_nowait(events.RequestFailed(agent, str(error)))


def now_us() -> int:
    """Return the time of the monotonic clock in microseconds."""
    return time.monotonic_ns() // NS_PER_US
