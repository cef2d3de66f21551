"""Forwarding of log entries downstream: which entries a child can use, and which received ones are new.

A message carries entries only if the child has reported all entries before them; otherwise it carries just
the position, and the child's log fetches what is missing. Thus entries are sent again only if they were lost,
and messages stay within the byte limit.
"""

from collections import deque
from collections.abc import Sequence

from molereach.coordination.dissemination.messages import MAX_ENTRIES
from molereach.coordination.dissemination.settings import DisseminationSettings
from molereach.coordination.interface.log import Entry

MAX_ENTRY_OVERHEAD_BYTES = 320  # of an encoded entry without its body and id: mostly names and framing


def max_wire_bytes(entry: Entry) -> int:
    """An upper bound for the size of an encoded entry; an id takes up to four bytes per character."""
    return MAX_ENTRY_OVERHEAD_BYTES + 4 * len(entry.id) + len(entry.body)


def are_consecutive(entries: Sequence[Entry]) -> bool:
    """Whether the positions of the entries have no gaps."""
    return all(entry.position == entries[0].position + offset for offset, entry in enumerate(entries))


class EntryForwarder:
    """The newest applied entries, and the position up to which entries were delivered to the local log."""

    def __init__(self, settings: DisseminationSettings) -> None:
        self.settings = settings
        self.applied_position = 0
        self.delivered_position = 0  # delivered to the log, which may not have applied all of it yet
        self.delivered_at_last_heartbeat = 0
        self.recent: deque[Entry] = deque()
        self.recent_bytes = 0

    def advance(self, position: int, entries: Sequence[Entry]) -> bool:
        """Record the position up to which the log has applied all entries; returns whether it is new."""
        if position <= self.applied_position:
            return False
        new_entries = [entry for entry in entries if self.applied_position < entry.position <= position]
        complete = bool(new_entries) and are_consecutive(new_entries) and new_entries[-1].position == position
        if not complete or new_entries[0].position != self.applied_position + 1:
            # Entries before a gap or a snapshot cannot be combined with later ones for a child.
            self.recent.clear()
            self.recent_bytes = 0
        if complete:
            self._append(new_entries)
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
        """All entries after a position, or none if one of them is not available."""
        is_current = position >= self.applied_position
        if is_current or not self.recent or self.recent[0].position > position + 1:
            return ()
        return tuple(entry for entry in self.recent if entry.position > position)

    def take_new(self, entries: Sequence[Entry]) -> tuple[Entry, ...]:
        """The received entries that extend the log; records them as delivered."""
        if not entries or not are_consecutive(entries) or entries[0].position > self.delivered_position + 1:
            return ()
        new_entries = tuple(entry for entry in entries if entry.position > self.delivered_position)
        if new_entries:
            self.delivered_position = new_entries[-1].position
        return new_entries

    def is_behind(self, position: int) -> bool:
        """Whether a position is beyond everything that was delivered to the local log."""
        return position > self.delivered_position

    def on_heartbeat(self) -> None:
        """Treat delivered entries as lost if they are not applied and no more came for an interval."""
        if self.delivered_position == self.delivered_at_last_heartbeat:
            self.delivered_position = self.applied_position
        self.delivered_at_last_heartbeat = self.delivered_position
