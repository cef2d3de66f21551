"""An agent's journal: a file that holds the acceptor's state and the replicated state of orders.

Each write creates a new file, syncs it, renames it over the old one and syncs the directory, in this order: a
crash leaves either the old or the new state, complete. A damaged file is an error and is never
treated as empty, since an acceptor that forgot a promise could let two orders be decided at one revision.
"""

import contextlib
import fcntl
import hashlib
import os
from pathlib import Path

import msgspec

from molereach.fleet.agreement import AcceptorState
from molereach.fleet.errors import FleetError
from molereach.fleet.orders import OrderStateRecord

MAGIC = b"molereach-agent-journal"
VERSION = 2
DIGEST_BYTES = 16
HEAD_BYTES = len(MAGIC) + 1 + 4 + DIGEST_BYTES  # magic, version, body length, digest
MAX_BODY_BYTES = 4 << 20  # a state holds at most 512 orders of about 1 KB
PRIVATE_MODE = 0o600


class JournalError(FleetError):
    """The journal cannot be read or written; the text is one line that names the file."""


class AgentState(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The state of an agent that survives a restart."""

    agent: str  # the agent's name, so that no agent starts from another agent's journal
    promised: AcceptorState = AcceptorState()
    order_state: OrderStateRecord = msgspec.field(name="book", default=OrderStateRecord())


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(AgentState)


def digest(head: bytes, body: bytes) -> bytes:
    """Return the checksum of the head (without the checksum itself) and the body."""
    return hashlib.blake2b(head + body, digest_size=DIGEST_BYTES).digest()


def encode(state: AgentState) -> bytes:
    """Return the contents of the file for a state; raise ValueError if the state is too large."""
    body = _encoder.encode(state)
    if len(body) > MAX_BODY_BYTES:
        raise ValueError(f"{len(body)} bytes of state; {MAX_BODY_BYTES} at most")
    head = MAGIC + bytes([VERSION]) + len(body).to_bytes(4)
    return head + digest(head, body) + body


def decode(data: bytes) -> AgentState:
    """Return the state from the contents of a file; raise ValueError if they are not valid."""
    digest_start = len(MAGIC) + 1 + 4
    if len(data) < HEAD_BYTES or not data.startswith(MAGIC):
        raise ValueError("is no journal of an agent, or is cut off")
    if data[len(MAGIC)] != VERSION:
        raise ValueError(f"is of version {data[len(MAGIC)]}; {VERSION} is read here")
    body = data[HEAD_BYTES:]
    if int.from_bytes(data[digest_start - 4 : digest_start]) != len(body):
        raise ValueError("is not as long as it says")
    if digest(data[:digest_start], body) != data[digest_start:HEAD_BYTES]:
        raise ValueError("is damaged: its checksum is another")
    state = _decoder.decode(body)
    state.order_state.check()
    return state


class Journal:
    """The journal of one agent, locked while it is open.

    `broken` is set by a failed write, after which the contents of the disk are unknown.
    """

    def __init__(self, path: Path, agent: str) -> None:
        """Lock the journal at `path`; raise JournalError if that fails or another process holds the lock."""
        self.path = path
        self.agent = agent
        self.temporary_path = path.with_name(path.name + ".new")
        self.broken = False
        lock_path = path.with_name(path.name + ".lock")
        try:
            self.lock_file = os.open(lock_path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, PRIVATE_MODE)
        except OSError as error:
            raise JournalError(f"{lock_path}: {error.strerror}") from error
        try:
            fcntl.flock(self.lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self.lock_file)
            raise JournalError(f"{path}: another agent has it") from None

    def load(self) -> AgentState:
        """Return the state saved last, or the initial state if there is no file."""
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
        """Write a state and return once it is on the disk; raise JournalError if it may not be there.

        After a failure the agent must promise and accept nothing. A second sync may succeed although data was
        lost, so later writes fail until the journal is opened again.
        """
        if self.broken:
            raise JournalError(f"{self.path}: a write has failed before; start the agent again")
        try:
            self.write(encode(state))
        except (OSError, ValueError) as error:
            self.broken = True
            raise JournalError(f"{self.path}: {' '.join(str(error).split())}") from error

    def write(self, data: bytes) -> None:
        """Replace the file atomically and durably."""
        file = os.open(
            self.temporary_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, PRIVATE_MODE
        )
        try:
            unwritten = memoryview(data)
            while unwritten:
                unwritten = unwritten[os.write(file, unwritten) :]
            os.fsync(file)
        finally:
            os.close(file)
        os.replace(self.temporary_path, self.path)
        folder = os.open(self.path.parent, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(folder)  # the rename is durable only after this
        finally:
            os.close(folder)

    def close(self) -> None:
        """Release the lock."""
        with contextlib.suppress(OSError):
            os.close(self.lock_file)
