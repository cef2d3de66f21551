"""A replicated state machine for tests: the ids of all applied entries, in order."""

import msgspec

from molereach.coordination.interface.log import Entry, Outcome

NAME = "marks"
BODY = b"{}"


class Marks:
    """Stores the id of each applied entry. It never drops one, so memory grows with the entries of a test."""

    name = NAME

    def __init__(self) -> None:
        self.applied_ids: list[str] = []

    def apply(self, entry: Entry) -> Outcome:
        """Append the id; the value is the number of ids so far."""
        self.applied_ids.append(entry.id)
        return Outcome(value=msgspec.json.encode(len(self.applied_ids)))

    def snapshot(self) -> bytes:
        """All ids as JSON."""
        return msgspec.json.encode(self.applied_ids)

    def restore(self, data: bytes) -> None:
        """Replace all ids by those of a snapshot."""
        self.applied_ids = msgspec.json.decode(data, type=list[str])
