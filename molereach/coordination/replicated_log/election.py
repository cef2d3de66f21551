"""When a seat tries to lead, and whether it would let another.

Source: Ongaro, "Consensus: Bridging Theory and Practice" (2014), section 9.6 (pre-vote): a seat asks first
whether a majority would promise, and is refused by all that hear a living leader. So one that was cut off
deposes nobody when it is back.
"""

from collections.abc import Callable

from molereach.coordination.replicated_log.panel import majority
from molereach.coordination.replicated_log.settings import Settings
from molereach.coordination.replicated_log.words import Ballot, Panel, Polled


class Election:
    """Time-outs and the poll under way."""

    def __init__(self, settings: Settings, draw: Callable[[], float]) -> None:
        self.settings, self.draw = settings, draw
        self.heard_us: int | None = None  # when a leader was last heard, or the start
        self.due_us = 0
        self.ballot: Ballot | None = None  # that is asked about
        self.granted: set[str] = set()  # disks
        self.highest = 0  # number of any ballot seen
        self.favoured, self.favoured_until_us = "", 0  # whom this seat would promise

    def listen(self, now_us: int) -> None:
        """Wait anew for a leader, or for the end of what was begun."""
        least, most = self.settings.election_least_us, self.settings.election_most_us
        self.due_us = now_us + least + int(self.draw() * (most - least))

    def hear(self, now_us: int) -> None:
        """A leader lives."""
        self.heard_us, self.ballot = now_us, None
        self.listen(now_us)

    def hears(self, now_us: int) -> bool:
        return self.heard_us is not None and now_us - self.heard_us < self.settings.election_least_us

    def grant(self, now_us: int, ballot: Ballot, promised: Ballot) -> bool:
        """Whether this seat would promise a ballot: it hears no leader, and did not just say so to another.

        Else two whose time-outs end together would both be told to go on, and each undo the other's ballot.
        """
        favoured = self.favoured != ballot.name and now_us < self.favoured_until_us
        if ballot.number <= promised.number or favoured or self.hears(now_us):
            return False
        self.favoured, self.favoured_until_us = ballot.name, now_us + self.settings.election_least_us // 2
        return True

    def seen(self, ballot: Ballot) -> None:
        self.highest = max(self.highest, ballot.number)

    def poll(self, now_us: int, name: str, life: int) -> Ballot:
        """Begin to ask about a ballot higher than all that were seen."""
        self.ballot, self.granted = Ballot(self.highest + 1, name, life), set()
        self.listen(now_us)
        return self.ballot

    def polled(self, word: Polled, panel: Panel) -> bool:
        """Take an answer; whether a majority would promise, which ends the poll."""
        self.seen(word.promised)
        if word.ballot != self.ballot or not word.granted:
            return False
        self.granted.add(word.disk)
        if sum(seat.disk in self.granted for seat in panel) < majority(panel):
            return False
        self.ballot = None
        return True
