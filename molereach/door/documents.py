"""Cuts a stream of bytes into JSON objects, however they are laid out and in whatever pieces they come.
A core.

Discovery writes one object a line, on several lines where it indents them, with an empty line as its sign of
life. So the cut follows the braces and not the lines: an object ends where its outermost brace is closed
outside of a string. Each byte is looked at once, by patterns that never go back: a large list in small pieces
is no burden.

What cannot become an object is an error as soon as that is certain, so that a watch that went wrong is opened
anew and not waited for: a line's end within a string, anything but an object, too many bytes or levels. An
object may still be no JSON; whoever parses it says so.
"""

import json
import re
from collections.abc import Iterator

MOST_BYTES = 1 << 20  # of one object
MOST_DEPTH = 64  # levels of an object; the parser's own recursion is bounded only by a crash
FIRST_CHECK_BYTES = 1  # an unfinished object is tried at its first line's end, then at each doubling

BLANK = re.compile(rb"[ \t\r]*+")
FLAT = rb'(?:[^"{}\[\]]++|"(?:[^"\\\n]++|\\[^\n])*+")*+'  # to a brace or to half a string
# Further, over whole objects and lists with nothing within them: the entries of a list are such, and a step
# of ours for each would be most of the cost. What is not whole is looked at once more, and no more than that.
PLAIN = re.compile(rb"(?:%b(?:\{%b\}|\[%b\])?+)++" % (FLAT, FLAT, FLAT))
TEXT = re.compile(rb'(?:[^"\\\n]++|\\[^\n])*+')  # within a string
QUOTE, BACKSLASH, LINE_END, OPENING = b'"'[0], b"\\"[0], b"\n"[0], b"{["


class DocumentError(ValueError):
    """What came can be no part of a stream of JSON objects."""


class Documents:
    """Bytes in, whole objects out."""

    def __init__(self, most_bytes: int = MOST_BYTES) -> None:
        self.most_bytes = most_bytes
        self.buffer = bytearray()
        self.at = 0  # up to there it has been looked at
        self.depth = 0
        self.in_string = False
        self.check_at = FIRST_CHECK_BYTES

    @property
    def unfinished(self) -> bool:
        """Whether an object has begun and not ended."""
        return self.depth > 0

    def feed(self, data: bytes | bytearray) -> Iterator[bytes]:
        """The objects that these bytes complete; b"" for each line's end outside of them.

        An error comes after the objects before it, which count.
        """
        self.buffer += data
        while self.at < len(self.buffer):
            if self.depth:
                if not self.inside():
                    break
                if not self.depth:
                    whole = bytes(self.buffer[: self.at])
                    self.cut()
                    yield whole
            elif self.outside():
                yield b""
        if len(self.buffer) > self.most_bytes:
            raise DocumentError("an object without an end")
        self.check()

    def cut(self) -> None:
        del self.buffer[: self.at]
        self.at, self.check_at = 0, FIRST_CHECK_BYTES

    def outside(self) -> bool:
        """Go on between objects; whether a line ends there."""
        if blank := BLANK.match(self.buffer, self.at):
            self.at = blank.end()
        self.cut()
        if not self.buffer:
            return False
        self.at = 1
        if self.buffer[0] == LINE_END:
            self.cut()
            return True
        if self.buffer[0] != OPENING[0]:
            raise DocumentError(f"no object: {bytes(self.buffer[:80])!r}")
        self.depth = 1
        return False

    def inside(self) -> bool:
        """Go on within an object to where its state changes; False where more bytes are needed for that."""
        part = (TEXT if self.in_string else PLAIN).match(self.buffer, self.at)
        self.at = part.end() if part else self.at
        if self.at >= len(self.buffer):
            return False
        mark = self.buffer[self.at]
        if self.in_string and mark == BACKSLASH and self.at + 1 == len(self.buffer):
            return False  # what it escapes is still to come
        self.at += 1
        if mark == QUOTE:
            self.in_string = not self.in_string
        elif self.in_string:
            raise DocumentError("a line ends within a string")
        elif mark in OPENING:
            self.depth += 1
            if self.depth > MOST_DEPTH:
                raise DocumentError("an object of too many levels")
        else:
            self.depth -= 1
        return True

    def check(self) -> None:
        """Try an unfinished object at a line's end: an error before its own end will not go away.

        Only now and then, as all of it is read for that.
        """
        size = len(self.buffer)
        if not self.depth or self.in_string or size < self.check_at or self.buffer[-1] != LINE_END:
            return
        self.check_at = 2 * size
        text = self.buffer.decode().rstrip()
        try:
            json.loads(text)
        except json.JSONDecodeError as error:
            if error.pos < len(text) - 1:
                raise DocumentError(f"no JSON: {error}") from error
