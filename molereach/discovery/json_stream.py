"""Cuts a stream of bytes into JSON objects, however they are laid out and in whatever pieces they come.
A core.

Discovery writes one object a line, on several lines where it indents them, with an empty line as its sign of
life. So the cut follows the braces and not the lines: an object ends where its outermost brace is closed
outside of a string. Each byte is looked at once, by patterns that never go back: a large list in small pieces
is no burden.

One list of an object may be long, and is never held whole: that of the entries. Where an object that has not
ended takes more than LONG_BYTES, the entries that have come whole are cut out and told as a `Part`; the
object itself then comes at its end with those that are left. What stands before and behind the list, in
whatever order, is in the object.

What cannot become an object is an error as soon as that is certain, so that a watch that went wrong is opened
anew and not waited for: a line's end within a string, anything but an object, too many bytes or levels. An
object may still be no JSON, and so may a part; whoever parses it says so.
"""

import json
import re
from collections.abc import Iterator
from dataclasses import dataclass

MOST_BYTES = 1 << 20  # of one object, but for the parts that were cut out of it; also of one entry
LONG_BYTES = 1 << 16  # an object of no more than this comes in one
MOST_LIST_BYTES = 1 << 26  # of one object with all its parts
MOST_DEPTH = 64  # levels of an object; the parser's own recursion is bounded only by a crash
FIRST_CHECK_BYTES = 1  # an unfinished object is tried at its first line's end, then at each doubling
KEY_BYTES = 64  # a key, with what stands between it and its list: one further away is not seen
ENTRIES = ("instances",)  # where the list lies that may be cut

BLANK = re.compile(rb"[ \t\r]*+")
FLAT = rb'(?:[^"{}\[\]]++|"(?:[^"\\\n]++|\\[^\n])*+")*+'  # to a brace or to half a string
# Further, over whole objects and lists with nothing within them: the entries of a list are such, and a step
# of ours for each would be most of the cost. What is not whole is looked at once more, and no more than that.
PLAIN = re.compile(rb"(?:%b(?:\{%b\}|\[%b\])?+)++" % (FLAT, FLAT, FLAT))
TEXT = re.compile(rb'(?:[^"\\\n]++|\\[^\n])*+')  # within a string
COMMA = re.compile(rb"[ \t\r\n]*+,")
QUOTE, BACKSLASH, LINE_END, OPENING = b'"'[0], b"\\"[0], b"\n"[0], b"{["


class DocumentError(ValueError):
    """What came can be no part of a stream of JSON objects."""


@dataclass(frozen=True, slots=True)
class Part:
    """Whole entries of an object that has not ended: a JSON list."""

    text: bytes


