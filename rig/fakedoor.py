"""A front door reduced to its control socket, for fleets too large to run as real processes."""

import asyncio
import os
from pathlib import Path

from molereach.fleet import wire
from molereach.fleet.order_state import OrderState
from molereach.fleet.wire import FrameReader, Member, ProxyState, Request, Response, decode_request

SERVERS = tuple(Member(f"s-{number}", f"b-{number % 3}", "up", False, 0) for number in range(6))


class FakeDoor:
    """Answers requests of an agent as a front door does."""

    def __init__(self, name: str) -> None:
        self.name, self.order_state = name, OrderState()
        self.server: asyncio.Server | None = None

    async def start(self, path: Path) -> None:
        """Serve on a Unix socket."""
        self.server = await asyncio.start_unix_server(self.serve, str(path))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        frames = FrameReader(wire.MAX_REQUEST_BYTES)
        while data := await reader.read(1 << 16):
            frames.feed(data)
            while (body := frames.next()) is not None:
                writer.write(wire.frame(self.answer(decode_request(body))))
        writer.close()

    def answer(self, request: Request) -> Response:
        """Adopt the order state of a request, and return the state of the front door."""
        if request.order_state:
            self.order_state.adopt(request.order_state)
        state = ProxyState(self.name, os.getpid(), 1.0, False, self.order_state.revision, 1, 0, 0)
        return Response(
            wire.VERSION, request.number, state=state, members=SERVERS if request.kind == "members" else None
        )
