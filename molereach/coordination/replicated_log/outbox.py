"""What leaves, and when: a word that rests on the disk leaves only once the disk has said so.

Words to this front door's own seat go the same way as those to others and come back in order, so its own vote
counts no earlier than theirs. What does not fit any more is lost, as any word may be.
"""

from collections import deque
from dataclasses import dataclass
from typing import Any

from molereach.coordination.interface.core import SendMessage
from molereach.coordination.interface.disk import Persist
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.replicated_log.messages import Message
from molereach.coordination.replicated_log.records import Base, Record, encode

MAX_UNSYNCED_WRITES = 1024  # writes under way: with more, a disk that hangs is given nothing new to vote for
MAX_WAITING_MESSAGES = 4096  # words that wait for the disk


@dataclass(frozen=True, slots=True)
class LogStopped:
    """Action: the disk failed; nothing is promised, accepted or led here any more in this run."""

    reason: str


class Outbox:
    """Actions of one turn, in order, and words that wait for a write."""

    def __init__(self, me: NodeInstance) -> None:
        self.instance = me
        self.actions: list[Any] = []
        self.local_messages: deque[Message] = deque()  # to this front door itself
        # tokens
        self.written = 0
        self.synced = 0
        self.failed = False
        self._records: list[bytes] = []
        self._base: bytes | None = None
        self._new: list[tuple[str, Message, int | None]] = []
        self._waiting: deque[tuple[int, str, Message, int | None]] = deque(maxlen=MAX_WAITING_MESSAGES)

    @property
    def can_write(self) -> bool:
        """Whether the disk takes writes and is not far behind."""
        return not self.failed and self.written - self.synced < MAX_UNSYNCED_WRITES

    def emit(self, action: object) -> None:
        """Add an action."""
        self.actions.append(action)

    def send(self, to: str, message: Message, instance_number: int | None = None) -> None:
        """A word that rests on nothing."""
        if to == self.instance.name:
            self.local_messages.append(message)
        else:
            self.actions.append(SendMessage(to, message, instance_number))

    def send_after_sync(self, to: str, message: Message, instance_number: int | None = None) -> None:
        """A word that rests on all that was written so far, also in this turn."""
        if not self.failed:
            self._new.append((to, message, instance_number))

    def write(self, record: Record) -> None:
        """Add a record to this step's write."""
        if not self.failed:
            self._records.append(encode(record))

    def write_base(self, base: Base) -> None:
        """Write this in place of all before."""
        if not self.failed:
            self._base = encode(base)
            self._records = []

    def flush(self) -> None:
        """The end of a step: one write for all that it changed; then what may leave."""
        if self._records or self._base is not None:
            self.written += 1
            self.emit(Persist(self.written, tuple(self._records), self._base))
            self._records = []
            self._base = None
        self._waiting.extend((self.written, *message) for message in self._new)
        self._new.clear()
        self.release()

    def release(self) -> None:
        """Send the messages whose writes have been synced."""
        while self._waiting and self._waiting[0][0] <= self.synced:
            _, to, message, instance_number = self._waiting.popleft()
            self.send(to, message, instance_number)

    def persisted(self, token: int) -> None:
        """Everything up to `token` is on the disk."""
        if not self.failed:
            self.synced = max(self.synced, min(token, self.written))

    def fail(self, reason: str) -> bool:
        """The disk failed; whether that is new."""
        if self.failed:
            return False
        self.failed = True
        self._records = []
        self._base = None
        self._new.clear()
        self._waiting.clear()
        self.emit(LogStopped(reason[:200]))
        return True

    def take_actions(self) -> list[Any]:
        """The actions so far, in order; they are handed out once."""
        actions = self.actions
        self.actions = []
        return actions
