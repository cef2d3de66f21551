"""Objects cut from a stream, in whatever pieces it comes. The rows: docs/design/endings.md, "Discovery"."""

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
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(TEXTS, inner, max_size=3),
    max_leaves=8,
)
OBJECTS = st.lists(st.tuples(st.dictionaries(TEXTS, VALUES, max_size=3), st.sampled_from([None, 0, 2])))


def feed(cut: JsonStream, data: bytes, ends: list[int]) -> list[bytes]:
    """The objects of data that comes in pieces with these ends."""
    bounds = [0, *sorted(end % (len(data) + 1) for end in ends), len(data)]
    return [one for at, end in itertools.pairwise(bounds) for one in cut.feed(data[at:end]) if one]


@settings(derandomize=True, deadline=None, max_examples=100)
@given(OBJECTS, st.lists(st.integers(0, 10_000)), st.sampled_from([b"\n", b"\r\n", b"\n\n \t\n", b""]))
def test_any_pieces_of_any_layout_give_the_same_objects(
    objects: list[tuple[dict[str, Any], int | None]], ends: list[int], between: bytes
) -> None:
    said = [json.dumps(value, indent=indent, ensure_ascii=False).encode() for value, indent in objects]
    cut = JsonStream()
    assert feed(cut, b"".join(one + between for one in said), ends) == said
    assert not cut.unfinished
    assert not cut.buffer.strip()


def test_each_empty_line_is_told_of_and_half_an_object_is_not() -> None:
    cut = JsonStream()
    assert list(cut.feed(b"\n\r\n")) == [b"", b""]
    assert list(cut.feed(b'{"a":\n"}')) == [] and cut.unfinished
    assert list(cut.feed(b'\\"\\')) == []
    assert list(cut.feed(b'\\"}\n')) == [b'{"a":\n"}\\"\\\\"}', b""]


@pytest.mark.parametrize(
    "bad",
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
def test_what_can_never_be_an_object_is_an_error_at_its_lines_end(bad: bytes) -> None:
    cut = JsonStream()
    with pytest.raises(ValueError):
        for found in cut.feed(bad + b"\n"):
            json.loads(found)


def test_object_without_an_end_costs_bounded_memory() -> None:
    cut = JsonStream(max_object_bytes=100)
    with pytest.raises(JsonStreamError):
        for _ in range(20):
            list(cut.feed(b'{"a":"b",  '))
    assert len(cut.buffer) <= 111


def test_large_list_in_small_pieces_is_looked_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Counted in bytes that the patterns are given to go over and that the check parses, not in time."""
    seen = 0

    class Counting:
        def __init__(self, pattern: re.Pattern[bytes]) -> None:
            self.pattern = pattern

        def match(self, data: bytearray, at: int) -> re.Match[bytes] | None:
            nonlocal seen
            found = self.pattern.match(data, at)
            seen += found.end() - at if found else 0
            return found

    for name in ("OUTSIDE_STRING", "INSIDE_STRING"):
        monkeypatch.setattr(json_stream, name, Counting(getattr(json_stream, name)))
    checked = []
    loads = json.loads
    monkeypatch.setattr(json_stream.json, "loads", lambda text: checked.append(len(text)) or loads(text))
    listed = json.dumps({"instances": [{"name": f"s{n}", "host": "x" * 40} for n in range(500)]}, indent=1)
    data = listed.encode() + b"\n"
    assert feed(JsonStream(), data, list(range(0, len(data), 7))) == [data[:-1]]
    assert seen <= len(data)
    assert sum(checked) <= 2 * len(data)
