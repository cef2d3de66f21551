"""Log entries on their way down: which of the newest a child can use, and which are new here.

A message carries entries only for a child that reported all entries before them; any other gets the position
and catches up by its log. So nothing is sent twice unless it was lost, and a message keeps to its bytes.
"""

from collections import deque
from collections.abc import Sequence

from molereach.coordination.dissemination.messages import MAX_ENTRIES
from molereach.coordination.dissemination.settings import DisseminationSettings
from molereach.coordination.interface.log import Entry

ENTRY_BYTES = 320  # of an entry without its body and id: mostly names and framing


def max_wire_bytes(entry: Entry) -> int:
    """An upper bound of an entry's bytes in a message; an id may have four bytes a character."""
    return ENTRY_BYTES + 4 * len(entry.id) + len(entry.body)


def are_consecutive(entries: Sequence[Entry]) -> bool:
    """Whether the positions have no gap."""
    return all(entry.position == entries[0].position + offset for offset, entry in enumerate(entries))


class EntryForwarder:
    """The newest entries applied here, and the position up to which the log was given entries."""

    def __init__(self, settings: DisseminationSettings) -> None:
        self.settings = settings
        self.applied_position = 0
        self.delivered_position = 0  # given to the log, which may not have applied it yet
        self.delivered_before = 0
        self.recent: deque[Entry] = deque()
        self.recent_bytes = 0

    def advance(self, position: int, entries: Sequence[Entry]) -> bool:
        """The log has applied everything up to `position`; whether that is new."""
        if position <= self.applied_position:
            return False
        new = [entry for entry in entries if self.applied_position < entry.position <= position]
        complete = bool(new) and are_consecutive(new) and new[-1].position == position
        if not complete or new[0].position != self.applied_position + 1:
            # After a gap or a snapshot the entries before are of no use to a child.
            self.recent.clear()
            self.recent_bytes = 0
        if complete:
            self._append(new)
        self.applied_position = position
        self.delivered_position = max(self.delivered_position, position)
        return True

    def _append(self, entries: Sequence[Entry]) -> None:
        for entry in entries:
            self.recent.append(entry)
            self.recent_bytes += max_wire_bytes(entry)
        while self.recent_bytes > self.settings.max_entries_bytes or len(self.recent) > MAX_ENTRIES:
            self.recent_bytes -= max_wire_bytes(self.recent.popleft())

    def entries_after(self, position: int) -> tuple[Entry, ...]:
        """All entries after that position, or none if one of them is not available."""
        is_current = position >= self.applied_position
        if is_current or not self.recent or self.recent[0].position > position + 1:
            return ()
        return tuple(entry for entry in self.recent if entry.position > position)

    def take_new(self, entries: Sequence[Entry]) -> tuple[Entry, ...]:
        """The received entries that the log can use; they count as delivered to it."""
        if not entries or not are_consecutive(entries) or entries[0].position > self.delivered_position + 1:
            return ()
        new = tuple(entry for entry in entries if entry.position > self.delivered_position)
        if new:
            self.delivered_position = new[-1].position
        return new

    def is_behind(self, position: int) -> bool:
        """Whether another proxy has applied more than is here or on its way to be applied."""
        return position > self.delivered_position

    def on_heartbeat(self) -> None:
        """Take for lost what was delivered an interval ago and is not applied."""
        if self.delivered_position == self.delivered_before:
            self.delivered_position = self.applied_position
        self.delivered_before = self.delivered_position
