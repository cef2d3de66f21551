"""What can be said of an order's end: what each front door said last, how old that is, and the verdict.

What nobody said is not claimed.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from molereach.fleet.agreement import Phase, Proposer
from molereach.fleet.api_bodies import DoorView
from molereach.fleet.orders import Decided
from molereach.fleet.rollout.report import AgentWord, DoorWord, Verdict
from molereach.fleet.rollout.sight import Sight


@dataclass(frozen=True, slots=True)
class Account:
    """What is known at one time; `target` is the revision that everybody is to know."""

    agents: tuple[str, ...]
    sight: Sight
    proposer: Proposer | None
    decided: Decided | None
    target: int
    now_us: int

    @property
    def majority(self) -> int:
        return len(self.agents) // 2 + 1

    def told(self) -> int:
        """How many agents have said that they know the target."""
        return self.sight.told(self.target)

    def knowing(self) -> str:
        return f"only {self.told()} of {len(self.agents)} agents have said that they know it"

    def verdict(self) -> tuple[Verdict, str]:
        """What can be said when time is over, or everybody has confirmed."""
        if self.decided is None:
            return Verdict.UNREACHABLE, self.not_decided()
        what = f"{self.decided.order.verb.value} {self.decided.order.subject}"
        stands = f"{what} stands at revision {self.decided.revision}"
        if self.told() < self.majority:
            return Verdict.UNREACHABLE, f"{stands}; {self.knowing()}"
        missing = [word.door for word in self.door_words() if not word.carried_out and word.reach != "ended"]
        if not missing and self.told() == len(self.agents):
            return Verdict.DONE, stands
        away = [word.agent for word in self.agent_words() if not word.told]
        return Verdict.PARTLY, "; ".join(
            [
                stands,
                *(f"front door {name} has not said that it has it" for name in missing),
                *(f"agent {name} has not said that it knows it" for name in away),
            ]
        )

    def not_decided(self) -> str:
        heard = len(self.agents) - len(self.sight.silent)
        text = f"{heard} of {len(self.agents)} agents answered, {self.majority} must agree"
        if self.proposer and self.proposer.phase is Phase.ACCEPTING:
            text += f"; {len(self.proposer.accepts)} said that they accepted it: it may yet come to stand"
        return text

    def agent_words(self) -> Iterator[AgentWord]:
        for agent in self.agents:
            view = self.sight.views.get(agent)
            told = bool(self.decided and view and view.book.revision >= self.decided.revision)
            yield AgentWord(agent, told, self.sight.silent.get(agent, ""))

    def door_words(self) -> Iterator[DoorWord]:
        """What each front door said last, also of those that only the fleet's file names."""
        for agent in self.agents:
            view = self.sight.views.get(agent)
            seen = view.status.doors if view else ()
            yield from (self.door_word(agent, door) for door in seen)
            why = "its agent does not answer" if view is None else "its agent has never seen it"
            for name in self.sight.expected.get(agent, ()):
                if name not in {door.name for door in seen}:
                    yield DoorWord(agent, name, False, "unknown", None, None, why)

    def door_word(self, agent: str, door: DoorView) -> DoorWord:
        done = bool(self.decided and door.state and door.revision >= self.decided.revision)
        revision = door.revision if door.state else None
        since_ms = (self.now_us - self.sight.viewed_us[agent]) // 1000
        heard = None if door.heard_ago_ms is None else door.heard_ago_ms + since_ms
        return DoorWord(agent, door.name, done, door.reach, revision, heard, door.why)
