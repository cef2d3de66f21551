"""Assembles a set of facts from parts that come in order. A set is used only if it is complete.

A set is as old as its oldest part, by the time of the entries and the age that each part states.
"""

from typing import Annotated

from msgspec import Meta

from molereach.coordination.interface.identifiers import MAX_MEMBERS, NodeInstance, Position, WireStruct
from molereach.upkeep.permits.bodies import MAX_PARTS, ReportFacts, encode
from molereach.upkeep.rules.fleet_facts import (
    MAX_ORDERED_MACHINES,
    MAX_SERVERS,
    MAX_VOTERS,
    FleetFacts,
    find_inconsistency,
)


class PartialFacts(WireStruct, frozen=True):
    """The parts of an incomplete set that have come so far."""

    number: Position  # of the set
    by: NodeInstance  # the proposer
    next: Annotated[int, Meta(ge=0, le=MAX_PARTS)]  # the next part
    parts: Annotated[int, Meta(ge=1, le=MAX_PARTS)]
    facts: FleetFacts


def add_part(
    partial: PartialFacts | None, reported: ReportFacts, proposer: NodeInstance, at_ms: int
) -> PartialFacts:
    """Adds the next part. Raises ValueError, in one line, if it is not the next or the facts are invalid."""
    measured_ms = at_ms - reported.age_ms
    if measured_ms < 0:
        raise ValueError("age_ms: older than time")
    if reported.part == 0:
        before = FleetFacts(at_ms=measured_ms)
    elif partial and (reported.number, proposer, reported.part, reported.parts) == (
        partial.number,
        partial.by,
        partial.next,
        partial.parts,
    ):
        before = partial.facts
    else:
        raise ValueError("part: not the next")
    facts = FleetFacts(
        min(before.at_ms, measured_ms),
        (*before.servers, *reported.servers),
        (*before.doors, *reported.doors),
        (*before.panel, *reported.panel),
        max(before.spares, reported.spares),
        (*before.ordered, *reported.ordered),
    )
    for field, values, limit in (
        ("servers", facts.servers, MAX_SERVERS),
        ("doors", facts.doors, MAX_MEMBERS),
        ("panel", facts.panel, MAX_VOTERS),
        ("ordered", facts.ordered, MAX_ORDERED_MACHINES),
    ):
        if len(values) > limit:
            raise ValueError(f"{field}: more than {limit}")
    if inconsistency := find_inconsistency(facts):
        raise ValueError(inconsistency)
    return PartialFacts(reported.number, proposer, reported.part + 1, reported.parts, facts)


def split_facts(facts: FleetFacts, number: int, age_ms: int, max_bytes: int) -> tuple[ReportFacts, ...]:
    """Splits facts into as few equal parts as fit in bodies of `max_bytes`. Raises ValueError if they don't
    fit."""
    for parts in range(1, MAX_PARTS + 1):
        servers, doors = -(-len(facts.servers) // parts), -(-len(facts.doors) // parts)
        orders = -(-len(facts.ordered) // parts)
        reports = tuple(
            ReportFacts(
                number,
                part,
                parts,
                age_ms,
                facts.servers[part * servers : (part + 1) * servers],
                facts.doors[part * doors : (part + 1) * doors],
                facts.panel if part == 0 else (),
                facts.spares,
                facts.ordered[part * orders : (part + 1) * orders],
            )
            for part in range(parts)
        )
        if all(len(encode(each)) <= max_bytes for each in reports):
            return reports
    raise ValueError(f"facts: more than {MAX_PARTS} parts")
