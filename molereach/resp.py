"""RESP2 as the protocol uses it, read within bounds: commands of clients and answers of backends.

What is sent is not trusted: a length is checked before anything is waited or made room for, so that what
cannot be read fails at its head, however much is said to follow.
"""

import select
from asyncio import BaseTransport
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

MOST_VALUE = 64 * 1024  # bytes: the largest value of the protocol
MOST_WORDS = 16  # in a command; ours have five at most
MOST_COMMAND = MOST_VALUE + 4096  # a value and the words before it
MOST_REPORT = 4096  # bytes of a load report or of the figures on use
MOST_LINE = 512  # an error line with a load report in it
MOST_HEAD = 12  # a mark and the digits of a length


class ProtocolError(Exception):
    """What came is not of the form that the protocol gives; the connection cannot go on."""


def encode(words: list[bytes]) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join([b"$%d\r\n%b\r\n" % (len(word), word) for word in words])


def has_unread(transport: BaseTransport) -> bool:
    """Whether the kernel holds bytes of the peer, or its end, that the loop has not come to yet."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))


def have_ended(transports: Iterable[BaseTransport]) -> Iterator[bool]:
    """Of each, whether its peer's end or a reset has come, also behind bytes that nobody has read."""
    poll, numbers = select.poll(), [each.get_extra_info("socket").fileno() for each in transports]
    for number in numbers:
        poll.register(number, select.POLLRDHUP)
    ended = {number for number, told in poll.poll(0) if told & select.POLLRDHUP}
    return (number in ended for number in numbers)


class Reader:
    """A stream of bytes, cut into parts of known forms."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes | memoryview) -> None:
        self.buffer += data

    def drop(self, end: int) -> None:
        del self.buffer[:end]

    def length(self, at: int, mark: bytes, most: int) -> tuple[int, int] | None:
        """The number in a line such as `*3`, and where the next one begins; None if it is not whole.

        The only number below 0 is the -1 of a null.
        """
        buffer = self.buffer
        if len(buffer) <= at:
            return None
        if buffer[at : at + 1] != mark:
            raise ProtocolError(f"expected '{mark.decode()}'")
        end = buffer.find(b"\r\n", at, at + MOST_HEAD + 2)
        digits = bytes(buffer[at + 1 : end if end >= 0 else at + MOST_HEAD + 2])
        if end < 0:
            digits = digits.removesuffix(b"\r")
            if len(digits) >= MOST_HEAD or (digits not in (b"", b"-", b"-1") and not digits.isdigit()):
                raise ProtocolError("invalid length")
            return None
        if digits == b"-1":
            return -1, end + 2
        if not digits.isdigit():
            raise ProtocolError("invalid length")
        if int(digits) > most:
            raise ProtocolError("too long")
        return int(digits), end + 2

    def bulk(self, at: int, most: int) -> tuple[bytes | None, int] | None:
        """A bulk string or a null, and where the next part begins; None if it is not whole."""
        head = self.length(at, b"$", most)
        if head is None or head[0] < 0:
            return head and (None, head[1])
        size, at = head
        end = at + size
        rest = self.buffer[end : end + 2]
        if not b"\r\n".startswith(rest):
            raise ProtocolError("a bulk string is longer than it says")
        return (bytes(self.buffer[at:end]), end + 2) if len(rest) == 2 else None


class CommandReader(Reader):
    """Cuts what a client sends into commands: arrays of bulk strings."""

    def next(self) -> list[bytes] | None:
        """The next command; None if it is not whole."""
        head = self.length(0, b"*", MOST_WORDS)
        if head is None:
            return None
        count, at = head
        if count < 1:
            raise ProtocolError("an empty command")  # nothing would ever be answered to a flood of them
        words = []
        for _ in range(count):
            word = self.bulk(at, max(0, MOST_COMMAND - at))
            if word is None:
                return None
            if word[0] is None:
                raise ProtocolError("a null in a command")
            words.append(word[0])
            at = word[1]
        self.drop(at)
        return words


@dataclass(frozen=True, slots=True)
class Answer:
    """A backend's answer: the value, or the error line without its mark; and the load report, if any."""

    value: bytes | None
    error: bytes | None = None
    report: bytes | None = None


class AnswerReader(Reader):
    """Cuts what a backend sends into answers: `[value, figures on use, load report]` or an error line."""

    def next(self) -> Answer | None:
        """The next answer; None if it is not whole."""
        if self.buffer.startswith(b"-"):
            return self.error()
        head = self.length(0, b"*", 3)
        if head is None:
            return None
        if head[0] != 3:
            raise ProtocolError("an answer has three parts")
        value = self.bulk(head[1], MOST_VALUE)
        if value is None:
            return None
        if value[0] is None:
            raise ProtocolError("an answer without a value")
        figures = self.bulk(value[1], MOST_REPORT)
        report = figures and self.bulk(figures[1], MOST_REPORT)
        if report is None:
            return None
        self.drop(report[1])
        return Answer(value[0], report=report[0])

    def error(self) -> Answer | None:
        end = self.buffer.find(b"\r\n", 0, MOST_LINE)
        if end < 0:
            if len(self.buffer) >= MOST_LINE:
                raise ProtocolError("a line without an end")
            return None
        line = bytes(self.buffer[1:end])
        self.drop(end + 2)
        return Answer(None, line, line.rpartition(b" ")[2])
