"""The agent's HTTP API, the same over HTTP/1.1 and HTTP/2. `openapi.json` beside this file describes it.

A body's length is checked before it is read and its type before it is used. A client sends a bearer token,
whose role says what it may do. Every rejected call is logged.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec
import structlog
from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from molereach.fleet.agent.agent import MAX_WATCHERS, Agent
from molereach.fleet.agent.auth import Role, Tokens
from molereach.fleet.agent.middleware import DiscardUnreadBody
from molereach.fleet.agent.watcher import Watcher
from molereach.fleet.agreement import Accept, Accepted, Behind, Known, Message, Outbid, Prepare, Promise
from molereach.fleet.api_bodies import MAX_BODY_BYTES, Event, Problem
from molereach.fleet.errors import FleetError
from molereach.fleet.journal import JournalError
from molereach.fleet.orders import OrderError

MAX_CONCURRENT_CALLS = 64  # without watchers
CUSTOMER_DIGITS = 16
JSON = "application/json"
JSON_LINES = "application/x-ndjson"
DOCUMENT = Path(__file__).with_name("openapi.json")
HEADERS = {"cache-control": "no-store"}

log = structlog.get_logger()
_encode = msgspec.json.Encoder().encode
_message: msgspec.json.Decoder[Message] = msgspec.json.Decoder(
    Prepare | Promise | Accept | Accepted | Outbid | Known | Behind
)


class CallRejectedError(FleetError):
    """A call that is answered with a `Problem` and an HTTP status."""

    def __init__(self, status: int, text: str, headers: dict[str, str] | None = None) -> None:
        """Answer with an HTTP status, one line of text, and additional headers."""
        super().__init__(text)
        self.status = status
        self.text = text
        self.headers = headers or {}


def answer(body: object, status: int = 200, headers: dict[str, str] | None = None) -> Response:
    """Return a JSON response."""
    return Response(_encode(body), status, HEADERS | (headers or {}), JSON)


def check_message(message: Message) -> None:
    """Raise OrderError if the content of a message is not valid."""
    match message:
        case Accept():
            message.order.check()
        case Known():
            for decided in message.decided:
                decided.check()
            if message.base:
                message.base.check()
        case _:
            pass
    ballot = getattr(message, "ballot", None)
    if ballot and not (0 < ballot.number < 1 << 40 and 0 < len(ballot.proposer) <= 64):
        raise OrderError("ballot: no proposer has such a one")


async def body_of(request: Request) -> bytes:
    """Return a request's body; reject one that is too large without reading all of it."""
    length = request.headers.get("content-length", "0")
    data = bytearray()
    if not length.isdigit() or int(length) > MAX_BODY_BYTES:
        raise CallRejectedError(413, f"a body of more than {MAX_BODY_BYTES} bytes", {"connection": "close"})
    async for chunk in request.stream():
        data += chunk
        if len(data) > MAX_BODY_BYTES:
            raise CallRejectedError(
                413, f"a body of more than {MAX_BODY_BYTES} bytes", {"connection": "close"}
            )
    return bytes(data)


def number_of(request: Request, name: str) -> int:
    """Return a query parameter that is a whole number, 0 without it."""
    text = request.query_params.get(name, "0")
    if not text.isascii() or not text.isdigit() or len(text) > 16:
        raise CallRejectedError(400, f"{name}: not a whole number")
    return int(text)


