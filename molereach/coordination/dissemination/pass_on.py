"""Entries on their way down: which of the newest can be told to a child, and what of it is news here.

Entries go into a word only for one that said it has all before them; any other hears the position and catches
up by its log. So nothing is told twice that is not lost, and a word stays within its bytes.
"""

from collections import deque
from collections.abc import Sequence

from molereach.coordination.dissemination.settings import Settings
from molereach.coordination.dissemination.words import MOST_ENTRIES
from molereach.coordination.interface.log import Entry

ENTRY_BYTES = 320  # of an entry, its body not counted: most for names and the id, and what frames them


def size(entry: Entry) -> int:
    """An upper bound of its bytes in a word (an id may have four bytes a character)."""
    return ENTRY_BYTES + 4 * len(entry.id) + len(entry.body)


def in_row(entries: Sequence[Entry]) -> bool:
    return all(entry.position == entries[0].position + at for at, entry in enumerate(entries))


class PassOn:
    """The newest entries applied here, and what the log was given to apply."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.applied = 0
        self.given = 0  # to the log; it may not have come to it yet
        self.given_before = 0
        self.tail: deque[Entry] = deque()
        self.bytes = 0

    def grown(self, position: int, entries: Sequence[Entry]) -> bool:
        """The log has applied up to `position`; whether that is news."""
        if position <= self.applied:
            return False
        news = [entry for entry in entries if self.applied < entry.position <= position]
        whole = bool(news) and in_row(news) and news[-1].position == position
        if not whole or news[0].position != self.applied + 1:  # a gap or a snapshot: those before are no use
            self.tail.clear()
            self.bytes = 0
        for entry in news if whole else ():
            self.tail.append(entry)
            self.bytes += size(entry)
        while self.bytes > self.settings.entries_bytes or len(self.tail) > MOST_ENTRIES:
            self.bytes -= size(self.tail.popleft())
        self.applied, self.given = position, max(self.given, position)
        return True

    def after(self, applied: int) -> tuple[Entry, ...]:
        """All after that position, or none where one of them is not at hand."""
        if applied >= self.applied or not self.tail or self.tail[0].position > applied + 1:
            return ()
        return tuple(entry for entry in self.tail if entry.position > applied)

    def news(self, entries: Sequence[Entry]) -> tuple[Entry, ...]:
        """What the log can use of entries that came; it counts as given."""
        if not entries or not in_row(entries) or entries[0].position > self.given + 1:
            return ()
        news = tuple(entry for entry in entries if entry.position > self.given)
        if news:
            self.given = news[-1].position
        return news

    def behind(self, decided: int) -> bool:
        """Whether more was decided than is here or on its way to be applied."""
        return decided > self.given

    def pulse(self) -> None:
        """What was given a beat ago and is not applied counts as lost."""
        if self.given == self.given_before:
            self.given = self.applied
        self.given_before = self.given
