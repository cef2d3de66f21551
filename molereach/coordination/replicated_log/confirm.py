"""Whether this front door is still the leader: a round of beats that began after the question.

Source: Ongaro (2014), section 6.4. Who follows a round had promised no higher ballot when its beat came;
when a majority has, no other ballot was promised by a majority before the round began, so no other leader
was elected by then. A leader that was stopped finds the same, however old its last round is.
"""

from molereach.coordination.replicated_log.recovery import settled
from molereach.coordination.replicated_log.words import Follow, Panel, Voter

MOST_QUESTIONS = 1024


class Rounds:
    """Rounds of one leader, who followed them, and the questions that wait for one."""

    def __init__(self) -> None:
        self.round = 0
        self.followed: dict[str, tuple[int, Voter]] = {}  # by disk: the newest round
        self.questions: list[tuple[int, int]] = []  # the round that it waits for, and the token

    def begin(self) -> int:
        self.round += 1
        return self.round

    def ask(self, token: int) -> bool:
        """Take a question; whether a round should begin at once, as none for an earlier one is under way."""
        idle = all(needed > self.round for needed, _ in self.questions)
        if len(self.questions) < MOST_QUESTIONS:
            self.questions.append((self.round + 1, token))
        return idle

    def follow(self, disk: str, word: Follow) -> None:
        had = self.followed.get(disk)
        if word.round <= self.round and (had is None or had[0] < word.round):
            self.followed[disk] = (word.round, word.voter)

    def confirmed(self, panel: Panel) -> list[int]:
        """Tokens whose round a majority of the panel has followed."""
        done = []
        for needed in sorted({needed for needed, _ in self.questions}, reverse=True):
            votes = {disk: voter for disk, (number, voter) in self.followed.items() if number >= needed}
            if settled(votes, panel):
                done = [token for wanted, token in self.questions if wanted <= needed]
                self.questions = [each for each in self.questions if each[0] > needed]
                break
        return done

    @property
    def waiting(self) -> bool:
        """Whether a question waits for a round that has not begun."""
        return any(needed > self.round for needed, _ in self.questions)
