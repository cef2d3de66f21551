"""What an agent must not forget, on its disk: its promise under way and the book of decided
orders.

The file is written whole beside the old one, synced, and put in its place; a reader finds the old one or the
new one and nothing between. A file that is damaged is refused and never taken for an empty one: an acceptor
that forgot a promise could help two orders to one revision.
"""

import contextlib
import fcntl
import hashlib
import os
from pathlib import Path

import msgspec

from molereach.fleet.agreement import Promised
from molereach.fleet.orders import OrderStateRecord

MAGIC = b"molereach-agent-journal"
VERSION = 2
DIGEST_BYTES = 16
HEAD_BYTES = len(MAGIC) + 1 + 4 + DIGEST_BYTES  # magic, version, length of the body, digest of all of these
MAX_BODY_BYTES = 4 << 20  # a book holds 512 orders of about 1 KB at most
PRIVATE = 0o600


class JournalError(Exception):
    """The journal cannot be read or written; the text is one plain line that names the file."""


class AgentState(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What outlives an agent."""

    agent: str  # its name: another agent's journal is not its own
    promised: Promised = Promised()
    order_state: OrderStateRecord = msgspec.field(name="book", default=OrderStateRecord())


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(AgentState)


def digest(head: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(head + body, digest_size=DIGEST_BYTES).digest()


def encode(state: AgentState) -> bytes:
    """The whole file; ValueError for a state that is too large."""
    body = _encoder.encode(state)
    if len(body) > MAX_BODY_BYTES:
        raise ValueError(f"{len(body)} bytes of state; {MAX_BODY_BYTES} at most")
    head = MAGIC + bytes([VERSION]) + len(body).to_bytes(4)
    return head + digest(head, body) + body


def decode(data: bytes) -> AgentState:
    """The state in a file; ValueError says what is wrong with it."""
    start = len(MAGIC) + 1 + 4
    if len(data) < HEAD_BYTES or not data.startswith(MAGIC):
        raise ValueError("is no journal of an agent, or is cut off")
    if data[len(MAGIC)] != VERSION:
        raise ValueError(f"is of version {data[len(MAGIC)]}; {VERSION} is read here")
    body = data[HEAD_BYTES:]
    if int.from_bytes(data[start - 4 : start]) != len(body):
        raise ValueError("is not as long as it says")
    if digest(data[:start], body) != data[start:HEAD_BYTES]:
        raise ValueError("is damaged: its checksum is another")
    state = _decoder.decode(body)
    state.order_state.check()
    return state


class Journal:
    """The file of one agent, locked for as long as it is open."""

    def __init__(self, path: Path, agent: str) -> None:
        self.path, self.agent = path, agent
        self.temporary_path = path.with_name(path.name + ".new")
        self.broken = False  # a write failed in a way that leaves open what is on the disk
        lock = path.with_name(path.name + ".lock")
        try:
            self.lock = os.open(lock, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, PRIVATE)
        except OSError as error:
            raise JournalError(f"{lock}: {error.strerror}") from error
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self.lock)
            raise JournalError(f"{path}: another agent has it") from None

    def load(self) -> AgentState:
        """What was saved last; a new agent's state where there is no file."""
        try:
            with self.path.open("rb") as file:
                data = file.read(HEAD_BYTES + MAX_BODY_BYTES + 1)
        except FileNotFoundError:
            return AgentState(self.agent)
        except OSError as error:
            raise JournalError(f"{self.path}: {error.strerror}") from error
        try:
            state = decode(data)
        except (ValueError, msgspec.DecodeError) as error:
            raise JournalError(f"{self.path}: {' '.join(str(error).split())}") from error
        if state.agent != self.agent:
            raise JournalError(f"{self.path}: is the journal of agent '{state.agent}', not '{self.agent}'")
        return state

    def save(self, state: AgentState) -> None:
        """Returns once it is on the disk. After a failure nothing may be promised any more: a second sync may
        say that all is well when it is not, so the journal stays broken until it is opened anew."""
        if self.broken:
            raise JournalError(f"{self.path}: a write has failed before; start the agent again")
        try:
            self.write(encode(state))
        except (OSError, ValueError) as error:
            self.broken = True
            raise JournalError(f"{self.path}: {' '.join(str(error).split())}") from error

    def write(self, data: bytes) -> None:
        file = os.open(self.temporary_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, PRIVATE)
        try:
            left = memoryview(data)
            while left:
                left = left[os.write(file, left) :]
            os.fsync(file)
        finally:
            os.close(file)
        os.replace(self.temporary_path, self.path)
        folder = os.open(self.path.parent, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(folder)  # the name as well
        finally:
            os.close(folder)

    def close(self) -> None:
        with contextlib.suppress(OSError):
            os.close(self.lock)
