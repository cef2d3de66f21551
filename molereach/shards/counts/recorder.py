"""A front door's part: it counts, tells what it counted, and gives the log what it has of lives now over.

It says `clear` of a fold only once the log has all that is held here of that life and earlier ones of its
name; so what only this front door has heard is not lost when the life goes into the base.
"""

from dataclasses import dataclass

from molereach.coordination.interface.core import NEVER_US, MessageReceived, SendMessage, Tick
from molereach.coordination.interface.identifiers import SECOND_US, NodeInstance
from molereach.coordination.interface.log import Applied, Propose, Restored
from molereach.shards.counts.bodies import MACHINE, Fold, decode, encode
from molereach.shards.counts.counter import Counter
from molereach.shards.counts.machine import Folds
from molereach.shards.counts.merged_counts import Merged
from molereach.shards.counts.messages import MOST_ROWS_TOLD, Told, told

BEAT_US = 5 * SECOND_US  # between words of what was counted
AGAIN_US = 10 * SECOND_US  # until a fold without an outcome is proposed anew
MOST_FOLDS_A_BEAT = 4


@dataclass(frozen=True, slots=True)
class Confirmed:
    """A server of this shard has confirmed a write of so many bytes."""

    shard: int
    size_bytes: int


@dataclass(frozen=True, slots=True)
class Leader:
    """Who leads, as far as is known; None for nobody."""

    name: str | None


@dataclass(frozen=True, slots=True)
class StartAnew:
    """Action: this life is in the base of the log, and what it counts is not counted any more."""


Action = SendMessage | Propose | StartAnew
Event = Confirmed | Leader | MessageReceived | Applied | Restored | Tick


class DoorCounts:
    """A core. `clear` is up to where its part of the log's folds is done; `applied` may be beyond."""

    def __init__(self, me: NodeInstance, folds: Folds, now_us: int) -> None:
        self.me, self._folds = me, folds
        self.own, self.merged = Counter(), Merged(folds)
        self.leader: str | None = None
        self.wake_us = now_us + BEAT_US
        self._applied = 0
        self._owed: dict[
            NodeInstance, int
        ] = {}  # folded lives of which the log may lack something: since when
        self._proposed: dict[NodeInstance, int] = {}
        self._number = 0

    @property
    def clear(self) -> int:
        """The position up to which nothing is owed."""
        return min([self._applied, *(position - 1 for position in self._owed.values())])

    def handle(self, now_us: int, event: Event) -> list[Action]:
        match event:
            case Confirmed():
                self.own.add(event.shard, event.size_bytes)
            case Leader():
                self.leader = event.name
            case MessageReceived():
                if isinstance(event.message, Told):
                    self.merged.merge(event.message.life, event.message.rows)
            case Restored():
                self._applied = max(self._applied, event.position)
                self._owed.update({life: event.position for life in self._folds.kept() if self._owes(life)})
            case Applied():
                self._applied = max(self._applied, event.entry.position)
                self._on_applied(event)
            case Tick():
                return self._beat(now_us) if now_us >= self.wake_us else []
        return []

    def _on_applied(self, event: Applied) -> None:
        if event.entry.machine != MACHINE or event.outcome.error:
            return
        body = decode(event.entry.body)
        if isinstance(body, Fold) and self._owes(body.life):
            self._owed.setdefault(body.life, event.entry.position)
        self._owed = {life: position for life, position in self._owed.items() if self._owes(life)}

    def _owes(self, life: NodeInstance) -> bool:
        """Whether the log lacks something held here of a folded life, or of an earlier one of its name."""
        earlier = [each for each in self.merged.lives() if each.name == life.name and each <= life]
        return any(self.merged.unfolded(each) and not self._folds.forgotten(each) for each in earlier)

    def _beat(self, now_us: int) -> list[Action]:
        self.wake_us = now_us + BEAT_US
        self.merged.merge(self.me, self.own.rows())
        self.merged.settle()
        self._owed = {life: position for life, position in self._owed.items() if self._owes(life)}
        said: list[Action] = [StartAnew()] if self._folds.forgotten(self.me) else []
        if self.leader and self.leader != self.me.name:
            said += [SendMessage(self.leader, word) for word in told(self.me, self.own.rows())]
        return said + self._folds_due(now_us)

    def _folds_due(self, now_us: int) -> list[Action]:
        """The leader folds lives that are over; others only what the log lacks of those it has folded."""
        leads = self.leader == self.me.name
        found: list[Action] = []
        for life in self.merged.lives():
            if len(found) >= MOST_FOLDS_A_BEAT:
                break
            lacking = self.merged.unfolded(life)
            known = leads or any(each.name == life.name and life <= each for each in self._owed)
            if life == self.me or not known or not self._folds.over(life) or not lacking:
                continue
            if now_us < self._proposed.get(life, -NEVER_US) + AGAIN_US:
                continue
            self._proposed[life] = now_us
            self._number += 1
            id = f"fold-{self.me.name[:20]}-{self.me.number}-{self._number}"
            found.append(Propose(MACHINE, id, encode(Fold(life, lacking[:MOST_ROWS_TOLD])), AGAIN_US))
        self._proposed = {life: at for life, at in self._proposed.items() if life in self.merged.lives()}
        return found
