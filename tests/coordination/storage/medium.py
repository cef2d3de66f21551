"""A disk in memory that fails and crashes where it is told to, and what it may hold after a crash."""

from collections.abc import Callable, Iterator
from pathlib import Path

from molereach.coordination.storage.disk import Disk, File


class Crash(BaseException):
    """The process ends here."""


class Node:
    """One file: what a reader sees, and what is on the plate."""

    def __init__(self, data: bytes = b"") -> None:
        self.data, self.synced = data, data
        self.clean = False  # a sync has failed: its pages are taken for written, and never are


class Medium:
    """What outlives a process."""

    def __init__(self, names: dict[str, Node] | None = None) -> None:
        self.names = dict(names or {})
        self.durable = dict(self.names)
        self.pending: list[Callable[[dict[str, Node]], object]] = []  # on the folder, not synced
        self.calls: list[str] = []
        self.sizes: dict[int, int] = {}  # bytes of each write, by its number among the calls
        self.crash_at = -1  # before the call of this number
        self.fail: dict[int, OSError] = {}
        self.most_written = -1  # bytes of the write that crashes
        self.locked = False

    def step(self, call: str) -> None:
        number = len(self.calls)
        self.calls.append(call)
        if number == self.crash_at:
            raise Crash
        if number in self.fail:
            raise self.fail[number]

    def change(self, what: Callable[[dict[str, Node]], object]) -> None:
        what(self.names)
        self.pending.append(what)

    def after_crash(self) -> Iterator["Medium"]:
        """Each state that a loss of power may leave: of changes to the folder any first part, or all but one;
        of bytes that were not synced none, all, half, or as many zeroes, or all but the end."""
        changes = self.pending
        for kept in (
            *(changes[:count] for count in range(len(changes) + 1)),
            *(changes[:lost] + changes[lost + 1 :] for lost in range(len(changes) - 1)),
        ):
            names = dict(self.durable)
            for what in kept:
                what(names)
            for left in (
                lambda data: b"",
                bytes,
                lambda data: data[: len(data) // 2],
                lambda data: bytes(len(data)),
                lambda data: data[:-1] + b"\0"[: len(data)],
            ):
                yield Medium({name: Node(self.plate(node, left)) for name, node in names.items()})

    @staticmethod
    def plate(node: Node, left: Callable[[bytes], bytes]) -> bytes:
        if node.clean or not node.data.startswith(node.synced):
            return node.synced
        return node.synced + left(node.data[len(node.synced) :])

    def restarted(self) -> "Medium":
        """The process is gone and the system is not."""
        self.locked, self.crash_at, self.fail = False, -1, {}
        return self


class MemoryDisk(Disk):
    """The same calls as `Disk`."""

    def __init__(self, medium: Medium) -> None:
        self.medium, self.open = medium, dict[int, Node]()

    @classmethod
    def on(cls, medium: Medium) -> Callable[[Path], Disk]:
        return lambda folder: cls(medium)

    def open_to_others(self) -> bool:
        return False

    def lock(self) -> bool:
        was, self.medium.locked = self.medium.locked, True
        return not was

    def list(self, most: int) -> list[str]:
        return list(self.medium.names)[:most]

    def read(self, name: str, most: int) -> bytes:
        self.medium.step(f"read {name}")
        return self.medium.names[name].data[:most]

    def create(self, name: str) -> File:
        self.medium.step(f"create {name}")
        node = self.medium.names.get(name)
        if node is None:
            node = Node()
            self.medium.change(lambda names, node=node: names.update({name: node}))
        node.data = b""
        self.open[len(self.medium.calls)] = node
        return File(name, len(self.medium.calls))

    def write(self, file: File, data: bytes) -> None:
        node = self.open[file.number]
        self.medium.sizes[len(self.medium.calls)] = len(data)
        try:
            self.medium.step(f"write {file.name}")
        except (Crash, OSError):
            node.data += data[: max(0, self.medium.most_written)]
            raise
        node.data += data

    def sync(self, file: File) -> None:
        node = self.open[file.number]
        try:
            self.medium.step(f"sync {file.name}")
        except OSError:
            node.clean = True
            raise
        if not node.clean:
            node.synced = node.data

    def close(self, file: File) -> None:
        del self.open[file.number]

    def rename(self, old: str, new: str) -> None:
        self.medium.step(f"rename {new}")
        node = self.medium.names[old]
        self.medium.change(lambda names: (names.pop(old, None), names.update({new: node})))

    def remove(self, name: str) -> None:
        self.medium.step(f"remove {name}")
        self.medium.change(lambda names: names.pop(name, None))

    def sync_folder(self) -> None:
        self.medium.step("sync folder")
        self.medium.durable, self.medium.pending = dict(self.medium.names), []

    def release(self) -> None:
        self.medium.locked = False
