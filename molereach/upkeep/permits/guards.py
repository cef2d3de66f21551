"""What a step asks for beside its place in the table: one line for what is missing, empty where it may be.

All times are the entries' own.
"""

from collections.abc import Callable

from molereach.upkeep.permits.lifecycle import State, Step
from molereach.upkeep.permits.record import Record
from molereach.upkeep.permits.registry import Book
from molereach.upkeep.rules.fleet_facts import Server

WARMING_TIMES = 6  # of the time planned, after which one that is sent requests is done, however warm
Guard = Callable[[Book, Record, int], str]


def queue(book: Book, record: Record, at_ms: int) -> str:
    if at_ms < record.work.not_before_ms:
        return f"its window begins at {record.work.not_before_ms}"
    return "an earlier work of its machine goes first" if book.earlier(record) else ""


def drain(book: Book, record: Record, at_ms: int) -> str:
    return str(book.stop_begin(record, at_ms) or "")


def out(book: Book, record: Record, at_ms: int) -> str:
    return str(book.stop(record, at_ms) or "")


def lapse(book: Book, record: Record, at_ms: int) -> str:
    return "" if at_ms > record.work.latest_ms else "its window is open"


def overdue(book: Book, record: Record, at_ms: int) -> str:
    settings = book.settings
    due_ms = record.until_ms if record.state is State.OUT else record.since_ms + settings.warming_ms
    return "" if at_ms > due_ms + settings.slack_ms else "it is in time"


def lost(book: Book, record: Record, at_ms: int) -> str:
    return "" if at_ms > record.since_ms + book.settings.lost_ms else "it may yet come"


def warm(book: Book, record: Record, at_ms: int) -> str:
    return _as_warm(book, record, at_ms, book.settings.warm)


def done(book: Book, record: Record, at_ms: int) -> str:
    if at_ms > record.since_ms + WARMING_TIMES * book.settings.warming_ms:
        return ""
    return _as_warm(book, record, at_ms, book.settings.done)


def _as_warm(book: Book, record: Record, at_ms: int, least: int) -> str:
    """By facts that are fresh, and were measured since it came to where it stands."""
    if stop := book.fresh(at_ms):
        return str(stop)
    if book.fleet.facts.at_ms < record.since_ms:
        return "nothing was measured since"
    machine = book.fleet.get(record.now)
    if machine is None or not machine.ready:
        return f"{record.now} is not ready"
    if isinstance(machine, Server) and machine.warmth < least:
        return f"{record.now} is {machine.warmth} warm of {least}"
    return ""


GUARDS: dict[Step, Guard] = {
    Step.QUEUE: queue,
    Step.DRAIN: drain,
    Step.OUT: out,
    Step.LAPSE: lapse,
    Step.OVERDUE: overdue,
    Step.LOST: lost,
    Step.WARM: warm,
    Step.DONE: done,
}
