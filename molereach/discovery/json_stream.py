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

MAX_OBJECT_BYTES = 1 << 20  # of one object, but for the parts that were cut out of it; also of one entry
EXTRACT_ABOVE_BYTES = 1 << 16  # an object of no more than this comes in one
MAX_STREAMED_BYTES = 1 << 26  # of one object with all its parts
MAX_DEPTH = 64  # levels of an object; the parser's own recursion is bounded only by a crash
FIRST_CHECK_BYTES = 1  # an unfinished object is tried at its first line's end, then at each doubling
MAX_KEY_BYTES = 64  # a key, with what stands between it and its list: one further away is not seen
ENTRY_LIST_PATH = ("instances",)  # where the list lies that may be cut

BLANK = re.compile(rb"[ \t\r]*+")
FLAT_PATTERN = rb'(?:[^"{}\[\]]++|"(?:[^"\\\n]++|\\[^\n])*+")*+'  # to a brace or to half a string
# Further, over whole objects and lists with nothing within them: the entries of a list are such, and a step
# of ours for each would be most of the cost. What is not whole is looked at once more, and no more than that.
PLAIN = re.compile(rb"(?:%b(?:\{%b\}|\[%b\])?+)++" % (FLAT_PATTERN, FLAT_PATTERN, FLAT_PATTERN))
TEXT = re.compile(rb'(?:[^"\\\n]++|\\[^\n])*+')  # within a string
COMMA = re.compile(rb"[ \t\r\n]*+,")
QUOTE, BACKSLASH, LINE_END, OPENING = b'"'[0], b"\\"[0], b"\n"[0], b"{["


class JsonStreamError(ValueError):
    """What came can be no part of a stream of JSON objects."""


@dataclass(frozen=True, slots=True)
class EntryList:
    """Whole entries of an object that has not ended: a JSON list."""

    text: bytes


