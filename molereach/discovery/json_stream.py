"""Splits a stream of bytes into JSON objects, however they are laid out and in whatever pieces they come.

Discovery writes one object a line, on several lines where it indents them, with an empty line as its
heartbeat. So the split follows the braces and not the lines: an object ends where its outermost brace is
closed outside of a string. Each byte is scanned once, by patterns that never backtrack: a large list in small
pieces is no burden.

One list of an object may be long, and is never buffered in full: that of the entries. Where an object that
has not ended takes more than EXTRACT_ABOVE_BYTES, the entries that are complete are extracted and handed on
as an `EntryList`; the object itself then comes at its end with those that are left. What stands before and
behind the list, in whatever order, is in the object.

What cannot become an object is an error as soon as that is certain, so that a watch that went wrong is opened
anew and not waited for: a line's end within a string, anything but an object, too many bytes or levels. An
object may still be no JSON, and so may an entry list; whoever parses it says so.
"""

import json
import re
from collections.abc import Iterator
from dataclasses import dataclass

from molereach.discovery.errors import JsonStreamError

MAX_OBJECT_BYTES = 1 << 20  # of one object without its extracted entries; also of one entry
EXTRACT_ABOVE_BYTES = 1 << 16  # an object of no more than this is not taken apart
MAX_STREAMED_BYTES = 1 << 26  # of one object with all its entries
MAX_DEPTH = 64  # levels of an object; the parser's own recursion is bounded only by a crash
FIRST_CHECK_BYTES = 1  # an unfinished object is parsed at its first line's end, then at each doubling
MAX_KEY_BYTES = 64  # a key, with what stands between it and its list: one further away is not found
ENTRY_LIST_PATH = ("instances",)  # the keys that lead to the list of entries

BLANK = re.compile(rb"[ \t\r]*+")
FLAT_PATTERN = rb'(?:[^"{}\[\]]++|"(?:[^"\\\n]++|\\[^\n])*+")*+'  # to a brace or to half a string
# Further, over complete objects and lists with nothing nested in them: the entries of a list are such, and a
# step in Python for each would be most of the cost. What is not complete is scanned once more, not oftener.
PLAIN = re.compile(rb"(?:%b(?:\{%b\}|\[%b\])?+)++" % (FLAT_PATTERN, FLAT_PATTERN, FLAT_PATTERN))
TEXT = re.compile(rb'(?:[^"\\\n]++|\\[^\n])*+')  # within a string
COMMA = re.compile(rb"[ \t\r\n]*+,")
QUOTE = ord('"')
BACKSLASH = ord("\\")
LINE_END = ord("\n")
OPENING = b"{["


@dataclass(frozen=True, slots=True)
class EntryList:
    """Complete entries of an object that has not ended, as a JSON list."""

    text: bytes


