"""The agent's HTTP API, the same over HTTP/1.1 and HTTP/2. `openapi.json` beside this file describes it.

What comes is bounded before it is read whole, and typed before it is believed. A client shows a bearer token;
its role says what it may do. Every refusal is an audit line.
"""

import asyncio
import contextlib
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

from molereach.fleet.agent.agent import MAX_WATCHERS, Agent, Watcher
from molereach.fleet.agent.auth import Role, Tokens
from molereach.fleet.agreement import Accept, Accepted, Behind, Known, Message, Outbid, Prepare, Promise
from molereach.fleet.api_bodies import MAX_BODY_BYTES, Event, Problem
from molereach.fleet.journal import JournalError
from molereach.fleet.orders import OrderError

DISCARD_TIMEOUT_S = 1.0  # for the rest of a body that nobody wants
MAX_CONCURRENT_CALLS = 64  # calls under way, watchers apart
CUSTOMER_DIGITS = 16
JSON, LINES = "application/json", "application/x-ndjson"
DOCUMENT = Path(__file__).with_name("openapi.json")
HEADERS = {"cache-control": "no-store"}

log = structlog.get_logger()
_encode = msgspec.json.Encoder().encode
_message: msgspec.json.Decoder[Message] = msgspec.json.Decoder(
    Prepare | Promise | Accept | Accepted | Outbid | Known | Behind
)


class CallRejectedError(Exception):
    """A call that gets no answer but a problem."""

    def __init__(self, status: int, text: str, headers: dict[str, str] | None = None) -> None:
        super().__init__(text)
        self.status, self.text, self.headers = status, text, headers or {}


def answer(body: object, status: int = 200, headers: dict[str, str] | None = None) -> Response:
    return Response(_encode(body), status, HEADERS | (headers or {}), JSON)


def check_message(message: Message) -> None:
    """OrderError where what a message carries cannot be."""
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
    """A bounded body, not read further than its bound."""
    length = request.headers.get("content-length", "0")
    data = bytearray()
    if not length.isdigit() or int(length) > MAX_BODY_BYTES:
        raise CallRejectedError(413, f"a body of more than {MAX_BODY_BYTES} bytes", {"connection": "close"})
    async for part in request.stream():
        data += part
        if len(data) > MAX_BODY_BYTES:
            raise CallRejectedError(
                413, f"a body of more than {MAX_BODY_BYTES} bytes", {"connection": "close"}
            )
    return bytes(data)


def number_of(request: Request, name: str) -> int:
    text = request.query_params.get(name, "0")
    if not text.isascii() or not text.isdigit() or len(text) > 16:
        raise CallRejectedError(400, f"{name}: not a whole number")
    return int(text)


