"""A front door that is nothing but its control: for fleets larger than this machine can run for real."""

import asyncio
import os
from pathlib import Path

from molereach.fleet import wire
from molereach.fleet.order_state import OrderState
from molereach.fleet.wire import FrameReader, Member, ProxyState, Request, Response, decode_request

SERVERS = tuple(Member(f"s-{number}", f"b-{number % 3}", "up", False, 0) for number in range(6))


class FakeDoor:
    """Answers an agent as a front door does."""

    def __init__(self, name: str) -> None:
        self.name, self.book = name, OrderState()
        self.server: asyncio.Server | None = None

    async def start(self, path: Path) -> None:
        self.server = await asyncio.start_unix_server(self.serve, str(path))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        frames = FrameReader(wire.MAX_REQUEST_BYTES)
        while data := await reader.read(1 << 16):
            frames.feed(data)
            while (body := frames.next()) is not None:
                writer.write(wire.frame(self.answer(decode_request(body))))
        writer.close()

    def answer(self, ask: Request) -> Response:
        if ask.order_state:
            self.book.adopt(ask.order_state)
        state = ProxyState(self.name, os.getpid(), 1.0, False, self.book.revision, 1, 0, 0)
        return Response(
            wire.VERSION, ask.number, state=state, members=SERVERS if ask.kind == "members" else None
        )