class Documents:
    """Bytes in, whole objects out, and parts of long ones. `path`: the keys to the list that may be cut."""

    def __init__(self, most_bytes: int = MOST_BYTES, path: tuple[str, ...] = ENTRIES) -> None:
        self.most_bytes = most_bytes
        self.keys = [re.compile(rb'[{,\s]"%b"\s*:\s*\Z' % key.encode()) for key in path]
        self.buffer = bytearray()
        self.at = 0  # up to there it has been looked at
        self.in_string = False
        self.begin()

    def begin(self) -> None:
        """Between objects."""
        self.depth = self.under = 0  # `under`: how many of the path's keys lead to where we are
        self.check_at = FIRST_CHECK_BYTES
        self.list_at = self.whole_to = 0  # the list's first entry, and the end of its last one that is whole
        self.cut_bytes = 0  # of the object's parts

    @property
    def unfinished(self) -> bool:
        """Whether an object has begun and not ended."""
        return self.depth > 0

    @property
    def among_entries(self) -> bool:
        """Whether it stands in the list that may be cut, and not within an entry."""
        return self.under == len(self.keys) == self.depth - 1

    def feed(self, data: bytes | bytearray | memoryview) -> Iterator[bytes | Part]:
        """The objects that these bytes complete; b"" for each line's end outside of them; then the part that
        can be cut out of an object that is long and has not ended.

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
        if part := self.part():
            yield part
        if len(self.buffer) > self.most_bytes:
            raise DocumentError("an object without an end")
        if self.cut_bytes + len(self.buffer) > MOST_LIST_BYTES:
            raise DocumentError(f"an object of over {MOST_LIST_BYTES >> 20} MiB")
        self.check()

    def cut(self) -> None:
        del self.buffer[: self.at]
        self.at = 0
        self.begin()

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
        start = self.at
        found = (TEXT if self.in_string else PLAIN).match(self.buffer, start)
        self.at = found.end() if found else start
        if self.among_entries and not self.in_string:
            self.see_entries(start)
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
            self.go_in()
        else:
            self.go_out()
        return True

    def see_entries(self, start: int) -> None:
        """What was gone over in one step may hold whole entries: a brace that no string follows ends one, as
        one within a string is followed by that string's end."""
        end = self.buffer.rfind(b"}", start, self.at) + 1
        if end and self.buffer.find(QUOTE, end, self.at) < 0:
            self.whole_to = end

    def go_in(self) -> None:
        """A brace or bracket has been opened."""
        if self.under == self.depth - 1 < len(self.keys):
            before = self.buffer[max(0, self.at - 1 - KEY_BYTES) : self.at - 1]
            wanted = OPENING[self.under + 1 == len(self.keys)]  # the last key's value is a list
            if self.buffer[self.at - 1] == wanted and self.keys[self.under].search(before):
                self.under += 1
                if self.under == len(self.keys):
                    self.list_begins()
        self.depth += 1
        if self.depth > MOST_DEPTH:
            raise DocumentError("an object of too many levels")

    def go_out(self) -> None:
        """One has been closed."""
        if self.among_entries and self.cut_bytes:
            self.list_ends()
        self.depth -= 1
        self.under = min(self.under, max(0, self.depth - 1))
        if self.among_entries:
            self.whole_to = self.at

    def list_begins(self) -> None:
        if self.cut_bytes:
            raise DocumentError("two lists of entries in one object")
        self.list_at = self.whole_to = self.at

    def list_ends(self) -> None:
        """Of the list whose beginning was cut out, what is left is made a list again."""
        left = self.buffer[self.list_at : self.at - 1]
        if not left.strip():
            return
        size = self.comma(left)
        if not left[size:].strip():
            raise DocumentError("no JSON: a list that ends with a comma")
        del self.buffer[self.list_at : self.list_at + size]
        self.at -= size

    @staticmethod
    def comma(left: bytes | bytearray) -> int:
        """How many bytes the comma takes behind entries that were cut out."""
        found = COMMA.match(left)
        if not found:
            raise DocumentError(f"no JSON: an entry and no comma: {bytes(left[:80])!r}")
        return found.end()

    def part(self) -> Part | None:
        """The entries that are whole, once the object has become long; the first part is the longest."""
        if self.under != len(self.keys) or self.whole_to <= self.list_at:
            return None
        if len(self.buffer) <= LONG_BYTES and not self.cut_bytes:
            return None
        found = bytes(self.buffer[self.list_at : self.whole_to])
        size = self.comma(found) if self.cut_bytes else 0
        del self.buffer[self.list_at : self.whole_to]
        self.at -= len(found)
        self.cut_bytes += len(found)
        self.whole_to = self.list_at
        return Part(b"[%b]" % found[size:])

    def check(self) -> None:
        """Try an unfinished object at a line's end: an error before its own end will not go away.

        Only now and then, as all of it is read for that; and not where parts were cut out of it, as whoever
        parses these finds what is wrong, and what is left of it need be no JSON yet.
        """
        size = len(self.buffer)
        if not self.depth or self.in_string or size < self.check_at or self.buffer[-1] != LINE_END:
            return
        if self.cut_bytes:
            return
        self.check_at = 2 * size
        text = self.buffer.decode().rstrip()
        try:
            json.loads(text)
        except json.JSONDecodeError as error:
            if error.pos < len(text) - 1:
                raise DocumentError(f"no JSON: {error}") from error
