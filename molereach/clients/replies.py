"""The place of an answer among those of its connection, and who takes commands for one."""

from typing import Protocol


class Replies(Protocol):
    """A connection whose answers leave in the order of its commands."""

    def flush(self) -> None: ...


class Reply:
    """The place of one answer among those of its connection."""

    __slots__ = ("connection", "data", "id")

    def __init__(self, connection: Replies, data: bytes | None = None) -> None:
        self.connection, self.data = connection, data
        self.id: str | None = None  # of the request that it answers

    def send(self, data: bytes) -> None:
        if self.data is None:
            self.data = data
            self.connection.flush()


class Front(Protocol):
    """What takes commands, and hears whose client has gone."""

    def take(self, words: list[bytes], reply: Reply) -> None: ...
    def client_gone(self, reply: Reply) -> None: ...