class Api:
    """The routes of one agent."""

    def __init__(self, agent: Agent, tokens: Tokens) -> None:
        """Serve an agent to the holders of tokens."""
        self.agent = agent
        self.tokens = tokens
        self.calls_in_progress = 0

    def app(self) -> Starlette:
        """Return the ASGI application."""
        read = Role.READ
        operate = Role.OPERATE
        return Starlette(
            routes=[
                Route("/v1/status", self.guarded(read, self.status)),
                Route("/v1/view", self.guarded(read, self.snapshot)),
                Route("/v1/members", self.guarded(read, self.members)),
                Route("/v1/orders", self.guarded(read, self.orders)),
                Route("/v1/quota/{customer}", self.guarded(read, self.quota)),
                Route("/v1/book", self.guarded(read, self.order_state)),
                Route("/v1/events", self.guarded(read, self.events)),
                Route("/v1/watch", self.guarded(read, self.watch)),
                Route("/v1/agreement", self.guarded(operate, self.agreement), methods=["POST"]),
                Route("/v1/openapi.json", self.guarded(read, self.openapi)),
            ],
            middleware=[Middleware(DiscardUnreadBody)],
        )

    def guarded(
        self, role: Role, call: Callable[[Request, str], Awaitable[Response]]
    ) -> Callable[[Request], Awaitable[Response]]:
        """Return a route for clients with a role; every error in `call` is answered with a `Problem`."""

        async def guard(request: Request) -> Response:
            client = self.tokens.client(request.headers.get("authorization", ""))
            name = client.name if client else ""
            try:
                if client is None:
                    raise CallRejectedError(
                        401, "no token that is known here", {"www-authenticate": "Bearer"}
                    )
                if not client.role.may(role):
                    raise CallRejectedError(403, f"{name} may not do this: it takes the role {role.value}")
                if self.calls_in_progress >= MAX_CONCURRENT_CALLS:
                    raise CallRejectedError(
                        503, f"{MAX_CONCURRENT_CALLS} calls are under way", {"retry-after": "1"}
                    )
                return await self.counted(call, request, name)
            except CallRejectedError as rejection:
                peer = request.client.host if request.client else ""
                log.warning(
                    "call refused",
                    path=request.url.path,
                    status=rejection.status,
                    peer=peer,
                    client=name,
                    why=rejection.text,
                )
                return answer(Problem(rejection.text), rejection.status, rejection.headers)
            except ClientDisconnect:
                return Response(status_code=499)
            except Exception:
                log.exception("a call failed", path=request.url.path)
                return answer(Problem("internal error"), 500)

        return guard

    async def counted(
        self, call: Callable[[Request, str], Awaitable[Response]], request: Request, name: str
    ) -> Response:
        """Run a call, counted among the calls in progress."""
        self.calls_in_progress += 1
        try:
            return await call(request, name)
        finally:
            self.calls_in_progress -= 1

    # --- reading ---

    async def status(self, request: Request, client: str) -> Response:
        """Answer with the state of the agent and its proxies."""
        return answer(self.agent.status())

    async def snapshot(self, request: Request, client: str) -> Response:
        """Answer with all that a tool needs to give an order."""
        return answer(await self.agent.snapshot())

    async def members(self, request: Request, client: str) -> Response:
        """Answer with the servers as each proxy sees them."""
        return answer(await self.agent.members())

    async def orders(self, request: Request, client: str) -> Response:
        """Answer with the orders in force, the latest ones, and one that is under way."""
        return answer(self.agent.orders())

    async def quota(self, request: Request, client: str) -> Response:
        """Answer with what each proxy knows of a customer's quota."""
        customer = request.path_params["customer"].lower()
        if len(customer) != CUSTOMER_DIGITS or set(customer) - set("0123456789abcdef"):
            raise CallRejectedError(400, f"customer: not {CUSTOMER_DIGITS} hex digits")
        return answer(await self.agent.quota(customer))

    async def order_state(self, request: Request, client: str) -> Response:
        """Answer with the replicated state if it is newer than a revision, otherwise 204."""
        state = self.agent.acceptor.order_state.to_record()
        if state.revision <= number_of(request, "after"):
            return Response(status_code=204, headers=HEADERS)
        return answer(state)

    async def events(self, request: Request, client: str) -> Response:
        """Answer with the events after a number."""
        return answer(self.agent.events(number_of(request, "after")))

    async def watch(self, request: Request, client: str) -> Response:
        """Stream events as lines; a client that reads too slowly misses some and gets their number."""
        agent = self.agent
        if len(agent.watchers) >= MAX_WATCHERS:
            raise CallRejectedError(503, f"{MAX_WATCHERS} watchers are there", {"retry-after": "5"})
        watcher = Watcher()
        agent.watchers.add(watcher)  # before the response starts, so that no event after it is missed

        async def lines() -> AsyncIterator[bytes]:
            try:
                yield b"\n"  # sends the headers at once
                while True:
                    event = await watcher.queue.get()
                    if watcher.missed:
                        text = f"{watcher.missed} events were not read"
                        watcher.missed = 0
                        yield line(Event(event.number, event.at_ms, agent.name, "dropped", agent.name, text))
                    yield line(event)
            finally:
                agent.watchers.discard(watcher)

        return WatchResponse(lines(), agent, watcher)

    async def openapi(self, request: Request, client: str) -> Response:
        """Answer with the description of the API."""
        return Response(DOCUMENT.read_bytes(), 200, HEADERS, JSON)

    # --- operating ---

    async def agreement(self, request: Request, client: str) -> Response:
        """Handle a tool's message; answer with the replies."""
        try:
            message = _message.decode(await body_of(request))
            check_message(message)
        except (msgspec.DecodeError, UnicodeDecodeError, OrderError) as error:
            raise CallRejectedError(400, " ".join(str(error).split())) from error
        try:
            return answer(await self.agent.handle_message(message, client))
        except JournalError as error:
            raise CallRejectedError(503, str(error)) from error


class WatchResponse(StreamingResponse):
    """A stream that removes its watcher when it ends, even if it never started."""

    def __init__(self, lines: AsyncIterator[bytes], agent: Agent, watcher: Watcher) -> None:
        """Stream `lines` to a watcher of an agent."""
        super().__init__(lines, headers=HEADERS, media_type=JSON_LINES)
        self.agent = agent
        self.watcher = watcher

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:  # noqa: ANN401
        """Send the stream, and remove the watcher."""
        try:
            await super().__call__(scope, receive, send)
        except asyncio.CancelledError:
            raise
        finally:
            self.agent.watchers.discard(self.watcher)


def line(event: Event) -> bytes:
    """Return an event as a line of JSON."""
    return _encode(event) + b"\n"
