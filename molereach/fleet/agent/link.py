"""An agent's connection to the control socket of one front door: the shell of `wire`, from the other side."""

import asyncio
import contextlib
from collections.abc import Callable
from pathlib import Path

from molereach.fleet import wire
from molereach.fleet.orders import OrderStateRecord
from molereach.fleet.wire import FrameReader, ProxyState, Request, RequestKind, Response, WireError

READ_BYTES = 1 << 16
CONNECT_TIMEOUT_S = 1.0
REQUEST_TIMEOUT_S = 1.0
MAX_PENDING_REQUESTS = 32  # at once


class LinkError(Exception):
    """The front door cannot be asked; the text is one plain line."""


class Link:
    """Asks of one front door, and its news."""

    def __init__(self, on_news: Callable[[ProxyState], None], on_end: Callable[[str], None]) -> None:
        self.on_state, self.on_end = on_news, on_end
        self.pending: dict[int, asyncio.Future[Response]] = {}
        self.number = 0
        self.writer: asyncio.StreamWriter | None = None
        self.task: asyncio.Task[None] | None = None

    async def open(self, path: Path) -> None:
        """Connect; LinkError where nobody listens."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, self.writer = await asyncio.open_unix_connection(str(path))
        except (OSError, TimeoutError) as error:
            raise LinkError(getattr(error, "strerror", None) or "no answer to a connect") from error
        self.task = asyncio.get_running_loop().create_task(self.read(reader))

    async def read(self, reader: asyncio.StreamReader) -> None:
        frames, why = FrameReader(wire.MAX_RESPONSE_BYTES), "it closed the connection"
        try:
            while data := await reader.read(READ_BYTES):
                frames.feed(data)
                while (body := frames.next()) is not None:
                    self.on_response(wire.decode_response(body))
        except (OSError, WireError) as error:
            why = " ".join(str(error).split())
        self.fail_pending(why)
        self.on_end(why)

    def on_response(self, answer: Response) -> None:
        if answer.number == wire.NOTIFICATION_NUMBER and answer.state:
            self.on_state(answer.state)
        elif (waiting := self.pending.pop(answer.number, None)) and not waiting.done():
            waiting.set_result(answer)

    async def request(
        self,
        what: RequestKind,
        within_s: float = REQUEST_TIMEOUT_S,
        customer: str = "",
        book: OrderStateRecord | None = None,
    ) -> Response:
        """One ask and its answer; LinkError where none comes in time, or it says that something is wrong."""
        if self.writer is None or self.writer.is_closing():
            raise LinkError("not connected")
        if len(self.pending) >= MAX_PENDING_REQUESTS:
            raise LinkError(f"{MAX_PENDING_REQUESTS} asks wait for an answer")
        self.number += 1
        number = self.number
        future: asyncio.Future[Response] = asyncio.get_running_loop().create_future()
        self.pending[number] = future
        self.writer.write(wire.frame(Request(wire.VERSION, number, what, customer, book)))
        try:
            answer = await asyncio.wait_for(future, within_s)
        except TimeoutError:
            raise LinkError(f"no answer within {within_s:g} s") from None
        finally:
            self.pending.pop(number, None)
        if answer.error:
            raise LinkError(answer.error)
        return answer

    def fail_pending(self, why: str) -> None:
        for waiting in self.pending.values():
            if not waiting.done():
                waiting.set_exception(LinkError(why))
        self.pending.clear()
        if self.writer:
            self.writer.close()

    async def close(self) -> None:
        if self.task:
            self.task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.task
        self.fail_pending("closed by the agent")
