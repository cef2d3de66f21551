"""The agent's HTTP API, the same over HTTP/1.1 and HTTP/2; described by `openapi.json` in this folder.

The length of a body is limited before it is read, and its type checked before it is used. The role of a
client's bearer token determines which routes it may use. Every rejected call is logged.
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

MAX_CONCURRENT_CALLS = 64  # streams to watchers are not counted
CUSTOMER_DIGITS = 16
JSON_MEDIA_TYPE = "application/json"
JSON_LINES_MEDIA_TYPE = "application/x-ndjson"
OPENAPI_FILE = Path(__file__).with_name("openapi.json")
COMMON_HEADERS = {"cache-control": "no-store"}

log = structlog.get_logger()
_encode = msgspec.json.Encoder().encode
_message_decoder: msgspec.json.Decoder[Message] = msgspec.json.Decoder(
    Prepare | Promise | Accept | Accepted | Outbid | Known | Behind
)


class CallRejectedError(FleetError):
    """A call is rejected with a `Problem` and an HTTP status."""

    def __init__(self, status: int, text: str, headers: dict[str, str] | None = None) -> None:
        """Set the HTTP status, the text of the `Problem` (one line), and additional headers."""
        super().__init__(text)
        self.status = status
        self.text = text
        self.headers = headers or {}


def json_response(body: object, status: int = 200, headers: dict[str, str] | None = None) -> Response:
    """Return a JSON response."""
    return Response(_encode(body), status, COMMON_HEADERS | (headers or {}), JSON_MEDIA_TYPE)


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


async def read_body(request: Request) -> bytes:
    """Return the body of a request; reject one that is too large before it is read in full."""
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


def integer_parameter(request: Request, name: str) -> int:
    """Return a query parameter as an integer, 0 by default; reject what is not a whole number."""
    text = request.query_params.get(name, "0")
    if not text.isascii() or not text.isdigit() or len(text) > 16:
        raise CallRejectedError(400, f"{name}: not a whole number")
    return int(text)


class Api:
    """The HTTP routes of one agent."""

    def __init__(self, agent: Agent, tokens: Tokens) -> None:
        """Create the API of an agent for the clients in `tokens`."""
        self.agent = agent
        self.tokens = tokens
        self.calls_in_progress = 0

    def app(self) -> Starlette:
        """Return the ASGI application."""
        read = Role.READ
        operate = Role.OPERATE
        return Starlette(
            routes=[
                Route("/v1/status", self.authorized(read, self.status)),
                Route("/v1/view", self.authorized(read, self.snapshot)),
                Route("/v1/members", self.authorized(read, self.members)),
                Route("/v1/orders", self.authorized(read, self.orders)),
                Route("/v1/quota/{customer}", self.authorized(read, self.quota)),
                Route("/v1/book", self.authorized(read, self.order_state)),
                Route("/v1/events", self.authorized(read, self.events)),
                Route("/v1/watch", self.authorized(read, self.watch)),
                Route("/v1/agreement", self.authorized(operate, self.agreement), methods=["POST"]),
                Route("/v1/openapi.json", self.authorized(read, self.openapi)),
            ],
            middleware=[Middleware(DiscardUnreadBody)],
        )

    def authorized(
        self, required_role: Role, handler: Callable[[Request, str], Awaitable[Response]]
    ) -> Callable[[Request], Awaitable[Response]]:
        """Return an endpoint for clients with a role; errors in `handler` are answered with a `Problem`."""

        async def endpoint(request: Request) -> Response:
            client = self.tokens.authenticate(request.headers.get("authorization", ""))
            client_name = client.name if client else ""
            try:
                if client is None:
                    raise CallRejectedError(
                        401, "no token that is known here", {"www-authenticate": "Bearer"}
                    )
                if not client.role.includes(required_role):
                    raise CallRejectedError(
                        403, f"{client_name} may not do this: it takes the role {required_role.value}"
                    )
                if self.calls_in_progress >= MAX_CONCURRENT_CALLS:
                    raise CallRejectedError(
                        503, f"{MAX_CONCURRENT_CALLS} calls are under way", {"retry-after": "1"}
                    )
                return await self.run_counted(handler, request, client_name)
            except CallRejectedError as rejection:
                peer = request.client.host if request.client else ""
                log.warning(
                    "call refused",
                    path=request.url.path,
                    status=rejection.status,
                    peer=peer,
                    client=client_name,
                    why=rejection.text,
                )
                return json_response(Problem(rejection.text), rejection.status, rejection.headers)
            except ClientDisconnect:
                return Response(status_code=499)
            except Exception:
                log.exception("a call failed", path=request.url.path)
                return json_response(Problem("internal error"), 500)

        return endpoint

    async def run_counted(
        self, handler: Callable[[Request, str], Awaitable[Response]], request: Request, client_name: str
    ) -> Response:
        """Run a handler and count it in `calls_in_progress` meanwhile."""
        self.calls_in_progress += 1
        try:
            return await handler(request, client_name)
        finally:
            self.calls_in_progress -= 1

    # --- routes with the role READ ---

    async def status(self, request: Request, client: str) -> Response:
        """Answer with the state of the agent and its proxies."""
        return json_response(self.agent.status())

    async def snapshot(self, request: Request, client: str) -> Response:
        """Answer with what a tool needs to propose an order."""
        return json_response(await self.agent.snapshot())

    async def members(self, request: Request, client: str) -> Response:
        """Answer with the servers as each proxy sees them."""
        return json_response(await self.agent.members())

    async def orders(self, request: Request, client: str) -> Response:
        """Answer with the orders in force, the recent ones, and the pending one."""
        return json_response(self.agent.orders())

    async def quota(self, request: Request, client: str) -> Response:
        """Answer with what each proxy knows of a customer's quota."""
        customer = request.path_params["customer"].lower()
        if len(customer) != CUSTOMER_DIGITS or set(customer) - set("0123456789abcdef"):
            raise CallRejectedError(400, f"customer: not {CUSTOMER_DIGITS} hex digits")
        return json_response(await self.agent.quota(customer))

    async def order_state(self, request: Request, client: str) -> Response:
        """Answer with the replicated state if it is newer than the revision `after`, otherwise with 204."""
        state = self.agent.acceptor.order_state.to_record()
        if state.revision <= integer_parameter(request, "after"):
            return Response(status_code=204, headers=COMMON_HEADERS)
        return json_response(state)

    async def events(self, request: Request, client: str) -> Response:
        """Answer with the events whose number is greater than `after`."""
        return json_response(self.agent.events(integer_parameter(request, "after")))

    async def watch(self, request: Request, client: str) -> Response:
        """Stream events as JSON lines; a client that reads too slowly misses events and is told how many."""
        agent = self.agent
        if len(agent.watchers) >= MAX_WATCHERS:
            raise CallRejectedError(503, f"{MAX_WATCHERS} watchers are there", {"retry-after": "5"})
        watcher = Watcher()
        agent.watchers.add(watcher)  # before the response starts, so that no later event is missed

        async def event_lines() -> AsyncIterator[bytes]:
            try:
                yield b"\n"  # makes the server send the headers at once
                while True:
                    event = await watcher.queue.get()
                    if watcher.missed:
                        text = f"{watcher.missed} events were not read"
                        watcher.missed = 0
                        yield encode_line(
                            Event(event.number, event.at_ms, agent.name, "dropped", agent.name, text)
                        )
                    yield encode_line(event)
            finally:
                agent.watchers.discard(watcher)

        return WatchResponse(event_lines(), agent, watcher)

    async def openapi(self, request: Request, client: str) -> Response:
        """Answer with the OpenAPI description."""
        return Response(OPENAPI_FILE.read_bytes(), 200, COMMON_HEADERS, JSON_MEDIA_TYPE)

    # --- routes with the role OPERATE ---

    async def agreement(self, request: Request, client: str) -> Response:
        """Handle a proposer's message; answer with the acceptor's replies."""
        try:
            message = _message_decoder.decode(await read_body(request))
            check_message(message)
        except (msgspec.DecodeError, UnicodeDecodeError, OrderError) as error:
            raise CallRejectedError(400, " ".join(str(error).split())) from error
        try:
            return json_response(await self.agent.handle_message(message, client))
        except JournalError as error:
            raise CallRejectedError(503, str(error)) from error


class WatchResponse(StreamingResponse):
    """A streaming response that removes its watcher at its end, even if the body was never iterated."""

    def __init__(self, lines: AsyncIterator[bytes], agent: Agent, watcher: Watcher) -> None:
        """Create the response; `lines` is its body."""
        super().__init__(lines, headers=COMMON_HEADERS, media_type=JSON_LINES_MEDIA_TYPE)
        self.agent = agent
        self.watcher = watcher

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:  # noqa: ANN401
        """Send the response, then remove the watcher."""
        try:
            await super().__call__(scope, receive, send)
        except asyncio.CancelledError:
            raise
        finally:
            self.agent.watchers.discard(self.watcher)


def encode_line(event: Event) -> bytes:
    """Encode an event as a line of JSON."""
    return _encode(event) + b"\n"
