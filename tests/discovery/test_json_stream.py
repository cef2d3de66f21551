"""Long lists cut from a stream in parts: nothing of them is lost, and nothing without an end is held."""

import itertools
import json
import re
from collections.abc import Iterator
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from molereach.discovery import json_stream
from molereach.discovery.errors import JsonStreamError
from molereach.discovery.json_stream import EntryList, JsonStream

TEXTS = st.text(alphabet='ab{}[]"\\\n\x07é, :', max_size=6)
SCALARS = st.none() | st.booleans() | st.integers() | TEXTS
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(TEXTS, inner, max_size=3),
    max_leaves=6,
)
ENTRIES = st.lists(st.dictionaries(TEXTS, VALUES, max_size=3) | VALUES, max_size=8)
ROOM = 40  # bytes that an object may have here before it is cut


@pytest.fixture(autouse=True, scope="module")
def short() -> Iterator[None]:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(json_stream, "EXTRACT_ABOVE_BYTES", ROOM)
        yield


def fed(cut: JsonStream, data: bytes, ends: list[int]) -> list[bytes | EntryList]:
    """What comes of data in pieces with these ends, but for empty lines."""
    bounds = [0, *sorted(end % (len(data) + 1) for end in ends), len(data)]
    return [one for at, end in itertools.pairwise(bounds) for one in cut.feed(data[at:end]) if one]


def joined(found: list[bytes | EntryList], *path: str) -> tuple[dict[str, Any], int]:
    """An object with its parts, as if it had come whole, and the number of parts."""
    *parts, last = found
    assert isinstance(last, bytes)
    whole = json.loads(last)
    inner = whole
    for key in path:
        inner = inner[key]
    if parts:
        inner["instances"] = [one for part in parts for one in json.loads(part.text)] + inner["instances"]
    return whole, len(parts)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(
    st.dictionaries(TEXTS, VALUES, max_size=2),
    ENTRIES,
    st.dictionaries(TEXTS, VALUES, max_size=2),
    st.lists(st.integers(0, 10_000), max_size=40),
    st.sampled_from([None, 0, 2]),
    st.booleans(),
    st.booleans(),
)
def test_parts_and_the_rest_are_the_whole_however_it_is_laid_out_and_cut(
    head: dict[str, Any],
    entries: list[Any],
    tail: dict[str, Any],
    ends: list[int],
    indent: int | None,
    deep: bool,
    by_byte: bool,
) -> None:
    said: dict[str, Any] = {"h" + key: value for key, value in head.items()}
    said |= {"instances": entries} | {"t" + key: value for key, value in tail.items()}
    path = ("known",) if deep else ()
    said = {"a": head, "known": said, "instances": [{}, {}], "z": tail} if deep else said
    text = json.dumps(said, indent=indent, ensure_ascii=False).encode()
    cut = JsonStream(path=(*path, "instances"))
    found = fed(cut, text, list(range(len(text))) if by_byte else ends)
    assert joined(found, *path)[0] == said
    assert not cut.unfinished and not cut.buffer


def listed(count: int, **more: object) -> bytes:
    entries = [{"name": f"s{number}"} for number in range(count)]
    return json.dumps({"generation": 1, "instances": entries, **more}).encode()


@pytest.mark.parametrize("ends_at", [b"}, ", b"},", b"}", b'{"na'])
def test_list_is_cut_at_every_feed_that_brings_whole_entries(ends_at: bytes) -> None:
    """Wherever all feeds end: behind a comma, before it, or within an entry."""
    text = listed(200)
    ends = [at.end() for at in re.finditer(re.escape(ends_at), text)][10:]
    cut, held, parts = JsonStream(), 0, 0
    for at, end in itertools.pairwise([0, *ends]):
        parts += len(list(cut.feed(text[at:end])))
        held = max(held, len(cut.buffer))
    assert parts >= len(ends) - 1 and held <= 250


@pytest.mark.parametrize(
    "odd",
    [
        b'"a}b"',
        b'["}"]',
        b'{"a":["}",{}]}',
        b"7",
        b'"},{"',
        b"[{}]",
        b'"\\\\}\\""',
    ],
)
def test_brace_within_a_string_ends_no_entry(odd: bytes) -> None:
    text = b'{"instances":[' + (b'{"a":"b"},' + odd + b",") * 20 + b"{}]}"
    for size in range(1, 60):
        assert joined(fed(JsonStream(), text, list(range(0, len(text), size))))[0] == json.loads(text)


