"""A set of facts, of parts that come one after the other: whole, or not taken.

A set is as old as its oldest part, by the time of the entries and what each part says of its age.
"""

from typing import Annotated

from msgspec import Meta

from molereach.coordination.interface.identifiers import MAX_MEMBERS, NodeInstance, Position, WireStruct
from molereach.upkeep.permits.bodies import MOST_PARTS, Seen, encode
from molereach.upkeep.rules.fleet_facts import MOST_ORDERED, MOST_SEATS, MOST_SERVERS, Facts, unsound


class Part(WireStruct, frozen=True):
    """What has come of a set that is not whole."""

    number: Position
    by: NodeInstance
    next: Annotated[int, Meta(ge=0, le=MOST_PARTS)]
    parts: Annotated[int, Meta(ge=1, le=MOST_PARTS)]
    facts: Facts


def gather(part: Part | None, seen: Seen, by: NodeInstance, at_ms: int) -> Part:
    """With the next part; ValueError, in one line, where it is not the next or they cannot be."""
    measured_ms = at_ms - seen.age_ms
    if measured_ms < 0:
        raise ValueError("age_ms: older than time")
    if seen.part == 0:
        before = Facts(at_ms=measured_ms)
    elif part and (seen.number, by, seen.part, seen.parts) == (part.number, part.by, part.next, part.parts):
        before = part.facts
    else:
        raise ValueError("part: not the next")
    facts = Facts(
        min(before.at_ms, measured_ms),
        (*before.servers, *seen.servers),
        (*before.doors, *seen.doors),
        (*before.panel, *seen.panel),
        max(before.spares, seen.spares),
        (*before.ordered, *seen.ordered),
    )
    for field, found, most in (
        ("servers", facts.servers, MOST_SERVERS),
        ("doors", facts.doors, MAX_MEMBERS),
        ("panel", facts.panel, MOST_SEATS),
        ("ordered", facts.ordered, MOST_ORDERED),
    ):
        if len(found) > most:
            raise ValueError(f"{field}: more than {most}")
    if said := unsound(facts):
        raise ValueError(said)
    return Part(seen.number, by, seen.part + 1, seen.parts, facts)


def cut(facts: Facts, number: int, age_ms: int, most_bytes: int) -> tuple[Seen, ...]:
    """In as few equal parts as fit in bodies of `most_bytes`; ValueError where none do."""
    for parts in range(1, MOST_PARTS + 1):
        servers, doors = -(-len(facts.servers) // parts), -(-len(facts.doors) // parts)
        orders = -(-len(facts.ordered) // parts)
        found = tuple(
            Seen(
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
        if all(len(encode(each)) <= most_bytes for each in found):
            return found
    raise ValueError(f"facts: more than {MOST_PARTS} parts")
