"""Encodes the registry as a snapshot, with the same bytes wherever the same entries were applied, and
restores it."""

from typing import Annotated

import msgspec
from msgspec import Meta

from molereach.coordination.interface.identifiers import Name, Position, WireStruct
from molereach.upkeep.permits.fact_parts import PartialFacts
from molereach.upkeep.permits.lifecycle import FINAL_STATES
from molereach.upkeep.permits.record import ItemRecord
from molereach.upkeep.permits.registry import MAX_FINISHED_ITEMS, MAX_FORMER_FALLBACK_SERVERS, WorkRegistry
from molereach.upkeep.permits.time_marks import TimeMarks
from molereach.upkeep.requests.validation import MAX_OPEN_ITEMS
from molereach.upkeep.rules.fleet_facts import MAX_SERVERS, Fleet, FleetFacts, find_inconsistency


class _State(WireStruct, frozen=True):
    """The snapshot."""

    records: Annotated[
        tuple[ItemRecord, ...], Meta(max_length=MAX_OPEN_ITEMS)
    ]  # in the order of their requests
    past: Annotated[tuple[ItemRecord, ...], Meta(max_length=MAX_FINISHED_ITEMS)]  # in order of their end
    permits: Position  # number of the last permit
    facts: FleetFacts
    part: PartialFacts | None
    # Fallback servers, and by former one the position at which it ceased to be one.
    standing: Annotated[tuple[Name, ...], Meta(max_length=MAX_SERVERS)]
    unstood: Annotated[dict[Name, Position], Meta(max_length=MAX_FORMER_FALLBACK_SERVERS)]
    marks: TimeMarks


_DECODER = msgspec.json.Decoder(_State)


def encode(registry: WorkRegistry) -> bytes:
    """Encodes the registry."""
    records = tuple(sorted(registry.records.values(), key=lambda each: each.asked))
    former = {
        name: registry.former_fallback_servers[name] for name in sorted(registry.former_fallback_servers)
    }
    return msgspec.json.encode(
        _State(
            records,
            tuple(registry.finished.values()),
            registry.last_permit,
            registry.fleet.facts,
            registry.partial_facts,
            tuple(sorted(registry.fallback_servers)),
            former,
            registry.time_marks,
        )
    )


def restore(registry: WorkRegistry, data: bytes) -> None:
    """Restores the registry. Raises ValueError and changes nothing if the snapshot is invalid."""
    try:
        state = _DECODER.decode(data)
    except msgspec.DecodeError as error:
        raise ValueError(f"not a snapshot of works: {error}") from None
    ids = [each.work.id for each in (*state.records, *state.past)]
    numbers = [each.permit for each in (*state.records, *state.past) if each.permit]
    valid = (
        len(set(ids)) == len(ids)
        and len(set(numbers)) == len(numbers)
        and max(numbers, default=0) <= state.permits
        and not find_inconsistency(state.facts)
        and all(each.state not in FINAL_STATES for each in state.records)
        and all(each.state in FINAL_STATES for each in state.past)
    )
    if not valid:
        raise ValueError("not a snapshot of works: not as any log leaves it")
    registry.clear()
    for each in (*state.past, *state.records):
        registry.put(each)
    registry.last_permit, registry.fleet, registry.partial_facts = (
        state.permits,
        Fleet(state.facts),
        state.part,
    )
    registry.fallback_servers, registry.former_fallback_servers, registry.time_marks = (
        frozenset(state.standing),
        dict(state.unstood),
        state.marks,
    )