@pytest.mark.parametrize(
    "order",
    [
        b'{"instances":[%b],"reset":true,"generation":7}',
        b'{"reset":true,"instances":[%b],"generation":7}',
        b'{"reset":true,"generation":7,\n "instances" :\n [ %b ] \n}',
    ],
)
def test_what_else_the_object_says_may_stand_on_either_side(order: bytes) -> None:
    entries = b",\n".join(b'{"name":"s%d"}' % number for number in range(50))
    whole, parts = joined(fed(JsonStream(), order % entries, list(range(0, 2000, 30))))
    assert parts > 5 and (whole["reset"], whole["generation"], len(whole["instances"])) == (True, 7, 50)


@pytest.mark.parametrize(
    "text",
    [
        b'{"other":[%b]}',
        b'{"a":{"instances":[%b]}}',
        b'{"instances":{"a":[%b]}}',
        b'{"x\\"instances":[%b]}',
        b'{"a":[{"instances":[%b]}]}',
    ],
)
def test_no_other_list_is_cut(text: bytes) -> None:
    text %= b",".join([b'{"a":"b"}'] * 30)
    assert fed(JsonStream(), text, list(range(0, len(text), 9))) == [text]


ENTRY = b'{"a":"b"},'
BEGUN = b'{"instances":[' + ENTRY * 9


@pytest.mark.parametrize(
    "bad",
    [
        BEGUN + b"]}",
        BEGUN + b'{"a":1} {"a":2}]}',
        BEGUN + b',{"a":1}]}',
        BEGUN + b"7}}",
        BEGUN + b"{]]}",
        BEGUN + b'{"a":1}] 7}',
        b'{"instances":[7 ' + ENTRY * 9 + b"{}]}",
        BEGUN + b'{"a":1}],"instances":[]}',
        BEGUN + b'{"a":1}],"instances":[{},' + ENTRY * 9 + b"{}]}",
    ],
)
@pytest.mark.parametrize("step", [1, 7])
def test_what_would_be_no_json_as_a_whole_is_none_in_parts(bad: bytes, step: int) -> None:
    with pytest.raises(ValueError):
        joined(fed(JsonStream(), bad, list(range(0, len(bad), step))))


@pytest.mark.parametrize(
    "text",
    [
        BEGUN + b'{"a":[' + b"7," * 200,
        BEGUN + b'{"a":"' + b"x" * 400,
        BEGUN + b'{}],"other":[' + ENTRY * 40,
        b'{"instances":[' + b"7," * 200,
        b'{"other":"' + b"x" * 400,
    ],
)
def test_what_cannot_be_cut_is_bounded_as_before(text: bytes) -> None:
    cut = JsonStream(max_object_bytes=150)
    with pytest.raises(JsonStreamError, match="without an end"):
        fed(cut, text, list(range(0, len(text), 10)))
    assert len(cut.buffer) <= 160


def test_whole_object_with_its_parts_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(json_stream, "MAX_STREAMED_BYTES", 1000)
    cut, count = JsonStream(), 0
    with pytest.raises(JsonStreamError, match="an object of over"):
        for piece in itertools.chain([b'{"instances":['], itertools.repeat(ENTRY, 200)):
            list(cut.feed(piece))
            count += 1
    assert count == 99  # with it they would be 1,004 bytes


def test_next_object_begins_anew_after_one_that_was_cut() -> None:
    text = listed(30) + b"\n" + listed(2) + b"\n" + listed(40)
    found = fed(JsonStream(), text, list(range(0, len(text), 11)))
    wholes = [number for number, one in enumerate(found) if isinstance(one, bytes)]
    assert len(wholes) == 2 + 1
    assert [
        len(joined(found[at : end + 1])[0]["instances"])
        for at, end in zip([0, *[at + 1 for at in wholes]], wholes, strict=False)
    ] == [30, 2, 40]


def test_long_list_is_looked_at_once_and_not_parsed_as_it_grows(monkeypatch: pytest.MonkeyPatch) -> None:
    """Counted in bytes that the patterns go over and that the check parses: indented, so lines end within."""
    data = json.dumps(json.loads(listed(2000)), indent=1).encode()
    seen, checked, loads = 0, [], json.loads

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
    monkeypatch.setattr(json_stream.json, "loads", lambda text: checked.append(len(text)) or loads(text))
    found = fed(JsonStream(), data, [at.end() for at in re.finditer(rb"\n", data)])
    assert seen <= len(data) and sum(checked) < 4 * ROOM
    assert len(found) > 1900
