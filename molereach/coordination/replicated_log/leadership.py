"""One ballot of this node: the promises of a majority, then batches, one at a time.

Source: Lamport, "Paxos Made Simple" (2001), section 3. Promises hold for all later positions under the same
voters, so a batch costs one round trip. The first batch is the one accepted under the highest ballot among
the promises, as a whole. After a change of voters the new voters' promises are requested before anything else
is proposed.
"""

from collections.abc import Callable
from enum import Enum

from molereach.coordination.interface.log import Entry
from molereach.coordination.replicated_log.leadership_confirmation import HeartbeatRounds
from molereach.coordination.replicated_log.learner import LOG_MACHINE, Learner
from molereach.coordination.replicated_log.messages import (
    Ballot,
    Promise,
    ProposalRequest,
    Voters,
    VoteSource,
)
from molereach.coordination.replicated_log.recovery import has_majority
from molereach.coordination.replicated_log.settings import MAX_BATCH_BYTES, MAX_BATCH_ENTRIES, LogSettings
from molereach.coordination.replicated_log.voters import majority


class LeadershipPhase(Enum):
    """The phase of a leadership."""

    PREPARING = "preparing"  # phase 1 is in progress
    LEADING = "leading"  # a majority has promised


class Leadership:
    """The state of one ballot of this node."""

    def __init__(self, ballot: Ballot, after: int, now_us: int) -> None:
        self.ballot = ballot
        self.rounds = HeartbeatRounds()
        self.last_reply_us: dict[str, int] = {}  # time of the last reply, by disk
        self.elected = False  # whether a majority has promised once
        self.prepare(after, now_us)

    def prepare(self, after: int, now_us: int) -> None:
        """Begin phase 1 for all positions after `after`."""
        self.phase = LeadershipPhase.PREPARING
        self.decided_position = after  # the last one decided before phase 1, or by this ballot
        self.phase_started_us = now_us
        self.promises: dict[str, Promise] = {}
        self.batch: tuple[Entry, ...] = ()  # proposed and not known to be decided
        self.votes: dict[str, VoteSource] = {}
        self.inherited = False  # whether the batch was proposed by an earlier leader

    @property
    def leads(self) -> bool:
        """Whether this ballot is elected and knows all earlier decisions, so it may propose new entries."""
        return self.phase is LeadershipPhase.LEADING and not self.inherited

    def record_promise(self, disk: str, message: Promise, voters: Voters) -> bool:
        """Record a promise; return whether it completes a majority.

        If it does, `batch` holds the entries that must be proposed first.
        """
        if self.phase is not LeadershipPhase.PREPARING or message.after != self.decided_position:
            return False
        self.promises[disk] = message
        if not has_majority({disk: promise.source for disk, promise in self.promises.items()}, voters):
            return False
        highest = max(self.promises.values(), key=lambda promise: promise.accepted_at)
        self.phase = LeadershipPhase.LEADING
        self.elected = True
        self.batch = highest.accepted
        self.inherited = bool(highest.accepted)
        return True

    def propose(self, entries: tuple[Entry, ...]) -> None:
        """Propose a batch; the previous one must be decided."""
        assert self.leads and not self.batch
        self.batch = entries
        self.votes = {}

    def record_vote(self, disk: str, last: int, source: VoteSource, voters: Voters) -> tuple[Entry, ...]:
        """Record a vote; return the batch if this vote decides it, or an empty one."""
        if not self.batch or last != self.batch[-1].position:
            return ()
        self.votes[disk] = source
        if not has_majority(self.votes, voters):
            return ()
        batch = self.batch
        self.batch = ()
        self.votes = {}
        self.inherited = False
        return batch

    def has_quorum_contact(self, voters: Voters, now_us: int, within_us: int) -> bool:
        """Whether a majority of the voters replied within the last `within_us` microseconds."""
        replied = sum(
            now_us - self.last_reply_us.get(voter.disk, self.phase_started_us) < within_us for voter in voters
        )
        return replied >= majority(voters)


class ProposalQueue:
    """The proposals queued for a leader's next batch, each once."""

    def __init__(self, settings: LogSettings, unix_ms: Callable[[int], int]) -> None:
        self.settings = settings
        self.unix_ms = unix_ms
        self.requests: dict[str, ProposalRequest] = {}

    def add(self, request: ProposalRequest, learner: Learner) -> None:
        """Queue a proposal, unless it was applied, is older than the known ids, or the queue is full.

        The proposer resends a proposal until it has a result.
        """
        if learner.deduplication.find(request.id) or not learner.deduplication.covers(request.since):
            return
        if len(self.requests) < self.settings.max_queued:
            self.requests.setdefault(request.id, request)

    def batch(self, now_us: int, learner: Learner) -> tuple[Entry, ...]:
        """Take the next batch from the queue. An entry that may change the voters ends its batch."""
        entries: list[Entry] = []
        body_bytes = 0
        at_ms = max(self.unix_ms(now_us), learner.at_ms)
        while self.requests and len(entries) < MAX_BATCH_ENTRIES:
            request = next(iter(self.requests.values()))
            body_bytes += len(request.body)
            if entries and body_bytes > MAX_BATCH_BYTES:
                break
            del self.requests[request.id]
            if learner.deduplication.find(request.id) or not learner.deduplication.covers(request.since):
                continue
            position = learner.position + 1 + len(entries)
            entries.append(
                Entry(position, request.machine, request.id, request.proposer, at_ms, request.body)
            )
            if request.machine == LOG_MACHINE:
                break
        return tuple(entries)
