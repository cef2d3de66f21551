"""This front door's own proposals: told to the leader again and again until one word ends each.

SETTLED when the entry was applied here; REFUSED when it never left; UNKNOWN when its time is over. An id
that is under way already has one word for both times that it was given.
"""

from dataclasses import dataclass

from molereach.coordination.interface.core import NEVER_US
from molereach.coordination.interface.identifiers import MAX_ID_CHARACTERS, NodeInstance
from molereach.coordination.interface.log import (
    MAX_ENTRY_BODY_BYTES,
    ProposalFinished,
    ProposalStatus,
    Propose,
)
from molereach.coordination.replicated_log.learner import OWN, Learner
from molereach.coordination.replicated_log.settings import Settings
from molereach.coordination.replicated_log.words import Ask


@dataclass(slots=True)
class _Pending:
    ask: Ask
    until_us: int
    again_us: int
    told: int = 0


class Proposals:
    """Those under way, by id."""

    def __init__(self, me: NodeInstance, settings: Settings, learner: Learner) -> None:
        self.me, self.settings, self.learner = me, settings, learner
        self.pending: dict[str, _Pending] = {}

    def propose(self, now_us: int, event: Propose) -> ProposalFinished | None:
        """Take a proposal; its word where it is over at once."""
        if event.id in self.pending:
            pending = self.pending[event.id]
            pending.until_us = max(pending.until_us, now_us + event.timeout_us)
            return None
        machine = event.machine or OWN
        known = machine == OWN or machine in self.learner.machines
        fits = len(event.body) <= MAX_ENTRY_BODY_BYTES and 0 < len(event.id) <= MAX_ID_CHARACTERS
        if not known or not fits or len(self.pending) >= self.settings.most_pending:
            return ProposalFinished(event.id, ProposalStatus.REJECTED)
        ask = Ask(machine, event.id, self.me, self.learner.position, event.body)
        if over := self._settled(ask):
            return over
        self.pending[event.id] = _Pending(ask, now_us + event.timeout_us, now_us)
        return None

    def _settled(self, ask: Ask) -> ProposalFinished | None:
        found = self.learner.outcome_of(ask.id, ask.machine, ask.body)
        return (
            ProposalFinished(ask.id, ProposalStatus.APPLIED, found[1], found[0].position) if found else None
        )

    def settle(self) -> list[ProposalFinished]:
        """Those that have been applied here by now."""
        overs = [over for each in self.pending.values() if (over := self._settled(each.ask))]
        for over in overs:
            del self.pending[over.id]
        return overs

    def expire(self, now_us: int) -> list[ProposalFinished]:
        late = [key for key, each in self.pending.items() if now_us >= each.until_us]
        for key in late:
            del self.pending[key]
        return [ProposalFinished(key, ProposalStatus.UNKNOWN) for key in late]

    def due(self, now_us: int) -> list[tuple[Ask, int]]:
        """What to tell now, and how often it was told before."""
        asks = []
        for each in self.pending.values():
            if now_us >= each.again_us:
                asks.append((each.ask, each.told))
                each.told += 1
                each.again_us = now_us + self.settings.again_us
        return asks

    def hurry(self) -> None:
        """Another leader: tell it at once."""
        for each in self.pending.values():
            each.again_us, each.told = 0, 0

    @property
    def wake_us(self) -> int:
        return min((min(each.until_us, each.again_us) for each in self.pending.values()), default=NEVER_US)
