"""A TCP relay between two processes that injects faults: stalls, losses, delays, cut-offs and bit flips.

    relay = Relay(target)              # target address; a callable is called for each connection
    address = await relay.start()      # connect to this address instead of the target
    relay.stall("to")                  # stop reading data to the target ("back": from the target; "both")
    relay.discard("to")                # read data and forward none of it
    relay.hold()                       # accept new connections without connecting to the target
    relay.delay(0.05, "back")          # delay each chunk
    relay.cut_at(100, "to")            # forward this many bytes of each new connection, then abort it
    relay.flip_at(100, "to")           # flip one bit of the byte at this offset of each new connection
    relay.clear_faults()               # forward normally again, also on open connections
    relay.drop()                       # abort all open connections
    await relay.until(lambda: len(relay.connections) == 2)
    await relay.close()

The data forwarded on each connection is in `relay.connections[n].passed["to"]`: at least its last 64 KB.
"""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Literal

Address = tuple[str, int]
Direction = Literal["to", "back"]
BOTH: tuple[Direction, Direction] = ("to", "back")
CHUNK_BYTES = 16 << 10
MAX_RECORDED_BYTES = 128 << 10


@dataclass(eq=False)
class RelayedConnection:
    """One relayed connection, and the data forwarded in each direction."""

    writers: list[asyncio.StreamWriter]
    task: asyncio.Task[None] | None = None
    passed: dict[Direction, bytearray] = field(
        default_factory=lambda: {direction: bytearray() for direction in BOTH}
    )
    received_bytes: dict[Direction, int] = field(default_factory=lambda: dict.fromkeys(BOTH, 0))
    closed: bool = False

    def drop(self) -> None:
        """Abort both sides of the connection."""
        self.closed = True
        for writer in self.writers:
            writer.transport.abort()


class Relay:
    """Relays connections from its own address to a target."""

    def __init__(self, target: Address | Callable[[], Address]) -> None:
        self.target = target
        self.connections: list[RelayedConnection] = []
        self.server: asyncio.Server | None = None
        self.changed = asyncio.Event()
        self.clear_faults()

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> Address:
        """Listen, and return the address."""
        self.server = await asyncio.start_server(self.accept, host, port, limit=CHUNK_BYTES)
        address: Address = self.server.sockets[0].getsockname()[:2]
        return address

    async def close(self) -> None:
        """Stop listening and abort all connections."""
        if self.server:
            self.server.close()
        self.drop()
        for connection in self.connections:
            if connection.task:
                connection.task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await connection.task

    # --- faults ---

    def clear_faults(self) -> None:
        """Remove all faults; a held connection stays held."""
        if not hasattr(self, "gates"):
            self.gates: dict[Direction, asyncio.Event] = {direction: asyncio.Event() for direction in BOTH}
        for gate in self.gates.values():
            gate.set()
        self.discarded: set[Direction] = set()
        self.holding = False
        self.delays: dict[Direction, float] = dict.fromkeys(BOTH, 0.0)
        self.cuts: dict[Direction, int | None] = dict.fromkeys(BOTH)
        self.flips: dict[Direction, int | None] = dict.fromkeys(BOTH)

    def stall(self, direction: Direction | Literal["both"] = "both") -> None:
        """Stop reading in a direction, so that the sender's buffers fill."""
        for each in BOTH if direction == "both" else (direction,):
            self.gates[each].clear()

    def discard(self, direction: Direction | Literal["both"] = "both") -> None:
        """Read in a direction and forward nothing."""
        self.discarded.update(BOTH if direction == "both" else (direction,))

    def hold(self) -> None:
        """Accept new connections without connecting to the target."""
        self.holding = True

    def delay(self, seconds: float, direction: Direction | Literal["both"] = "both") -> None:
        """Delay each chunk in a direction."""
        for each in BOTH if direction == "both" else (direction,):
            self.delays[each] = seconds

    def cut_at(self, byte_count: int, direction: Direction = "to") -> None:
        """Abort each connection once it has carried `byte_count` bytes in a direction."""
        self.cuts[direction] = byte_count

    def flip_at(self, offset: int, direction: Direction = "to") -> None:
        """Flip one bit of the byte at an offset of the data in a direction."""
        self.flips[direction] = offset

    def drop(self) -> None:
        """Abort all connections."""
        for connection in self.connections:
            connection.drop()

    async def until(self, condition: Callable[[], object]) -> None:
        """Wait until a condition holds; it is evaluated whenever a connection opens or closes."""
        while not condition():
            self.changed.clear()
            await self.changed.wait()

    @property
    def open(self) -> list[RelayedConnection]:
        """The connections that have not ended."""
        return [connection for connection in self.connections if not connection.closed]

    # --- forwarding ---

    def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Start a task that relays a new connection."""
        connection = RelayedConnection([writer])
        connection.task = asyncio.create_task(self.relay_connection(connection, reader, writer))
        self.connections.append(connection)
        self.changed.set()

    async def relay_connection(
        self,
        connection: RelayedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Connect to the target and forward in both directions until one side ends."""
        try:
            if self.holding:
                await asyncio.Event().wait()  # ends only when the relay closes
            target = self.target() if callable(self.target) else self.target
            target_reader, target_writer = await asyncio.open_connection(*target, limit=CHUNK_BYTES)
            connection.writers.append(target_writer)
            async with asyncio.TaskGroup() as group:
                group.create_task(self.pump(connection, "to", reader, target_writer))
                group.create_task(self.pump(connection, "back", target_reader, writer))
        except* OSError:
            pass
        finally:
            connection.drop()
            self.changed.set()

    async def pump(
        self,
        connection: RelayedConnection,
        direction: Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Forward one direction, subject to the faults set for it."""
        while True:
            await self.gates[direction].wait()
            data = bytearray(await reader.read(CHUNK_BYTES))
            if self.delays[direction]:
                await asyncio.sleep(self.delays[direction])
            await self.gates[direction].wait()
            if not data:
                if (
                    direction not in self.discarded
                    and not connection.closed
                    and not writer.transport.is_closing()
                ):
                    writer.write_eof()
                return
            start = connection.received_bytes[direction]
            connection.received_bytes[direction] += len(data)
            flip, cut = self.flips[direction], self.cuts[direction]
            if flip is not None and start <= flip < start + len(data):
                data[flip - start] ^= 1
            if cut is not None and connection.received_bytes[direction] >= cut:
                del data[max(0, cut - start) :]
            if direction not in self.discarded:
                connection.passed[direction] = (connection.passed[direction] + data)[-MAX_RECORDED_BYTES:]
                writer.write(bytes(data))
                await writer.drain()
            if cut is not None and connection.received_bytes[direction] >= cut:
                connection.drop()
                return
