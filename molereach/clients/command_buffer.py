"""Buffers a client's input: the commands that wait to be handled, and the number of those rejected.

The end of a connection stands behind all bytes that the client has sent before, so it is seen only if all of
them are read, also while no further command may be handled. Memory is bounded all the same: commands beyond
a limit are counted and rejected. Sans-I/O.
"""

from molereach.resp import CommandReader, ProtocolError

MAX_WAITING_BYTES = 32 * 1024  # of the commands that wait; a single one may be longer
MAX_REJECTED = 16 * 1024  # commands rejected in a row; more are a violation of the protocol


class CommandBuffer:
    """The input of one connection, in order: waiting commands, rejected ones, and bytes not divided yet."""

    def __init__(self) -> None:
        self.first: list[bytes] | None = None  # the arguments of the next command, if it has been parsed
        self.waiting = CommandReader()  # complete commands
        self.rejected_count = 0
        self.reader = CommandReader()  # received and not divided into commands
        self.error: ProtocolError | None = None  # input behind a violation of the protocol is discarded

    def feed(self, data: bytes | memoryview) -> None:
        """Append received bytes."""
        if self.error is None:
            self.reader.feed(data)

    def has_commands(self) -> bool:
        """Whether complete commands wait or are to be rejected; undivided input is not considered."""
        return self.first is not None or bool(self.waiting.buffer) or self.rejected_count > 0

    def peek(self) -> list[bytes] | None:
        """Return the arguments of the next command to be handled, None if there is none."""
        if self.first is None:
            self.first = self.waiting.next()
        if self.first is None and not self.rejected_count and self.error is None:
            try:
                self.first = self.reader.next()
            except ProtocolError as error:
                self.fail(error)
        return self.first

    def pop(self) -> None:
        """Remove the command that `peek` has returned."""
        self.first = None

    def divide(self, max_count: int) -> bool:
        """Queue or reject up to `max_count` complete commands; return whether none is left undivided."""
        for _ in range(max_count):
            if self.error is not None:
                return True
            try:
                command = self.reader.next_encoded()
            except ProtocolError as error:
                self.fail(error)
                return True
            if command is None:
                return True
            self.add(command)
        return False

    def add(self, command: bytes) -> None:
        """Queue a command behind the waiting ones, or reject it if they are too many."""
        total = len(self.waiting.buffer) + len(command)
        is_too_much = bool(self.waiting.buffer) and total > MAX_WAITING_BYTES
        if not self.rejected_count and not is_too_much:
            self.waiting.feed(command)
            return
        self.rejected_count += 1
        if self.rejected_count >= MAX_REJECTED:
            self.fail(ProtocolError("too many commands"))

    def take_rejected(self) -> int:
        """Return the number of rejected commands once no command waits before them, and reset it."""
        if self.first is not None or self.waiting.buffer:
            return 0
        count = self.rejected_count
        self.rejected_count = 0
        return count

    def reject_waiting(self) -> None:
        """Reject the commands that wait."""
        if self.first is not None:
            self.first = None
            self.rejected_count += 1
        while self.waiting.next() is not None:
            self.rejected_count += 1

    def take_all(self) -> int:
        """Remove all complete commands, waiting, rejected or undivided, and return their number."""
        self.reject_waiting()
        while not self.divide(MAX_REJECTED):
            pass
        self.reject_waiting()
        return self.take_rejected()

    def fail(self, error: ProtocolError) -> None:
        """Note a violation of the protocol and discard the input behind it."""
        self.error = error
        self.reader.discard(len(self.reader.buffer))

    def clear(self) -> None:
        """Discard everything."""
        self.first = None
        self.waiting.discard(len(self.waiting.buffer))
        self.reader.discard(len(self.reader.buffer))
        self.rejected_count = 0

    def buffered_bytes(self) -> int:
        """Size of the waiting commands and of the undivided input in bytes."""
        first_bytes = sum(map(len, self.first)) if self.first is not None else 0
        return first_bytes + len(self.waiting.buffer) + len(self.reader.buffer)
