"""An agent's connection to the control socket of one proxy."""

import asyncio
import contextlib
from collections.abc import Callable
from pathlib import Path

from molereach.fleet import wire
from molereach.fleet.errors import FleetError
from molereach.fleet.orders import OrderStateRecord
from molereach.fleet.wire import FrameReader, ProxyState, Request, RequestKind, Response, WireError

READ_BYTES = 1 << 16
CONNECT_TIMEOUT_S = 1.0
REQUEST_TIMEOUT_S = 1.0
MAX_PENDING_REQUESTS = 32  # of one connection


class LinkError(FleetError):
    """A proxy cannot be reached, or answered with an error; the text is one line."""


class Link:
    """Requests to one proxy, and its notifications.

    `on_state` gets the state in each notification, `on_end` the reason for which the connection ended.
    """

    def __init__(self, on_state: Callable[[ProxyState], None], on_end: Callable[[str], None]) -> None:
        """Prepare a connection; `open` opens it."""
        self.on_state = on_state
        self.on_end = on_end
        self.pending: dict[int, asyncio.Future[Response]] = {}
        self.number = 0
        self.writer: asyncio.StreamWriter | None = None
        self.task: asyncio.Task[None] | None = None

    async def open(self, path: Path) -> None:
        """Connect; raise LinkError if no proxy listens at `path`."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, self.writer = await asyncio.open_unix_connection(str(path))
        except (OSError, TimeoutError) as error:
            raise LinkError(getattr(error, "strerror", None) or "no answer to a connect") from error
        self.task = asyncio.get_running_loop().create_task(self.read(reader))

    async def read(self, reader: asyncio.StreamReader) -> None:
        """Handle responses until the connection ends."""
        frames = FrameReader(wire.MAX_RESPONSE_BYTES)
        reason = "it closed the connection"
        try:
            while data := await reader.read(READ_BYTES):
                frames.feed(data)
                while (body := frames.next()) is not None:
                    self.on_response(wire.decode_response(body))
        except (OSError, WireError) as error:
            reason = " ".join(str(error).split())
        self.fail_pending(reason)
        self.on_end(reason)

    def on_response(self, response: Response) -> None:
        """Hand on a notification, or complete the request that a response belongs to."""
        if response.number == wire.NOTIFICATION_NUMBER and response.state:
            self.on_state(response.state)
        elif (future := self.pending.pop(response.number, None)) and not future.done():
            future.set_result(response)

    async def request(
        self,
        kind: RequestKind,
        within_s: float = REQUEST_TIMEOUT_S,
        customer: str = "",
        order_state: OrderStateRecord | None = None,
    ) -> Response:
        """Send a request; return the response, or raise LinkError if it is late or an error."""
        if self.writer is None or self.writer.is_closing():
            raise LinkError("not connected")
        if len(self.pending) >= MAX_PENDING_REQUESTS:
            raise LinkError(f"{MAX_PENDING_REQUESTS} asks wait for an answer")
        self.number += 1
        number = self.number
        future: asyncio.Future[Response] = asyncio.get_running_loop().create_future()
        self.pending[number] = future
        self.writer.write(wire.frame(Request(wire.VERSION, number, kind, customer, order_state)))
        try:
            response = await asyncio.wait_for(future, within_s)
        except TimeoutError:
            raise LinkError(f"no answer within {within_s:g} s") from None
        finally:
            self.pending.pop(number, None)
        if response.error:
            raise LinkError(response.error)
        return response

    def fail_pending(self, reason: str) -> None:
        """Fail all pending requests and close the connection."""
        for future in self.pending.values():
            if not future.done():
                future.set_exception(LinkError(reason))
        self.pending.clear()
        if self.writer:
            self.writer.close()

    async def close(self) -> None:
        """Close the connection; `on_end` is not called."""
        if self.task:
            self.task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.task
        self.fail_pending("closed by the agent")
