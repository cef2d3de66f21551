"""Stand-in servers on sockets: the I/O around `rig.member`.

Each server has a port for each front door, so that it knows the sender and each link can fail alone.
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

CORRUPTIONS: tuple[Callable[[bytes], bytes], ...] = (  # ways to make an answer malformed
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
        self.first_us: int | None = None  # arrival of the first byte of the current command
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if not self.server.register(self):
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
            self.server.on_command(self, words, first_us)

    def connection_lost(self, error: Exception | None) -> None:
        self.server.unregister(self)

    def write(self, data: bytes) -> None:
        """Write, unless the connection is closing."""
        if self.transport and not self.transport.is_closing():
            self.transport.write(data)

    def reset(self) -> None:
        """Close with a reset."""
        if self.transport:
            reset(self.transport)


class Server:
    """One stand-in server."""

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
        self.started_ms = 0  # start time in the endpoint list; 0: long ago
        self.timer: asyncio.TimerHandle | None = None
        self.listeners = {door: Listener(host, self.protocol_factory(door)) for door in doors}

    @property
    def name(self) -> str:
        """The name of the server."""
        return self.member.name

    def protocol_factory(self, door: str) -> Callable[[], asyncio.Protocol]:
        """Creates connections of one front door."""
        return lambda: ServerConnection(self, door)

    def next_connection(self) -> int:
        """A new connection number."""
        self.serial += 1
        return self.serial

    def register(self, connection: ServerConnection) -> bool:
        """Take in a new connection; False if there are too many."""
        if len(self.connections) >= self.member.spec.connections:
            return False
        self.connections[connection.number] = connection
        return True

    def unregister(self, connection: ServerConnection) -> None:
        """Drop a connection that has ended."""
        if self.connections.pop(connection.number, None) is not None:
            self.handle(Closed(connection.number))

    # --- events ---

    def on_command(self, connection: ServerConnection, words: list[bytes], first_us: int) -> None:
        """Handle a command; one that differs from what a client sent is a fact for the auditor."""
        request_id = words[2].decode("ascii", "replace") if len(words) > 2 else ""
        sent = self.work_of(request_id)
        if sent is None or not same_command(words, sent[2]):
            text = f"a command that no client sent: {words!r:.200}"
            self.facts.append(Extra(now_us(), connection.door, text))
            connection.write(b"-SYNTAX\r\n")
            return
        work_us, key, _ = sent
        fields = dict(part.partition("=")[::2] for part in words[3].decode("ascii", "replace").split(","))
        self.handle(
            Command(
                connection.number,
                connection.door,
                request_id,
                words[1].decode("ascii", "replace"),
                key,
                str(fields.get("units", "1")),
                first_us,
                work_us,
            )
        )

    def handle(self, event: Command | Closed | Tick | SetDraining | SetSlow | Start) -> None:
        """Pass an event to the server's state and carry out the resulting actions."""
        for action in self.member.handle(now_us(), event):
            match action:
                case Reply():
                    self.reply(action)
                case Crash():
                    self.crash()
        self.schedule()

    def schedule(self) -> None:
        """Set the timer for the next Tick."""
        if self.timer:
            self.timer.cancel()
        due = self.member.next_us()
        if due is not None:
            delay_s = max(0, due - now_us()) / 1e6
            self.timer = asyncio.get_running_loop().call_later(delay_s, self.handle, Tick())

    def reply(self, action: Reply) -> None:
        """Write a reply, subject to the faults in force."""
        connection = self.connections.get(action.connection)
        if connection is None or self.silent or self.vanished or connection.door in self.cut_doors:
            return
        if self.reset_share and self.random.random() < self.reset_share:
            connection.reset()
        elif self.spoil_share and self.random.random() < self.spoil_share:
            connection.write(self.random.choice(CORRUPTIONS)(action.data))
        else:
            connection.write(action.data)

    # --- faults ---

    def crash(self) -> None:
        """Close all listeners and reset all connections."""
        for listener in self.listeners.values():
            listener.close()
        self.reset_all()

    def reset_all(self, door: str | None = None) -> None:
        """Reset all connections, or those of one front door."""
        for connection in list(self.connections.values()):
            if door is None or connection.door == door:
                connection.reset()

    def vanish(self) -> None:
        """Stop responding as a machine that is lost: connections stay open, and new ones hang."""
        self.vanished = True
        for listener in self.listeners.values():
            listener.block()
        self.pause(True)

    def pause(self, on: bool, door: str | None = None) -> None:
        """Stop or resume reading, from all front doors or from one."""
        for connection in self.connections.values():
            if connection.transport and (door is None or connection.door == door):
                if on:
                    connection.transport.pause_reading()
                else:
                    connection.transport.resume_reading()

    def restart(self, cold: bool = True) -> None:
        """Restart the process; open connections are reset."""
        self.vanished = self.silent = False
        self.reset_all()
        self.connections.clear()
        self.started_ms = unix_ms() if cold else 0
        for listener in self.listeners.values():
            listener.unblock()
            listener.open()
        self.handle(Start(cold))

    def cut(self, door: str) -> None:
        """Block all data from and to one front door."""
        self.cut_doors.add(door)
        self.listeners[door].block()
        self.pause(True, door)

    def join(self, door: str) -> None:
        """End a cut; the connections of the front door are reset."""
        self.cut_doors.discard(door)
        self.reset_all(door)
        self.listeners[door].unblock()

    def close(self) -> None:
        """Release all sockets."""
        if self.timer:
            self.timer.cancel()
        for listener in self.listeners.values():
            listener.end()
        for connection in list(self.connections.values()):
            connection.reset()


def same_command(words: list[bytes], sent: list[bytes]) -> bool:
    """Whether a command equals the one that a client sent, apart from the time limit, which may differ."""
    if len(words) != len(sent) or words[:3] != sent[:3] or words[4:] != sent[4:]:
        return False
    return without_time_limit(words[3]) == without_time_limit(sent[3])


def without_time_limit(fields: bytes) -> list[bytes]:
    """The fields of a request without its time limit."""
    return [part for part in fields.split(b",") if not part.startswith(b"d=")]
