"""RESP2 as the protocol uses it, read within bounds: commands of clients and answers of backends.

The peer is not trusted: a length is checked before anything is awaited or stored, so that input that cannot
be read fails at its length, however much it announces.
"""

import select
from asyncio import BaseTransport
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

MAX_VALUE_BYTES = 64 * 1024  # the largest value of the protocol
MAX_ARGUMENTS = 16  # in a command; the protocol's have five at most
MAX_COMMAND_BYTES = MAX_VALUE_BYTES + 4096  # a value and the arguments before it
MAX_REPORT_BYTES = 4096  # of a load report, or of the usage figures
MAX_LINE_BYTES = 512  # an error line with a load report in it
MAX_LENGTH_DIGITS = 12  # with the type mark before them
LINE_END = b"\r\n"
ANSWER_LENGTH = 3


class ProtocolError(Exception):
    """Input that is not of the protocol's form; the connection cannot go on."""


def encode_command(arguments: list[bytes]) -> bytes:
    """A command: an array of bulk strings."""
    strings = [b"$%d\r\n%b\r\n" % (len(argument), argument) for argument in arguments]
    return b"*%d\r\n" % len(arguments) + b"".join(strings)


def has_unread(transport: BaseTransport) -> bool:
    """Whether the kernel holds bytes of the peer, or its end, that the event loop has not read yet."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))


def have_disconnected(transports: Iterable[BaseTransport]) -> Iterator[bool]:
    """For each, whether its peer has closed or reset it, also behind bytes that nobody has read."""
    poll = select.poll()
    descriptors = [each.get_extra_info("socket").fileno() for each in transports]
    for descriptor in descriptors:
        poll.register(descriptor, select.POLLRDHUP)
    disconnected = {descriptor for descriptor, events in poll.poll(0) if events & select.POLLRDHUP}
    return (descriptor in disconnected for descriptor in descriptors)


class Reader:
    """A stream of bytes, cut into RESP values."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes | memoryview) -> None:
        """Append bytes that have arrived."""
        self.buffer += data

    def discard(self, end: int) -> None:
        """Drop what has been read."""
        del self.buffer[:end]

    def read_length(self, at: int, mark: bytes, maximum: int) -> tuple[int, int] | None:
        """The number in a line such as `*3`, and where the next line begins; None if it is incomplete.

        The only number below 0 is the -1 of a null. Raises ProtocolError for any other form or number.
        """
        buffer = self.buffer
        if len(buffer) <= at:
            return None
        if buffer[at : at + 1] != mark:
            raise ProtocolError(f"expected '{mark.decode()}'")
        end = buffer.find(LINE_END, at, at + MAX_LENGTH_DIGITS + 2)
        digits = bytes(buffer[at + 1 : end if end >= 0 else at + MAX_LENGTH_DIGITS + 2])
        if end < 0:
            digits = digits.removesuffix(b"\r")
            if len(digits) >= MAX_LENGTH_DIGITS or (
                digits not in (b"", b"-", b"-1") and not digits.isdigit()
            ):
                raise ProtocolError("invalid length")
            return None
        if digits == b"-1":
            return -1, end + 2
        if not digits.isdigit():
            raise ProtocolError("invalid length")
        if int(digits) > maximum:
            raise ProtocolError("too long")
        return int(digits), end + 2

    def read_bulk_string(self, at: int, maximum: int) -> tuple[bytes | None, int] | None:
        """A bulk string or a null, and where the next value begins; None if it is incomplete."""
        header = self.read_length(at, b"$", maximum)
        if header is None or header[0] < 0:
            return header and (None, header[1])
        size, start = header
        end = start + size
        line_end = self.buffer[end : end + 2]
        if not LINE_END.startswith(line_end):
            raise ProtocolError("a bulk string is longer than it says")
        return (bytes(self.buffer[start:end]), end + 2) if len(line_end) == 2 else None


class CommandReader(Reader):
    """Cuts what a client sends into commands: arrays of bulk strings."""

    def next(self) -> list[bytes] | None:
        """The arguments of the next command; None if it is incomplete."""
        header = self.read_length(0, b"*", MAX_ARGUMENTS)
        if header is None:
            return None
        count, at = header
        if count < 1:
            raise ProtocolError("an empty command")  # a flood of them would never be answered
        arguments = []
        for _ in range(count):
            bulk_string = self.read_bulk_string(at, max(0, MAX_COMMAND_BYTES - at))
            if bulk_string is None:
                return None
            argument, at = bulk_string
            if argument is None:
                raise ProtocolError("a null in a command")
            arguments.append(argument)
        self.discard(at)
        return arguments


@dataclass(frozen=True, slots=True)
class Answer:
    """A backend's answer: the value, or the error line without its type mark; and the load report, if any."""

    value: bytes | None
    error: bytes | None = None
    report: bytes | None = None


class AnswerReader(Reader):
    """Cuts what a backend sends into answers: `[value, usage figures, load report]` or an error line."""

    def next(self) -> Answer | None:
        """The next answer; None if it is incomplete."""
        if self.buffer.startswith(b"-"):
            return self.error()
        header = self.read_length(0, b"*", ANSWER_LENGTH)
        if header is None:
            return None
        if header[0] != ANSWER_LENGTH:
            raise ProtocolError("an answer has three parts")
        value = self.read_bulk_string(header[1], MAX_VALUE_BYTES)
        if value is None:
            return None
        if value[0] is None:
            raise ProtocolError("an answer without a value")
        figures = self.read_bulk_string(value[1], MAX_REPORT_BYTES)
        report = figures and self.read_bulk_string(figures[1], MAX_REPORT_BYTES)
        if report is None:
            return None
        self.discard(report[1])
        return Answer(value[0], report=report[0])

    def error(self) -> Answer | None:
        """An error line, whose last word may be a load report; None if it is incomplete."""
        end = self.buffer.find(LINE_END, 0, MAX_LINE_BYTES)
        if end < 0:
            if len(self.buffer) >= MAX_LINE_BYTES:
                raise ProtocolError("a line without an end")
            return None
        line = bytes(self.buffer[1:end])
        self.discard(end + 2)
        return Answer(None, line, line.rpartition(b" ")[2])
