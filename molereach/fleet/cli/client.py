"""Calls of all agents over HTTP/2, in parallel, each with its own time; the shell of `rollout`."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import AsyncExitStack
from pathlib import Path
from types import TracebackType
from typing import Any, TypeVar

import httpx
import msgspec

from molereach.fleet.agreement import Accept, Accepted, Behind, Known, Message, Outbid, Prepare, Promise
from molereach.fleet.api_bodies import MAX_BODY_BYTES, AgentSnapshot, Event, Problem
from molereach.fleet.errors import FleetError
from molereach.fleet.rollout import events
from molereach.fleet.rollout.report import Report
from molereach.fleet.rollout.stages import TICK_INTERVAL_US, Rollout
from molereach.fleet.settings import FleetFile, client_tls, load_token, resolve

T = TypeVar("T")
FINAL_CALLS_TIMEOUT_S = 0.3  # for what is still on its way when the report is there
MAX_RESPONSE_BYTES = 4 * MAX_BODY_BYTES  # members of many servers
MAX_LINE_BYTES = 64 << 10
_encode = msgspec.json.Encoder().encode
Replies = tuple[Prepare | Promise | Accept | Accepted | Outbid | Known | Behind, ...]


class CallError(FleetError):
    """An agent could not be asked; the text is one plain line."""


class CallRejectedError(CallError):
    """An agent answered, and refused: a token, a role, a body."""


def describe_failure(error: httpx.HTTPError) -> str:
    if isinstance(error, httpx.TimeoutException):
        return "no answer in time"
    return " ".join(str(error).split()) or type(error).__name__


class Fleet:
    """All agents that a fleet's file names."""

    def __init__(self, file: Path, settings: FleetFile, http1: bool = False) -> None:
        """SettingsError where the token or a certificate cannot be had.

        `http1` for a single call of each agent: a connection of HTTP/2 costs twice as much to set up, and has
        nothing to share.
        """
        self.settings = settings
        self.urls = {agent.name: agent.url.rstrip("/") for agent in settings.agents}
        headers = {"authorization": f"Bearer {load_token(resolve(file, settings.token))}"}
        encrypted = any(url.startswith("https") for url in self.urls.values())
        tls = client_tls(file, settings) if encrypted else False
        # Without TLS there is nothing to negotiate by: HTTP/2 with prior knowledge (RFC 9113, section 3.3). A
        # client for each agent: one pool for all looks at each of its connections for each call.
        self.clients = {
            name: httpx.AsyncClient(
                headers=headers,
                verify=tls,
                timeout=settings.timeout_s,
                http2=not http1,
                http1=http1 or encrypted,
                trust_env=False,
            )
            for name in self.urls
        }
        self.stack = AsyncExitStack()

    async def __aenter__(self) -> "Fleet":
        for client in self.clients.values():
            await self.stack.enter_async_context(client)
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.stack.aclose()

    async def call(
        self,
        agent: str,
        path: str,
        kind: type[T],
        message: Message | None = None,
        within_s: float | None = None,
    ) -> T:
        """One call of one agent; CallError says why there is no answer."""
        url, within = self.urls[agent] + path, within_s or self.settings.timeout_s
        try:
            async with asyncio.timeout(within):
                if message is None:
                    found = await self.clients[agent].get(url)
                else:
                    found = await self.clients[agent].post(url, content=_encode(message))
        except httpx.HTTPError as error:
            raise CallError(describe_failure(error)) from error
        except TimeoutError:
            raise CallError(f"no answer within {within:g} s") from None
        return read(found.status_code, found.content, kind)

    async def all(self, path: str, kind: type[T]) -> dict[str, T | CallError]:
        """The same call of all agents; each gets its own answer or error."""
        names = list(self.urls)
        found = await asyncio.gather(*(self.call(name, path, kind) for name in names), return_exceptions=True)
        for each in found:
            if isinstance(each, BaseException) and not isinstance(each, CallError):
                raise each
        return dict(zip(names, found, strict=True))  # type: ignore[arg-type]

    async def watch(self, agent: str) -> AsyncIterator[Event]:
        """Events of an agent as they happen, until its stream ends; CallError where it breaks."""
        url = f"{self.urls[agent]}/v1/watch"
        times = httpx.Timeout(self.settings.timeout_s, read=None)
        try:
            async with self.clients[agent].stream("GET", url, timeout=times) as answer:
                if answer.status_code != httpx.codes.OK:
                    read(answer.status_code, await answer.aread(), Event)
                async for line in answer.aiter_lines():
                    if len(line) > MAX_LINE_BYTES:
                        raise CallError("a line that is too long")
                    if line.strip():
                        yield msgspec.json.decode(line, type=Event)
        except httpx.HTTPError as error:
            raise CallError(describe_failure(error)) from error
        except msgspec.DecodeError as error:
            raise CallError(f"an answer that is none: {error}") from error


def read(status: int, content: bytes, kind: type[T]) -> T:
    """An answer, checked."""
    if len(content) > MAX_RESPONSE_BYTES:
        raise CallError(f"an answer of {len(content)} bytes")
    try:
        if status == httpx.codes.OK:
            return msgspec.json.decode(content, type=kind)
        text = msgspec.json.decode(content, type=Problem).error if content else ""
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise CallError(f"status {status} and an answer that is none: {error}") from error
    kind_of_error = CallRejectedError if status in (400, 401, 403, 404, 413) else CallError
    raise kind_of_error(text or f"status {status}")


class RolloutRunner:
    """Carries out a rollout's actions; `on_step` hears how far it has come."""

    def __init__(self, fleet: Fleet, rollout: Rollout, on_step: Callable[[str], None]) -> None:
        self.fleet, self.rollout, self.on_step = fleet, rollout, on_step
        self.events: asyncio.Queue[events.Event] = asyncio.Queue()
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> Report:
        """Give the order; the report of what became of it."""
        rollout = self.rollout
        self.carry_out_actions(rollout.begin(now_us()))
        tick_us = now_us()
        try:
            while rollout.report is None:
                left_us = tick_us + TICK_INTERVAL_US - now_us()
                if left_us <= 0:
                    tick_us = now_us()
                    self.carry_out_actions(rollout.handle(tick_us, events.Tick()))
                    continue
                try:
                    event = await asyncio.wait_for(self.events.get(), left_us / 1e6)
                except TimeoutError:
                    continue
                self.carry_out_actions(rollout.handle(now_us(), event))
            if self.tasks:
                await asyncio.wait(self.tasks, timeout=FINAL_CALLS_TIMEOUT_S)
        finally:
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
        return rollout.report

    def carry_out_actions(self, actions: list[events.Action]) -> None:
        for action in actions:
            match action:
                case events.Step():
                    self.on_step(action.name)
                case events.RequestSnapshot():
                    self.spawn(self.request_snapshot(action.agent))
                case events.SendMessage():
                    self.spawn(self.send_message(action.agent, action.message))

    def spawn(self, job: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(job)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def request_snapshot(self, agent: str) -> None:
        try:
            view = await self.fleet.call(agent, "/v1/view", AgentSnapshot)
            self.events.put_nowait(events.SnapshotReceived(agent, view))
        except CallError as error:
            self.events.put_nowait(events.RequestFailed(agent, str(error), snapshot_requested=True))

    async def send_message(self, agent: str, message: Message) -> None:
        try:
            for reply in await self.fleet.call(agent, "/v1/agreement", Replies, message):
                self.events.put_nowait(events.ReplyReceived(agent, reply))
        except CallError as error:
            self.events.put_nowait(events.RequestFailed(agent, str(error)))


def now_us() -> int:
    return time.monotonic_ns() // 1000
