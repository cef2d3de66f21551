"""The newest purge of a scope, and how long it is remembered."""

from molereach.cache.readings.marks import ALL_CLASSES, Marks
from molereach.cache.readings.settings import ReadingSettings, S

SETTINGS = ReadingSettings({"load": 2 * S, "meter": S}, 1 << 20, 1 << 16)
A, B = "00000000000000aa", "00000000000000bb"


def test_a_purge_covers_its_member_and_class_and_no_other() -> None:
    marks = Marks(SETTINGS)
    marks.set(0, A, "load", 5)
    assert [marks.newest(A, "load"), marks.newest(A, "meter"), marks.newest(B, "load")] == [5, 0, 0]
    marks.set(0, A, ALL_CLASSES, 7)
    assert [marks.newest(A, "load"), marks.newest(A, "meter"), marks.newest(B, "load")] == [7, 7, 0]
    marks.set(0, A, "load", 9)
    marks.set(0, A, "load", 8)  # told late
    assert [marks.newest(A, "load"), marks.newest(A, "meter")] == [9, 7]
    marks.set_everything(8)
    assert [marks.newest(A, "load"), marks.newest(A, "meter"), marks.newest(B, "meter")] == [9, 8, 8]


def test_a_mark_is_kept_for_the_oldest_age_and_let_go_in_bounded_looks() -> None:
    marks = Marks(SETTINGS)
    marks.set(0, A, "load", 1)
    marks.set(5, B, "load", 2)
    marks.set(6, A, "load", 3)
    for number in range(200):
        marks.set(7, f"{number + 1000:016x}", "load", 4 + number)
    assert marks.forget(2 * S + 5) == 0 and marks.newest(B, "load") == 2
    assert marks.forget(2 * S + 6) == 1 and marks.newest(B, "load") == 0
    assert marks.newest(A, "load") == 3
    assert marks.forget(9 * S, 50) == 50
    while marks.forget(9 * S, 50):
        pass
    assert len(marks) == 0
