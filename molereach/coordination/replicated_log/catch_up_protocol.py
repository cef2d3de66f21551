"""Fetching missing entries from another node, and sending them, as entries or as a snapshot in chunks.

The receiver has at most one snapshot in progress and accepts only the next chunk of it. The sender keeps one
encoded snapshot, made at the first request and used as long as its tail of entries continues from it.
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

MAX_RETRIES = 5  # of an unanswered request


class _EncodedSnapshot(NamedTuple):
    """A snapshot to send in chunks; the digest is BLAKE2b, 16 bytes."""

    position: int
    data: bytes
    digest: bytes


class CatchUpProtocol:
    """Requests missing entries of this node, and answers the requests of other nodes."""

    def __init__(self, state: ReplicaState) -> None:
        self.state = state
        self.outbox = state.outbox
        self.source = ""  # the node that requests go to; empty for none
        self.retry_at_us = 0  # when the request is repeated; 0 if the next `tick` is to set it
        self.retries = 0
        # The snapshot in progress, and the bytes of it received so far.
        self.snapshot_position = 0
        self.snapshot_bytes = 0
        self.snapshot_digest = b""
        self.snapshot_data = bytearray()
        self.sent_snapshot: _EncodedSnapshot | None = None

    # --- receiving ---

    def request_from(self, source: str) -> None:
        """Request the entries that follow, unless a snapshot is in progress."""
        if source == self.outbox.instance.name or self.snapshot_data:
            return
        self.source = source
        self.retry_at_us = 0
        self.retries = 0
        self._send_request()

    def _send_request(self) -> None:
        if self.snapshot_data:
            self.outbox.send(
                self.source, SnapshotChunkRequest(self.snapshot_position, len(self.snapshot_data))
            )
        else:
            self.outbox.send(self.source, EntriesRequest(self.state.position))

    def on_entries(self, sender: str, message: EntriesReply) -> bool:
        """Apply received entries; return whether any was new."""
        new = self.state.apply_decided(message.entries)
        if new:
            self._drop_outdated_snapshot()
        if message.decided > self.state.position:
            if new:
                self.request_from(sender)
        elif sender == self.source and not self.snapshot_data:
            self.source = ""
        return new

    def on_chunk(self, sender: str, message: SnapshotChunk) -> bool:
        """Add a chunk; return whether it completed a snapshot that was restored."""
        if message.position <= self.state.position or not self._is_next_chunk(sender, message):
            return False
        self.snapshot_data += message.data
        self.retry_at_us = 0
        self.retries = 0
        if len(self.snapshot_data) < self.snapshot_bytes:
            self._send_request()
            return False
        data = bytes(self.snapshot_data)
        total = self.snapshot_bytes
        digest = self.snapshot_digest
        self._stop()
        if len(data) != total or blake2b(data, digest_size=16).digest() != digest:
            return False
        try:
            snapshot = decode_snapshot(data)
        except ValueError:
            return False
        if not self.state.restore(snapshot):
            return False
        self.request_from(sender)  # the entries after the snapshot
        return True

    def _is_next_chunk(self, sender: str, message: SnapshotChunk) -> bool:
        """Whether a chunk continues the snapshot in progress, or begins the first or a newer one."""
        if self.snapshot_data and sender == self.source and message.position == self.snapshot_position:
            return (message.total, message.digest, message.offset) == (
                self.snapshot_bytes,
                self.snapshot_digest,
                len(self.snapshot_data),
            )
        if message.offset or (
            self.snapshot_data and (sender != self.source or message.position < self.snapshot_position)
        ):
            return False
        self.source = sender
        self.snapshot_data = bytearray()
        self.snapshot_position = message.position
        self.snapshot_bytes = message.total
        self.snapshot_digest = message.digest
        return True

    def _drop_outdated_snapshot(self) -> None:
        if self.snapshot_data and self.snapshot_position <= self.state.position:
            self._stop()

    def _stop(self) -> None:
        self.source = ""
        self.snapshot_data = bytearray()

    def tick(self, now_us: int, retry_interval_us: int) -> None:
        """Repeat an unanswered request, or give up after `MAX_RETRIES`."""
        if not self.source:
            return
        if not self.retry_at_us:
            self.retry_at_us = now_us + retry_interval_us
        elif now_us >= self.retry_at_us:
            self.retries += 1
            self.retry_at_us = now_us + retry_interval_us
            if self.retries > MAX_RETRIES:
                self._stop()
            else:
                self._send_request()

    # --- sending ---

    def send_entries(self, recipient: str, after: int) -> None:
        """Send as many entries after a position as fit into one message, or a snapshot if they are gone."""
        learner = self.state.learner
        entries = learner.entries_after(after)
        if entries is None:
            self.send_chunk(recipient, 0, 0)
        else:
            self.outbox.send(recipient, EntriesReply(entries, learner.position))

    def send_chunk(self, recipient: str, position: int, offset: int) -> None:
        """Send a chunk of the current snapshot; the first one if another snapshot was requested."""
        learner = self.state.learner
        if self.sent_snapshot is None or learner.entries_after(self.sent_snapshot.position) is None:
            if learner.failed_machines:  # the state of a failed machine is not that at this position
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
        self.outbox.send(recipient, SnapshotChunk(snapshot.position, total, offset, snapshot.digest, chunk))
