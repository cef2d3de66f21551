"""When a voter may vote after a start, and whose votes count: what a disk that was rolled back must not do.

Each start of a disk has a number, written before anything is sent. A voter votes at a position only when more
than half of all voters of that position, itself not counted, have written down this run of it and reported
what they have promised and accepted, and when it has all that they had decided. Two such sets of others
intersect, and each intersects every majority that its disk was part of: so whatever an earlier run voted for
is either among the reports, or comes from a voter that knows this run, and then the earlier run's vote is
void. A voter that knows of an equal or higher start under another instance shows that the disk was rolled
back; then this run never votes.

At the first start of a fresh group all acknowledge one another before any of them votes. So it takes one
voter more than a majority to begin (all three of 3, four of 5, five of 7), as for any voter that starts anew;
after that a majority of running voters is enough.
"""

from collections.abc import Mapping

from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.replicated_log.acceptor import Acceptor, undecided_rest
from molereach.coordination.replicated_log.learner import Learner
from molereach.coordination.replicated_log.messages import (
    NOBODY,
    Run,
    RunAcknowledged,
    RunConflict,
    Voter,
    Voters,
    VoteSource,
)
from molereach.coordination.replicated_log.settings import MAX_RUNS
from molereach.coordination.replicated_log.voters import majority


class Recovery:
    """The runs of disks: this one's and those of others."""

    def __init__(self, me: NodeInstance, disk: str, starts: int, runs: Mapping[str, Run]) -> None:
        self.run = Run(disk, starts, me.number)
        self.voter = Voter(me.name, disk)
        self.runs = {
            key: run for key, run in runs.items() if key != disk
        }  # newest known run of each, the least recently updated first
        self.acknowledgements: dict[Voter, RunAcknowledged] = {}
        self.rollback_evidence: Run | None = None

    # --- this disk ---

    def unanswered_voters(self, voters: Voters) -> list[Voter]:
        """Voters without an acknowledgement. All are asked, as each more tolerates one more failure later."""
        if self.rollback_evidence or self.voter not in voters:
            return []
        return [voter for voter in voters if voter != self.voter and voter not in self.acknowledgements]

    def record_acknowledgement(self, sender: NodeInstance, noted: RunAcknowledged, voters: Voters) -> bool:
        """Take an acknowledgement; whether it was new and of this run. Those of non-voters drop out first."""
        voter = Voter(sender.name, noted.acknowledged_by.disk)
        if (
            noted.run != self.run
            or noted.acknowledged_by.instance_number != sender.number
            or voter in self.acknowledgements
        ):
            return False
        if len(self.acknowledgements) >= MAX_RUNS:
            del self.acknowledgements[next(each for each in self.acknowledgements if each not in voters)]
        self.acknowledgements[voter] = noted
        return True

    def record_conflict(self, exists: RunConflict) -> bool:
        """Whether an answer shows, for the first time, that this disk was rolled back."""
        known = exists.known
        if exists.run != self.run or known.disk != self.run.disk or self.rollback_evidence:
            return False
        if known == self.run or known.start_count < self.run.start_count:
            return False
        self.rollback_evidence = known
        return True

    def may_vote(self, voters: Voters, position: int) -> bool:
        """Whether this run may vote at the position after this one, whose voters are given."""
        if self.rollback_evidence or self.voter not in voters:
            return False
        answers = [self.acknowledgements[voter] for voter in voters if voter in self.acknowledgements]
        return len(answers) >= majority(voters) and all(answer.after <= position for answer in answers)

    def adopt_acknowledged(self, acceptor: Acceptor, learner: Learner) -> bool:
        """Be no lower than those who answered; whether that changed anything."""
        raised = False
        for answer in self.acknowledgements.values():
            accepted = answer.accepted if answer.after <= learner.position else ()
            if accepted and learner.last:
                accepted = undecided_rest(accepted, learner.last)
            raised |= acceptor.adopt(answer.promised, answer.accepted_at if accepted else NOBODY, accepted)
        return raised

    # --- the disks of others ---

    def conflicting_run(self, run: Run) -> Run | None:
        """A known run that shows that this run's disk was rolled back, or None: then it is to be recorded."""
        known = self.runs.get(run.disk)
        if known and known != run and known.start_count >= run.start_count:
            return known
        return None

    def record_run(self, run: Run, voters: Voters) -> bool:
        """Remember a run; whether it was new. Disks of non-voters drop out first."""
        if self.runs.get(run.disk) == run:
            return False
        self.runs.pop(run.disk, None)
        self.runs[run.disk] = run
        if len(self.runs) > MAX_RUNS:
            voter_disks = {voter.disk for voter in voters}
            del self.runs[next(disk for disk in self.runs if disk not in voter_disks)]
        return True

    def vote_source(self, voters: Voters) -> VoteSource:
        """Whose vote it is, and the runs of the other voters' disks that it has written down."""
        return VoteSource(
            self.run, tuple(self.runs[voter.disk] for voter in voters if voter.disk in self.runs)
        )


def count_votes(votes: Mapping[str, VoteSource], voters: Voters) -> int:
    """How many of the voters voted, by disk. A vote is void when another voter knows a later run."""
    newest: dict[str, int] = {}
    for source in votes.values():
        for run in (source.run, *source.known_runs):
            newest[run.disk] = max(newest.get(run.disk, 0), run.start_count)
    return sum(
        voter.disk in votes and votes[voter.disk].run.start_count >= newest[voter.disk] for voter in voters
    )


def has_majority(votes: Mapping[str, VoteSource], voters: Voters) -> bool:
    """Whether the votes that count are a majority of the voters."""
    return count_votes(votes, voters) >= majority(voters)
