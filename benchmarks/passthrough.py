"""The simplest thing that could do it: a program that hands bytes on, both ways, and reads none of them.

`python -m benchmarks.passthrough HOST PORT` prints the port that it listens at.
"""

import asyncio
import sys
from typing import cast

import uvloop


class Side(asyncio.Protocol):
    """One end; what comes here leaves at the other."""

    def __init__(self, target: tuple[str, int] | None) -> None:
        self.target = target  # None: the end that was opened for another
        self.transport: asyncio.Transport | None = None
        self.other: Side | None = None
        self.early: list[bytes] = []
        self.task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.target:
            self.task = asyncio.get_running_loop().create_task(self.join(self.target))

    async def join(self, target: tuple[str, int]) -> None:
        other = Side(None)
        other.other = self
        await asyncio.get_running_loop().create_connection(lambda: other, *target)
        self.other = other
        for data in self.early:
            self.data_received(data)

    def data_received(self, data: bytes) -> None:
        if self.other and self.other.transport:
            self.other.transport.write(data)
        else:
            self.early.append(data)

    def connection_lost(self, error: Exception | None) -> None:
        if self.other and self.other.transport:
            self.other.transport.close()


async def main(target: tuple[str, int]) -> None:
    server = await asyncio.get_running_loop().create_server(lambda: Side(target), target[0], 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main((sys.argv[1], int(sys.argv[2]))))
