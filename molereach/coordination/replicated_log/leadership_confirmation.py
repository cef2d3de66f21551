"""Confirms that this node is still the leader, by a heartbeat round that begins after the request.

Source: Ongaro (2014), section 6.4. A voter that replies to a round had promised no higher ballot when the
heartbeat arrived. When a majority has replied, no majority had promised a higher ballot before the round
began, so no other leader had been elected by then. This also holds for a leader whose process was paused,
however long ago its previous round was.
"""

from typing import NamedTuple

from molereach.coordination.replicated_log.messages import HeartbeatReply, Voters, VoteSource
from molereach.coordination.replicated_log.recovery import has_majority

MAX_PENDING_CONFIRMATIONS = 1024


class RoundReply(NamedTuple):
    """The newest round to which a voter replied."""

    round: int
    source: VoteSource


class PendingConfirmation(NamedTuple):
    """A requested confirmation of leadership, and the first round that can give it."""

    round: int
    token: int


class HeartbeatRounds:
    """The heartbeat rounds of one leader, the replies, and the confirmations that wait for a round."""

    def __init__(self) -> None:
        self.number = 0
        self.replies: dict[str, RoundReply] = {}  # by disk
        self.pending_confirmations: list[PendingConfirmation] = []

    def begin(self) -> int:
        """Begin a round and return its number."""
        self.number += 1
        return self.number

    def request_confirmation(self, token: int) -> bool:
        """Record a request; return whether to begin a round now.

        While a round for earlier requests is in progress, the request waits for the next one.
        """
        none_in_progress = all(pending.round > self.number for pending in self.pending_confirmations)
        if len(self.pending_confirmations) < MAX_PENDING_CONFIRMATIONS:
            self.pending_confirmations.append(PendingConfirmation(self.number + 1, token))
        return none_in_progress

    def record_reply(self, disk: str, message: HeartbeatReply) -> None:
        """Record a voter's reply to a round; the newest of each disk is kept."""
        earlier = self.replies.get(disk)
        if message.round <= self.number and (earlier is None or earlier.round < message.round):
            self.replies[disk] = RoundReply(message.round, message.source)

    def take_confirmed(self, voters: Voters) -> list[int]:
        """Remove and return the tokens whose round a majority of the voters has answered."""
        required_rounds = {pending.round for pending in self.pending_confirmations}
        for required_round in sorted(required_rounds, reverse=True):
            votes = {
                disk: reply.source for disk, reply in self.replies.items() if reply.round >= required_round
            }
            if has_majority(votes, voters):
                confirmed = [
                    pending.token for pending in self.pending_confirmations if pending.round <= required_round
                ]
                self.pending_confirmations = [
                    pending for pending in self.pending_confirmations if pending.round > required_round
                ]
                return confirmed
        return []

    @property
    def has_unstarted_round(self) -> bool:
        """Whether a confirmation waits for a round that has not begun."""
        return any(pending.round > self.number for pending in self.pending_confirmations)
