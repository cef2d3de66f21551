"""Whether this front door is still the leader: a round of beats that began after the question.

Source: Ongaro (2014), section 6.4. Who follows a round had promised no higher ballot when its beat came;
when a majority has, no other ballot was promised by a majority before the round began, so no other leader
was elected by then. A leader that was stopped finds the same, however old its last round is.
"""

from molereach.coordination.replicated_log.messages import HeartbeatReply, Voters, VoteSource
from molereach.coordination.replicated_log.recovery import has_majority

MAX_QUESTIONS = 1024


class ConfirmationRounds:
    """Rounds of one leader, who followed them, and the questions that wait for one."""

    def __init__(self) -> None:
        self.number = 0
        self.replies: dict[str, tuple[int, VoteSource]] = {}  # by disk: the newest round
        self.waiting_questions: list[tuple[int, int]] = []  # the round that it waits for, and the token

    def begin(self) -> int:
        """Begin a round; returns its number."""
        self.number += 1
        return self.number

    def add_question(self, token: int) -> bool:
        """Take a question; whether a round should begin at once, as none for an earlier one is under way."""
        idle = all(needed > self.number for needed, _ in self.waiting_questions)
        if len(self.waiting_questions) < MAX_QUESTIONS:
            self.waiting_questions.append((self.number + 1, token))
        return idle

    def record_reply(self, disk: str, message: HeartbeatReply) -> None:
        """Record a voter's reply to a round, the newest of each disk."""
        had = self.replies.get(disk)
        if message.round <= self.number and (had is None or had[0] < message.round):
            self.replies[disk] = (message.round, message.source)

    def take_confirmed(self, voters: Voters) -> list[int]:
        """Tokens whose round a majority of the panel has followed."""
        done = []
        for needed in sorted({needed for needed, _ in self.waiting_questions}, reverse=True):
            votes = {disk: source for disk, (number, source) in self.replies.items() if number >= needed}
            if has_majority(votes, voters):
                done = [token for wanted, token in self.waiting_questions if wanted <= needed]
                self.waiting_questions = [each for each in self.waiting_questions if each[0] > needed]
                break
        return done

    @property
    def has_unsent_question(self) -> bool:
        """Whether a question waits for a round that has not begun."""
        return any(needed > self.number for needed, _ in self.waiting_questions)
