"""The newest purges that were applied at this front door, by what they cover, as positions of the log.

A reading or an answer on its way counts only if the newest purge of its scope was applied here before its
request was sent, so each has the position up to which that was so: no clock is asked. A mark is kept until
all that it forbids is dead by age, which this front door's own clock says: what was sent before the mark was
set is older than the mark itself.
"""

from collections import OrderedDict

from molereach.cache.readings.settings import ReadingSettings

ALL_CLASSES = ""
MOST_FORGOTTEN = 64  # marks, at one look


class Marks:
    """By member, and by member and class."""

    def __init__(self, settings: ReadingSettings) -> None:
        self._kept_us = settings.oldest_us
        self._marks: OrderedDict[tuple[str, str], tuple[int, int]] = OrderedDict()  # the newest at the end
        self._everything = 0  # of all members: this front door had to begin anew

    def __len__(self) -> int:
        return len(self._marks)

    def newest(self, member: str, class_name: str) -> int:
        """The position of the newest purge that covers this; 0 for none that still matters."""
        marks = self._marks
        if not marks:
            return self._everything
        whole = marks.get((member, ALL_CLASSES))
        part = marks.get((member, class_name))
        return max(self._everything, whole[0] if whole else 0, part[0] if part else 0)

    def set(self, now_us: int, member: str, class_name: str, position: int) -> None:
        """A purge was applied; an older one than the newest says nothing new."""
        key = member, class_name
        known = self._marks.get(key)
        if known is None or known[0] < position:
            self._marks[key] = position, now_us
            self._marks.move_to_end(key)

    def set_everything(self, position: int) -> None:
        self._everything = max(self._everything, position)

    def forget(self, now_us: int, most: int = MOST_FORGOTTEN) -> int:
        """Let go of those that forbid only what is dead by age; how many."""
        gone = 0
        while gone < most and self._marks:
            _, at_us = next(iter(self._marks.values()))
            if now_us - at_us <= self._kept_us:
                break
            self._marks.popitem(last=False)
            gone += 1
        return gone
