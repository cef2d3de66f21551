"""A state machine for trials of the council: the ids that were settled, in order."""

import msgspec

from molereach.coordination.interface.log import Entry, Outcome

NAME = "marks"
BODY = b"{}"


class Marks:
    """It keeps all, so a trial is bounded by what it asks for."""

    name = NAME

    def __init__(self) -> None:
        self.seen: list[str] = []

    def apply(self, entry: Entry) -> Outcome:
        self.seen.append(entry.id)
        return Outcome(value=msgspec.json.encode(len(self.seen)))

    def snapshot(self) -> bytes:
        return msgspec.json.encode(self.seen)

    def restore(self, data: bytes) -> None:
        self.seen = msgspec.json.decode(data, type=list[str])
