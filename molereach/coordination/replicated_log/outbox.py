"""Actions and outgoing messages: one that depends on a write is sent only after the write is synced.

Messages of this node to itself take the same path as those to other nodes, and are delivered in order, so its
own vote does not count before it is synced. Messages beyond the bound are lost, as any message may be.
"""

from collections import deque
from dataclasses import dataclass
from typing import Any, NamedTuple

from molereach.coordination.interface.core import SendMessage
from molereach.coordination.interface.disk import Persist
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.replicated_log.messages import Message
from molereach.coordination.replicated_log.records import Base, Record, encode

MAX_UNSYNCED_WRITES = 1024  # writes in progress; a disk that hangs and reaches this bound stops voting
MAX_WAITING_MESSAGES = 4096  # messages that wait for a sync


@dataclass(frozen=True, slots=True)
class LogStopped:
    """Action: the disk failed; nothing is promised, accepted or led here any more in this run."""

    reason: str


class _WaitingMessage(NamedTuple):
    """A message that may be sent once the write `token` is synced."""

    token: int
    recipient: str
    message: Message
    instance_number: int | None


class Outbox:
    """The actions of one event, in order, and the messages that wait for a write."""

    def __init__(self, instance: NodeInstance) -> None:
        self.instance = instance
        self.actions: list[Any] = []
        self.local_messages: deque[Message] = deque()  # to this node itself
        self.written = 0  # token of the last write
        self.synced = 0  # token of the last synced write
        self.failed = False
        self._records: list[bytes] = []
        self._base: bytes | None = None
        # Messages of this step, and messages that wait for a write; beyond the bound the oldest are lost.
        self._new: list[_WaitingMessage] = []
        self._waiting: deque[_WaitingMessage] = deque(maxlen=MAX_WAITING_MESSAGES)

    @property
    def can_write(self) -> bool:
        """Whether the disk has not failed and has fewer unsynced writes than the bound."""
        return not self.failed and self.written - self.synced < MAX_UNSYNCED_WRITES

    def emit(self, action: object) -> None:
        """Add an action."""
        self.actions.append(action)

    def send(self, recipient: str, message: Message, instance_number: int | None = None) -> None:
        """Send a message that does not depend on the disk."""
        if recipient == self.instance.name:
            self.local_messages.append(message)
        else:
            self.actions.append(SendMessage(recipient, message, instance_number))

    def send_after_sync(self, recipient: str, message: Message, instance_number: int | None = None) -> None:
        """Send a message once everything written so far, also in this step, is synced."""
        if not self.failed:
            self._new.append(_WaitingMessage(0, recipient, message, instance_number))

    def write(self, record: Record) -> None:
        """Add a record to this step's write."""
        if not self.failed:
            self._records.append(encode(record))

    def write_base(self, base: Base) -> None:
        """Replace all records written so far, also in this step, with a base."""
        if not self.failed:
            self._base = encode(base)
            self._records = []

    def flush(self) -> None:
        """End a step: request one write of all its records, and send the messages that need not wait."""
        if self._records or self._base is not None:
            self.written += 1
            self.emit(Persist(self.written, tuple(self._records), self._base))
            self._records = []
            self._base = None
        self._waiting.extend(waiting._replace(token=self.written) for waiting in self._new)
        self._new.clear()
        self.release()

    def release(self) -> None:
        """Send the messages whose writes have been synced."""
        while self._waiting and self._waiting[0].token <= self.synced:
            waiting = self._waiting.popleft()
            self.send(waiting.recipient, waiting.message, waiting.instance_number)

    def persisted(self, token: int) -> None:
        """Record that everything up to `token` is synced."""
        if not self.failed:
            self.synced = max(self.synced, min(token, self.written))

    def fail(self, reason: str) -> bool:
        """Record that the disk failed; return whether that is new."""
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
        """Remove and return the actions so far, in order."""
        actions = self.actions
        self.actions = []
        return actions
