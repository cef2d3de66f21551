"""A front door's side of counting: it counts writes, reports its counts, and folds instances that ended.

A fold is cleared here only once the log has all that this front door knows of the instance and of earlier
ones of its name. So a report that reached only this front door is not lost when the instance is retired.
"""

from dataclasses import dataclass

from molereach.coordination.interface.core import NEVER_US, MessageReceived, SendMessage, Tick
from molereach.coordination.interface.identifiers import SECOND_US, NodeInstance
from molereach.coordination.interface.log import Applied, Propose, Restored
from molereach.shards.counts.bodies import MACHINE, Fold, decode, encode
from molereach.shards.counts.counter import WriteCounter
from molereach.shards.counts.machine import CountsMachine
from molereach.shards.counts.merged_counts import MergedCounts
from molereach.shards.counts.messages import MAX_ROWS_PER_MESSAGE, CountReport, count_reports

REPORT_INTERVAL_US = 5 * SECOND_US
RETRY_INTERVAL_US = 10 * SECOND_US  # before a fold without an outcome is proposed again
MAX_FOLDS_PER_INTERVAL = 4


@dataclass(frozen=True, slots=True)
class WriteConfirmed:
    """Event: a backend that keeps this shard has confirmed a write of this size."""

    shard: int
    size_bytes: int


@dataclass(frozen=True, slots=True)
class LeaderChanged:
    """Event: the leader as far as it is known; None for no leader."""

    name: str | None


@dataclass(frozen=True, slots=True)
class RestartRequired:
    """Action: the log has retired this instance, so what it counts is ignored; start a new one."""


Action = SendMessage | Propose | RestartRequired
Event = WriteConfirmed | LeaderChanged | MessageReceived | Applied | Restored | Tick


class CountRecorder:
    """A core that counts this front door's writes and merges the counts of all front doors."""

    def __init__(self, instance: NodeInstance, machine: CountsMachine, now_us: int) -> None:
        self.instance, self._machine = instance, machine
        self.counter, self.merged = WriteCounter(), MergedCounts(machine)
        self.leader: str | None = None
        self.wake_us = now_us + REPORT_INTERVAL_US
        self._applied = 0
        self._incomplete: dict[
            NodeInstance, int
        ] = {}  # folded instances of which the log may lack something, by the position of the fold
        self._proposed_us: dict[NodeInstance, int] = {}
        self._proposals = 0

    @property
    def clear_position(self) -> int:
        """The position up to which the log has what this front door knows of all folded instances."""
        return min([self._applied, *(position - 1 for position in self._incomplete.values())])

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Apply one event; the actions to carry out."""
        match event:
            case WriteConfirmed():
                self.counter.add(event.shard, event.size_bytes)
            case LeaderChanged():
                self.leader = event.name
            case MessageReceived():
                if isinstance(event.message, CountReport):
                    self.merged.merge(event.message.instance, event.message.rows)
            case Restored():
                self._applied = max(self._applied, event.position)
                self._incomplete.update(
                    {
                        instance: event.position
                        for instance in self._machine.folded()
                        if self._is_incomplete(instance)
                    }
                )
            case Applied():
                self._applied = max(self._applied, event.entry.position)
                self._on_applied(event)
            case Tick():
                return self._on_interval(now_us) if now_us >= self.wake_us else []
        return []

    def _on_applied(self, event: Applied) -> None:
        if event.entry.machine != MACHINE or event.outcome.error:
            return
        body = decode(event.entry.body)
        if isinstance(body, Fold) and self._is_incomplete(body.instance):
            self._incomplete.setdefault(body.instance, event.entry.position)
        self._incomplete = {
            instance: position
            for instance, position in self._incomplete.items()
            if self._is_incomplete(instance)
        }

    def _is_incomplete(self, instance: NodeInstance) -> bool:
        """Whether the log lacks counts known here of a folded instance, or of an earlier one of its name."""
        earlier = [
            each for each in self.merged.instances() if each.name == instance.name and each <= instance
        ]
        return any(self.merged.unfolded_rows(each) and not self._machine.is_retired(each) for each in earlier)

    def _on_interval(self, now_us: int) -> list[Action]:
        self.wake_us = now_us + REPORT_INTERVAL_US
        self.merged.merge(self.instance, self.counter.rows())
        self.merged.discard_logged()
        self._incomplete = {
            instance: position
            for instance, position in self._incomplete.items()
            if self._is_incomplete(instance)
        }
        actions: list[Action] = [RestartRequired()] if self._machine.is_retired(self.instance) else []
        if self.leader and self.leader != self.instance.name:
            actions += [
                SendMessage(self.leader, report)
                for report in count_reports(self.instance, self.counter.rows())
            ]
        return actions + self._folds_due(now_us)

    def _folds_due(self, now_us: int) -> list[Action]:
        """Proposals of folds: by the leader for all instances that ended, by others for incomplete folds."""
        is_leader = self.leader == self.instance.name
        proposals: list[Action] = []
        for instance in self.merged.instances():
            if len(proposals) >= MAX_FOLDS_PER_INTERVAL:
                break
            missing = self.merged.unfolded_rows(instance)
            is_responsible = is_leader or any(
                each.name == instance.name and instance <= each for each in self._incomplete
            )
            if (
                instance == self.instance
                or not is_responsible
                or not self._machine.has_ended(instance)
                or not missing
            ):
                continue
            if now_us < self._proposed_us.get(instance, -NEVER_US) + RETRY_INTERVAL_US:
                continue
            self._proposed_us[instance] = now_us
            self._proposals += 1
            id = f"fold-{self.instance.name[:20]}-{self.instance.number}-{self._proposals}"
            proposals.append(
                Propose(
                    MACHINE, id, encode(Fold(instance, missing[:MAX_ROWS_PER_MESSAGE])), RETRY_INTERVAL_US
                )
            )
        self._proposed_us = {
            instance: at_us
            for instance, at_us in self._proposed_us.items()
            if instance in self.merged.instances()
        }
        return proposals
