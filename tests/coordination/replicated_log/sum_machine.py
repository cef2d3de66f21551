"""A state machine for tests: remembers all, so nothing applied twice or in another order goes unseen."""

import msgspec

from molereach.coordination.interface.log import Entry, Outcome


class Sum:
    """Adds whole numbers; `b"raise"` is a fault of its own, `b"no"` breaks a rule."""

    def __init__(self, name: str = "sum", ballast: int = 0) -> None:
        self.name = name
        self.ballast = ballast  # bytes more in a snapshot
        self.total = 0
        self.seen: list[str] = []

    def apply(self, entry: Entry) -> Outcome:
        if entry.body == b"raise":
            raise RuntimeError("a fault")
        assert entry.id not in self.seen, f"{entry.id} applied twice"
        try:
            self.total += int(entry.body)
        except ValueError:
            return Outcome("no number")
        self.seen.append(entry.id)
        return Outcome(value=str(self.total).encode())

    def snapshot(self) -> bytes:
        return msgspec.json.encode((self.total, self.seen, "x" * self.ballast))

    def restore(self, data: bytes) -> None:
        self.total, self.seen, _ = msgspec.json.decode(data, type=tuple[int, list[str], str])
