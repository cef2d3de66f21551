"""Whether this node is still the leader: a heartbeat round that began after the question.

Source: Ongaro (2014), section 6.4. A voter that replies to a round had promised no higher ballot when its
heartbeat came; when a majority has replied, no other ballot was promised by a majority before the round
began, so no other leader was elected by then. A leader that was stopped finds the same, however old its last
round is.
"""

from typing import NamedTuple

from molereach.coordination.replicated_log.messages import HeartbeatReply, Voters, VoteSource
from molereach.coordination.replicated_log.recovery import has_majority

MAX_QUESTIONS = 1024


class RoundReply(NamedTuple):
    """The newest round that a voter replied to."""

    round: int
    source: VoteSource


class Question(NamedTuple):
    """A question about leadership, and the first round that answers it."""

    round: int
    token: int


class HeartbeatRounds:
    """Heartbeat rounds of one leader, the replies, and the questions that wait for a round."""

    def __init__(self) -> None:
        self.number = 0
        self.replies: dict[str, RoundReply] = {}  # by disk
        self.waiting_questions: list[Question] = []

    def begin(self) -> int:
        """Begin a round; returns its number."""
        self.number += 1
        return self.number

    def add_question(self, token: int) -> bool:
        """Take a question; whether to begin a round at once, as none for an earlier one is in progress."""
        idle = all(question.round > self.number for question in self.waiting_questions)
        if len(self.waiting_questions) < MAX_QUESTIONS:
            self.waiting_questions.append(Question(self.number + 1, token))
        return idle

    def record_reply(self, disk: str, message: HeartbeatReply) -> None:
        """Record a voter's reply to a round, the newest of each disk."""
        earlier = self.replies.get(disk)
        if message.round <= self.number and (earlier is None or earlier.round < message.round):
            self.replies[disk] = RoundReply(message.round, message.source)

    def take_confirmed(self, voters: Voters) -> list[int]:
        """Tokens whose round a majority of the voters has answered."""
        rounds = {question.round for question in self.waiting_questions}
        for needed in sorted(rounds, reverse=True):
            votes = {disk: reply.source for disk, reply in self.replies.items() if reply.round >= needed}
            if has_majority(votes, voters):
                confirmed = [each.token for each in self.waiting_questions if each.round <= needed]
                self.waiting_questions = [each for each in self.waiting_questions if each.round > needed]
                return confirmed
        return []

    @property
    def has_unsent_question(self) -> bool:
        """Whether a question waits for a round that has not begun."""
        return any(question.round > self.number for question in self.waiting_questions)
