"""The baseline: a program that forwards bytes both ways without parsing them.

`python -m benchmarks.passthrough HOST PORT` prints the port that it listens on.
"""

import asyncio
import sys
from typing import cast

import uvloop


class RelayConnection(asyncio.Protocol):
    """One of two connections; what it receives is sent on the other."""

    def __init__(self, target: tuple[str, int] | None) -> None:
        self.target = target  # None: the connection to the target
        self.transport: asyncio.Transport | None = None
        self.other: RelayConnection | None = None
        self.buffered: list[bytes] = []
        self.task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Connect to the target if this is a client's connection."""
        self.transport = cast(asyncio.Transport, transport)
        if self.target:
            self.task = asyncio.get_running_loop().create_task(self.connect_target(self.target))

    async def connect_target(self, target: tuple[str, int]) -> None:
        """Open the connection to the target and forward what was received meanwhile."""
        other = RelayConnection(None)
        other.other = self
        await asyncio.get_running_loop().create_connection(lambda: other, *target)
        self.other = other
        for data in self.buffered:
            self.data_received(data)

    def data_received(self, data: bytes) -> None:
        """Forward the data, or keep it until the target is connected."""
        if self.other and self.other.transport:
            self.other.transport.write(data)
        else:
            self.buffered.append(data)

    def connection_lost(self, error: Exception | None) -> None:
        """Close the other connection."""
        if self.other and self.other.transport:
            self.other.transport.close()


async def main(target: tuple[str, int]) -> None:
    """Forward connections to the target until the process ends."""
    server = await asyncio.get_running_loop().create_server(lambda: RelayConnection(target), target[0], 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main((sys.argv[1], int(sys.argv[2]))))
