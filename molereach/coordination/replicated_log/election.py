"""When a voter tries to lead, and whether it would let another.

Source: Ongaro, "Consensus: Bridging Theory and Practice" (2014), section 9.6 (pre-vote): a candidate first
checks whether a majority would promise, and all that hear from a live leader refuse. So a node that was
partitioned deposes nobody when it is connected again.
"""

from collections.abc import Callable

from molereach.coordination.replicated_log.messages import Ballot, PreVoteReply, Voters
from molereach.coordination.replicated_log.settings import LogSettings
from molereach.coordination.replicated_log.voters import majority


class Election:
    """Timeouts and the pre-vote in progress."""

    def __init__(self, settings: LogSettings, draw: Callable[[], float]) -> None:
        self.settings = settings
        self.random_fraction = draw
        self.leader_contact_us: int | None = None  # the last contact with a leader, or the start
        self.timeout_at_us = 0
        self.ballot: Ballot | None = None  # of the pre-vote in progress
        self.granted: set[str] = set()  # disks
        self.highest = 0  # number of any ballot seen
        # whom this voter would promise
        self.favored = ""
        self.favored_until_us = 0

    def restart_timeout(self, now_us: int) -> None:
        """Wait anew for a leader, or for the end of what was begun."""
        minimum_us = self.settings.min_election_timeout_us
        maximum_us = self.settings.max_election_timeout_us
        self.timeout_at_us = now_us + minimum_us + int(self.random_fraction() * (maximum_us - minimum_us))

    def record_leader_contact(self, now_us: int) -> None:
        """A leader is alive."""
        self.leader_contact_us = now_us
        self.ballot = None
        self.restart_timeout(now_us)

    def has_live_leader(self, now_us: int) -> bool:
        """Whether a leader was heard within the shortest election timeout."""
        return (
            self.leader_contact_us is not None
            and now_us - self.leader_contact_us < self.settings.min_election_timeout_us
        )

    def grant(self, now_us: int, ballot: Ballot, promised: Ballot) -> bool:
        """Whether this voter would promise: it has no live leader, and did not just grant another.

        Otherwise two whose timeouts end together would both be granted, and each undo the other's ballot.
        """
        favors_another = self.favored != ballot.name and now_us < self.favored_until_us
        if ballot.number <= promised.number or favors_another or self.has_live_leader(now_us):
            return False
        self.favored = ballot.name
        self.favored_until_us = now_us + self.settings.min_election_timeout_us // 2
        return True

    def observe_ballot(self, ballot: Ballot) -> None:
        """Remember the highest ballot number that was seen."""
        self.highest = max(self.highest, ballot.number)

    def start_pre_vote(self, now_us: int, name: str, instance_number: int) -> Ballot:
        """Begin a pre-vote for a ballot higher than all that were seen."""
        self.ballot = Ballot(self.highest + 1, name, instance_number)
        self.granted = set()
        self.restart_timeout(now_us)
        return self.ballot

    def record_reply(self, message: PreVoteReply, voters: Voters) -> bool:
        """Take a reply; whether a majority would promise, which ends the pre-vote."""
        self.observe_ballot(message.promised)
        if message.ballot != self.ballot or not message.granted:
            return False
        self.granted.add(message.disk)
        if sum(voter.disk in self.granted for voter in voters) < majority(voters):
            return False
        self.ballot = None
        return True
