"""Entries on their way down: which of the newest can be told to a child, and what of it is news here.

Entries go into a word only for one that said it has all before them; any other hears the position and catches
up by its log. So nothing is told twice that is not lost, and a word stays within its bytes.
"""

from collections import deque
from collections.abc import Sequence

from molereach.coordination.dissemination.messages import MAX_ENTRIES
from molereach.coordination.dissemination.settings import DisseminationSettings
from molereach.coordination.interface.log import Entry

ENTRY_BYTES = 320  # of an entry, its body not counted: most for names and the id, and what frames them


def max_wire_bytes(entry: Entry) -> int:
    """An upper bound of its bytes in a word (an id may have four bytes a character)."""
    return ENTRY_BYTES + 4 * len(entry.id) + len(entry.body)


def are_consecutive(entries: Sequence[Entry]) -> bool:
    return all(entry.position == entries[0].position + at for at, entry in enumerate(entries))


class EntryForwarder:
    """The newest entries applied here, and what the log was given to apply."""

    def __init__(self, settings: DisseminationSettings) -> None:
        self.settings = settings
        self.applied_position = 0
        self.delivered_position = 0  # to the log; it may not have come to it yet
        self.delivered_before = 0
        self.recent: deque[Entry] = deque()
        self.recent_bytes = 0

    def advance(self, position: int, entries: Sequence[Entry]) -> bool:
        """The log has applied up to `position`; whether that is news."""
        if position <= self.applied_position:
            return False
        news = [entry for entry in entries if self.applied_position < entry.position <= position]
        whole = bool(news) and are_consecutive(news) and news[-1].position == position
        if (
            not whole or news[0].position != self.applied_position + 1
        ):  # a gap or a snapshot: those before are no use
            self.recent.clear()
            self.recent_bytes = 0
        for entry in news if whole else ():
            self.recent.append(entry)
            self.recent_bytes += max_wire_bytes(entry)
        while self.recent_bytes > self.settings.max_entries_bytes or len(self.recent) > MAX_ENTRIES:
            self.recent_bytes -= max_wire_bytes(self.recent.popleft())
        self.applied_position, self.delivered_position = position, max(self.delivered_position, position)
        return True

    def entries_after(self, applied: int) -> tuple[Entry, ...]:
        """All after that position, or none where one of them is not at hand."""
        if applied >= self.applied_position or not self.recent or self.recent[0].position > applied + 1:
            return ()
        return tuple(entry for entry in self.recent if entry.position > applied)

    def take_new(self, entries: Sequence[Entry]) -> tuple[Entry, ...]:
        """What the log can use of entries that came; it counts as given."""
        if not entries or not are_consecutive(entries) or entries[0].position > self.delivered_position + 1:
            return ()
        news = tuple(entry for entry in entries if entry.position > self.delivered_position)
        if news:
            self.delivered_position = news[-1].position
        return news

    def is_behind(self, decided: int) -> bool:
        """Whether more was decided than is here or on its way to be applied."""
        return decided > self.delivered_position

    def on_heartbeat(self) -> None:
        """What was given a beat ago and is not applied counts as lost."""
        if self.delivered_position == self.delivered_before:
            self.delivered_position = self.applied_position
        self.delivered_before = self.delivered_position
