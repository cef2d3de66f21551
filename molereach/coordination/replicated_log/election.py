"""Election timeouts and the pre-vote.

Source: Ongaro, "Consensus: Bridging Theory and Practice" (2014), section 9.6 (pre-vote): a candidate first
checks whether a majority would promise, and voters that have a live leader decline. So a node that was
partitioned does not depose the leader when it is connected again.
"""

from collections.abc import Callable

from molereach.coordination.replicated_log.messages import Ballot, PreVoteReply, Voters
from molereach.coordination.replicated_log.settings import LogSettings
from molereach.coordination.replicated_log.voters import majority


class Election:
    """The election timeout, the pre-vote in progress, and the candidate last granted a pre-vote."""

    def __init__(self, settings: LogSettings, random_fraction: Callable[[], float]) -> None:
        self.settings = settings
        self.random_fraction = random_fraction
        self.leader_contact_us: int | None = None  # last contact with a leader, or first event; None before
        self.timeout_at_us = 0
        self.ballot: Ballot | None = None  # of the pre-vote in progress
        self.granted: set[str] = set()  # disks that granted it
        self.highest_number = 0  # of all ballots seen
        # The candidate to which this voter granted a pre-vote, and until when it grants no other.
        self.granted_candidate = ""
        self.grant_valid_until_us = 0

    def restart_timeout(self, now_us: int) -> None:
        """Restart the election timeout, which is random within its bounds."""
        minimum_us = self.settings.min_election_timeout_us
        maximum_us = self.settings.max_election_timeout_us
        self.timeout_at_us = now_us + minimum_us + int(self.random_fraction() * (maximum_us - minimum_us))

    def record_leader_contact(self, now_us: int) -> None:
        """Record a contact with a live leader, which ends a pre-vote in progress."""
        self.leader_contact_us = now_us
        self.ballot = None
        self.restart_timeout(now_us)

    def has_live_leader(self, now_us: int) -> bool:
        """Whether there was contact with a leader within the minimum election timeout."""
        return (
            self.leader_contact_us is not None
            and now_us - self.leader_contact_us < self.settings.min_election_timeout_us
        )

    def grant(self, now_us: int, ballot: Ballot, promised: Ballot) -> bool:
        """Grant a pre-vote if this voter has no live leader and did not just grant another candidate.

        Otherwise two candidates whose timeouts expire together would both be granted, and their ballots would
        preempt each other.
        """
        granted_another = self.granted_candidate != ballot.name and now_us < self.grant_valid_until_us
        if ballot.number <= promised.number or granted_another or self.has_live_leader(now_us):
            return False
        self.granted_candidate = ballot.name
        self.grant_valid_until_us = now_us + self.settings.min_election_timeout_us // 2
        return True

    def observe_ballot(self, ballot: Ballot) -> None:
        """Record the highest ballot number seen."""
        self.highest_number = max(self.highest_number, ballot.number)

    def start_pre_vote(self, now_us: int, name: str, instance_number: int) -> Ballot:
        """Begin a pre-vote for a ballot higher than all ballots seen."""
        self.ballot = Ballot(self.highest_number + 1, name, instance_number)
        self.granted = set()
        self.restart_timeout(now_us)
        return self.ballot

    def record_reply(self, message: PreVoteReply, voters: Voters) -> bool:
        """Record a reply; return whether a majority has granted the pre-vote, which ends it."""
        self.observe_ballot(message.promised)
        if message.ballot != self.ballot or not message.granted:
            return False
        self.granted.add(message.disk)
        if sum(voter.disk in self.granted for voter in voters) < majority(voters):
            return False
        self.ballot = None
        return True
