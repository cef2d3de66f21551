"""Client connections: commands in, answers out in the order of the commands."""

import asyncio
import contextlib
import logging
import math
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from fennelwinch import interface as i
from molereach.config import Config

log = logging.getLogger(__name__)

MOST_WORDS = 16  # in a command; ours have five at most
MOST_WORD = 64 * 1024  # bytes: the largest value of the protocol
MOST_COMMAND = MOST_WORD + 4096
MOST_PIPELINED = 16  # commands read ahead on a connection before its reading pauses
MOST_WAIT_MS = 24 * 3600 * 1000

FAILED = b"-ERR failed\r\n"
CROWDED = b"-ERR max number of clients reached\r\n"
CUSTOMERS = 1 << 33
HEX = frozenset(b"0123456789abcdefABCDEF")


class ProtocolError(Exception):
    """What came is not RESP, or not an array of bulk strings; the connection cannot go on."""


class CommandError(Exception):
    """A well-formed command that is wrong; the connection lives."""


class CommandReader:
    """Cuts a stream of bytes into commands.

    Not hiredis, which makes room for as many elements as an array's head claims: 12 bytes that claim
    100 million cost 0.1 s when they are freed, and any client may send them. It reads the backends.
    """

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[list[bytes]]:
        """The commands that are whole by now."""
        self.buffer += data
        start = 0
        try:
            while (found := self.command(start)) is not None:
                words, start = found
                if words:
                    yield words
        finally:
            del self.buffer[:start]
        if len(self.buffer) > MOST_COMMAND:
            raise ProtocolError("too big a command")

    def command(self, at: int) -> tuple[list[bytes], int] | None:
        head = self.length(at, b"*", MOST_WORDS)
        if head is None:
            return None
        count, at = head
        words = []
        for _ in range(count):
            head = self.length(at, b"$", MOST_WORD)
            if head is None:
                return None
            size, at = head
            end = at + size
            if len(self.buffer) < end + 2:
                return None
            if self.buffer[end : end + 2] != b"\r\n":
                raise ProtocolError("a bulk string is longer than it says")
            words.append(bytes(self.buffer[at:end]))
            at = end + 2
        return words, at

    def length(self, at: int, mark: bytes, most: int) -> tuple[int, int] | None:
        """The number in a line such as `*3`, and where the next one begins; None if it is not whole."""
        if len(self.buffer) <= at:
            return None
        if self.buffer[at : at + 1] != mark:
            raise ProtocolError(f"expected '{mark.decode()}'")
        end = self.buffer.find(b"\r\n", at, at + 16)
        digits = self.buffer[at + 1 : end if end >= 0 else at + 16].removesuffix(b"\r")
        if (digits and not digits.isdigit()) or (end < 0 and len(digits) > 12) or (end >= 0 and not digits):
            raise ProtocolError("invalid length")
        if end < 0:
            return None
        if int(digits) > most:
            raise ProtocolError("too long")
        return int(digits), end + 2


