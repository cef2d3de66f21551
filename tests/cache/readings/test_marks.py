"""The newest purge of a scope, and how long its mark is kept."""

from molereach.cache.readings.marks import ALL_CLASSES, Marks
from molereach.cache.readings.settings import SECOND_US, ReadingSettings

SETTINGS = ReadingSettings({"load": 2 * SECOND_US, "meter": SECOND_US}, 1 << 20, 1 << 16)
A, B = "00000000000000aa", "00000000000000bb"


def test_a_mark_covers_its_member_and_class_and_no_other() -> None:
    marks = Marks(SETTINGS)
    marks.add(0, A, "load", 5)
    assert [
        marks.newest_position(A, "load"),
        marks.newest_position(A, "meter"),
        marks.newest_position(B, "load"),
    ] == [5, 0, 0]
    marks.add(0, A, ALL_CLASSES, 7)
    assert [
        marks.newest_position(A, "load"),
        marks.newest_position(A, "meter"),
        marks.newest_position(B, "load"),
    ] == [7, 7, 0]
    marks.add(0, A, "load", 9)
    marks.add(0, A, "load", 8)  # older than the newest
    assert [marks.newest_position(A, "load"), marks.newest_position(A, "meter")] == [9, 7]
    marks.add_for_all_members(8)
    assert [
        marks.newest_position(A, "load"),
        marks.newest_position(A, "meter"),
        marks.newest_position(B, "meter"),
    ] == [9, 8, 8]


def test_a_mark_is_kept_for_the_longest_age_and_removed_in_bounded_calls() -> None:
    marks = Marks(SETTINGS)
    marks.add(0, A, "load", 1)
    marks.add(5, B, "load", 2)
    marks.add(6, A, "load", 3)
    for number in range(200):
        marks.add(7, f"{number + 1000:016x}", "load", 4 + number)
    assert marks.remove_expired(2 * SECOND_US + 5) == 0 and marks.newest_position(B, "load") == 2
    assert marks.remove_expired(2 * SECOND_US + 6) == 1 and marks.newest_position(B, "load") == 0
    assert marks.newest_position(A, "load") == 3
    assert marks.remove_expired(9 * SECOND_US, 50) == 50
    while marks.remove_expired(9 * SECOND_US, 50):
        pass
    assert len(marks) == 0
