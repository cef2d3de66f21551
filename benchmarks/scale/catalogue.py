"""Discovery's endpoint list as bytes: the whole list and changes to it. No input or output.

Each entry's text is made once and shared, so that a whole list costs a join.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from benchmarks.scale.tier import CELLS, ZONES, address_text, backend_address

SERVING, DRAINING, DELETED = "SERVING", "DRAINING", "DELETED"
MAX_KEPT_CHANGES = 100_000  # batches kept for watches; a watch from before them gets the whole list


@dataclass(frozen=True, slots=True)
class Change:
    """The new state of one backend."""

    number: int
    state: str
    started_ms: int = 0


class Catalogue:
    """The list at its newest version; each batch of changes makes one version."""

    def __init__(self, size: int, port: int) -> None:
        self.port, self.version = port, 1
        self.entries: dict[int, bytes] = {
            number: self.encode_entry(Change(number, SERVING)) for number in range(size)
        }
        self.changes: list[tuple[int, bytes]] = []  # by version, oldest first
        self.cached_line: bytes | None = None

    def encode_entry(self, change: Change) -> bytes:
        """Encode one backend's entry."""
        number = change.number
        return (
            b'{"instanceId":"s-%08x","hostPort":"%b","zone":"z%02d","machineType":"two-core","cell":%d,'
            b'"lifecycle":"%b","weight":1.0,"startedAtMs":%d}'
            % (
                number,
                address_text(backend_address(number, self.port)).encode(),
                number % ZONES,
                number % CELLS,
                change.state.encode(),
                change.started_ms,
            )
        )

    def change(self, changes: Iterable[Change]) -> bytes:
        """Apply a batch and return its line."""
        self.version += 1
        entries: list[bytes] = []
        for change in changes:
            entry = self.encode_entry(change)
            entries.append(entry)
            if change.state == DELETED:
                self.entries.pop(change.number, None)
            else:
                self.entries[change.number] = entry
        self.cached_line = None
        body = b",".join(entries)
        self.changes.append((self.version, body))
        del self.changes[:-MAX_KEPT_CHANGES]
        return self.encode_line(False, body)

    def encode_line(self, reset: bool, body: bytes) -> bytes:
        """Encode a line of entries at the present version."""
        return b'{"generation":%d,"reset":%b,"instances":[%b]}\n' % (
            self.version,
            b"true" if reset else b"false",
            body,
        )

    def full_line(self) -> bytes:
        """Return the line of the whole list, made once for each version."""
        if self.cached_line is None:
            self.cached_line = self.encode_line(True, b",".join(self.entries.values()))
        return self.cached_line

    def line_since(self, version: int) -> bytes:
        """Return the first line for a watch after a version.

        This is nothing, the changes, or the whole list where the changes are not kept any more.
        """
        if version == self.version:
            return b""
        oldest = self.changes[0][0] - 1 if self.changes else self.version
        if not oldest <= version < self.version:
            return self.full_line()
        return self.encode_line(
            False, b",".join(body for changed_at, body in self.changes if changed_at > version)
        )

    def drop_history(self) -> None:
        """Drop the kept changes, as a discovery restart does: the list remains, its history does not."""
        self.changes.clear()
        self.version += 1
        self.cached_line = None