class JsonStream:
    """Takes bytes and gives objects, and entries of long ones before their end."""

    def __init__(
        self, max_object_bytes: int = MAX_OBJECT_BYTES, path: tuple[str, ...] = ENTRY_LIST_PATH
    ) -> None:
        """`path`: the keys that lead to the list whose entries may be extracted."""
        self.max_object_bytes = max_object_bytes
        self.path_patterns = [re.compile(rb'[{,\s]"%b"\s*:\s*\Z' % key.encode()) for key in path]
        self.buffer = bytearray()
        self.position = 0  # up to there it has been scanned
        self.in_string = False
        self.reset_object()

    def reset_object(self) -> None:
        """Begin between two objects."""
        self.depth = 0
        self.matched_keys = 0  # how many of the path's keys lead to the position
        self.next_check_bytes = FIRST_CHECK_BYTES
        self.list_start = 0  # the list's first entry
        self.entries_end = 0  # the end of its last entry that is complete
        self.extracted_bytes = 0  # of the object's entries

    @property
    def unfinished(self) -> bool:
        """Whether an object has begun and not ended."""
        return self.depth > 0

    @property
    def between_entries(self) -> bool:
        """Whether the position is in the list of entries, and not within an entry."""
        return self.matched_keys == len(self.path_patterns) == self.depth - 1

    def feed(self, data: bytes | bytearray | memoryview) -> Iterator[bytes | EntryList]:
        """The objects that these bytes complete; b"" for each line's end outside of them; then the entries
        that can be extracted from an object that is long and has not ended.

        A JsonStreamError comes after the objects before it, which count.
        """
        self.buffer += data
        while self.position < len(self.buffer):
            if self.depth:
                if not self.scan_within_object():
                    break
                if not self.depth:
                    complete_object = bytes(self.buffer[: self.position])
                    self.discard_scanned()
                    yield complete_object
            elif self.scan_between_objects():
                yield b""
        if entry_list := self.extract_entries():
            yield entry_list
        if len(self.buffer) > self.max_object_bytes:
            raise JsonStreamError("an object without an end")
        if self.extracted_bytes + len(self.buffer) > MAX_STREAMED_BYTES:
            raise JsonStreamError(f"an object of over {MAX_STREAMED_BYTES >> 20} MiB")
        self.check_syntax()

    def discard_scanned(self) -> None:
        """Drop what was scanned: an object's end, or what stands between objects."""
        del self.buffer[: self.position]
        self.position = 0
        self.reset_object()

    def scan_between_objects(self) -> bool:
        """Scan between objects; whether a line ends there."""
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
        """Scan within an object to where its state changes; False where more bytes are needed for that."""
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
        """Find complete entries in what was scanned in one step.

        A brace that no string follows ends one, as a brace within a string is followed by that string's end.
        """
        end = self.buffer.rfind(b"}", start, self.position) + 1
        if end and self.buffer.find(QUOTE, end, self.position) < 0:
            self.entries_end = end

    def enter_container(self) -> None:
        """A brace or bracket has been opened; JsonStreamError where there are too many levels."""
        if self.matched_keys == self.depth - 1 < len(self.path_patterns) and self.follows_next_key():
            self.matched_keys += 1
            if self.matched_keys == len(self.path_patterns):
                self.begin_entry_list()
        self.depth += 1
        if self.depth > MAX_DEPTH:
            raise JsonStreamError("an object of too many levels")

    def follows_next_key(self) -> bool:
        """Whether what has been opened is the value of the path's next key, and of the right type."""
        opening_at = self.position - 1
        is_last_key = self.matched_keys + 1 == len(self.path_patterns)
        if self.buffer[opening_at] != OPENING[is_last_key]:  # the last key's value is a list
            return False
        before = self.buffer[max(0, opening_at - MAX_KEY_BYTES) : opening_at]
        return self.path_patterns[self.matched_keys].search(before) is not None

    def leave_container(self) -> None:
        """A brace or bracket has been closed."""
        if self.between_entries and self.extracted_bytes:
            self.end_entry_list()
        self.depth -= 1
        self.matched_keys = min(self.matched_keys, max(0, self.depth - 1))
        if self.between_entries:
            self.entries_end = self.position

    def begin_entry_list(self) -> None:
        """The path leads here; JsonStreamError where it did so before and entries were extracted."""
        if self.extracted_bytes:
            raise JsonStreamError("two lists of entries in one object")
        self.list_start = self.position
        self.entries_end = self.position

    def end_entry_list(self) -> None:
        """Make a list again of the entries that are left behind those that were extracted."""
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
        """How many bytes the comma takes behind entries that were extracted."""
        found = COMMA.match(left)
        if not found:
            raise JsonStreamError(f"no JSON: an entry and no comma: {bytes(left[:80])!r}")
        return found.end()

    def extract_entries(self) -> EntryList | None:
        """The entries that are complete, once the object is long; the first time they are the most."""
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
        """Parse an unfinished object at a line's end: an error before its own end will not go away.

        Only now and then, as all of it is read for that; and not where entries were extracted, as whoever
        parses these finds what is wrong, and what is left of the object need be no JSON yet.
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