class JsonStream:
    """Bytes in, whole objects out, and parts of long ones. `path`: the keys to the list that may be cut."""

    def __init__(self, most_bytes: int = MAX_OBJECT_BYTES, path: tuple[str, ...] = ENTRY_LIST_PATH) -> None:
        self.max_object_bytes = most_bytes
        self.path_patterns = [re.compile(rb'[{,\s]"%b"\s*:\s*\Z' % key.encode()) for key in path]
        self.buffer = bytearray()
        self.position = 0  # up to there it has been looked at
        self.in_string = False
        self.reset_object()

    def reset_object(self) -> None:
        """Between objects."""
        self.depth = self.matched_keys = 0  # `under`: how many of the path's keys lead to where we are
        self.next_check_bytes = FIRST_CHECK_BYTES
        self.list_start = self.entries_end = (
            0  # the list's first entry, and the end of its last one that is whole
        )
        self.extracted_bytes = 0  # of the object's parts

    @property
    def unfinished(self) -> bool:
        """Whether an object has begun and not ended."""
        return self.depth > 0

    @property
    def between_entries(self) -> bool:
        """Whether it stands in the list that may be cut, and not within an entry."""
        return self.matched_keys == len(self.path_patterns) == self.depth - 1

    def feed(self, data: bytes | bytearray | memoryview) -> Iterator[bytes | EntryList]:
        """The objects that these bytes complete; b"" for each line's end outside of them; then the part that
        can be cut out of an object that is long and has not ended.

        An error comes after the objects before it, which count.
        """
        self.buffer += data
        while self.position < len(self.buffer):
            if self.depth:
                if not self.scan_within_object():
                    break
                if not self.depth:
                    whole = bytes(self.buffer[: self.position])
                    self.discard_scanned()
                    yield whole
            elif self.scan_between_objects():
                yield b""
        if part := self.extract_entries():
            yield part
        if len(self.buffer) > self.max_object_bytes:
            raise JsonStreamError("an object without an end")
        if self.extracted_bytes + len(self.buffer) > MAX_STREAMED_BYTES:
            raise JsonStreamError(f"an object of over {MAX_STREAMED_BYTES >> 20} MiB")
        self.check_syntax()

    def discard_scanned(self) -> None:
        del self.buffer[: self.position]
        self.position = 0
        self.reset_object()

    def scan_between_objects(self) -> bool:
        """Go on between objects; whether a line ends there."""
        if blank := BLANK.match(self.buffer, self.position):
            self.position = blank.end()
        self.discard_scanned()
        if not self.buffer:
            return False
        self.position = 1
        if self.buffer[0] == LINE_END:
            self.discard_scanned()
            return True
        if self.buffer[0] != OPENING[0]:
            raise JsonStreamError(f"no object: {bytes(self.buffer[:80])!r}")
        self.depth = 1
        return False

    def scan_within_object(self) -> bool:
        """Go on within an object to where its state changes; False where more bytes are needed for that."""
        start = self.position
        found = (TEXT if self.in_string else PLAIN).match(self.buffer, start)
        self.position = found.end() if found else start
        if self.between_entries and not self.in_string:
            self.find_entries_end(start)
        if self.position >= len(self.buffer):
            return False
        mark = self.buffer[self.position]
        if self.in_string and mark == BACKSLASH and self.position + 1 == len(self.buffer):
            return False  # what it escapes is still to come
        self.position += 1
        if mark == QUOTE:
            self.in_string = not self.in_string
        elif self.in_string:
            raise JsonStreamError("a line ends within a string")
        elif mark in OPENING:
            self.enter_container()
        else:
            self.leave_container()
        return True

    def find_entries_end(self, start: int) -> None:
        """What was gone over in one step may hold whole entries: a brace that no string follows ends one, as
        one within a string is followed by that string's end."""
        end = self.buffer.rfind(b"}", start, self.position) + 1
        if end and self.buffer.find(QUOTE, end, self.position) < 0:
            self.entries_end = end

    def enter_container(self) -> None:
        """A brace or bracket has been opened."""
        if self.matched_keys == self.depth - 1 < len(self.path_patterns):
            before = self.buffer[max(0, self.position - 1 - MAX_KEY_BYTES) : self.position - 1]
            wanted = OPENING[
                self.matched_keys + 1 == len(self.path_patterns)
            ]  # the last key's value is a list
            if self.buffer[self.position - 1] == wanted and self.path_patterns[self.matched_keys].search(
                before
            ):
                self.matched_keys += 1
                if self.matched_keys == len(self.path_patterns):
                    self.begin_entry_list()
        self.depth += 1
        if self.depth > MAX_DEPTH:
            raise JsonStreamError("an object of too many levels")

    def leave_container(self) -> None:
        """One has been closed."""
        if self.between_entries and self.extracted_bytes:
            self.end_entry_list()
        self.depth -= 1
        self.matched_keys = min(self.matched_keys, max(0, self.depth - 1))
        if self.between_entries:
            self.entries_end = self.position

    def begin_entry_list(self) -> None:
        if self.extracted_bytes:
            raise JsonStreamError("two lists of entries in one object")
        self.list_start = self.entries_end = self.position

    def end_entry_list(self) -> None:
        """Of the list whose beginning was cut out, what is left is made a list again."""
        left = self.buffer[self.list_start : self.position - 1]
        if not left.strip():
            return
        size = self.comma_length(left)
        if not left[size:].strip():
            raise JsonStreamError("no JSON: a list that ends with a comma")
        del self.buffer[self.list_start : self.list_start + size]
        self.position -= size

    @staticmethod
    def comma_length(left: bytes | bytearray) -> int:
        """How many bytes the comma takes behind entries that were cut out."""
        found = COMMA.match(left)
        if not found:
            raise JsonStreamError(f"no JSON: an entry and no comma: {bytes(left[:80])!r}")
        return found.end()

    def extract_entries(self) -> EntryList | None:
        """The entries that are whole, once the object has become long; the first part is the longest."""
        if self.matched_keys != len(self.path_patterns) or self.entries_end <= self.list_start:
            return None
        if len(self.buffer) <= EXTRACT_ABOVE_BYTES and not self.extracted_bytes:
            return None
        found = bytes(self.buffer[self.list_start : self.entries_end])
        size = self.comma_length(found) if self.extracted_bytes else 0
        del self.buffer[self.list_start : self.entries_end]
        self.position -= len(found)
        self.extracted_bytes += len(found)
        self.entries_end = self.list_start
        return EntryList(b"[%b]" % found[size:])

    def check_syntax(self) -> None:
        """Try an unfinished object at a line's end: an error before its own end will not go away.

        Only now and then, as all of it is read for that; and not where parts were cut out of it, as whoever
        parses these finds what is wrong, and what is left of it need be no JSON yet.
        """
        size = len(self.buffer)
        if not self.depth or self.in_string or size < self.next_check_bytes or self.buffer[-1] != LINE_END:
            return
        if self.extracted_bytes:
            return
        self.next_check_bytes = 2 * size
        text = self.buffer.decode().rstrip()
        try:
            json.loads(text)
        except json.JSONDecodeError as error:
            if error.pos < len(text) - 1:
                raise JsonStreamError(f"no JSON: {error}") from error
