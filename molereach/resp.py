"""Reads clients' commands and backends' answers in RESP2, within size limits.

The peer is not trusted: each length is checked as soon as it arrives, before the data that it announces is
awaited or stored.
"""

import select
from asyncio import BaseTransport
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

MAX_VALUE_BYTES = 64 * 1024  # maximum value size of the platform's protocol
MAX_ARGUMENTS = 16  # of a command; those of the platform's protocol have at most five
MAX_COMMAND_BYTES = MAX_VALUE_BYTES + 4096  # a value and the arguments before it
MAX_REPORT_BYTES = 4096  # of a load report or a usage report
MAX_LINE_BYTES = 512  # of an error line, which may contain a load report
MAX_LENGTH_BYTES = 12  # the type byte and the digits of a length
LINE_END = b"\r\n"
ANSWER_ELEMENT_COUNT = 3


class ProtocolError(Exception):
    """The input violates the protocol, so that the connection cannot be used any longer."""


def encode_command(arguments: list[bytes]) -> bytes:
    """Encode a command as an array of bulk strings."""
    strings = [b"$%d\r\n%b\r\n" % (len(argument), argument) for argument in arguments]
    return b"*%d\r\n" % len(arguments) + b"".join(strings)


def has_unread(transport: BaseTransport) -> bool:
    """Whether the socket has bytes from the peer, or an end of stream, that have not been read yet."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))


def have_disconnected(transports: Iterable[BaseTransport]) -> Iterator[bool]:
    """Yield for each transport whether its peer has closed or reset it, even if unread bytes precede that."""
    poll = select.poll()
    descriptors = [transport.get_extra_info("socket").fileno() for transport in transports]
    for descriptor in descriptors:
        poll.register(descriptor, select.POLLRDHUP)
    disconnected = {descriptor for descriptor, events in poll.poll(0) if events & select.POLLRDHUP}
    return (descriptor in disconnected for descriptor in descriptors)


class Reader:
    """Buffers a stream of bytes and reads RESP values from it."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes | memoryview) -> None:
        """Append received bytes."""
        self.buffer += data

    def discard(self, end: int) -> None:
        """Remove the bytes before `end`."""
        del self.buffer[:end]

    def read_length(self, start: int, type_byte: bytes, maximum: int) -> tuple[int, int] | None:
        """Read a line such as `*3`; return its number and the offset of the next line, None if incomplete.

        The only negative number is the -1 of a null. Raises ProtocolError if the line is malformed or the
        number exceeds `maximum`.
        """
        buffer = self.buffer
        if len(buffer) <= start:
            return None
        if buffer[start : start + 1] != type_byte:
            raise ProtocolError(f"expected '{type_byte.decode()}'")
        end = buffer.find(LINE_END, start, start + MAX_LENGTH_BYTES + 2)
        digits = bytes(buffer[start + 1 : end if end >= 0 else start + MAX_LENGTH_BYTES + 2])
        if end < 0:
            digits = digits.removesuffix(b"\r")
            if len(digits) >= MAX_LENGTH_BYTES or (digits not in (b"", b"-", b"-1") and not digits.isdigit()):
                raise ProtocolError("invalid length")
            return None
        if digits == b"-1":
            return -1, end + 2
        if not digits.isdigit():
            raise ProtocolError("invalid length")
        if int(digits) > maximum:
            raise ProtocolError("too long")
        return int(digits), end + 2

    def find_bulk_string(self, start: int, maximum: int) -> tuple[int, int] | None:
        """Return the offsets of a bulk string's first byte and of the next value, None if it is incomplete.

        For a null, the first byte is behind the next value. Raises ProtocolError as `read_length` does.
        """
        header = self.read_length(start, b"$", maximum)
        if header is None:
            return None
        size, string_start = header
        if size < 0:
            return string_start + 1, string_start
        end = string_start + size
        line_end = self.buffer[end : end + 2]
        if not LINE_END.startswith(line_end):
            raise ProtocolError("a bulk string is longer than it says")
        return (string_start, end + 2) if len(line_end) == 2 else None

    def read_bulk_string(self, start: int, maximum: int) -> tuple[bytes | None, int] | None:
        """Read a bulk string or a null; return it and the offset of the next value, None if incomplete."""
        found = self.find_bulk_string(start, maximum)
        if found is None:
            return None
        string_start, next_start = found
        if string_start > next_start:
            return None, next_start
        return bytes(self.buffer[string_start : next_start - 2]), next_start


class CommandReader(Reader):
    """Reads clients' commands, which are arrays of bulk strings."""

    def next(self) -> list[bytes] | None:
        """Read the next command and return its arguments; None if it is incomplete."""
        spans = self.find_arguments()
        if spans is None:
            return None
        arguments = [bytes(self.buffer[start : next_start - 2]) for start, next_start in spans]
        self.discard(spans[-1][1])
        return arguments

    def next_encoded(self) -> bytes | None:
        """Read the next command and return it as it was received; None if it is incomplete."""
        spans = self.find_arguments()
        if spans is None:
            return None
        end = spans[-1][1]
        encoded = bytes(self.buffer[:end])
        self.discard(end)
        return encoded

    def find_arguments(self) -> list[tuple[int, int]] | None:
        """Find the next command; return `find_bulk_string` of each argument, None if it is incomplete."""
        header = self.read_length(0, b"*", MAX_ARGUMENTS)
        if header is None:
            return None
        count, offset = header
        if count < 1:
            # It would have no answer, so that nothing would limit a flood of empty commands.
            raise ProtocolError("an empty command")
        spans = []
        for _ in range(count):
            span = self.find_bulk_string(offset, max(0, MAX_COMMAND_BYTES - offset))
            if span is None:
                return None
            start, offset = span
            if start > offset:
                raise ProtocolError("a null in a command")
            spans.append(span)
        return spans


@dataclass(frozen=True, slots=True)
class Answer:
    """A backend's answer: the value, or the error line without its type byte; and the load report, if any."""

    value: bytes | None
    error: bytes | None = None
    report: bytes | None = None


class AnswerReader(Reader):
    """Reads backends' answers, each of which is `[value, usage report, load report]` or an error line."""

    def next(self) -> Answer | None:
        """Read the next answer; None if it is incomplete."""
        if self.buffer.startswith(b"-"):
            return self.read_error()
        header = self.read_length(0, b"*", ANSWER_ELEMENT_COUNT)
        if header is None:
            return None
        if header[0] != ANSWER_ELEMENT_COUNT:
            raise ProtocolError("an answer has three parts")
        value = self.read_bulk_string(header[1], MAX_VALUE_BYTES)
        if value is None:
            return None
        if value[0] is None:
            raise ProtocolError("an answer without a value")
        usage_report = self.read_bulk_string(value[1], MAX_REPORT_BYTES)
        report = usage_report and self.read_bulk_string(usage_report[1], MAX_REPORT_BYTES)
        if report is None:
            return None
        self.discard(report[1])
        return Answer(value[0], report=report[0])

    def read_error(self) -> Answer | None:
        """Read an error line, whose last word may be a load report; None if it is incomplete."""
        end = self.buffer.find(LINE_END, 0, MAX_LINE_BYTES)
        if end < 0:
            if len(self.buffer) >= MAX_LINE_BYTES:
                raise ProtocolError("a line without an end")
            return None
        line = bytes(self.buffer[1:end])
        self.discard(end + 2)
        return Answer(None, line, line.rpartition(b" ")[2])
