"""Discovery's list of a run, as bytes: the whole of it, and changes to it. A core.

Each entry's text is made once and shared, so that a whole list costs a join.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from benchmarks.scale.tier import CELLS, ZONES, backend_address, shown

SERVING, DRAINING, DELETED = "SERVING", "DRAINING", "DELETED"
MOST_KEPT = 100_000  # changes that a watch may ask for; who is behind them is told the whole list


@dataclass(frozen=True, slots=True)
class Change:
    """What becomes of one backend."""

    number: int
    state: str
    started_ms: int = 0


class Catalogue:
    """The list at its newest version; each batch of changes is one version."""

    def __init__(self, size: int, port: int) -> None:
        self.port, self.version = port, 1
        self.listed: dict[int, bytes] = {number: self.text(Change(number, SERVING)) for number in range(size)}
        self.changes: list[tuple[int, bytes]] = []  # by version, oldest first
        self.joined: bytes | None = None

    def text(self, change: Change) -> bytes:
        number = change.number
        return (
            b'{"instanceId":"s-%08x","hostPort":"%b","zone":"z%02d","machineType":"two-core","cell":%d,'
            b'"lifecycle":"%b","weight":1.0,"startedAtMs":%d}'
            % (
                number,
                shown(backend_address(number, self.port)).encode(),
                number % ZONES,
                number % CELLS,
                change.state.encode(),
                change.started_ms,
            )
        )

    def change(self, changes: Iterable[Change]) -> bytes:
        """Take over a batch; its line."""
        self.version += 1
        texts: list[bytes] = []
        for change in changes:
            text = self.text(change)
            texts.append(text)
            if change.state == DELETED:
                self.listed.pop(change.number, None)
            else:
                self.listed[change.number] = text
        self.joined = None
        body = b",".join(texts)
        self.changes.append((self.version, body))
        del self.changes[:-MOST_KEPT]
        return self.line(False, body)

    def line(self, reset: bool, body: bytes) -> bytes:
        return b'{"generation":%d,"reset":%b,"instances":[%b]}\n' % (
            self.version,
            b"true" if reset else b"false",
            body,
        )

    def whole(self) -> bytes:
        """The list in one object, made once for each version."""
        if self.joined is None:
            self.joined = self.line(True, b",".join(self.listed.values()))
        return self.joined

    def since(self, version: int) -> bytes:
        """What a watch after a version is told first: nothing, changes, or the whole list where these are
        not known any more."""
        if version == self.version:
            return b""
        oldest = self.changes[0][0] - 1 if self.changes else self.version
        if not oldest <= version < self.version:
            return self.whole()
        return self.line(False, b",".join(body for at, body in self.changes if at > version))

    def forget(self) -> None:
        """As discovery that was down and is back: it knows its list, and nothing of the way to it."""
        self.changes.clear()
        self.version += 1
        self.joined = None
