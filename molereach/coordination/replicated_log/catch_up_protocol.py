"""Fetching missing entries from another node, and sending them: entries, or a snapshot in chunks.

The receiver has at most one snapshot in progress and takes a chunk only where it fits; the sender keeps one
snapshot, made at the first request and used as long as its tail continues from it.
"""

from hashlib import blake2b
from typing import NamedTuple

from molereach.coordination.replicated_log.messages import (
    EntriesReply,
    EntriesRequest,
    SnapshotChunk,
    SnapshotChunkRequest,
)
from molereach.coordination.replicated_log.records import decode_snapshot, encode
from molereach.coordination.replicated_log.replica_state import ReplicaState
from molereach.coordination.replicated_log.settings import MAX_CHUNK_BYTES, MAX_SNAPSHOT_BYTES

MAX_RETRIES = 5  # of a question that is not answered


class _EncodedSnapshot(NamedTuple):
    """A snapshot that is sent in chunks; the digest is BLAKE2b, 16 bytes."""

    position: int
    data: bytes
    digest: bytes


class CatchUpProtocol:
    """Both sides of catching up at one node."""

    def __init__(self, state: ReplicaState) -> None:
        self.state = state
        self.outbox = state.outbox
        self.source = ""  # whom the requests go to; empty for nobody
        self.retry_at_us = 0  # when the request is repeated; 0 for the next `tick`
        self.retries = 0
        # of the snapshot under way
        self.position = 0
        self.total = 0
        self.digest = b""
        self.data = bytearray()
        self.sent_snapshot: _EncodedSnapshot | None = None

    # --- receiving ---

    def request_from(self, source: str) -> None:
        """Request what follows; a snapshot in progress continues instead."""
        if source == self.outbox.instance.name or self.data:
            return
        self.source = source
        self.retry_at_us = 0
        self.retries = 0
        self._send_request()

    def _send_request(self) -> None:
        if self.data:
            self.outbox.send(self.source, SnapshotChunkRequest(self.position, len(self.data)))
        else:
            self.outbox.send(self.source, EntriesRequest(self.state.position))

    def on_entries(self, sender: str, message: EntriesReply) -> bool:
        """Take entries; whether any was new."""
        new = self.state.apply_decided(message.entries)
        if new:
            self._drop_passed()
        if message.decided > self.state.position:
            if new:
                self.request_from(sender)
        elif sender == self.source and not self.data:
            self.source = ""
        return new

    def on_chunk(self, sender: str, message: SnapshotChunk) -> bool:
        """Take a chunk; whether a snapshot was complete and of use."""
        if message.position <= self.state.position or not self._accepts(sender, message):
            return False
        self.data += message.data
        self.retry_at_us = 0
        self.retries = 0
        if len(self.data) < self.total:
            self._send_request()
            return False
        data = bytes(self.data)
        total = self.total
        digest = self.digest
        self._drop()
        if len(data) != total or blake2b(data, digest_size=16).digest() != digest:
            return False
        try:
            snapshot = decode_snapshot(data)
        except ValueError:
            return False
        if not self.state.restore(snapshot):
            return False
        self.request_from(sender)  # what came since
        return True

    def _accepts(self, sender: str, message: SnapshotChunk) -> bool:
        """Whether it goes on with the snapshot under way, or begins the first or a newer one."""
        if self.data and sender == self.source and message.position == self.position:
            return (message.total, message.digest, message.offset) == (
                self.total,
                self.digest,
                len(self.data),
            )
        if message.offset or (self.data and (sender != self.source or message.position < self.position)):
            return False
        self.source = sender
        self.data = bytearray()
        self.position = message.position
        self.total = message.total
        self.digest = message.digest
        return True

    def _drop_passed(self) -> None:
        if self.data and self.position <= self.state.position:
            self._drop()

    def _drop(self) -> None:
        self.source = ""
        self.data = bytearray()

    def tick(self, now_us: int, retry_interval_us: int) -> None:
        """Repeat the request where no answer came."""
        if not self.source:
            return
        if not self.retry_at_us:
            self.retry_at_us = now_us + retry_interval_us
        elif now_us >= self.retry_at_us:
            self.retries += 1
            self.retry_at_us = now_us + retry_interval_us
            if self.retries > MAX_RETRIES:
                self._drop()
            else:
                self._send_request()

    # --- sending ---

    def send_entries(self, to: str, after: int) -> None:
        """Send what follows a position, as far as it fits into one message."""
        learner = self.state.learner
        entries = learner.entries_after(after)
        if entries is None:
            self.send_chunk(to, 0, 0)
        else:
            self.outbox.send(to, EntriesReply(entries, learner.position))

    def send_chunk(self, to: str, position: int, offset: int) -> None:
        """Send a chunk of a snapshot; the first of the newest one where another is requested."""
        learner = self.state.learner
        if self.sent_snapshot is None or learner.entries_after(self.sent_snapshot.position) is None:
            if learner.failed_machines:  # a state that stopped at some entry is no state of the log
                return
            data = encode(learner.snapshot())
            if len(data) > MAX_SNAPSHOT_BYTES:
                return
            digest = blake2b(data, digest_size=16).digest()
            self.sent_snapshot = _EncodedSnapshot(learner.position, data, digest)
        snapshot = self.sent_snapshot
        total = len(snapshot.data)
        if position != snapshot.position or offset >= total:
            offset = 0
        chunk = snapshot.data[offset : offset + MAX_CHUNK_BYTES]
        self.outbox.send(to, SnapshotChunk(snapshot.position, total, offset, snapshot.digest, chunk))
