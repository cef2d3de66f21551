"""JSON objects split from a stream that arrives in arbitrary pieces. Cases: docs/design/endings.md,
"Discovery"."""

import itertools
import json
import re
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from molereach.discovery import json_stream
from molereach.discovery.errors import JsonStreamError
from molereach.discovery.json_stream import MAX_DEPTH, JsonStream

TEXTS = st.text(alphabet='ab{}[]"\\\n\x07é😀,: ', max_size=8)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | TEXTS,
    lambda children: st.lists(children, max_size=3) | st.dictionaries(TEXTS, children, max_size=3),
    max_leaves=8,
)
OBJECTS = st.lists(st.tuples(st.dictionaries(TEXTS, VALUES, max_size=3), st.sampled_from([None, 0, 2])))


def feed_pieces(stream: JsonStream, data: bytes, boundaries: list[int]) -> list[bytes]:
    """Feed the data in pieces with these boundaries; return the objects."""
    bounds = [0, *sorted(boundary % (len(data) + 1) for boundary in boundaries), len(data)]
    return [
        found
        for start, boundary in itertools.pairwise(bounds)
        for found in stream.feed(data[start:boundary])
        if found
    ]


@settings(derandomize=True, deadline=None, max_examples=100)
@given(OBJECTS, st.lists(st.integers(0, 10_000)), st.sampled_from([b"\n", b"\r\n", b"\n\n \t\n", b""]))
def test_same_objects_for_any_layout_in_any_pieces(
    objects: list[tuple[dict[str, Any], int | None]], boundaries: list[int], separator: bytes
) -> None:
    encoded = [json.dumps(value, indent=indent, ensure_ascii=False).encode() for value, indent in objects]
    stream = JsonStream()
    assert feed_pieces(stream, b"".join(document + separator for document in encoded), boundaries) == encoded
    assert not stream.unfinished
    assert not stream.buffer.strip()


def test_empty_lines_are_reported_and_partial_objects_are_not() -> None:
    stream = JsonStream()
    assert list(stream.feed(b"\n\r\n")) == [b"", b""]
    assert list(stream.feed(b'{"a":\n"}')) == [] and stream.unfinished
    assert list(stream.feed(b'\\"\\')) == []
    assert list(stream.feed(b'\\"}\n')) == [b'{"a":\n"}\\"\\\\"}', b""]


@pytest.mark.parametrize(
    "invalid",
    [
        b"not json",
        b"[1]",
        b'{"a',
        b"{not json",
        b'{"a":1,}',
        b'{"a":' * (MAX_DEPTH + 1),
        b"[" * 9,
        b'{"a":{"b":[1}]},\n"c" 1',
    ],
)
def test_text_that_cannot_be_an_object_is_an_error_at_the_end_of_its_line(invalid: bytes) -> None:
    stream = JsonStream()
    with pytest.raises(ValueError):
        for found in stream.feed(invalid + b"\n"):
            json.loads(found)


def test_endless_object_uses_bounded_memory() -> None:
    stream = JsonStream(max_object_bytes=100)
    with pytest.raises(JsonStreamError):
        for _ in range(20):
            list(stream.feed(b'{"a":"b",  '))
    assert len(stream.buffer) <= 111


def test_large_list_in_small_pieces_is_scanned_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Counts the bytes that the patterns match and that the check parses, not time."""
    scanned_bytes = 0

    class CountingPattern:
        def __init__(self, pattern: re.Pattern[bytes]) -> None:
            self.pattern = pattern

        def match(self, data: bytearray, start: int) -> re.Match[bytes] | None:
            nonlocal scanned_bytes
            found = self.pattern.match(data, start)
            scanned_bytes += found.end() - start if found else 0
            return found

    for name in ("OUTSIDE_STRING", "INSIDE_STRING"):
        monkeypatch.setattr(json_stream, name, CountingPattern(getattr(json_stream, name)))
    parsed_lengths = []
    loads = json.loads
    monkeypatch.setattr(
        json_stream.json, "loads", lambda text: parsed_lengths.append(len(text)) or loads(text)
    )
    document = json.dumps({"instances": [{"name": f"s{n}", "host": "x" * 40} for n in range(500)]}, indent=1)
    data = document.encode() + b"\n"
    assert feed_pieces(JsonStream(), data, list(range(0, len(data), 7))) == [data[:-1]]
    assert scanned_bytes <= len(data)
    assert sum(parsed_lengths) <= 2 * len(data)
