"""A state machine for tests that records every entry, so a repeated or reordered entry is detected."""

import msgspec

from molereach.coordination.interface.log import Entry, Outcome


class SumMachine:
    """Adds integers. The body `b"raise"` raises an exception; one that is no integer breaks a rule."""

    def __init__(self, name: str = "sum", padding_bytes: int = 0) -> None:
        self.name = name
        self.padding_bytes = padding_bytes  # added to each snapshot
        self.total = 0
        self.applied_ids: list[str] = []

    def apply(self, entry: Entry) -> Outcome:
        if entry.body == b"raise":
            raise RuntimeError("a fault")
        assert entry.id not in self.applied_ids, f"{entry.id} applied twice"
        try:
            self.total += int(entry.body)
        except ValueError:
            return Outcome("no number")
        self.applied_ids.append(entry.id)
        return Outcome(value=str(self.total).encode())

    def snapshot(self) -> bytes:
        return msgspec.json.encode((self.total, self.applied_ids, "x" * self.padding_bytes))

    def restore(self, data: bytes) -> None:
        self.total, self.applied_ids, _ = msgspec.json.decode(data, type=tuple[int, list[str], str])
