"""One attempt to lead: a majority's promises, then one batch after another, one at a time.

Source: Lamport, "Paxos Made Simple" (2001), section 3. Promises hold for all later positions under the same
voters, so a batch costs one round trip. The first batch is the highest that was accepted among the promises,
as a whole. After a change of voters the new voters' promises are requested before anything else is proposed.
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
    """How far a leadership has come."""

    PREPARING = "preparing"  # phase 1 in progress
    LEADING = "leading"  # has their promises


class Leadership:
    """State of one ballot of this node."""

    def __init__(self, ballot: Ballot, after: int, now_us: int) -> None:
        self.ballot = ballot
        self.rounds = HeartbeatRounds()
        self.contact_us: dict[str, int] = {}  # by disk: its last reply
        self.elected = False  # had a majority's promises once
        self.prepare(after, now_us)

    def prepare(self, after: int, now_us: int) -> None:
        """Begin phase 1 for all that follows this position."""
        self.phase = LeadershipPhase.PREPARING
        self.after = after
        self.since_us = now_us
        self.promises: dict[str, Promise] = {}
        self.batch: tuple[Entry, ...] = ()  # proposed, and not known to be decided
        self.votes: dict[str, VoteSource] = {}
        self.inherited = False  # the batch was proposed by an earlier leader

    @property
    def leads(self) -> bool:
        """Has all that was decided before it: what it says of the log holds."""
        return self.phase is LeadershipPhase.LEADING and not self.inherited

    def record_promise(self, disk: str, message: Promise, voters: Voters) -> bool:
        """Take a promise; whether that makes a majority. Then `batch` is what must be proposed first."""
        if self.phase is not LeadershipPhase.PREPARING or message.after != self.after:
            return False
        self.promises[disk] = message
        if not has_majority({key: promise.source for key, promise in self.promises.items()}, voters):
            return False
        highest = max(self.promises.values(), key=lambda promise: promise.accepted_at)
        self.phase = LeadershipPhase.LEADING
        self.elected = True
        self.batch = highest.accepted
        self.inherited = bool(highest.accepted)
        return True

    def propose(self, entries: tuple[Entry, ...]) -> None:
        """Propose a batch; the one before must be decided."""
        assert self.leads and not self.batch
        self.batch = entries
        self.votes = {}

    def record_vote(self, disk: str, last: int, source: VoteSource, voters: Voters) -> tuple[Entry, ...]:
        """Take a vote; the batch, once it is decided by it."""
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
        """Whether a majority replied within the last `within_us` microseconds."""
        reachable = sum(
            now_us - self.contact_us.get(voter.disk, self.since_us) < within_us for voter in voters
        )
        return reachable >= majority(voters)


class ProposalQueue:
    """Proposals that wait for a leader's next batch, each once."""

    def __init__(self, settings: LogSettings, wall_ms: Callable[[int], int]) -> None:
        self.settings = settings
        self.unix_ms = wall_ms
        self.requests: dict[str, ProposalRequest] = {}

    def add(self, request: ProposalRequest, learner: Learner) -> None:
        """Queue a proposal, unless it is known, too old to judge, or the queue is full: it is sent once more
        then."""
        if learner.deduplication.find(request.id) or not learner.deduplication.covers(request.since):
            return
        if len(self.requests) < self.settings.max_queued:
            self.requests.setdefault(request.id, request)

    def batch(self, now_us: int, learner: Learner) -> tuple[Entry, ...]:
        """The next entries. One that may change the voters is the last of its batch."""
        entries: list[Entry] = []
        size = 0
        at_ms = max(self.unix_ms(now_us), learner.at_ms)
        while self.requests and len(entries) < MAX_BATCH_ENTRIES:
            request = next(iter(self.requests.values()))
            size += len(request.body)
            if entries and size > MAX_BATCH_BYTES:
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
