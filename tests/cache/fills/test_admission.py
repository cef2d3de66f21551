"""Answers are stored unless a purge of their scope was applied since their request was sent."""

from molereach.cache.fills.admission import FillAdmission, FillResult
from molereach.cache.readings.marks import ALL_CLASSES, Marks
from molereach.cache.readings.settings import MAX_REQUEST_BYTES, SECOND_US, ReadingSettings
from molereach.cache.readings.store import Store

SETTINGS = ReadingSettings({"load": 2 * SECOND_US, "meter": SECOND_US}, 1 << 20, 1 << 16)
MEMBER, OTHER_MEMBER = "00000000000000aa", "00000000000000bb"


def new_admission() -> FillAdmission:
    return FillAdmission(Store(SETTINGS), Marks(SETTINGS))


def test_the_age_of_an_answer_counts_from_when_its_request_was_sent() -> None:
    admission = new_admission()
    ticket = admission.begin(5, MEMBER, "load", b"x", 2)
    assert ticket and admission.finish(SECOND_US, ticket, b"v") is FillResult.STORED
    stored = admission.store.get(SECOND_US, MEMBER, "load", b"x")
    assert stored and (stored.sent_us, stored.value) == (5, b"v")
    assert admission.result_counts[FillResult.STORED] == 1


def test_an_answer_that_was_on_its_way_during_a_purge_of_its_scope_is_not_stored() -> None:
    for scope in (ALL_CLASSES, "load"):
        admission = new_admission()
        ticket = admission.begin(5, MEMBER, "load", b"x", 2)
        other_member, other_class = (
            admission.begin(5, OTHER_MEMBER, "load", b"x", 2),
            admission.begin(5, MEMBER, "meter", b"x", 2),
        )
        admission.marks.add(5, MEMBER, scope, 3)
        assert (
            ticket and admission.finish(5, ticket, b"v") is FillResult.PURGED
        )  # at the same microsecond too
        assert len(admission.store) == 0
        assert other_member and admission.finish(6, other_member, b"v") is FillResult.STORED
        expected = FillResult.PURGED if scope == ALL_CLASSES else FillResult.STORED
        assert other_class and admission.finish(6, other_class, b"v") is expected
        later = admission.begin(5, MEMBER, "load", b"x", 3)
        assert later and admission.finish(6, later, b"v") is FillResult.STORED


def test_after_a_long_pause_an_answer_is_expired_when_its_mark_has_been_removed() -> None:
    admission = new_admission()
    ticket = admission.begin(5, MEMBER, "load", b"x", 2)
    admission.marks.add(6, MEMBER, ALL_CLASSES, 3)
    admission.marks.remove_expired(2 * SECOND_US + 7)
    assert admission.marks.newest_position(MEMBER, "load") == 0
    assert ticket and admission.finish(2 * SECOND_US + 7, ticket, b"v") is FillResult.NOT_STORED


def test_there_is_no_ticket_for_an_answer_that_is_never_stored() -> None:
    admission = new_admission()
    assert admission.begin(0, MEMBER, "write", b"x", 2) is None
    assert admission.begin(0, MEMBER, "load", b"x" * (MAX_REQUEST_BYTES + 1), 2) is None
