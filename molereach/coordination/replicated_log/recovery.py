"""When a voter may vote after a start, and which votes count, so that a rolled-back disk does no harm.

Each start of a disk has a number, which is written before anything is sent. A voter votes at a position only
when more than half of all voters of that position, not counting itself, have recorded its run and reported
their promises and votes, and when it has all entries that they had decided. Two such sets of other voters
intersect, and each intersects every majority that the disk was part of. So whatever an earlier run voted for
is either among the reports, or is reported by a voter that knows this run, which makes the vote of the
earlier run void. If a voter knows an equal or higher start number for another instance, the disk was rolled
back, and this run never votes.

At the first start of a new group the voters acknowledge one another before any of them votes. So a voter that
starts needs as many other voters as make a majority: a new group needs one voter more than a majority to
begin (all three of 3, four of 5, five of 7). After that a majority of running voters is enough.
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
    """The run of this disk, its acknowledgements, and the known runs of other disks."""

    def __init__(self, instance: NodeInstance, disk: str, start_count: int, runs: Mapping[str, Run]) -> None:
        self.run = Run(disk, start_count, instance.number)
        self.voter = Voter(instance.name, disk)
        # The newest known run of each other disk, the least recently updated first.
        self.runs = {other_disk: run for other_disk, run in runs.items() if other_disk != disk}
        self.acknowledgements: dict[Voter, RunAcknowledged] = {}
        self.rollback_evidence: Run | None = None

    # --- this disk ---

    def unanswered_voters(self, voters: Voters) -> list[Voter]:
        """Return the voters that have not acknowledged this run.

        All are asked, not only a majority: each further answer lets one more failure be tolerated later.
        """
        if self.rollback_evidence or self.voter not in voters:
            return []
        return [voter for voter in voters if voter != self.voter and voter not in self.acknowledgements]

    def record_acknowledgement(
        self, sender: NodeInstance, acknowledgement: RunAcknowledged, voters: Voters
    ) -> bool:
        """Record an acknowledgement; return whether it is new and for this run.

        Beyond the bound, acknowledgements of non-voters are dropped.
        """
        voter = Voter(sender.name, acknowledgement.acknowledged_by.disk)
        if (
            acknowledgement.run != self.run
            or acknowledgement.acknowledged_by.instance_number != sender.number
            or voter in self.acknowledgements
        ):
            return False
        if len(self.acknowledgements) >= MAX_RUNS:
            del self.acknowledgements[next(other for other in self.acknowledgements if other not in voters)]
        self.acknowledgements[voter] = acknowledgement
        return True

    def record_conflict(self, conflict: RunConflict) -> bool:
        """Record a conflict; return whether it shows, for the first time, that this disk was rolled back."""
        known = conflict.known
        if conflict.run != self.run or known.disk != self.run.disk or self.rollback_evidence:
            return False
        if known == self.run or known.start_count < self.run.start_count:
            return False
        self.rollback_evidence = known
        return True

    def may_vote(self, voters: Voters, position: int) -> bool:
        """Whether this run may vote at the position after `position`, which has these voters."""
        if self.rollback_evidence or self.voter not in voters:
            return False
        acknowledgements = [
            self.acknowledgements[voter] for voter in voters if voter in self.acknowledgements
        ]
        return len(acknowledgements) >= majority(voters) and all(
            acknowledgement.after <= position for acknowledgement in acknowledgements
        )

    def adopt_acknowledged(self, acceptor: Acceptor, learner: Learner) -> bool:
        """Raise the acceptor to the promises and votes in the acknowledgements; return whether it changed."""
        changed = False
        for acknowledgement in self.acknowledgements.values():
            accepted = acknowledgement.accepted if acknowledgement.after <= learner.position else ()
            if accepted and learner.last:
                accepted = undecided_rest(accepted, learner.last)
            changed |= acceptor.adopt(
                acknowledgement.promised, acknowledgement.accepted_at if accepted else NOBODY, accepted
            )
        return changed

    # --- the disks of others ---

    def conflicting_run(self, run: Run) -> Run | None:
        """Return the known run that shows that the disk of `run` was rolled back, or None."""
        known = self.runs.get(run.disk)
        if known and known != run and known.start_count >= run.start_count:
            return known
        return None

    def record_run(self, run: Run, voters: Voters) -> bool:
        """Record a run; return whether it is new. Beyond the bound, runs of non-voters are dropped."""
        if self.runs.get(run.disk) == run:
            return False
        self.runs.pop(run.disk, None)
        self.runs[run.disk] = run
        if len(self.runs) > MAX_RUNS:
            voter_disks = {voter.disk for voter in voters}
            del self.runs[next(disk for disk in self.runs if disk not in voter_disks)]
        return True

    def vote_source(self, voters: Voters) -> VoteSource:
        """Return the source of a vote: this run, and the recorded runs of the other voters' disks."""
        return VoteSource(
            self.run, tuple(self.runs[voter.disk] for voter in voters if voter.disk in self.runs)
        )


def count_votes(votes: Mapping[str, VoteSource], voters: Voters) -> int:
    """Count the valid votes, given by disk. A vote is void if another vote names a later run of its disk."""
    newest: dict[str, int] = {}
    for source in votes.values():
        for run in (source.run, *source.known_runs):
            newest[run.disk] = max(newest.get(run.disk, 0), run.start_count)
    return sum(
        voter.disk in votes and votes[voter.disk].run.start_count >= newest[voter.disk] for voter in voters
    )


def has_majority(votes: Mapping[str, VoteSource], voters: Voters) -> bool:
    """Whether the valid votes are a majority of the voters."""
    return count_votes(votes, voters) >= majority(voters)
