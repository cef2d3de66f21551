"""How long things take and how much is kept. Times in microseconds of the monotonic clock."""

from dataclasses import dataclass

MS = 1000  # microseconds in a millisecond

MOST_BATCH = 64  # entries accepted in one round
MOST_BATCH_BYTES = 64 << 10  # of their bodies
MOST_PIECE_BYTES = 64 << 10  # of a snapshot, in one word
MOST_SNAPSHOT_BYTES = 64 << 20
MOST_RUNS = 64  # disks whose last start is kept


@dataclass(frozen=True, slots=True)
class Settings:
    """The same at all front doors of a council: an acceptor that waits too short deposes a living leader."""

    beat_us: int = 150 * MS  # a leader's heartbeat, and how often what was not answered is said again
    election_least_us: int = 600 * MS  # with no word of a leader; drawn between the two
    election_most_us: int = 1200 * MS
    again_us: int = 300 * MS  # until a proposal or a question is told again
    most_pending: int = 256  # proposals of this front door under way
    most_queued: int = 1024  # proposals that wait at the leader
    most_once: int = 4096  # ids whose outcome is known; what was asked before them is refused
    most_tail: int = 4096  # entries after the base on the disk, and in memory for those who lack them
    most_tail_bytes: int = 4 << 20
