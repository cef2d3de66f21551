"""Extraction of entries from long objects in a stream: none is lost, and the buffer is bounded."""

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
EXTRACT_ABOVE_BYTES = 40  # instead of the default, so that short objects are split


@pytest.fixture(autouse=True, scope="module")
def extract_from_short_objects() -> Iterator[None]:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(json_stream, "EXTRACT_ABOVE_BYTES", EXTRACT_ABOVE_BYTES)
        yield


def feed_chunks(stream: JsonStream, data: bytes, ends: list[int]) -> list[bytes | EntryList]:
    """Feed data in chunks with these ends; returns the results without empty lines."""
    bounds = [0, *sorted(end % (len(data) + 1) for end in ends), len(data)]
    return [
        result
        for start, end in itertools.pairwise(bounds)
        for result in stream.feed(data[start:end])
        if result
    ]


def reassemble(results: list[bytes | EntryList], *path: str) -> tuple[dict[str, Any], int]:
    """The object with its extracted entries put back, and the number of entry lists."""
    *entry_lists, rest = results
    assert isinstance(rest, bytes)
    complete = json.loads(rest)
    inner = complete
    for key in path:
        inner = inner[key]
    if entry_lists:
        inner["instances"] = [
            entry for entry_list in entry_lists for entry in json.loads(entry_list.text)
        ] + inner["instances"]
    return complete, len(entry_lists)


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
def test_entry_lists_and_rest_reassemble_to_the_object_for_any_layout_and_chunks(
    head: dict[str, Any],
    entries: list[Any],
    tail: dict[str, Any],
    ends: list[int],
    indent: int | None,
    nested: bool,
    bytewise: bool,
) -> None:
    value: dict[str, Any] = {"h" + key: value for key, value in head.items()}
    value |= {"instances": entries} | {"t" + key: value for key, value in tail.items()}
    path = ("known",) if nested else ()
    value = {"a": head, "known": value, "instances": [{}, {}], "z": tail} if nested else value
    text = json.dumps(value, indent=indent, ensure_ascii=False).encode()
    stream = JsonStream(path=(*path, "instances"))
    results = feed_chunks(stream, text, list(range(len(text))) if bytewise else ends)
    assert reassemble(results, *path)[0] == value
    assert not stream.unfinished and not stream.buffer


def object_with_entries(count: int, **more: object) -> bytes:
    entries = [{"name": f"s{number}"} for number in range(count)]
    return json.dumps({"generation": 1, "instances": entries, **more}).encode()


@pytest.mark.parametrize("chunk_end", [b"}, ", b"},", b"}", b'{"na'])
def test_entries_are_extracted_at_each_feed_that_completes_some(chunk_end: bytes) -> None:
    """Wherever the chunks end: after a comma, before it, or within an entry."""
    text = object_with_entries(200)
    ends = [match.end() for match in re.finditer(re.escape(chunk_end), text)][10:]
    stream, max_buffered, entry_list_count = JsonStream(), 0, 0
    for start, end in itertools.pairwise([0, *ends]):
        entry_list_count += len(list(stream.feed(text[start:end])))
        max_buffered = max(max_buffered, len(stream.buffer))
    assert entry_list_count >= len(ends) - 1 and max_buffered <= 250


