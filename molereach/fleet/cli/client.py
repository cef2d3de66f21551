"""HTTP calls to the agents of a fleet: concurrent, each with its own timeout."""

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
MAX_RESPONSE_BYTES = 4 * MAX_BODY_BYTES  # `/v1/members` with many servers
MAX_LINE_BYTES = 64 << 10  # of one event
REJECTED_STATUSES = (400, 401, 403, 404, 413)
_encode = msgspec.json.Encoder().encode


class CallError(FleetError):
    """A call to an agent failed; the text is one line."""


class CallRejectedError(CallError):
    """An agent rejected a call because of its token, role, path or body."""


def describe_failure(error: httpx.HTTPError) -> str:
    """Return why a call failed as one line."""
    if isinstance(error, httpx.TimeoutException):
        return "no answer in time"
    return " ".join(str(error).split()) or type(error).__name__


class Fleet:
    """The HTTP clients of all agents in a fleet file."""

    def __init__(self, file: Path, settings: FleetFile, http1: bool = False) -> None:
        """Create the clients; raise SettingsError if the token or a certificate is not usable.

        `http1` is for commands that call each agent once: an HTTP/2 connection takes twice as long to set up,
        which pays off only if several calls share it.
        """
        self.settings = settings
        self.urls = {agent.name: agent.url.rstrip("/") for agent in settings.agents}
        headers = {"authorization": f"Bearer {load_token(resolve(file, settings.token))}"}
        uses_tls = any(url.startswith("https") for url in self.urls.values())
        tls_context = client_tls(file, settings) if uses_tls else False
        # Without TLS there is no ALPN: HTTP/2 with prior knowledge (RFC 9113, section 3.3). Each agent has
        # its own client because a shared connection pool searches all its connections on each call.
        self.clients = {
            name: httpx.AsyncClient(
                headers=headers,
                verify=tls_context,
                timeout=settings.timeout_s,
                http2=not http1,
                http1=http1 or uses_tls,
                trust_env=False,
            )
            for name in self.urls
        }
        self.exit_stack = AsyncExitStack()

    async def __aenter__(self) -> "Fleet":
        """Open the clients."""
        for client in self.clients.values():
            await self.exit_stack.enter_async_context(client)
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Close the clients."""
        await self.exit_stack.aclose()

    async def call(
        self,
        agent: str,
        path: str,
        response_type: type[T],
        message: Message | None = None,
        timeout_s: float | None = None,
    ) -> T:
        """Call one agent: POST `message`, or GET without one; return the answer as `response_type`.

        Raise CallError if the call fails; a `timeout_s` of None stands for the timeout of the fleet file.
        """
        url = self.urls[agent] + path
        effective_timeout_s = timeout_s or self.settings.timeout_s
        try:
            async with asyncio.timeout(effective_timeout_s):
                if message is None:
                    response = await self.clients[agent].get(url)
                else:
                    response = await self.clients[agent].post(url, content=_encode(message))
        except httpx.HTTPError as error:
            raise CallError(describe_failure(error)) from error
        except TimeoutError:
            raise CallError(f"no answer within {effective_timeout_s:g} s") from None
        return decode_response(response.status_code, response.content, response_type)

    async def call_all(self, path: str, response_type: type[T]) -> dict[str, T | CallError]:
        """GET a path from all agents; return the answer or error of each, by agent."""
        names = list(self.urls)
        calls = (self.call(name, path, response_type) for name in names)
        results = await asyncio.gather(*calls, return_exceptions=True)
        for result in results:
            if isinstance(result, BaseException) and not isinstance(result, CallError):
                raise result
        return dict(zip(names, results, strict=True))  # type: ignore[arg-type]

    async def watch(self, agent: str) -> AsyncIterator[Event]:
        """Yield the events of an agent until its stream ends; raise CallError if the stream fails."""
        url = f"{self.urls[agent]}/v1/watch"
        timeouts = httpx.Timeout(self.settings.timeout_s, read=None)
        try:
            async with self.clients[agent].stream("GET", url, timeout=timeouts) as response:
                if response.status_code != httpx.codes.OK:
                    decode_response(response.status_code, await response.aread(), Event)
                async for line in response.aiter_lines():
                    if len(line) > MAX_LINE_BYTES:
                        raise CallError("a line that is too long")
                    if line.strip():
                        yield msgspec.json.decode(line, type=Event)
        except httpx.HTTPError as error:
            raise CallError(describe_failure(error)) from error
        except msgspec.DecodeError as error:
            raise CallError(f"an answer that is none: {error}") from error


def decode_response(status: int, content: bytes, response_type: type[T]) -> T:
    """Decode an answer as `response_type`; raise CallError for an HTTP error or an invalid body."""
    if len(content) > MAX_RESPONSE_BYTES:
        raise CallError(f"an answer of {len(content)} bytes")
    try:
        if status == httpx.codes.OK:
            return msgspec.json.decode(content, type=response_type)
        text = msgspec.json.decode(content, type=Problem).error if content else ""
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise CallError(f"status {status} and an answer that is none: {error}") from error
    error_class = CallRejectedError if status in REJECTED_STATUSES else CallError
    raise error_class(text or f"status {status}")
