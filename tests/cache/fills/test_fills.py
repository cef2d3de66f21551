"""Answers on their way: kept unless a purge of their scope came between."""

from molereach.cache.fills.fills import Fate, Fills
from molereach.cache.readings.marks import ALL_CLASSES, Marks
from molereach.cache.readings.settings import MOST_ASKED_BYTES, ReadingSettings, S
from molereach.cache.readings.store import Store

SETTINGS = ReadingSettings({"load": 2 * S, "meter": S}, 1 << 20, 1 << 16)
A, B = "00000000000000aa", "00000000000000bb"


def made() -> Fills:
    return Fills(Store(SETTINGS), Marks(SETTINGS))


def test_an_answer_counts_from_when_its_request_was_sent() -> None:
    fills = made()
    ticket = fills.begin(5, A, "load", b"x", 2)
    assert ticket and fills.end(S, ticket, b"v") is Fate.KEPT
    kept = fills.store.get(S, A, "load", b"x")
    assert kept and (kept.sent_us, kept.value) == (5, b"v")
    assert fills.fates[Fate.KEPT] == 1


def test_an_answer_on_its_way_while_the_purge_passes_is_thrown_away() -> None:
    for scope in (ALL_CLASSES, "load"):
        fills = made()
        ticket = fills.begin(5, A, "load", b"x", 2)
        other, elsewhere = fills.begin(5, B, "load", b"x", 2), fills.begin(5, A, "meter", b"x", 2)
        fills.marks.set(5, A, scope, 3)
        assert ticket and fills.end(5, ticket, b"v") is Fate.PURGED  # in the same microsecond too
        assert len(fills.store) == 0
        assert other and fills.end(6, other, b"v") is Fate.KEPT
        kept = Fate.PURGED if scope == ALL_CLASSES else Fate.KEPT
        assert elsewhere and fills.end(6, elsewhere, b"v") is kept
        after = fills.begin(5, A, "load", b"x", 3)
        assert after and fills.end(6, after, b"v") is Fate.KEPT


def test_after_a_long_stop_the_age_forbids_what_the_mark_is_no_longer_kept_for() -> None:
    fills = made()
    ticket = fills.begin(5, A, "load", b"x", 2)
    fills.marks.set(6, A, ALL_CLASSES, 3)
    fills.marks.forget(2 * S + 7)
    assert fills.marks.newest(A, "load") == 0
    assert ticket and fills.end(2 * S + 7, ticket, b"v") is Fate.NOT_KEPT


def test_no_ticket_for_what_is_never_kept() -> None:
    fills = made()
    assert fills.begin(0, A, "write", b"x", 2) is None
    assert fills.begin(0, A, "load", b"x" * (MOST_ASKED_BYTES + 1), 2) is None
