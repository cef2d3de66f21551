"""How long things take and how much is remembered. Times in microseconds of the monotonic clock."""

from dataclasses import dataclass

MILLISECOND_US = 1000  # microseconds in a millisecond

MAX_BATCH_ENTRIES = 64  # entries accepted in one round
MAX_BATCH_BYTES = 64 << 10  # of their bodies
MAX_CHUNK_BYTES = 64 << 10  # of a snapshot, in one message
MAX_SNAPSHOT_BYTES = 64 << 20
MAX_RUNS = 64  # disks whose last start is remembered


@dataclass(frozen=True, slots=True)
class LogSettings:
    """The same at all nodes of a group: a voter with too short a timeout deposes a live leader."""

    heartbeat_interval_us: int = (
        150 * MILLISECOND_US
    )  # a leader's heartbeat, and how often what was not answered is resent
    min_election_timeout_us: int = 600 * MILLISECOND_US  # without a heartbeat; drawn between the two
    max_election_timeout_us: int = 1200 * MILLISECOND_US
    retry_interval_us: int = 300 * MILLISECOND_US  # until a proposal or a request is repeated
    max_pending: int = 256  # pending proposals of this node
    max_queued: int = 1024  # proposals that wait at the leader
    max_deduplicated_ids: int = 4096  # ids whose outcome is known; older requests are rejected
    max_tail_entries: int = 4096  # entries after the base on the disk, and in memory for those who lack them
    max_tail_bytes: int = 4 << 20