@pytest.mark.parametrize(
    "unusual_entry",
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
def test_brace_within_a_string_does_not_end_an_entry(unusual_entry: bytes) -> None:
    text = b'{"instances":[' + (b'{"a":"b"},' + unusual_entry + b",") * 20 + b"{}]}"
    for size in range(1, 60):
        assert reassemble(feed_chunks(JsonStream(), text, list(range(0, len(text), size))))[0] == json.loads(
            text
        )


@pytest.mark.parametrize(
    "template",
    [
        b'{"instances":[%b],"reset":true,"generation":7}',
        b'{"reset":true,"instances":[%b],"generation":7}',
        b'{"reset":true,"generation":7,\n "instances" :\n [ %b ] \n}',
    ],
)
def test_other_keys_may_precede_or_follow_the_entries(template: bytes) -> None:
    entries = b",\n".join(b'{"name":"s%d"}' % number for number in range(50))
    value, entry_list_count = reassemble(
        feed_chunks(JsonStream(), template % entries, list(range(0, 2000, 30)))
    )
    assert entry_list_count > 5 and (value["reset"], value["generation"], len(value["instances"])) == (
        True,
        7,
        50,
    )


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
def test_nothing_is_extracted_from_other_lists(text: bytes) -> None:
    text %= b",".join([b'{"a":"b"}'] * 30)
    assert feed_chunks(JsonStream(), text, list(range(0, len(text), 9))) == [text]


ENTRY = b'{"a":"b"},'
INCOMPLETE_LIST = b'{"instances":[' + ENTRY * 9


@pytest.mark.parametrize(
    "invalid",
    [
        INCOMPLETE_LIST + b"]}",
        INCOMPLETE_LIST + b'{"a":1} {"a":2}]}',
        INCOMPLETE_LIST + b',{"a":1}]}',
        INCOMPLETE_LIST + b"7}}",
        INCOMPLETE_LIST + b"{]]}",
        INCOMPLETE_LIST + b'{"a":1}] 7}',
        b'{"instances":[7 ' + ENTRY * 9 + b"{}]}",
        INCOMPLETE_LIST + b'{"a":1}],"instances":[]}',
        INCOMPLETE_LIST + b'{"a":1}],"instances":[{},' + ENTRY * 9 + b"{}]}",
    ],
)
@pytest.mark.parametrize("step", [1, 7])
def test_invalid_json_is_an_error_also_when_entries_are_extracted(invalid: bytes, step: int) -> None:
    with pytest.raises(ValueError):
        reassemble(feed_chunks(JsonStream(), invalid, list(range(0, len(invalid), step))))


@pytest.mark.parametrize(
    "text",
    [
        INCOMPLETE_LIST + b'{"a":[' + b"7," * 200,
        INCOMPLETE_LIST + b'{"a":"' + b"x" * 400,
        INCOMPLETE_LIST + b'{}],"other":[' + ENTRY * 40,
        b'{"instances":[' + b"7," * 200,
        b'{"other":"' + b"x" * 400,
    ],
)
def test_object_without_complete_entries_is_limited_in_size(text: bytes) -> None:
    stream = JsonStream(max_object_bytes=150)
    with pytest.raises(JsonStreamError, match="without an end"):
        feed_chunks(stream, text, list(range(0, len(text), 10)))
    assert len(stream.buffer) <= 160


def test_object_with_its_extracted_entries_is_limited_in_size(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(json_stream, "MAX_STREAMED_BYTES", 1000)
    stream, count = JsonStream(), 0
    with pytest.raises(JsonStreamError, match="an object of over"):
        for piece in itertools.chain([b'{"instances":['], itertools.repeat(ENTRY, 200)):
            list(stream.feed(piece))
            count += 1
    assert count == 99  # one more entry would make 1,004 bytes


def test_object_after_one_with_extracted_entries_starts_anew() -> None:
    text = object_with_entries(30) + b"\n" + object_with_entries(2) + b"\n" + object_with_entries(40)
    results = feed_chunks(JsonStream(), text, list(range(0, len(text), 11)))
    object_ends = [number for number, result in enumerate(results) if isinstance(result, bytes)]
    assert len(object_ends) == 2 + 1
    assert [
        len(reassemble(results[start : end + 1])[0]["instances"])
        for start, end in zip([0, *[end + 1 for end in object_ends]], object_ends, strict=False)
    ] == [30, 2, 40]


def test_long_list_is_scanned_once_and_not_parsed_as_it_grows(monkeypatch: pytest.MonkeyPatch) -> None:
    """Counts the bytes scanned by the patterns and parsed by the syntax check, for a list of many lines."""
    data = json.dumps(json.loads(object_with_entries(2000)), indent=1).encode()
    scanned, parsed, loads = 0, [], json.loads

    class CountingPattern:
        def __init__(self, pattern: re.Pattern[bytes]) -> None:
            self.pattern = pattern

        def match(self, data: bytearray, start: int) -> re.Match[bytes] | None:
            nonlocal scanned
            match = self.pattern.match(data, start)
            scanned += match.end() - start if match else 0
            return match

    for name in ("OUTSIDE_STRING", "INSIDE_STRING"):
        monkeypatch.setattr(json_stream, name, CountingPattern(getattr(json_stream, name)))
    monkeypatch.setattr(json_stream.json, "loads", lambda text: parsed.append(len(text)) or loads(text))
    results = feed_chunks(JsonStream(), data, [match.end() for match in re.finditer(rb"\n", data)])
    assert scanned <= len(data) and sum(parsed) < 4 * EXTRACT_ABOVE_BYTES
    assert len(results) > 1900
