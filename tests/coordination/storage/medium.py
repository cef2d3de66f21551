"""An in-memory disk with injected failures and crashes, and the states that a crash may leave."""

from collections.abc import Callable, Iterator
from pathlib import Path

from molereach.coordination.storage.disk import Disk, OpenFile


class SimulatedCrash(BaseException):
    """The process ends at this call."""


class FileData:
    """One file: the data that a reader sees, and the data that is durable."""

    def __init__(self, data: bytes = b"") -> None:
        self.data, self.synced = data, data
        self.sync_failed = False  # its pages then count as clean, and are never written


class Medium:
    """The storage that survives the process, with the log of calls and the faults to inject."""

    def __init__(self, names: dict[str, FileData] | None = None) -> None:
        self.names = dict(names or {})
        self.durable = dict(self.names)
        self.pending: list[Callable[[dict[str, FileData]], object]] = []  # unsynced changes to the folder
        self.calls: list[str] = []
        self.write_sizes: dict[int, int] = {}  # in bytes, by the number of the call
        self.crash_at = -1  # number of the call before which the process crashes
        self.failures: dict[int, OSError] = {}  # by the number of the call
        self.torn_bytes = -1  # bytes that are written by a write that crashes or fails
        self.locked = False

    def record_call(self, call: str) -> None:
        number = len(self.calls)
        self.calls.append(call)
        if number == self.crash_at:
            raise SimulatedCrash
        if number in self.failures:
            raise self.failures[number]

    def change_folder(self, change: Callable[[dict[str, FileData]], object]) -> None:
        change(self.names)
        self.pending.append(change)

    def states_after_crash(self) -> Iterator["Medium"]:
        """The states that a power loss may leave.

        Of the unsynced changes to the folder, any prefix or all but one survive. Of the unsynced bytes, none,
        all or half survive, or they read as zeroes, or the last byte does.
        """
        changes = self.pending
        for kept in (
            *(changes[:count] for count in range(len(changes) + 1)),
            *(changes[:lost] + changes[lost + 1 :] for lost in range(len(changes) - 1)),
        ):
            names = dict(self.durable)
            for change in kept:
                change(names)
            for surviving in (
                lambda data: b"",
                bytes,
                lambda data: data[: len(data) // 2],
                lambda data: bytes(len(data)),
                lambda data: data[:-1] + b"\0"[: len(data)],
            ):
                yield Medium(
                    {
                        name: FileData(self.durable_data(file_data, surviving))
                        for name, file_data in names.items()
                    }
                )

    @staticmethod
    def durable_data(file_data: FileData, surviving: Callable[[bytes], bytes]) -> bytes:
        if file_data.sync_failed or not file_data.data.startswith(file_data.synced):
            return file_data.synced
        return file_data.synced + surviving(file_data.data[len(file_data.synced) :])

    def restarted(self) -> "Medium":
        """The process has ended, but the operating system keeps running."""
        self.locked, self.crash_at, self.failures = False, -1, {}
        return self


class MemoryDisk(Disk):
    """`Disk` on a `Medium`."""

    def __init__(self, medium: Medium) -> None:
        self.medium, self.open_files = medium, dict[int, FileData]()

    @classmethod
    def opener_for(cls, medium: Medium) -> Callable[[Path], Disk]:
        return lambda folder: cls(medium)

    def is_accessible_to_others(self) -> bool:
        return False

    def lock(self) -> bool:
        was_locked, self.medium.locked = self.medium.locked, True
        return not was_locked

    def list(self, max_names: int) -> list[str]:
        return list(self.medium.names)[:max_names]

    def read(self, name: str, max_bytes: int) -> bytes:
        self.medium.record_call(f"read {name}")
        return self.medium.names[name].data[:max_bytes]

    def create(self, name: str) -> OpenFile:
        self.medium.record_call(f"create {name}")
        file_data = self.medium.names.get(name)
        if file_data is None:
            file_data = FileData()
            self.medium.change_folder(lambda names, file_data=file_data: names.update({name: file_data}))
        file_data.data = b""
        self.open_files[len(self.medium.calls)] = file_data
        return OpenFile(name, len(self.medium.calls))

    def write(self, file: OpenFile, data: bytes) -> None:
        file_data = self.open_files[file.descriptor]
        self.medium.write_sizes[len(self.medium.calls)] = len(data)
        try:
            self.medium.record_call(f"write {file.name}")
        except (SimulatedCrash, OSError):
            file_data.data += data[: max(0, self.medium.torn_bytes)]
            raise
        file_data.data += data

    def sync(self, file: OpenFile) -> None:
        file_data = self.open_files[file.descriptor]
        try:
            self.medium.record_call(f"sync {file.name}")
        except OSError:
            file_data.sync_failed = True
            raise
        if not file_data.sync_failed:
            file_data.synced = file_data.data

    def close(self, file: OpenFile) -> None:
        del self.open_files[file.descriptor]

    def rename(self, old: str, new: str) -> None:
        self.medium.record_call(f"rename {new}")
        file_data = self.medium.names[old]
        self.medium.change_folder(lambda names: (names.pop(old, None), names.update({new: file_data})))

    def remove(self, name: str) -> None:
        self.medium.record_call(f"remove {name}")
        self.medium.change_folder(lambda names: names.pop(name, None))

    def sync_folder(self) -> None:
        self.medium.record_call("sync folder")
        self.medium.durable, self.medium.pending = dict(self.medium.names), []

    def release(self) -> None:
        self.medium.locked = False
