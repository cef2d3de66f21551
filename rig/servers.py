"""Member servers on sockets: the shell of `rig.member`, with a port for each front door.

As a front door has a port of its own at each server, a server knows who sends, and a link between two can
fail alone.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any, cast

import hiredis

from rig.clock import now_us, unix_ms
from rig.facts import Extra, Fact
from rig.member import Closed, Command, Crash, Member, Reply, SetDraining, SetSlow, Start, Tick
from rig.sockets import Listener, reset

SPOILT: tuple[Callable[[bytes], bytes], ...] = (  # ways in which an answer cannot be read
    lambda data: data.replace(b"*3", b"*2", 1),
    lambda data: data.replace(b"$", b"$9", 1),
    lambda data: b"\x00\xff" + data,
    lambda data: data.replace(b"\r\n", b"\n", 1),
    lambda data: b"*3\r\n$-7\r\n" + data,
)


class ServerConnection(asyncio.Protocol):
    """A front door's connection to a server."""

    def __init__(self, server: "Server", door: str) -> None:
        self.server, self.door = server, door
        self.number = server.next_connection()
        self.reader: Any = hiredis.Reader()
        self.first_us: int | None = None  # of the command that is coming
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if not self.server.opened(self):
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        if self.first_us is None:
            self.first_us = now_us()
        self.reader.feed(data)
        while True:
            try:
                words = self.reader.gets()
            except hiredis.ProtocolError:
                words = [b"unreadable"]
            if words is False:
                return
            first_us, self.first_us = self.first_us or now_us(), None
            self.server.command(self, words, first_us)

    def connection_lost(self, error: Exception | None) -> None:
        self.server.lost(self)

    def write(self, data: bytes) -> None:
        if self.transport and not self.transport.is_closing():
            self.transport.write(data)

    def reset(self) -> None:
        if self.transport:
            reset(self.transport)


class Server:
    """One member server."""

    def __init__(
        self,
        member: Member,
        doors: list[str],
        host: str,
        facts: list[Fact],
        random: Random,
        work_of: Callable[[str], tuple[int, str, list[bytes]] | None],
    ) -> None:
        """`work_of` gives the work in microseconds, the key and the words of a request that a client sent."""
        self.member, self.facts, self.random, self.work_of = member, facts, random, work_of
        self.member.facts = facts
        self.connections: dict[int, ServerConnection] = {}
        self.serial = 0
        self.silent = self.vanished = False
        self.reset_share = self.spoil_share = 0.0
        self.cut_doors: set[str] = set()
        self.started_ms = 0  # 0: long ago
        self.timer: asyncio.TimerHandle | None = None
        self.listeners = {door: Listener(host, self.maker(door)) for door in doors}

    @property
    def name(self) -> str:
        return self.member.name

    def maker(self, door: str) -> Callable[[], asyncio.Protocol]:
        return lambda: ServerConnection(self, door)

    def next_connection(self) -> int:
        self.serial += 1
        return self.serial

    def opened(self, connection: ServerConnection) -> bool:
        if len(self.connections) >= self.member.spec.connections:
            return False
        self.connections[connection.number] = connection
        return True

    def lost(self, connection: ServerConnection) -> None:
        if self.connections.pop(connection.number, None) is not None:
            self.tell(Closed(connection.number))

    # --- what comes in ---

    def command(self, connection: ServerConnection, words: list[bytes], first_us: int) -> None:
        name = words[2].decode("ascii", "replace") if len(words) > 2 else ""
        known = self.work_of(name)
        if known is None or not same_command(words, known[2]):
            text = f"a command that no client sent: {words!r:.200}"
            self.facts.append(Extra(now_us(), connection.door, text))
            connection.write(b"-SYNTAX\r\n")
            return
        work_us, key, _ = known
        fields = dict(part.partition("=")[::2] for part in words[3].decode("ascii", "replace").split(","))
        self.tell(
            Command(
                connection.number,
                connection.door,
                name,
                words[1].decode("ascii", "replace"),
                key,
                str(fields.get("units", "1")),
                first_us,
                work_us,
            )
        )

    def tell(self, event: Command | Closed | Tick | SetDraining | SetSlow | Start) -> None:
        """Hand an event to the core and carry out what it says."""
        for action in self.member.handle(now_us(), event):
            match action:
                case Reply():
                    self.reply(action)
                case Crash():
                    self.die()
        self.schedule()

    def schedule(self) -> None:
        if self.timer:
            self.timer.cancel()
        due = self.member.next_us()
        if due is not None:
            left = max(0, due - now_us()) / 1e6
            self.timer = asyncio.get_running_loop().call_later(left, self.tell, Tick())

    def reply(self, action: Reply) -> None:
        connection = self.connections.get(action.connection)
        if connection is None or self.silent or self.vanished or connection.door in self.cut_doors:
            return
        if self.reset_share and self.random.random() < self.reset_share:
            connection.reset()
        elif self.spoil_share and self.random.random() < self.spoil_share:
            connection.write(self.random.choice(SPOILT)(action.data))
        else:
            connection.write(action.data)

    # --- faults ---

    def die(self) -> None:
        for listener in self.listeners.values():
            listener.close()
        self.reset_all()

    def reset_all(self, door: str | None = None) -> None:
        for connection in list(self.connections.values()):
            if door is None or connection.door == door:
                connection.reset()

    def vanish(self) -> None:
        """The machine says nothing any more: what is open stays open, and nothing new comes up."""
        self.vanished = True
        for listener in self.listeners.values():
            listener.freeze()
        self.pause(True)

    def pause(self, on: bool, door: str | None = None) -> None:
        for connection in self.connections.values():
            if connection.transport and (door is None or connection.door == door):
                if on:
                    connection.transport.pause_reading()
                else:
                    connection.transport.resume_reading()

    def come_back(self, cold: bool = True) -> None:
        """The process starts anew; what was open is reset."""
        self.vanished = self.silent = False
        self.reset_all()
        self.connections.clear()
        self.started_ms = unix_ms() if cold else 0
        for listener in self.listeners.values():
            listener.thaw()
            listener.open()
        self.tell(Start(cold))

    def cut(self, door: str) -> None:
        self.cut_doors.add(door)
        self.listeners[door].freeze()
        self.pause(True, door)

    def join(self, door: str) -> None:
        self.cut_doors.discard(door)
        self.reset_all(door)
        self.listeners[door].thaw()

    def close(self) -> None:
        if self.timer:
            self.timer.cancel()
        for listener in self.listeners.values():
            listener.end()
        for connection in list(self.connections.values()):
            connection.reset()


def same_command(words: list[bytes], asked: list[bytes]) -> bool:
    """Whether a command is a client's: unchanged but for how long the front door waits."""
    if len(words) != len(asked) or words[:3] != asked[:3] or words[4:] != asked[4:]:
        return False
    return without_time(words[3]) == without_time(asked[3])


def without_time(fields: bytes) -> list[bytes]:
    return [part for part in fields.split(b",") if not part.startswith(b"d=")]