class Api:
    """The routes of one agent."""

    def __init__(self, agent: Agent, tokens: Tokens) -> None:
        self.agent, self.tokens, self.calls_in_progress = agent, tokens, 0

    def app(self) -> Starlette:
        """The ASGI application."""
        read, operate = Role.READ, Role.OPERATE
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
        """A call for clients with a role; whatever goes wrong in it is a problem in one line."""

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
            except CallRejectedError as refused:
                peer = request.client.host if request.client else ""
                log.warning(
                    "call refused",
                    path=request.url.path,
                    status=refused.status,
                    peer=peer,
                    client=name,
                    why=refused.text,
                )
                return answer(Problem(refused.text), refused.status, refused.headers)
            except ClientDisconnect:
                return Response(status_code=499)
            except Exception:
                log.exception("a call failed", path=request.url.path)
                return answer(Problem("internal error"), 500)

        return guard

    async def counted(
        self, call: Callable[[Request, str], Awaitable[Response]], request: Request, name: str
    ) -> Response:
        self.calls_in_progress += 1
        try:
            return await call(request, name)
        finally:
            self.calls_in_progress -= 1

    # --- reading ---

    async def status(self, request: Request, client: str) -> Response:
        return answer(self.agent.status())

    async def snapshot(self, request: Request, client: str) -> Response:
        return answer(await self.agent.snapshot())

    async def members(self, request: Request, client: str) -> Response:
        return answer(await self.agent.members())

    async def orders(self, request: Request, client: str) -> Response:
        return answer(self.agent.orders())

    async def quota(self, request: Request, client: str) -> Response:
        customer = request.path_params["customer"].lower()
        if len(customer) != CUSTOMER_DIGITS or set(customer) - set("0123456789abcdef"):
            raise CallRejectedError(400, f"customer: not {CUSTOMER_DIGITS} hex digits")
        return answer(await self.agent.quota(customer))

    async def order_state(self, request: Request, client: str) -> Response:
        """The book, where it is past a revision; 204 where it is not."""
        state = self.agent.acceptor.order_state.to_record()
        if state.revision <= number_of(request, "after"):
            return Response(status_code=204, headers=HEADERS)
        return answer(state)

    async def events(self, request: Request, client: str) -> Response:
        return answer(self.agent.events(number_of(request, "after")))

    async def watch(self, request: Request, client: str) -> Response:
        """Events as they happen, a line each; one who does not read misses some, and is told how many."""
        agent = self.agent
        if len(agent.watchers) >= MAX_WATCHERS:
            raise CallRejectedError(503, f"{MAX_WATCHERS} watchers are there", {"retry-after": "5"})
        watcher = Watcher()
        agent.watchers.add(watcher)  # before the answer begins: nothing is missed after it

        async def lines() -> AsyncIterator[bytes]:
            try:
                yield b"\n"  # so that the answer's head leaves
                while True:
                    event = await watcher.queue.get()
                    if watcher.missed:
                        text, watcher.missed = f"{watcher.missed} events were not read", 0
                        yield line(Event(event.number, event.at_ms, agent.name, "dropped", agent.name, text))
                    yield line(event)
            finally:
                agent.watchers.discard(watcher)

        return WatchResponse(lines(), agent, watcher)

    async def openapi(self, request: Request, client: str) -> Response:
        return Response(DOCUMENT.read_bytes(), 200, HEADERS, JSON)

    # --- operating ---

    async def agreement(self, request: Request, client: str) -> Response:
        """A message of a tool; the replies."""
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
    """A stream whose watcher goes with it, also where it never began."""

    def __init__(self, lines: AsyncIterator[bytes], agent: Agent, watcher: Watcher) -> None:
        super().__init__(lines, headers=HEADERS, media_type=LINES)
        self.agent, self.watcher = agent, watcher

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:  # noqa: ANN401
        try:
            await super().__call__(scope, receive, send)
        except asyncio.CancelledError:
            raise
        finally:
            self.agent.watchers.discard(self.watcher)


def line(event: Event) -> bytes:
    return _encode(event) + b"\n"


class DiscardUnreadBody:
    """Middleware: what a client still sends is read and dropped before it is answered, within bounds.

    The HTTP server (hypercorn 0.18.0) forgets a stream of HTTP/2 as soon as it is answered, and a DATA frame
    of it that comes then ends the connection, other streams included. Beyond the bound that is deserved.
    """

    def __init__(self, app: Any) -> None:  # noqa: ANN401
        self.app = app

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:  # noqa: ANN401
        if scope["type"] != "http" or scope["method"] in ("GET", "HEAD"):  # a stream hears of its own end
            await self.app(scope, receive, send)
            return
        over, dropped = False, 0

        async def hear() -> Any:  # noqa: ANN401
            nonlocal over
            message = await receive()
            over = over or message["type"] != "http.request" or not message.get("more_body", False)
            return message

        async def tell(message: Any) -> None:  # noqa: ANN401
            nonlocal dropped
            if message["type"] == "http.response.start":
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(DISCARD_TIMEOUT_S):
                        while not over and dropped <= MAX_BODY_BYTES:
                            dropped += len((await hear()).get("body", b""))
            await send(message)

        await self.app(scope, hear, tell)
