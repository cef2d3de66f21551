"""When a seat may vote after a start, and whose votes count: what a disk that was set back must not do.

Each start of a disk has a number, written before anything is said. A seat votes at a position only when
more than half of all seats of that position's panel, its own not counted, have written down this run of it
and said what they have promised and accepted, and when it has all that they had decided. Two such sets of
others meet, and each meets every majority that its disk was part of: so whatever an earlier run voted for
is either among what was said, or comes from a voter that knows this run, and then the earlier run's vote is
void. One that knows of an equal or higher start under another life shows that the disk was set back; then
it does not vote again.

At the first start of a fresh panel all answer one another before any of them votes. So it takes one seat
more than a majority to begin (all three of 3, four of 5, five of 7), as for any seat that starts anew;
after that a majority of running seats is enough.
"""

from collections.abc import Mapping

from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.replicated_log.acceptor import Acceptor, rest
from molereach.coordination.replicated_log.learner import Learner
from molereach.coordination.replicated_log.panel import majority
from molereach.coordination.replicated_log.settings import MOST_RUNS
from molereach.coordination.replicated_log.words import NOBODY, Exists, Noted, Panel, Run, Seat, Voter


class Recovery:
    """The runs of disks: this one's and those of others."""

    def __init__(self, me: NodeInstance, disk: str, starts: int, runs: Mapping[str, Run]) -> None:
        self.run = Run(disk, starts, me.number)
        self.seat = Seat(me.name, disk)
        self.runs = {key: run for key, run in runs.items() if key != disk}  # newest known, oldest word first
        self.answers: dict[Seat, Noted] = {}
        self.set_back: Run | None = None

    # --- this disk ---

    def lacking(self, panel: Panel) -> list[Seat]:
        """Whom to ask still. All, as each answer more lets one more be dead later."""
        if self.set_back or self.seat not in panel:
            return []
        return [seat for seat in panel if seat != self.seat and seat not in self.answers]

    def answered(self, sender: NodeInstance, noted: Noted, panel: Panel) -> bool:
        """Take an answer; whether it was new and for this run. Those of no seat go when there are many."""
        seat = Seat(sender.name, noted.by.disk)
        if noted.run != self.run or noted.by.life != sender.number or seat in self.answers:
            return False
        if len(self.answers) >= MOST_RUNS:
            del self.answers[next(each for each in self.answers if each not in panel)]
        self.answers[seat] = noted
        return True

    def refused(self, exists: Exists) -> bool:
        """Whether an answer shows, for the first time, that this disk was set back."""
        known = exists.known
        if exists.run != self.run or known.disk != self.run.disk or self.set_back:
            return False
        if known == self.run or known.starts < self.run.starts:
            return False
        self.set_back = known
        return True

    def may_vote(self, panel: Panel, position: int) -> bool:
        """Whether this run may vote at the position after this one, whose panel is given."""
        if self.set_back or self.seat not in panel:
            return False
        answers = [self.answers[seat] for seat in panel if seat in self.answers]
        return len(answers) >= majority(panel) and all(answer.after <= position for answer in answers)

    def raise_to(self, acceptor: Acceptor, learner: Learner) -> bool:
        """Be no lower than those who answered; whether that changed anything."""
        raised = False
        for answer in self.answers.values():
            accepted = answer.accepted if answer.after <= learner.position else ()
            if accepted and learner.last:
                accepted = rest(accepted, learner.last)
            raised |= acceptor.adopt(answer.promised, answer.accepted_at if accepted else NOBODY, accepted)
        return raised

    # --- the disks of others ---

    def note(self, run: Run) -> Run | None:
        """A run that shows that this one's disk was set back, or None: then it is to be written down."""
        known = self.runs.get(run.disk)
        if known and known != run and known.starts >= run.starts:
            return known
        return None

    def write(self, run: Run, panel: Panel) -> bool:
        """Remember a run; whether it was new. Disks without a seat go first when there are too many."""
        if self.runs.get(run.disk) == run:
            return False
        self.runs.pop(run.disk, None)
        self.runs[run.disk] = run
        if len(self.runs) > MOST_RUNS:
            seats = {seat.disk for seat in panel}
            del self.runs[next(disk for disk in self.runs if disk not in seats)]
        return True

    def voter(self, panel: Panel) -> Voter:
        """Whose a vote of this run is, and what it has written down of the panel's other disks."""
        return Voter(self.run, tuple(self.runs[seat.disk] for seat in panel if seat.disk in self.runs))


def counted(votes: Mapping[str, Voter], panel: Panel) -> int:
    """How many seats of the panel voted, by disk. One is void when a voter knows a later run."""
    newest: dict[str, int] = {}
    for voter in votes.values():
        for run in (voter.run, *voter.knows):
            newest[run.disk] = max(newest.get(run.disk, 0), run.starts)
    return sum(seat.disk in votes and votes[seat.disk].run.starts >= newest[seat.disk] for seat in panel)


def settled(votes: Mapping[str, Voter], panel: Panel) -> bool:
    return counted(votes, panel) >= majority(panel)
