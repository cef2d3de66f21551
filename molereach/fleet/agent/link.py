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
MAX_PENDING_REQUESTS = 32  # per connection


class ProxyConnectionError(FleetError):
    """A proxy is unreachable, or answered with an error; the text is one line."""


class ProxyConnection:
    """Sends requests to one proxy and receives its notifications.

    `on_state` is called with the state in each notification, `on_closed` with the reason once the connection
    has ended.
    """

    def __init__(self, on_state: Callable[[ProxyState], None], on_closed: Callable[[str], None]) -> None:
        """Create the client; `open` connects it."""
        self.on_state = on_state
        self.on_closed = on_closed
        self.pending_requests: dict[int, asyncio.Future[Response]] = {}
        self.last_number = 0
        self.writer: asyncio.StreamWriter | None = None
        self.reader_task: asyncio.Task[None] | None = None

    async def open(self, path: Path) -> None:
        """Connect; raise ProxyConnectionError if no proxy accepts the connection in time."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, self.writer = await asyncio.open_unix_connection(str(path))
        except (OSError, TimeoutError) as error:
            raise ProxyConnectionError(
                getattr(error, "strerror", None) or "no answer to a connect"
            ) from error
        self.reader_task = asyncio.get_running_loop().create_task(self.read_responses(reader))

    async def read_responses(self, reader: asyncio.StreamReader) -> None:
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
        self.fail_pending_requests(reason)
        self.on_closed(reason)

    def on_response(self, response: Response) -> None:
        """Pass on a notification, or complete the request that a response answers."""
        if response.number == wire.NOTIFICATION_NUMBER and response.state:
            self.on_state(response.state)
        elif (future := self.pending_requests.pop(response.number, None)) and not future.done():
            future.set_result(response)

    async def request(
        self,
        kind: RequestKind,
        timeout_s: float = REQUEST_TIMEOUT_S,
        customer: str = "",
        order_state: OrderStateRecord | None = None,
    ) -> Response:
        """Send a request; return the response, or raise ProxyConnectionError on a timeout or an error."""
        if self.writer is None or self.writer.is_closing():
            raise ProxyConnectionError("not connected")
        if len(self.pending_requests) >= MAX_PENDING_REQUESTS:
            raise ProxyConnectionError(f"{MAX_PENDING_REQUESTS} asks wait for an answer")
        self.last_number += 1
        number = self.last_number
        future: asyncio.Future[Response] = asyncio.get_running_loop().create_future()
        self.pending_requests[number] = future
        self.writer.write(wire.frame(Request(wire.VERSION, number, kind, customer, order_state)))
        try:
            response = await asyncio.wait_for(future, timeout_s)
        except TimeoutError:
            raise ProxyConnectionError(f"no answer within {timeout_s:g} s") from None
        finally:
            self.pending_requests.pop(number, None)
        if response.error:
            raise ProxyConnectionError(response.error)
        return response

    def fail_pending_requests(self, reason: str) -> None:
        """Fail all pending requests and close the connection."""
        for future in self.pending_requests.values():
            if not future.done():
                future.set_exception(ProxyConnectionError(reason))
        self.pending_requests.clear()
        if self.writer:
            self.writer.close()

    async def close(self) -> None:
        """Close the connection; `on_closed` is not called."""
        if self.reader_task:
            self.reader_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.reader_task
        self.fail_pending_requests("closed by the agent")
