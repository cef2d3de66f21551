"""Timeouts and bounds of the replicated log. Times are in microseconds of the monotonic clock."""

from dataclasses import dataclass

MILLISECOND_US = 1000  # microseconds in a millisecond

MAX_BATCH_ENTRIES = 64  # entries accepted in one round
MAX_BATCH_BYTES = 64 << 10  # of the bodies of a batch
MAX_CHUNK_BYTES = 64 << 10  # of a snapshot, in one message
MAX_SNAPSHOT_BYTES = 64 << 20
MAX_RUNS = 64  # disks whose latest run is remembered


@dataclass(frozen=True, slots=True)
class LogSettings:
    """Settings, the same at all nodes of a group; a voter with a shorter timeout deposes a live leader."""

    # The interval of a leader's heartbeats, and of resending its unanswered messages.
    heartbeat_interval_us: int = 150 * MILLISECOND_US
    # The election timeout without a heartbeat is drawn between these two.
    min_election_timeout_us: int = 600 * MILLISECOND_US
    max_election_timeout_us: int = 1200 * MILLISECOND_US
    retry_interval_us: int = 300 * MILLISECOND_US  # after which a proposal or a request is resent
    max_pending: int = 256  # pending proposals of this node
    max_queued: int = 1024  # proposals queued at the leader
    max_deduplicated_ids: int = 4096  # ids whose outcome is remembered; older requests are rejected
    # Entries after the base on the disk, and entries kept in memory for nodes that lack them.
    max_tail_entries: int = 4096
    max_tail_bytes: int = 4 << 20
