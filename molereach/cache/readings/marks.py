"""The newest purge of each scope that was applied at this front door, as a position of the log.

A reading, or an answer on its way, counts only if the newest purge of its scope was applied here before its
request was sent. Both record the applied position at that time, so the comparison needs no clock. A mark is
kept until all that it invalidates has expired by this front door's own clock: a request that was sent before
the mark was added is older than the mark.
"""

from collections import OrderedDict

from molereach.cache.readings.settings import ReadingSettings

ALL_CLASSES = ""
MAX_REMOVED_PER_CALL = 64  # marks


class Marks:
    """By member, and by member and class."""

    def __init__(self, settings: ReadingSettings) -> None:
        self._retention_us = settings.max_age_us
        self._marks: OrderedDict[tuple[str, str], tuple[int, int]] = OrderedDict()  # the newest is last
        self._all_members_position = 0  # set when this front door had to discard all readings

    def __len__(self) -> int:
        return len(self._marks)

    def newest_position(self, member: str, class_name: str) -> int:
        """The position of the newest purge that covers this member and class; 0 if none is kept."""
        marks = self._marks
        if not marks:
            return self._all_members_position
        member_mark = marks.get((member, ALL_CLASSES))
        class_mark = marks.get((member, class_name))
        return max(
            self._all_members_position,
            member_mark[0] if member_mark else 0,
            class_mark[0] if class_mark else 0,
        )

    def add(self, now_us: int, member: str, class_name: str, position: int) -> None:
        """Record an applied purge; one that is older than the newest of its scope changes nothing."""
        key = member, class_name
        known = self._marks.get(key)
        if known is None or known[0] < position:
            self._marks[key] = position, now_us
            self._marks.move_to_end(key)

    def add_for_all_members(self, position: int) -> None:
        """Invalidate all readings whose requests were sent before `position` was applied here."""
        self._all_members_position = max(self._all_members_position, position)

    def remove_expired(self, now_us: int, limit: int = MAX_REMOVED_PER_CALL) -> int:
        """Remove marks that only invalidate expired readings; returns how many were removed."""
        removed = 0
        while removed < limit and self._marks:
            _, added_us = next(iter(self._marks.values()))
            if now_us - added_us <= self._retention_us:
                break
            self._marks.popitem(last=False)
            removed += 1
        return removed
