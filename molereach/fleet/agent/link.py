"""An agent's connection to the control socket of one front door: the shell of `wire`, from the other side."""

import asyncio
import contextlib
from collections.abc import Callable
from pathlib import Path

from molereach.fleet import wire
from molereach.fleet.orders import BookState
from molereach.fleet.wire import Answer, Ask, FrameReader, State, What, WireError

READ_BYTES = 1 << 16
CONNECT_S = 1.0
ASK_S = 1.0
MOST_ASKS = 32  # at once


class LinkError(Exception):
    """The front door cannot be asked; the text is one plain line."""


class Link:
    """Asks of one front door, and its news."""

    def __init__(self, on_news: Callable[[State], None], on_end: Callable[[str], None]) -> None:
        self.on_news, self.on_end = on_news, on_end
        self.waiting: dict[int, asyncio.Future[Answer]] = {}
        self.number = 0
        self.writer: asyncio.StreamWriter | None = None
        self.task: asyncio.Task[None] | None = None

    async def open(self, path: Path) -> None:
        """Connect; LinkError where nobody listens."""
        try:
            async with asyncio.timeout(CONNECT_S):
                reader, self.writer = await asyncio.open_unix_connection(str(path))
        except (OSError, TimeoutError) as error:
            raise LinkError(getattr(error, "strerror", None) or "no answer to a connect") from error
        self.task = asyncio.get_running_loop().create_task(self.read(reader))

    async def read(self, reader: asyncio.StreamReader) -> None:
        frames, why = FrameReader(wire.MOST_ANSWER_BYTES), "it closed the connection"
        try:
            while data := await reader.read(READ_BYTES):
                frames.feed(data)
                while (body := frames.next()) is not None:
                    self.take(wire.read_answer(body))
        except (OSError, WireError) as error:
            why = " ".join(str(error).split())
        self.end(why)
        self.on_end(why)

    def take(self, answer: Answer) -> None:
        if answer.number == wire.NEWS and answer.state:
            self.on_news(answer.state)
        elif (waiting := self.waiting.pop(answer.number, None)) and not waiting.done():
            waiting.set_result(answer)

    async def ask(
        self, what: What, within_s: float = ASK_S, customer: str = "", book: BookState | None = None
    ) -> Answer:
        """One ask and its answer; LinkError where none comes in time, or it says that something is wrong."""
        if self.writer is None or self.writer.is_closing():
            raise LinkError("not connected")
        if len(self.waiting) >= MOST_ASKS:
            raise LinkError(f"{MOST_ASKS} asks wait for an answer")
        self.number += 1
        number = self.number
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self.waiting[number] = future
        self.writer.write(wire.frame(Ask(wire.VERSION, number, what, customer, book)))
        try:
            answer = await asyncio.wait_for(future, within_s)
        except TimeoutError:
            raise LinkError(f"no answer within {within_s:g} s") from None
        finally:
            self.waiting.pop(number, None)
        if answer.error:
            raise LinkError(answer.error)
        return answer

    def end(self, why: str) -> None:
        for waiting in self.waiting.values():
            if not waiting.done():
                waiting.set_exception(LinkError(why))
        self.waiting.clear()
        if self.writer:
            self.writer.close()

    async def close(self) -> None:
        if self.task:
            self.task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.task
        self.end("closed by the agent")
