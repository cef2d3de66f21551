"""What one event leads to, in order: messages with their rumours, and what is new.

Source: SWIM, section 4.1. The rounds follow the beliefs here, so that no change is forgotten in them.
"""

from collections.abc import Iterable, Sequence

from molereach.coordination.interface.core import SendMessage
from molereach.coordination.membership.beliefs import Beliefs, News
from molereach.coordination.membership.events import Changed, Displaced, Doubts
from molereach.coordination.membership.probes import Rounds
from molereach.coordination.membership.words import Ack, Message, Nack, Ping, PingReq, Rumour, Sync, pieces

Action = SendMessage | News


class Outbox:
    """The actions of the event under way. Once displaced, nothing more goes in."""

    __slots__ = ("actions", "beliefs", "displaced", "rounds")

    def __init__(self, beliefs: Beliefs, rounds: Rounds) -> None:
        self.beliefs, self.rounds = beliefs, rounds
        self.actions: list[Action] = []
        self.displaced = False

    def drain(self) -> list[Action]:
        actions, self.actions = self.actions, []
        return actions

    # --- messages ---

    def ping(self, to: str, seq: int, life: int) -> None:
        self._say(to, Ping(seq, self._rumours(to)), life)

    def ping_req(self, to: str, seq: int, name: str, number: int) -> None:
        self._say(to, PingReq(seq, name, number, self._rumours(to)), None)

    def ack(self, to: str, seq: int, life: int) -> None:
        self._say(to, Ack(seq, self._rumours(to)), life)

    def nack(self, to: str, seq: int, life: int) -> None:
        self._say(to, Nack(seq, self._rumours(to)), life)

    def sync(self, to: Iterable[str], answer: bool) -> None:
        """The own word alone; with `answer`, a wish for all that those know."""
        for name in to:
            self._say(name, Sync(self.beliefs.words_for(name), answer), None)

    def correct(self, to: str, life: int) -> None:
        """Tell an earlier run of the later one."""
        self._say(to, Sync(self.beliefs.words_for(to)), life)

    def tell_all(self, to: str, answer: bool) -> None:
        """The whole list; who is asked to answer is so with the last piece."""
        parts = pieces(self.beliefs.everything())
        for number, part in enumerate(parts, 1):
            self._say(to, Sync(part, answer and number == len(parts)), None)

    def _rumours(self, to: str) -> tuple[Rumour, ...]:
        most = self.beliefs.settings.most_words
        return self.beliefs.gossip.pick(self.beliefs.members, most, self.beliefs.words_for(to))

    def _say(self, to: str, message: Message, life: int | None) -> None:
        if not self.displaced:
            self.actions.append(SendMessage(to, message, life))

    # --- news ---

    def take(self, news: Sequence[News]) -> None:
        """Hand out what is new, and keep the rounds to those that live."""
        for item in news:
            if self.displaced:
                return
            self.actions.append(item)
            if isinstance(item, Displaced):
                self.displaced = True
            elif isinstance(item, Changed):
                self._follow(item)

    def doubted(self, by: int) -> None:
        if self.beliefs.doubt.change(by):
            self.take([Doubts(self.beliefs.doubt.level)])

    def _follow(self, change: Changed) -> None:
        listed = change.life.name in self.rounds.names
        if change.status.living and not listed:
            self.rounds.add(change.life.name)
        elif not change.status.living and listed:
            self.rounds.remove(change.life.name)
