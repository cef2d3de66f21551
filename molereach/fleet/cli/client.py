"""Calls of all agents over HTTP, in parallel, each with its own timeout."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from pathlib import Path
from types import TracebackType
from typing import TypeVar

import httpx
import msgspec

from molereach.fleet.agreement import Message
from molereach.fleet.api_bodies import MAX_BODY_BYTES, Event, Problem
from molereach.fleet.errors import FleetError
from molereach.fleet.settings import FleetFile, client_tls, load_token, resolve

T = TypeVar("T")
MAX_RESPONSE_BYTES = 4 * MAX_BODY_BYTES  # `members` of many servers
MAX_LINE_BYTES = 64 << 10  # of an event
REJECTED_STATUSES = (400, 401, 403, 404, 413)
_encode = msgspec.json.Encoder().encode


class CallError(FleetError):
    """A call of an agent failed; the text is one line."""


class CallRejectedError(CallError):
    """An agent rejected a call: its token, role or body."""


def describe_failure(error: httpx.HTTPError) -> str:
    """Return the reason of a failed call as one line."""
    if isinstance(error, httpx.TimeoutException):
        return "no answer in time"
    return " ".join(str(error).split()) or type(error).__name__


class Fleet:
    """Clients of all agents that a fleet's file names."""

    def __init__(self, file: Path, settings: FleetFile, http1: bool = False) -> None:
        """Prepare the clients; raise SettingsError if the token or a certificate is not usable.

        `http1` is for commands with a single call of each agent: an HTTP/2 connection takes twice as long to
        set up, which pays only if several calls share it.
        """
        self.settings = settings
        self.urls = {agent.name: agent.url.rstrip("/") for agent in settings.agents}
        headers = {"authorization": f"Bearer {load_token(resolve(file, settings.token))}"}
        encrypted = any(url.startswith("https") for url in self.urls.values())
        tls = client_tls(file, settings) if encrypted else False
        # Without TLS nothing is negotiated: HTTP/2 with prior knowledge (RFC 9113, section 3.3). Each agent
        # has its own client, since a common connection pool searches all its connections for each call.
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
        """Open the clients."""
        for client in self.clients.values():
            await self.stack.enter_async_context(client)
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Close the clients."""
        await self.stack.aclose()

    async def call(
        self,
        agent: str,
        path: str,
        kind: type[T],
        message: Message | None = None,
        within_s: float | None = None,
    ) -> T:
        """Call one agent; return its answer as `kind`, or raise CallError."""
        url = self.urls[agent] + path
        timeout_s = within_s or self.settings.timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                if message is None:
                    response = await self.clients[agent].get(url)
                else:
                    response = await self.clients[agent].post(url, content=_encode(message))
        except httpx.HTTPError as error:
            raise CallError(describe_failure(error)) from error
        except TimeoutError:
            raise CallError(f"no answer within {timeout_s:g} s") from None
        return read(response.status_code, response.content, kind)

    async def all(self, path: str, kind: type[T]) -> dict[str, T | CallError]:
        """Make the same call of all agents; return each one's answer or error."""
        names = list(self.urls)
        calls = (self.call(name, path, kind) for name in names)
        results = await asyncio.gather(*calls, return_exceptions=True)
        for result in results:
            if isinstance(result, BaseException) and not isinstance(result, CallError):
                raise result
        return dict(zip(names, results, strict=True))  # type: ignore[arg-type]

    async def watch(self, agent: str) -> AsyncIterator[Event]:
        """Yield an agent's events as they happen until its stream ends; raise CallError if it breaks."""
        url = f"{self.urls[agent]}/v1/watch"
        timeouts = httpx.Timeout(self.settings.timeout_s, read=None)
        try:
            async with self.clients[agent].stream("GET", url, timeout=timeouts) as response:
                if response.status_code != httpx.codes.OK:
                    read(response.status_code, await response.aread(), Event)
                async for line in response.aiter_lines():
                    if len(line) > MAX_LINE_BYTES:
                        raise CallError("a line that is too long")
                    if line.strip():
                        yield msgspec.json.decode(line, type=Event)
        except httpx.HTTPError as error:
            raise CallError(describe_failure(error)) from error
        except msgspec.DecodeError as error:
            raise CallError(f"an answer that is none: {error}") from error


def read(status: int, content: bytes, kind: type[T]) -> T:
    """Return an answer as `kind`; raise CallError if it is an error or is not valid."""
    if len(content) > MAX_RESPONSE_BYTES:
        raise CallError(f"an answer of {len(content)} bytes")
    try:
        if status == httpx.codes.OK:
            return msgspec.json.decode(content, type=kind)
        text = msgspec.json.decode(content, type=Problem).error if content else ""
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise CallError(f"status {status} and an answer that is none: {error}") from error
    error_class = CallRejectedError if status in REJECTED_STATUSES else CallError
    raise error_class(text or f"status {status}")
