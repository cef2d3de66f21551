"""The book as bytes, the same wherever the same entries were applied; and back, checked."""

from typing import Annotated

import msgspec
from msgspec import Meta

from molereach.coordination.interface.identifiers import Name, Position, WireStruct
from molereach.upkeep.permits.fact_parts import Part
from molereach.upkeep.permits.lifecycle import FINAL
from molereach.upkeep.permits.record import Record
from molereach.upkeep.permits.registry import MOST_PAST, MOST_UNSTOOD, Book
from molereach.upkeep.permits.time_marks import Marks
from molereach.upkeep.requests.validation import MOST_OPEN
from molereach.upkeep.rules.fleet_facts import MOST_SERVERS, Facts, Fleet, unsound


class _State(WireStruct, frozen=True):
    records: Annotated[tuple[Record, ...], Meta(max_length=MOST_OPEN)]  # as they were asked for
    past: Annotated[tuple[Record, ...], Meta(max_length=MOST_PAST)]
    permits: Position
    facts: Facts
    part: Part | None
    standing: Annotated[tuple[Name, ...], Meta(max_length=MOST_SERVERS)]
    unstood: Annotated[dict[Name, Position], Meta(max_length=MOST_UNSTOOD)]
    marks: Marks


_DECODER = msgspec.json.Decoder(_State)


def snapshot(book: Book) -> bytes:
    records = tuple(sorted(book.records.values(), key=lambda each: each.asked))
    unstood = {name: book.unstood[name] for name in sorted(book.unstood)}
    return msgspec.json.encode(
        _State(
            records,
            tuple(book.past.values()),
            book.permits,
            book.fleet.facts,
            book.part,
            tuple(sorted(book.standing)),
            unstood,
            book.marks,
        )
    )


def restore(book: Book, data: bytes) -> None:
    """ValueError, and nothing changed, where it makes no sense."""
    try:
        state = _DECODER.decode(data)
    except msgspec.DecodeError as error:
        raise ValueError(f"not a snapshot of works: {error}") from None
    ids = [each.work.id for each in (*state.records, *state.past)]
    numbers = [each.permit for each in (*state.records, *state.past) if each.permit]
    sound = (
        len(set(ids)) == len(ids)
        and len(set(numbers)) == len(numbers)
        and max(numbers, default=0) <= state.permits
        and not unsound(state.facts)
        and all(each.state not in FINAL for each in state.records)
        and all(each.state in FINAL for each in state.past)
    )
    if not sound:
        raise ValueError("not a snapshot of works: not as any log leaves it")
    book.clear()
    for each in (*state.past, *state.records):
        book.put(each)
    book.permits, book.fleet, book.part = state.permits, Fleet(state.facts), state.part
    book.standing, book.unstood, book.marks = frozenset(state.standing), dict(state.unstood), state.marks
