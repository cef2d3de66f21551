"""Splits a byte stream into JSON objects, independent of their layout and of how the bytes are chunked.

Discovery writes one object per line, or an indented object over several lines, and an empty line as its
heartbeat. The stream is therefore split by braces, not by lines: an object ends where its outermost brace is
closed outside a string. Each byte is scanned once, by regular expressions that never backtrack, so the cost
of a large list that arrives in small pieces is linear.

The list of entries may be long and is never buffered as a whole. Once an incomplete object takes more than
EXTRACT_ABOVE_BYTES, its complete entries are extracted and returned as an `EntryList`; the object itself
follows at its end, with the remaining entries. All its other keys, before or after the list, are in the
object.

Bytes that cannot become an object raise an error as soon as this is certain, so that a broken watch is
reopened at once: a line end within a string, anything other than an object, too many bytes or nesting levels.
Objects and entry lists may still be invalid JSON; their parser reports that.
"""

import json
import re
from collections.abc import Iterator
from dataclasses import dataclass

from molereach.discovery.errors import JsonStreamError

MAX_OBJECT_BYTES = 1 << 20  # of one object without its extracted entries; also of one entry
EXTRACT_ABOVE_BYTES = 1 << 16  # entries are extracted only from objects longer than this
MAX_STREAMED_BYTES = 1 << 26  # of one object with all its entries
MAX_DEPTH = 64  # nesting levels of an object; the JSON parser's recursion limit would be a crash
FIRST_CHECK_BYTES = 1  # an incomplete object is parsed at its first line end, then each time it has doubled
MAX_KEY_BYTES = 64  # a key and the space up to its value; a key further before the value is not found
ENTRY_LIST_PATH = ("instances",)  # the keys that lead to the list of entries

BLANKS = re.compile(rb"[ \t\r]*+")
# Text without containers and with complete strings only: ends at a brace, a bracket or an incomplete string.
UNNESTED_PATTERN = rb'(?:[^"{}\[\]]++|"(?:[^"\\\n]++|\\[^\n])*+")*+'
# Also skips complete objects and lists that contain no others, as most entries are: a step in Python for each
# of them would be most of the cost. A container that is incomplete is scanned a second time, but not more.
OUTSIDE_STRING = re.compile(
    rb"(?:%b(?:\{%b\}|\[%b\])?+)++" % (UNNESTED_PATTERN, UNNESTED_PATTERN, UNNESTED_PATTERN)
)
INSIDE_STRING = re.compile(rb'(?:[^"\\\n]++|\\[^\n])*+')
COMMA = re.compile(rb"[ \t\r\n]*+,")
QUOTE = ord('"')
BACKSLASH = ord("\\")
LINE_END = ord("\n")
OPENING = b"{["


@dataclass(frozen=True, slots=True)
class EntryList:
    """Complete entries of an incomplete object, as the text of a JSON list."""

    text: bytes