@dataclass(frozen=True, slots=True)
class Command:
    """A request as the module sees it, and the words to pass on."""

    request: i.Request
    words: list[bytes]
    fields_head: bytes  # the list of names and values before and after the time that the client waits
    fields_tail: bytes

    @property
    def size(self) -> int:
        return sum(map(len, self.words))

    def payload(self, wait_us: int) -> bytes:
        """The command for a backend: unchanged but for how long this front door will wait."""
        fields = b"%b%d%b" % (self.fields_head, max(1, wait_us // 1000), self.fields_tail)
        words = [*self.words[:3], fields, *self.words[4:]]
        return b"*%d\r\n" % len(words) + b"".join([b"$%d\r\n%b\r\n" % (len(word), word) for word in words])


def whole(text: str, name: str, least: int, most: int) -> int:
    if not (text.isascii() and text.isdigit()) or len(text) > 12 or not least <= int(text) <= most:
        raise CommandError(f"invalid {name}")
    return int(text)


class CommandParser:
    """Checks commands against the settings, so that what is wrong reaches neither module nor backend."""

    def __init__(self, config: Config) -> None:
        self.classes, self.plans, self.settings = config.class_numbers, config.plan_numbers, config.settings

    def parse(self, words: list[bytes], answer_margin_us: int) -> Command:
        is_write = words[0] == b"SVC.SUBMIT"
        if not is_write and words[0] != b"SVC.QUERY":
            raise CommandError("unknown command")
        if len(words) != 4 + is_write:
            raise CommandError("wrong number of arguments")
        customer, request_id = self.customer(words[1]), self.request_id(words[2])
        try:
            parts = [part.partition("=") for part in words[3].decode("ascii").split(",")]
        except UnicodeDecodeError:
            raise CommandError("invalid fields") from None
        values = {name: value for name, _, value in parts}
        if not all(name and sign for name, sign, _ in parts):
            raise CommandError("invalid fields")
        if len(values) != len(parts):
            raise CommandError("a field is given twice")
        number = self.class_number(values, is_write)
        plan = self.plans.get(values.get("t", ""))
        if plan is None:
            raise CommandError("unknown plan")
        wait_ms = whole(values.get("d", ""), "time", 0, MOST_WAIT_MS)
        request = i.Request(
            id=request_id, class_index=number, plan_index=plan, customer=customer,
            left_us=max(0, wait_ms * 1000 - answer_margin_us), units=self.units(values),
            set_size=whole(values.get("spread", "1"), "spread", 1, self.settings.gateways),
            set_first=whole(values.get("first", "0"), "first", 0, self.settings.gateways - 1),
            is_repeat=values.get("r") == "1", is_write=is_write,
        )
        at = words[3].find(b"d=") if words[3].startswith(b"d=") else words[3].find(b",d=") + 1
        return Command(request, words, words[3][: at + 2], words[3][at + 2 + len(values["d"]) :])

    def customer(self, word: bytes) -> str:
        if len(word) != 16 or not HEX.issuperset(word) or int(word, 16) >= CUSTOMERS:
            raise CommandError("invalid customer")
        return word.decode().lower()

    def request_id(self, word: bytes) -> str:
        if not 0 < len(word) <= 64 or not word.isalnum():
            raise CommandError("invalid id")
        return word.decode()

    def class_number(self, values: dict[str, str], is_write: bool) -> int:
        number = self.classes.get(values.get("c", ""))
        if number is None:
            raise CommandError("unknown class")
        effect = self.settings.classes[number].effect
        if is_write == (effect is i.Effect.SAFE):
            raise CommandError("the command does not serve this class")
        if effect is i.Effect.KEYED and not values.get("k"):
            raise CommandError("a key is missing")
        return number

    def units(self, values: dict[str, str]) -> float:
        try:
            units = float(values.get("units", "1"))
        except ValueError:
            units = math.nan
        if not 0 < units <= 1e6:  # also false for what is not a number
            raise CommandError("invalid units")
        return units


class Reply:
    """The place of one answer among those of its connection."""

    __slots__ = ("connection", "data", "id")

    def __init__(self, connection: "ClientConnection", data: bytes | None = None) -> None:
        self.connection, self.data = connection, data
        self.id: str | None = None  # of the request that it answers

    def send(self, data: bytes) -> None:
        if self.data is None:
            self.data = data
            self.connection.flush()


class ClientConnection(asyncio.Protocol):
    """A client's connection; answers leave in the order of its commands."""

    def __init__(self, clients: "Clients") -> None:
        self.clients = clients
        self.reader = CommandReader()
        self.replies: deque[Reply] = deque()
        self.transport: asyncio.Transport | None = None
        self.closing, self.reading, self.clogged = False, True, False

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.clients.opened(self)

    def data_received(self, data: bytes) -> None:
        if self.closing:
            return
        try:
            for words in self.reader.feed(data):
                self.command(words)
        except ProtocolError as error:
            self.finish(b"-ERR Protocol error: %b\r\n" % str(error).encode())
        except Exception:
            # A fault of ours costs this connection, not the front door, and still answers what it owes.
            log.exception("a client's connection failed")
            self.fail_all()
            self.finish(b"-ERR internal error\r\n")
        self.update_reading()

    def command(self, words: list[bytes]) -> None:
        reply = Reply(self)
        self.replies.append(reply)
        self.clients.busy(self)
        name = words[0].upper()
        if name == b"PING" and len(words) <= 2:
            reply.send(b"+PONG\r\n" if len(words) == 1 else b"$%d\r\n%b\r\n" % (len(words[1]), words[1]))
            return
        try:
            self.clients.take(words, reply)
        except CommandError as error:
            reply.send(b"-ERR %b\r\n" % str(error).encode())

    def flush(self) -> None:
        assert self.transport is not None
        ready = []
        while self.replies and self.replies[0].data is not None:
            ready.append(self.replies.popleft().data)
        if ready and not self.transport.is_closing():
            self.transport.write(b"".join(ready))
        if not self.replies:
            if self.closing:
                self.transport.close()
            else:
                self.clients.rests(self)
        self.update_reading()

    def finish(self, data: bytes) -> None:
        """A last answer, then close."""
        self.closing = True
        self.replies.append(Reply(self, data))
        self.flush()

    def fail_all(self) -> None:
        for reply in [reply for reply in self.replies if reply.data is None]:
            self.clients.gone(reply)
            reply.send(FAILED)

    def update_reading(self) -> None:
        """Read no further ahead than what fits: neither many commands nor answers that nobody reads."""
        if self.transport is None or self.transport.is_closing():
            return
        wanted = len(self.replies) < MOST_PIPELINED and not self.clogged
        if wanted and not self.reading:
            self.transport.resume_reading()
        elif self.reading and not wanted:
            self.transport.pause_reading()
        self.reading = wanted

    def pause_writing(self) -> None:
        self.clogged = True
        self.update_reading()

    def resume_writing(self) -> None:
        self.clogged = False
        self.update_reading()

    def connection_lost(self, error: Exception | None) -> None:
        self.closing = True
        for reply in self.replies:
            if reply.data is None:
                self.clients.gone(reply)
        self.replies.clear()
        self.clients.closed(self)

    def close(self) -> None:
        """Close between requests."""
        if not self.closing and not self.replies and self.transport:
            self.closing = True
            self.transport.close()

    def abort(self) -> None:
        if self.transport:
            self.transport.abort()


class Clients:
    """All client connections, bounded in number."""

    def __init__(
        self, most: int, take: Callable[[list[bytes], Reply], None], gone: Callable[[Reply], None]
    ) -> None:
        self.most, self.take, self.gone = most, take, gone
        self.connections: set[ClientConnection] = set()
        self.idle: dict[ClientConnection, None] = {}  # the one idle longest first
        self.draining = False
        self.empty = asyncio.Event()

    def connection(self) -> ClientConnection:
        return ClientConnection(self)

    def opened(self, connection: ClientConnection) -> None:
        self.connections.add(connection)
        if len(self.connections) > self.most:
            if self.idle:
                oldest = next(iter(self.idle))
                del self.idle[oldest]
                oldest.close()
            else:
                connection.finish(CROWDED)
        if not connection.closing:
            self.idle[connection] = None

    def busy(self, connection: ClientConnection) -> None:
        self.idle.pop(connection, None)

    def rests(self, connection: ClientConnection) -> None:
        """It has no request open."""
        if self.draining:
            connection.close()
        else:
            self.idle[connection] = None

    def closed(self, connection: ClientConnection) -> None:
        self.connections.discard(connection)
        self.idle.pop(connection, None)
        if not self.connections:
            self.empty.set()

    def drain(self) -> None:
        """Close what is idle, and from now on what becomes so."""
        self.draining = True
        for connection in list(self.idle):
            connection.close()

    async def left(self, within_s: float) -> bool:
        """Wait for the last connection to end; whether it has."""
        if self.connections:
            self.empty.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.empty.wait(), within_s)
        return not self.connections

    def close(self) -> None:
        """End all connections, whatever is open on them."""
        for connection in list(self.connections):
            connection.abort()
