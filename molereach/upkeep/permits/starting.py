"""Which works are to begin by a plan, what stops each, and which servers are to stand before."""

from collections.abc import Iterator

from molereach.upkeep.permits.lifecycle import UNSENDABLE, State
from molereach.upkeep.permits.record import Record
from molereach.upkeep.permits.registry import Book
from molereach.upkeep.rules.scene import Stop
from molereach.upkeep.scheduling.fallback_selection import stands
from molereach.upkeep.scheduling.plan import Plan


def due(book: Book, plan: Plan, at_ms: int) -> Iterator[tuple[Record, Stop | None]]:
    """Those whose time has come by the plan; the rules are asked anew, as it may be of a while ago."""
    scene, press = book.scene(at_ms), book.pressing(at_ms)
    for planned in plan.planned:
        record = book.records.get(planned.work.id)
        if planned.begins_ms <= at_ms and record is not None and record.state is State.QUEUED:
            yield record, book.stop_begin(record, at_ms, press, scene)


def lacking(book: Book) -> tuple[str, ...] | None:
    """Who is to stand where one that stands is not listed any more, or a cell has too few; None for no
    change."""
    if not book.fleet.servers:
        return None
    wanted, there = _wanted(book, ""), book.standing & book.fleet.servers.keys()
    return None if there == book.standing and len(there) >= len(wanted) else wanted


def replaced(book: Book, machine: str) -> tuple[str, ...]:
    """Who is to stand without this one; nobody where there is none to take its place."""
    wanted = _wanted(book, machine)
    return wanted if machine not in wanted else ()


def _wanted(book: Book, besides: str) -> tuple[str, ...]:
    records = book.records.values()
    busy = {each.work.machine for each in records}
    away = {name for each in records if each.state in UNSENDABLE for name in each.names}
    return stands(book.fleet, book.settings.standing, book.standing, busy, away, besides)
