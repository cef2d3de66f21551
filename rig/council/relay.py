"""A faulty way between two front doors: a TCP relay that can hold, lose, cut, delay and flip what passes.

    relay = Relay(target)              # where it goes; a callable is asked for each connection
    address = await relay.start()      # dial this instead
    relay.stall("to")                  # read nothing of what goes to the target ("back": from it; "both")
    relay.lose("to")                   # take what comes and pass nothing on
    relay.hold()                       # new connections are accepted and go nowhere
    relay.delay(0.05, "back")          # each piece waits
    relay.cut_at(100, "to")            # pass this many bytes of each new connection, then drop it
    relay.flip_at(100, "to")           # flip a bit of this byte of each new connection
    relay.pass_()                      # all well again, for connections that are there too
    relay.drop()                       # end all connections that are there, at once
    await relay.until(lambda: len(relay.connections) == 2)
    await relay.close()

What each connection carried is in `relay.connections[n].passed["to"]`, the last 64 KB of it at least.
"""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Literal

Address = tuple[str, int]
Direction = Literal["to", "back"]
BOTH: tuple[Direction, Direction] = ("to", "back")
PIECE_BYTES = 16 << 10
MOST_KEPT_BYTES = 128 << 10


@dataclass(eq=False)
class Carried:
    """One connection."""

    writers: list[asyncio.StreamWriter]
    task: asyncio.Task[None] | None = None
    passed: dict[Direction, bytearray] = field(default_factory=lambda: {way: bytearray() for way in BOTH})
    count: dict[Direction, int] = field(default_factory=lambda: dict.fromkeys(BOTH, 0))
    over: bool = False

    def drop(self) -> None:
        self.over = True
        for writer in self.writers:
            writer.transport.abort()


class Relay:
    """One address that leads to another, with faults."""

    def __init__(self, target: Address | Callable[[], Address]) -> None:
        self.target = target
        self.connections: list[Carried] = []
        self.server: asyncio.Server | None = None
        self.changed = asyncio.Event()
        self.pass_()

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> Address:
        self.server = await asyncio.start_server(self.accept, host, port, limit=PIECE_BYTES)
        address: Address = self.server.sockets[0].getsockname()[:2]
        return address

    async def close(self) -> None:
        if self.server:
            self.server.close()
        self.drop()
        for carried in self.connections:
            if carried.task:
                carried.task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await carried.task

    # --- faults ---

    def pass_(self) -> None:
        if not hasattr(self, "gates"):
            self.gates: dict[Direction, asyncio.Event] = {way: asyncio.Event() for way in BOTH}
        for gate in self.gates.values():
            gate.set()
        self.lost: set[Direction] = set()
        self.held = False
        self.delays: dict[Direction, float] = dict.fromkeys(BOTH, 0.0)
        self.cuts: dict[Direction, int | None] = dict.fromkeys(BOTH)
        self.flips: dict[Direction, int | None] = dict.fromkeys(BOTH)

    def stall(self, direction: Direction | Literal["both"] = "both") -> None:
        for way in BOTH if direction == "both" else (direction,):
            self.gates[way].clear()

    def lose(self, direction: Direction | Literal["both"] = "both") -> None:
        self.lost.update(BOTH if direction == "both" else (direction,))

    def hold(self) -> None:
        self.held = True

    def delay(self, seconds: float, direction: Direction | Literal["both"] = "both") -> None:
        for way in BOTH if direction == "both" else (direction,):
            self.delays[way] = seconds

    def cut_at(self, count: int, direction: Direction = "to") -> None:
        self.cuts[direction] = count

    def flip_at(self, place: int, direction: Direction = "to") -> None:
        self.flips[direction] = place

    def drop(self) -> None:
        for carried in self.connections:
            carried.drop()

    async def until(self, true: Callable[[], object]) -> None:
        """Wait until a connection that came or ended makes it so."""
        while not true():
            self.changed.clear()
            await self.changed.wait()

    @property
    def open(self) -> list[Carried]:
        return [carried for carried in self.connections if not carried.over]

    # --- passing on ---

    def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        carried = Carried([writer])
        carried.task = asyncio.create_task(self.carry(carried, reader, writer))
        self.connections.append(carried)
        self.changed.set()

    async def carry(
        self,
        carried: Carried,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            if self.held:
                await asyncio.Event().wait()  # until it is dropped with the relay
            target = self.target() if callable(self.target) else self.target
            target_reader, target_writer = await asyncio.open_connection(*target, limit=PIECE_BYTES)
            carried.writers.append(target_writer)
            async with asyncio.TaskGroup() as group:
                group.create_task(self.pump(carried, "to", reader, target_writer))
                group.create_task(self.pump(carried, "back", target_reader, writer))
        except* OSError:
            pass
        finally:
            carried.drop()
            self.changed.set()

    async def pump(
        self,
        carried: Carried,
        way: Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while True:
            await self.gates[way].wait()
            data = bytearray(await reader.read(PIECE_BYTES))
            if self.delays[way]:
                await asyncio.sleep(self.delays[way])
            await self.gates[way].wait()
            if not data:
                if way not in self.lost and not carried.over and not writer.transport.is_closing():
                    writer.write_eof()
                return
            begin = carried.count[way]
            carried.count[way] += len(data)
            flip, cut = self.flips[way], self.cuts[way]
            if flip is not None and begin <= flip < begin + len(data):
                data[flip - begin] ^= 1
            if cut is not None and carried.count[way] >= cut:
                del data[max(0, cut - begin) :]
            if way not in self.lost:
                carried.passed[way] = (carried.passed[way] + data)[-MOST_KEPT_BYTES:]
                writer.write(bytes(data))
                await writer.drain()
            if cut is not None and carried.count[way] >= cut:
                carried.drop()
                return