class JsonStream:
    """Incremental splitter: is fed bytes and yields objects, and entries of long objects before their end."""

    def __init__(
        self, max_object_bytes: int = MAX_OBJECT_BYTES, path: tuple[str, ...] = ENTRY_LIST_PATH
    ) -> None:
        """`path`: the keys that lead to the list of entries, which may be extracted."""
        self.max_object_bytes = max_object_bytes
        self.path_patterns = [re.compile(rb'[{,\s]"%b"\s*:\s*\Z' % key.encode()) for key in path]
        self.buffer = bytearray()
        self.position = 0  # in the buffer; everything before it has been scanned
        self.in_string = False
        self.reset_object()

    def reset_object(self) -> None:
        """Reset the state to that between two objects."""
        self.depth = 0
        self.matched_keys = 0  # number of the path's keys that lead to the current container
        self.next_check_bytes = FIRST_CHECK_BYTES
        self.list_start = 0  # position of the first entry in the buffer
        self.entries_end = 0  # position after the last complete entry
        self.extracted_bytes = 0  # of entries of the current object

    @property
    def unfinished(self) -> bool:
        """Whether an object has begun and is incomplete."""
        return self.depth > 0

    @property
    def between_entries(self) -> bool:
        """Whether the position is in the list of entries but not within an entry."""
        return self.matched_keys == len(self.path_patterns) == self.depth - 1

    def feed(self, data: bytes | bytearray | memoryview) -> Iterator[bytes | EntryList]:
        """Yield the objects completed by these bytes, b"" for each line end between objects, and last the
        entries extracted from a long incomplete object.

        Objects yielded before a JsonStreamError is raised are valid.
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
        """Drop the scanned bytes, at the end of an object or between objects."""
        del self.buffer[: self.position]
        self.position = 0
        self.reset_object()

    def scan_between_objects(self) -> bool:
        """Scan the bytes between objects; returns whether a line end was found."""
        if blanks := BLANKS.match(self.buffer, self.position):
            self.position = blanks.end()
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
        """Scan within an object to its next change of state; returns False if that needs more bytes."""
        start = self.position
        match = (INSIDE_STRING if self.in_string else OUTSIDE_STRING).match(self.buffer, start)
        self.position = match.end() if match else start
        if self.between_entries and not self.in_string:
            self.find_entries_end(start)
        if self.position >= len(self.buffer):
            return False
        mark = self.buffer[self.position]
        if self.in_string and mark == BACKSLASH and self.position + 1 == len(self.buffer):
            return False  # the escaped byte has not arrived yet
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
        """Find the end of the last complete entry among the bytes scanned in one step.

        A closing brace ends an entry unless a quote follows it: a brace within a string is always followed by
        the string's closing quote.
        """
        end = self.buffer.rfind(b"}", start, self.position) + 1
        if end and self.buffer.find(QUOTE, end, self.position) < 0:
            self.entries_end = end

    def enter_container(self) -> None:
        """Handle an opening brace or bracket; raises JsonStreamError if there are too many levels."""
        if self.matched_keys == self.depth - 1 < len(self.path_patterns) and self.follows_next_key():
            self.matched_keys += 1
            if self.matched_keys == len(self.path_patterns):
                self.begin_entry_list()
        self.depth += 1
        if self.depth > MAX_DEPTH:
            raise JsonStreamError("an object of too many levels")

    def follows_next_key(self) -> bool:
        """Whether the opened container is the value of the path's next key and has the expected type."""
        opening_at = self.position - 1
        is_last_key = self.matched_keys + 1 == len(self.path_patterns)
        if self.buffer[opening_at] != OPENING[is_last_key]:  # the last key's value is a list, others objects
            return False
        before = self.buffer[max(0, opening_at - MAX_KEY_BYTES) : opening_at]
        return self.path_patterns[self.matched_keys].search(before) is not None

    def leave_container(self) -> None:
        """Handle a closing brace or bracket."""
        if self.between_entries and self.extracted_bytes:
            self.end_entry_list()
        self.depth -= 1
        self.matched_keys = min(self.matched_keys, max(0, self.depth - 1))
        if self.between_entries:
            self.entries_end = self.position

    def begin_entry_list(self) -> None:
        """Start the list of entries; raises JsonStreamError if entries of another one were extracted."""
        if self.extracted_bytes:
            raise JsonStreamError("two lists of entries in one object")
        self.list_start = self.position
        self.entries_end = self.position

    def end_entry_list(self) -> None:
        """Remove the comma between the extracted entries and the remaining ones, so that these are a list."""
        remaining = self.buffer[self.list_start : self.position - 1]
        if not remaining.strip():
            return
        comma_bytes = self.comma_length(remaining)
        if not remaining[comma_bytes:].strip():
            raise JsonStreamError("no JSON: a list that ends with a comma")
        del self.buffer[self.list_start : self.list_start + comma_bytes]
        self.position -= comma_bytes

    @staticmethod
    def comma_length(remaining: bytes | bytearray) -> int:
        """Length of the comma, with blanks before it, between extracted entries and the remaining ones."""
        match = COMMA.match(remaining)
        if not match:
            raise JsonStreamError(f"no JSON: an entry and no comma: {bytes(remaining[:80])!r}")
        return match.end()

    def extract_entries(self) -> EntryList | None:
        """Remove the complete entries of a long incomplete object from the buffer and return them."""
        if self.matched_keys != len(self.path_patterns) or self.entries_end <= self.list_start:
            return None
        if len(self.buffer) <= EXTRACT_ABOVE_BYTES and not self.extracted_bytes:
            return None
        extracted = bytes(self.buffer[self.list_start : self.entries_end])
        comma_bytes = self.comma_length(extracted) if self.extracted_bytes else 0
        del self.buffer[self.list_start : self.entries_end]
        self.position -= len(extracted)
        self.extracted_bytes += len(extracted)
        self.entries_end = self.list_start
        return EntryList(b"[%b]" % extracted[comma_bytes:])

    def check_syntax(self) -> None:
        """Parse an incomplete object at a line end; raises JsonStreamError for an error before its last byte.

        Parsing reads the whole object, so it is done only when the object has doubled since the last check.
        It is not done once entries were extracted: their parser reports errors, and the rest of the object
        need not be valid JSON until it is complete.
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
